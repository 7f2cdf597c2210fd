package assign

import "time"

// Defaults of the options.
const (
	defaultLength     = 10 * time.Second
	defaultMargin     = 500 * time.Millisecond
	defaultDrift      = 0.001
	defaultMaxCommand = 5 * time.Second
	// defaultMaxMoves bounds the endpoints that are drained for balance at the same time.
	defaultMaxMoves = 4
)

// Options are the settings of a Table and of a Holder; all instances of a data centre need equal
// values of Length, Margin, Drift and Command.
type Options struct {
	Length            time.Duration                             // of an owner's lease on its endpoints
	Margin            time.Duration                             // by which an owner stops early and the table waits longer
	Drift             float64                                   // bound on the rate error of a monotonic clock
	MaxCommand        time.Duration                             // longest command to an endpoint that ignores fencing numbers
	MaxMoves          int                                       // endpoints drained for balance at the same time
	EndpointsPerOwner int                                       // endpoints that an owner gets before another instance becomes one
	Suspect           func(now time.Time, instance string) bool // reports whether an instance seems to have failed

	// Rules that tests disable to verify that their checks detect the violation.
	AwaitDeadline func() bool // the table waits for the deadline of the previous owner
	AwaitCommand  func() bool // the table waits for the longest command of the previous owner
	Learn         func() bool // a new coordinator waits for the renewals of existing owners before it assigns
	RaiseFence    func() bool // each assignment gets a higher fencing number
	StopEarly     func() bool // an owner stops at its own deadline
	SkipLeaving   func() bool // a leaving endpoint is not assigned
}

// Option sets one of the Options.
type Option func(*Options)

// WithLength sets the length of an owner's lease.
func WithLength(d time.Duration) Option {
	return func(o *Options) { o.Length = d }
}

// WithMargin sets the time by which an owner stops early and the table waits longer.
func WithMargin(d time.Duration) Option {
	return func(o *Options) { o.Margin = d }
}

// WithDrift sets the bound on the rate error of a monotonic clock.
func WithDrift(share float64) Option {
	return func(o *Options) { o.Drift = share }
}

// WithMaxCommand sets the duration of the longest command to an endpoint that ignores fencing numbers.
func WithMaxCommand(d time.Duration) Option {
	return func(o *Options) { o.MaxCommand = d }
}

// WithMaxMoves sets how many endpoints are drained for balance at the same time.
func WithMaxMoves(n int) Option {
	return func(o *Options) { o.MaxMoves = n }
}

// WithSuspect sets the function that reports whether an instance seems to have failed. Such an
// instance gets no further endpoints.
func WithSuspect(f func(now time.Time, instance string) bool) Option {
	return func(o *Options) { o.Suspect = f }
}

func enabled() bool { return true }

func newOptions(opts []Option) Options {
	o := Options{
		Length:     defaultLength,
		Margin:     defaultMargin,
		Drift:      defaultDrift,
		MaxCommand: defaultMaxCommand,
		MaxMoves:   defaultMaxMoves, EndpointsPerOwner: 1,
		Suspect:       func(time.Time, string) bool { return false },
		AwaitDeadline: enabled,
		AwaitCommand:  enabled,
		Learn:         enabled,
		RaiseFence:    enabled,
		StopEarly:     enabled,
		SkipLeaving:   enabled,
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}

// holdTime returns how long an owner acts after it sent a renewal, by its own clock.
func (o Options) holdTime() time.Duration {
	return time.Duration(float64(o.Length)*(1-2*o.Drift)) - o.Margin
}

// waitTime returns how long the table waits after it received a renewal, by its own clock.
func (o Options) waitTime() time.Duration {
	return time.Duration(float64(o.Length)*(1+2*o.Drift)) + o.Margin
}

// WithEndpointsPerOwner sets how many endpoints an owner gets before another instance becomes one.
func WithEndpointsPerOwner(endpoints int) Option {
	return func(o *Options) { o.EndpointsPerOwner = endpoints }
}
