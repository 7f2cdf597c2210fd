package feed

import (
	"context"
	"log/slog"
	"time"

	"github.com/zeebo/errs"

	"lycheevale/internal/state/registry"
	"lycheevale/internal/wire/peer"
)

// Options are the settings of a Node.
type Options struct {
	Name       string
	DataCentre string
	Registry   *registry.Registry
	Call       peer.Caller
	// Sources returns the instances to subscribe to, the preferred one first: the voters for a relay; the relay and then
	// peers of the data centre for other instances. A voter has none, because it reads its log.
	Sources func() []string
	// Age returns the time since this voter confirmed that its log is current; only voters set it.
	Age func() time.Duration
	// Installed is called after each installed delta, in the order of revisions. For a snapshot that was fetched in
	// parts, the delta holds only the objects that withdraw keys.
	Installed     func(registry.Delta)
	Logger        *slog.Logger
	Interval      time.Duration // between heartbeats
	Lease         time.Duration // lifetime of a subscription that is not renewed and does not answer heartbeats
	LostRetention time.Duration // how long a lost instance is reported
	Timeout       time.Duration // of one call
	MaxAge        time.Duration // a source with an older configuration is not kept if there are others
	Fanout        int           // subscribers of one data centre that an instance feeds directly; these feed the others
	Now           func() time.Time
}

// Option sets one of the Options.
type Option func(*Options)

const (
	// defaultInterval is half of the 2 s after which strict key checks refuse; the other half covers the hops between instances.
	defaultInterval = time.Second
	defaultLease    = 5 * time.Second
	// defaultLostRetention is the time after which a lost instance counts as stopped; membership detects this within seconds.
	defaultLostRetention = time.Minute
	defaultTimeout       = 2 * time.Second
	// defaultMaxAge is half of the 10 s in which a change has to be in force everywhere.
	defaultMaxAge = 5 * time.Second
	// defaultFanout lets two levels feed 110 instances, more than the 92 of a data centre at the target size.
	defaultFanout = 10
)

var errNoCaller = errs.New("no caller is set")

func defaults() Options {
	return Options{
		Registry:  registry.New(),
		Call:      func(context.Context, string, string, any, any) error { return errNoCaller },
		Sources:   func() []string { return nil },
		Installed: func(registry.Delta) {},
		Logger:    slog.Default(),
		Interval:  defaultInterval, Lease: defaultLease, LostRetention: defaultLostRetention, Timeout: defaultTimeout,
		MaxAge: defaultMaxAge, Fanout: defaultFanout, Now: time.Now,
	}
}

// WithName sets the names of this instance and of its data centre.
func WithName(instance, dataCentre string) Option {
	return func(o *Options) { o.Name, o.DataCentre = instance, dataCentre }
}

// WithRegistry sets the registry whose configuration is distributed.
func WithRegistry(r *registry.Registry) Option {
	return func(o *Options) { o.Registry = r }
}

// WithCaller sets the function that calls peers.
func WithCaller(c peer.Caller) Option {
	return func(o *Options) { o.Call = c }
}

// WithSources sets the function that returns the instances to subscribe to.
func WithSources(f func() []string) Option {
	return func(o *Options) { o.Sources = f }
}

// WithAge marks the node as a voter; f returns the time since the voter confirmed that its log is current.
func WithAge(f func() time.Duration) Option {
	return func(o *Options) { o.Age = f }
}

// WithInstalled sets the function that is called after each installed delta.
func WithInstalled(f func(registry.Delta)) Option {
	return func(o *Options) { o.Installed = f }
}

// WithFanout sets how many subscribers of one data centre an instance feeds directly.
func WithFanout(n int) Option {
	return func(o *Options) { o.Fanout = n }
}

// WithLogger sets the logger.
func WithLogger(l *slog.Logger) Option {
	return func(o *Options) { o.Logger = l }
}

// WithNow sets the clock; only differences of its results are used.
func WithNow(f func() time.Time) Option {
	return func(o *Options) { o.Now = f }
}
