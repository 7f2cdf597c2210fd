package instance

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"time"

	"lycheevale/internal/place/scheduler"
	"lycheevale/internal/serve/caller"
	"lycheevale/internal/state/registry"
)

// Options configure an instance beyond its settings.
type Options struct {
	Logger       *slog.Logger
	Now          func() time.Time // monotonic
	Wall         func() time.Time
	Listen       func(at netip.AddrPort) (net.Listener, error)
	Dial         func(ctx context.Context, network, address string) (net.Conn, error)
	Bootstrap    []registry.Object // first configuration of a new deployment
	Scheduler    []scheduler.Option
	Caller       func(c *caller.Options) // changes the options of the callers' server
	LeaveWait    time.Duration           // bounds a hand-over without running requests
	Trace        func(step Step)         // called at each step of a configuration change
	GracefulStop bool                    // whether a planned stop lets running requests finish; only mutation tests disable it
}

// Step names a step of a configuration change for Trace.
type Step string

// Steps of a configuration change in their order.
const (
	StepPropose    Step = "propose"
	StepReplicate  Step = "replicate"
	StepCommit     Step = "commit"
	StepDistribute Step = "distribute"
	StepApply      Step = "apply"
)

// Option sets one of the Options.
type Option func(*Options)

// WithLogger sets the logger.
func WithLogger(l *slog.Logger) Option {
	return func(o *Options) { o.Logger = l }
}

// WithNetwork replaces the functions that open listeners and connections.
func WithNetwork(listen func(at netip.AddrPort) (net.Listener, error),
	dial func(ctx context.Context, network, address string) (net.Conn, error),
) Option {
	return func(o *Options) { o.Listen, o.Dial = listen, dial }
}

// WithBootstrap sets the configuration that is proposed once when the log of a new deployment is empty.
func WithBootstrap(objects []registry.Object) Option {
	return func(o *Options) { o.Bootstrap = objects }
}

// WithWall sets the wall clock, for tests that step it.
func WithWall(wall func() time.Time) Option {
	return func(o *Options) { o.Wall = wall }
}

// WithCaller sets a function that changes the options of the callers' server.
func WithCaller(f func(c *caller.Options)) Option {
	return func(o *Options) { o.Caller = f }
}

// WithLeaveWait bounds a hand-over without running requests; leases that remain after it expire.
func WithLeaveWait(d time.Duration) Option {
	return func(o *Options) { o.LeaveWait = d }
}

// WithTrace sets a function that is called at each step of a configuration change.
func WithTrace(f func(step Step)) Option {
	return func(o *Options) { o.Trace = f }
}

// WithGracefulStop sets whether a planned stop lets running requests finish; mutation tests disable it to verify that
// interrupted requests are detected.
func WithGracefulStop(graceful bool) Option {
	return func(o *Options) { o.GracefulStop = graceful }
}

// WithScheduler adds options of the scheduler.
func WithScheduler(opts ...scheduler.Option) Option {
	return func(o *Options) { o.Scheduler = append(o.Scheduler, opts...) }
}

// dialTimeout bounds the opening of a connection.
const dialTimeout = time.Second

// leaveWait is longer than the lease of an owner in a small data centre. A hand-over that has not ended by then has
// no instance to take over, for example when all instances of a data centre stop at the same time.
const leaveWait = 8 * time.Second

func defaults() Options {
	return Options{
		Logger:       slog.Default(),
		Now:          time.Now,
		Wall:         time.Now,
		Listen:       func(at netip.AddrPort) (net.Listener, error) { return net.Listen("tcp", at.String()) },
		Dial:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		Caller:       func(*caller.Options) {},
		Trace:        func(Step) {},
		LeaveWait:    leaveWait,
		GracefulStop: true,
	}
}
