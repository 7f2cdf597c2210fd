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
	defaultIdlePing         = 5 * time.Second
	defaultBusyPing         = time.Second
	defaultProbeTimeout     = 2 * time.Second
	defaultHandshakeTimeout = 3 * time.Second
	defaultCallTimeout      = 30 * time.Second
	defaultIdleTimeout      = 2 * time.Minute
	defaultMinRetryWait     = 50 * time.Millisecond
	defaultMaxRetryWait     = 5 * time.Second
	defaultMaxMessage       = 4 << 20
	defaultMaxReceived      = 32 << 20 // a sixth of the memory of the smallest process, and two of the largest messages
	defaultMaxQueue         = 512
	defaultMaxQueueBytes    = 16 << 20
	defaultMaxCalls         = 512
	defaultMaxServing       = 256
	defaultMaxLinks         = 2200 // two links to each of the 1,100 nodes of the target size
)

// Options are the settings of a Node.
type Options struct {
	Name     string
	Listen   netip.AddrPort
	Resolve  func(name string) (netip.AddrPort, bool)
	Mux      *Mux
	Logger   *slog.Logger
	Keys     *Keys // nil means plain TCP, which is allowed only for loopback addresses unless Private is set
	Private  bool  // the links use a network that only instances can reach
	Scope    tally.Scope
	WideArea func(name string) bool // whether an instance is in another data centre

	IdlePing         time.Duration // time without a byte before a link without calls is probed
	BusyPing         time.Duration // time without a byte before a link with calls in progress is probed
	ProbeTimeout     time.Duration // time to receive any byte after a probe, and to write 64 KiB
	HandshakeTimeout time.Duration // time to dial a link and to exchange names
	CallTimeout      time.Duration // of calls whose context has no deadline
	IdleTimeout      time.Duration // after which a link without calls is closed
	MinRetryWait     time.Duration // wait after the first failed dial, before jitter
	MaxRetryWait     time.Duration // longest wait after a failed dial, before jitter
	MaxMessage       int           // bytes
	MaxReceived      int           // bytes of messages over 64 KiB that are being received on all links
	MaxQueue         int           // messages waiting to be written to a link
	MaxQueueBytes    int           // bytes waiting to be written to a link
	MaxCalls         int           // calls in progress on a link
	MaxServing       int           // calls of one peer being served
	MaxLinks         int           // accepted links

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

// WithResolve sets the function that returns the address of an instance.
func WithResolve(f func(name string) (netip.AddrPort, bool)) Option {
	return func(o *Options) { o.Resolve = f }
}

// WithMux sets the methods that other instances can call.
func WithMux(m *Mux) Option {
	return func(o *Options) { o.Mux = m }
}

// WithLogger sets the logger.
func WithLogger(l *slog.Logger) Option {
	return func(o *Options) { o.Logger = l }
}

// WithKeys enables mutual TLS.
func WithKeys(k *Keys) Option {
	return func(o *Options) { o.Keys = k }
}

// WithPrivateNetwork allows links without TLS, for a network that only instances can reach.
func WithPrivateNetwork() Option {
	return func(o *Options) { o.Private = true }
}

// WithScope sets the scope of the metrics of messages and bytes.
func WithScope(s tally.Scope) Option {
	return func(o *Options) { o.Scope = s }
}

// WithWideArea sets the function that reports whether an instance is in another data centre.
func WithWideArea(f func(name string) bool) Option {
	return func(o *Options) { o.WideArea = f }
}

// WithHeartbeat sets the time without a byte before an idle and a busy link are probed, and the timeout of a probe.
func WithHeartbeat(idle, busy, silence time.Duration) Option {
	return func(o *Options) { o.IdlePing, o.BusyPing, o.ProbeTimeout = idle, busy, silence }
}

// WithRetry sets the wait after the first failed dial and the longest wait.
func WithRetry(first, last time.Duration) Option {
	return func(o *Options) { o.MinRetryWait, o.MaxRetryWait = first, last }
}

// WithMaxMessage sets the size limit of a message in bytes.
func WithMaxMessage(n int) Option {
	return func(o *Options) { o.MaxMessage = n }
}

// WithLimits sets the maximum numbers of queued messages, calls in progress and calls being served for each link.
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

// WithMaxLinks bounds the number of accepted links, if n is below the default.
func WithMaxLinks(n int) Option {
	return func(o *Options) { o.MaxLinks = min(o.MaxLinks, n) }
}

// WithNow replaces the clock.
func WithNow(f func() time.Time) Option {
	return func(o *Options) { o.Now = f }
}

func newOptions(opts []Option) Options {
	o := Options{
		Listen:           netip.MustParseAddrPort("127.0.0.1:0"),
		Resolve:          func(string) (netip.AddrPort, bool) { return netip.AddrPort{}, false },
		Mux:              NewMux(),
		Logger:           slog.Default(),
		Scope:            tally.NoopScope,
		WideArea:         func(string) bool { return false },
		IdlePing:         defaultIdlePing,
		BusyPing:         defaultBusyPing,
		ProbeTimeout:     defaultProbeTimeout,
		HandshakeTimeout: defaultHandshakeTimeout,
		CallTimeout:      defaultCallTimeout,
		IdleTimeout:      defaultIdleTimeout,
		MinRetryWait:     defaultMinRetryWait,
		MaxRetryWait:     defaultMaxRetryWait,
		MaxMessage:       defaultMaxMessage,
		MaxReceived:      defaultMaxReceived,
		MaxQueue:         defaultMaxQueue,
		MaxQueueBytes:    defaultMaxQueueBytes,
		MaxCalls:         defaultMaxCalls,
		MaxServing:       defaultMaxServing,
		MaxLinks:         defaultMaxLinks,
		Dial:             dialTCP,
		ListenTCP:        listenTCP,
		Now:              time.Now,
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
