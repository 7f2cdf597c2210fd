package entry

import (
	"log/slog"
	"net"
	"net/netip"
	"time"

	"github.com/uber-go/tally/v4"

	"lycheevale/internal/base/clock"
	"lycheevale/internal/base/deployment"
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
	ReadyPath string
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
		Listen: func(at netip.AddrPort) (net.Listener, error) { return net.Listen("tcp", at.String()) },
		Decode: func([]byte) (document.Document, error) { return document.Document{}, nil },
	}
	for _, opt := range opts {
		opt(&o)
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
