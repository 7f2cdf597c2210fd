package instance

import (
	"log/slog"
	"net/netip"
	"time"

	"lycheevale/internal/state/registry"
)

// Options are the settings of an Instance.
type Options struct {
	Name       string
	DataCentre string
	Callers    netip.AddrPort // address for callers and announcements
	Logger     *slog.Logger
	Registry   *registry.Registry
	DrainWait  time.Duration // between readiness going down and the listener closing
	StopBound  time.Duration // longest graceful shutdown
}

// Option sets one of the Options.
type Option func(*Options)

// WithName sets the name of the instance and its data centre.
func WithName(name, dataCentre string) Option {
	return func(o *Options) { o.Name, o.DataCentre = name, dataCentre }
}

// WithCallers sets the address that callers connect to.
func WithCallers(a netip.AddrPort) Option {
	return func(o *Options) { o.Callers = a }
}

// WithLogger sets the logger.
func WithLogger(l *slog.Logger) Option {
	return func(o *Options) { o.Logger = l }
}

// WithRegistry sets the configuration that the instance starts with.
func WithRegistry(r *registry.Registry) Option {
	return func(o *Options) { o.Registry = r }
}
