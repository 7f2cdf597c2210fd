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
	// Sources returns the instances to subscribe to, the preferred one first: for a relay the voters, for others the
	// relay and then any peers of the data centre. A voter has none, because its log feeds it.
	Sources func() []string
	// Age returns how long ago a voter knew that its log is current; only voters set it.
	Age func() time.Duration
	// Installed is called after a delta was installed, in the order of revisions. Of a snapshot that was fetched in
	// parts, it gets only the objects that withdraw keys.
	Installed func(registry.Delta)
	Logger    *slog.Logger
	Interval  time.Duration // between two heartbeats
	Lease     time.Duration // life of a subscription that is neither renewed nor answers heartbeats
	Forget    time.Duration // how long a lost instance is reported
	Timeout   time.Duration // of one call
	MaxAge    time.Duration // a source with older knowledge is not kept while there are others
	Fanout    int           // subscribers of one data centre that an instance feeds itself; further ones are fed by these
	Now       func() time.Time
}

// Option sets one of the Options.
type Option func(*Options)

const (
	// defaultInterval is half of the 2 s after which strict key checks refuse; the other half is for the stages.
	defaultInterval = time.Second
	defaultLease    = 5 * time.Second
	// defaultForget is when a lost instance is taken as stopped; membership knows the same within seconds.
	defaultForget  = time.Minute
	defaultTimeout = 2 * time.Second
	// defaultMaxAge is half of the 10 s in which a change has to be in force everywhere.
	defaultMaxAge = 5 * time.Second
	// defaultFanout lets two stages feed 110 instances, more than the 92 of a data centre at the target size.
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
		Interval:  defaultInterval, Lease: defaultLease, Forget: defaultForget, Timeout: defaultTimeout,
		MaxAge: defaultMaxAge, Fanout: defaultFanout, Now: time.Now,
	}
}

// WithName sets the names of this instance and of its data centre.
func WithName(instance, dataCentre string) Option {
	return func(o *Options) { o.Name, o.DataCentre = instance, dataCentre }
}

// WithRegistry sets the configuration that is fed.
func WithRegistry(r *registry.Registry) Option {
	return func(o *Options) { o.Registry = r }
}

// WithCaller sets how peers are called.
func WithCaller(c peer.Caller) Option {
	return func(o *Options) { o.Call = c }
}

// WithSources sets the function that returns the instances to subscribe to.
func WithSources(f func() []string) Option {
	return func(o *Options) { o.Sources = f }
}

// WithAge makes the node a voter's; f returns how long ago the voter knew that its log is current.
func WithAge(f func() time.Duration) Option {
	return func(o *Options) { o.Age = f }
}

// WithInstalled sets the function that is called after each installed delta.
func WithInstalled(f func(registry.Delta)) Option {
	return func(o *Options) { o.Installed = f }
}

// WithFanout sets how many subscribers of one data centre an instance feeds itself.
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
