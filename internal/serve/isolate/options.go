package isolate

import (
	"context"
	"log/slog"
	"net"
	"time"

	"github.com/zeebo/errs"

	"lycheevale/internal/place/quarantine"
	"lycheevale/internal/state/registry"
	"lycheevale/internal/wire/peer"
)

// Error is the class of errors of this package.
var Error = errs.Class("isolate")

// Options are the settings and dependencies of a Recorder and of a Collector.
type Options struct {
	Logger    *slog.Logger
	Now       func() time.Time
	Wall      func() time.Time
	Registry  *registry.Registry
	Call      peer.Caller
	Serves    func(i quarantine.Incarnation) bool // whether an endpoint is known and does not leave
	Dial      func(ctx context.Context, network, address string) (net.Conn, error)
	Leader    func() (name string, known bool) // of the configuration log
	Instances func() []string                  // of the data centre, with this one
	Centres   func() []string                  // one instance of each other data centre
	Term      func() (term uint64, leads bool) // of the configuration log, if this instance leads it
	Supported func() error                     // why the voters cannot store a quarantined signature
	Propose   func(ctx context.Context, c registry.Command) error
}

// Option sets one of the Options.
type Option func(*Options)

// With sets several options in one function.
func With(f func(*Options)) Option { return f }

func defaults() Options {
	return Options{
		Logger: slog.Default(), Now: time.Now, Wall: time.Now, Registry: registry.New(),
		Call:      func(context.Context, string, string, any, any) error { return Error.New("no other instances") },
		Serves:    func(quarantine.Incarnation) bool { return true },
		Dial:      (&net.Dialer{}).DialContext,
		Leader:    func() (string, bool) { return "", false },
		Instances: func() []string { return nil },
		Centres:   func() []string { return nil },
		Term:      func() (uint64, bool) { return 0, false },
		Supported: func() error { return nil },
		Propose:   func(context.Context, registry.Command) error { return Error.New("no configuration log") },
	}
}
