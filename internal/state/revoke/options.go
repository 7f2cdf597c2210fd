package revoke

import (
	"context"
	"log/slog"
	"time"

	"github.com/zeebo/errs"

	"lycheevale/internal/wire/peer"
)

// Options are the settings of a Node.
type Options struct {
	Name string
	Call peer.Caller
	// Local returns the other instances of the data centre.
	Local func() []string
	// Remote returns one instance of each other data centre; it forwards pushes within its data centre.
	Remote    func() []string
	Withdrawn func(ids []string) // called with newly added identifiers
	Logger    *slog.Logger
	Interval  time.Duration // between comparisons with a peer
	Timeout   time.Duration // of one call
	Parallel  int           // concurrent calls of one push
	// CompareFirst makes a restarted instance ready only after it has compared its set with a peer; only mutation tests
	// disable it.
	CompareFirst bool
}

// Option sets one of the Options.
type Option func(*Options)

const (
	defaultInterval = time.Second
	// defaultTimeout reserves half of the 2 s target of a withdrawal for the push within the other data centre.
	defaultTimeout = time.Second
)

// defaultParallel bounds the concurrent calls of one push; with 1,100 instances the last call waits for up to 18 others.
const defaultParallel = 64

var errNoCaller = errs.New("no caller is set")

func defaults() Options {
	none := func() []string { return nil }
	return Options{
		Call:  func(context.Context, string, string, any, any) error { return errNoCaller },
		Local: none, Remote: none, Withdrawn: func([]string) {}, Logger: slog.Default(),
		Interval: defaultInterval, Timeout: defaultTimeout, Parallel: defaultParallel, CompareFirst: true,
	}
}

// WithName sets the name of this instance.
func WithName(name string) Option {
	return func(o *Options) { o.Name = name }
}

// WithCaller sets the function that calls peers.
func WithCaller(c peer.Caller) Option {
	return func(o *Options) { o.Call = c }
}

// WithPeers sets the functions that return the instances of the data centre and one of each other data centre.
func WithPeers(local, remote func() []string) Option {
	return func(o *Options) { o.Local, o.Remote = local, remote }
}

// WithWithdrawn sets the function that is called with newly added identifiers.
func WithWithdrawn(f func(ids []string)) Option {
	return func(o *Options) { o.Withdrawn = f }
}

// WithParallel sets the number of concurrent calls of one push.
func WithParallel(n int) Option {
	return func(o *Options) { o.Parallel = n }
}

// WithLogger sets the logger.
func WithLogger(l *slog.Logger) Option {
	return func(o *Options) { o.Logger = l }
}
