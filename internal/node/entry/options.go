package entry

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"time"

	"github.com/uber-go/tally/v4"

	"lycheevale/internal/base/clock"
	"lycheevale/internal/base/deployment"
	"lycheevale/internal/limit/clients"
	"lycheevale/internal/member/report"
	"lycheevale/internal/serve/forward"
	"lycheevale/internal/state/document"
	"lycheevale/internal/wire/peer"
	"lycheevale/internal/wire/upstream"
)

// Options are the settings and dependencies of an Entry.
type Options struct {
	Settings  deployment.Settings
	Codec     forward.Codec
	Decode    func(content []byte) (document.Document, error)
	Pool      *upstream.Pool
	Clients   *clients.Limits // by default, those that follow from the settings
	ReadyPath string
	// StartTime asks an endpoint for its start time in Unix milliseconds; 0 if it does not state one.
	StartTime func(ctx context.Context, e report.Endpoint) (born int64, err error)
	Sweep     func() // closes idle connections of what StartTime uses; called a few times a second
	Logger    *slog.Logger
	Scope     tally.Scope
	Peer      []peer.Option
	Now       func() time.Time
	Listen    func(at netip.AddrPort) (net.Listener, error)
}

// Option sets one of the Options.
type Option func(*Options)

func newOptions(opts []Option) Options {
	o := Options{
		Pool: upstream.New(), ReadyPath: "/ready", Logger: slog.Default(), Scope: tally.NoopScope, Now: clock.Now,
		Listen:    func(at netip.AddrPort) (net.Listener, error) { return net.Listen("tcp", at.String()) },
		Sweep:     func() {},
		StartTime: func(context.Context, report.Endpoint) (int64, error) { return 0, nil },
		Decode:    func([]byte) (document.Document, error) { return document.Document{}, nil },
	}
	for _, opt := range opts {
		opt(&o)
	}
	if o.Clients == nil {
		o.Clients = clients.New(clients.WithMemory(o.Settings.MemoryMB), clients.WithFiles(o.Settings.Files), clients.WithLogger(o.Logger))
	}
	return o
}

// WithSettings sets the settings of the process.
func WithSettings(s deployment.Settings) Option { return func(o *Options) { o.Settings = s } }

// WithCodec sets the protocol of callers and endpoints.
func WithCodec(c forward.Codec) Option { return func(o *Options) { o.Codec = c } }

// WithDecode sets the function that decodes a configuration.
func WithDecode(f func(content []byte) (document.Document, error)) Option {
	return func(o *Options) { o.Decode = f }
}

// WithPool sets the connection pool for endpoints.
func WithPool(p *upstream.Pool) Option { return func(o *Options) { o.Pool = p } }

// WithStartTime sets the call that asks an endpoint for its start time.
func WithStartTime(f func(ctx context.Context, e report.Endpoint) (born int64, err error)) Option {
	return func(o *Options) { o.StartTime = f }
}

// WithSweep sets the function that closes idle connections of what StartTime uses.
func WithSweep(f func()) Option { return func(o *Options) { o.Sweep = f } }

// WithClients sets the limits of what clients can make the process hold.
func WithClients(l *clients.Limits) Option { return func(o *Options) { o.Clients = l } }

// WithReadyPath sets the path of the load balancer's readiness check.
func WithReadyPath(path string) Option { return func(o *Options) { o.ReadyPath = path } }

// WithLogger sets the logger.
func WithLogger(l *slog.Logger) Option { return func(o *Options) { o.Logger = l } }

// WithScope sets the scope of metrics.
func WithScope(s tally.Scope) Option { return func(o *Options) { o.Scope = s } }

// WithPeer adds options of the links to other instances.
func WithPeer(opts ...peer.Option) Option {
	return func(o *Options) { o.Peer = append(o.Peer, opts...) }
}

// WithNow replaces the clock.
func WithNow(f func() time.Time) Option { return func(o *Options) { o.Now = f } }

// WithListen replaces the function that opens listeners.
func WithListen(f func(at netip.AddrPort) (net.Listener, error)) Option {
	return func(o *Options) { o.Listen = f }
}
