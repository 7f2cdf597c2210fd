package instance

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"time"

	"lycheevale/internal/place/scheduler"
	"lycheevale/internal/state/registry"
)

// Options are what an instance takes besides its settings.
type Options struct {
	Logger    *slog.Logger
	Now       func() time.Time // monotonic
	Wall      func() time.Time
	Listen    func(at netip.AddrPort) (net.Listener, error)
	Dial      func(ctx context.Context, network, address string) (net.Conn, error)
	Bootstrap []registry.Object // first configuration of a deployment without any
	Scheduler []scheduler.Option
}

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

// WithScheduler adds options of the scheduler.
func WithScheduler(opts ...scheduler.Option) Option {
	return func(o *Options) { o.Scheduler = append(o.Scheduler, opts...) }
}

// dialTimeout bounds the opening of a connection.
const dialTimeout = time.Second

func defaults() Options {
	return Options{
		Logger: slog.Default(),
		Now:    time.Now,
		Wall:   time.Now,
		Listen: func(at netip.AddrPort) (net.Listener, error) { return net.Listen("tcp", at.String()) },
		Dial:   (&net.Dialer{Timeout: dialTimeout}).DialContext,
	}
}
