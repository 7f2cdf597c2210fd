package peer

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"time"

	"github.com/uber-go/tally/v4"
)

// Defaults of the options; docs/membership.md explains the times.
const (
	defaultIdlePing      = 5 * time.Second
	defaultBusyPing      = time.Second
	defaultSilence       = 2 * time.Second
	defaultHandshake     = 3 * time.Second
	defaultCallTimeout   = 30 * time.Second
	defaultUnused        = 2 * time.Minute
	defaultFirstRetry    = 50 * time.Millisecond
	defaultLastRetry     = 5 * time.Second
	defaultMaxMessage    = 4 << 20
	defaultMaxQueue      = 512
	defaultMaxQueueBytes = 16 << 20
	defaultMaxCalls      = 512
	defaultMaxServing    = 256
	defaultMaxLinks      = 2200 // two links to each of the 1,100 nodes of the target size
)

// Options are the settings of a Node.
type Options struct {
	Name     string
	Listen   netip.AddrPort
	Resolve  func(name string) (netip.AddrPort, bool)
	Mux      *Mux
	Logger   *slog.Logger
	Keys     *Keys // plain TCP without, which only loopback addresses may use unless Private
	Private  bool  // the network between instances is closed to others
	Scope    tally.Scope
	WideArea func(name string) bool // whether an instance is in another data centre

	IdlePing      time.Duration // silence on an unused link before it is probed
	BusyPing      time.Duration // silence on a link with calls in progress before it is probed
	Silence       time.Duration // time for any byte after a probe, and for writing 64 KiB
	Handshake     time.Duration // time to dial and to introduce a link
	CallTimeout   time.Duration // of calls whose context has no deadline
	Unused        time.Duration // after which a link without calls is closed
	FirstRetry    time.Duration // wait after the first failed dial, before jitter
	LastRetry     time.Duration // longest wait after a failed dial, before jitter
	MaxMessage    int           // bytes
	MaxQueue      int           // messages waiting to be written to a link
	MaxQueueBytes int           // bytes waiting to be written to a link
	MaxCalls      int           // calls in progress on a link
	MaxServing    int           // calls of one peer being served
	MaxLinks      int           // accepted links

	Dial      func(ctx context.Context, to netip.AddrPort) (net.Conn, error)
	ListenTCP func(at netip.AddrPort) (net.Listener, error)
	Now       func() time.Time
}

// Option sets one of the Options.
type Option func(*Options)

// WithName sets the name by which other instances know this one.
func WithName(name string) Option {
	return func(o *Options) { o.Name = name }
}

// WithListen sets the address that peers connect to.
func WithListen(a netip.AddrPort) Option {
	return func(o *Options) { o.Listen = a }
}

// WithResolve sets the function that finds the address of an instance.
func WithResolve(f func(name string) (netip.AddrPort, bool)) Option {
	return func(o *Options) { o.Resolve = f }
}

// WithMux sets the methods offered to peers.
func WithMux(m *Mux) Option {
	return func(o *Options) { o.Mux = m }
}

// WithLogger sets the logger.
func WithLogger(l *slog.Logger) Option {
	return func(o *Options) { o.Logger = l }
}

// WithKeys turns on mutual TLS.
func WithKeys(k *Keys) Option {
	return func(o *Options) { o.Keys = k }
}

// WithPrivateNetwork allows links without TLS, on a network that only the system can reach.
func WithPrivateNetwork() Option {
	return func(o *Options) { o.Private = true }
}

// WithScope sets where bytes and messages are counted.
func WithScope(s tally.Scope) Option {
	return func(o *Options) { o.Scope = s }
}

// WithWideArea sets the function that tells whether an instance is in another data centre.
func WithWideArea(f func(name string) bool) Option {
	return func(o *Options) { o.WideArea = f }
}

// WithHeartbeat sets the silence before an unused and a busy link are probed, and the time to react.
func WithHeartbeat(idle, busy, silence time.Duration) Option {
	return func(o *Options) { o.IdlePing, o.BusyPing, o.Silence = idle, busy, silence }
}

// WithRetry sets the waits after the first failed dial and at most.
func WithRetry(first, last time.Duration) Option {
	return func(o *Options) { o.FirstRetry, o.LastRetry = first, last }
}

// WithMaxMessage sets the size limit of a message in bytes.
func WithMaxMessage(n int) Option {
	return func(o *Options) { o.MaxMessage = n }
}

// WithLimits sets the bounds on queued messages, calls in progress and calls being served of a link.
func WithLimits(queue, calls, serving int) Option {
	return func(o *Options) { o.MaxQueue, o.MaxCalls, o.MaxServing = queue, calls, serving }
}

// WithDial replaces the function that opens connections.
func WithDial(f func(ctx context.Context, to netip.AddrPort) (net.Conn, error)) Option {
	return func(o *Options) { o.Dial = f }
}

// WithListenTCP replaces the function that opens the listener.
func WithListenTCP(f func(at netip.AddrPort) (net.Listener, error)) Option {
	return func(o *Options) { o.ListenTCP = f }
}

// WithNow replaces the clock.
func WithNow(f func() time.Time) Option {
	return func(o *Options) { o.Now = f }
}

func build(opts []Option) Options {
	o := Options{
		Listen:        netip.MustParseAddrPort("127.0.0.1:0"),
		Resolve:       func(string) (netip.AddrPort, bool) { return netip.AddrPort{}, false },
		Mux:           NewMux(),
		Logger:        slog.Default(),
		Scope:         tally.NoopScope,
		WideArea:      func(string) bool { return false },
		IdlePing:      defaultIdlePing,
		BusyPing:      defaultBusyPing,
		Silence:       defaultSilence,
		Handshake:     defaultHandshake,
		CallTimeout:   defaultCallTimeout,
		Unused:        defaultUnused,
		FirstRetry:    defaultFirstRetry,
		LastRetry:     defaultLastRetry,
		MaxMessage:    defaultMaxMessage,
		MaxQueue:      defaultMaxQueue,
		MaxQueueBytes: defaultMaxQueueBytes,
		MaxCalls:      defaultMaxCalls,
		MaxServing:    defaultMaxServing,
		MaxLinks:      defaultMaxLinks,
		Dial:          dialTCP,
		ListenTCP:     listenTCP,
		Now:           time.Now,
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}

func dialTCP(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", to.String())
}

func listenTCP(at netip.AddrPort) (net.Listener, error) {
	return net.ListenTCP("tcp", net.TCPAddrFromAddrPort(at))
}
