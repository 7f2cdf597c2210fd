package peer

import (
	"log/slog"
	"net/netip"
)

// Options are the settings of a Node.
type Options struct {
	Name    string
	Listen  netip.AddrPort
	Resolve func(name string) (netip.AddrPort, bool)
	Mux     *Mux
	Logger  *slog.Logger
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
