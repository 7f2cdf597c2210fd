package assign

import "time"

// Defaults of the options.
const (
	defaultLength  = 10 * time.Second
	defaultMargin  = 500 * time.Millisecond
	defaultDrift   = 0.001
	defaultCommand = 5 * time.Second
	// defaultMoves bounds the endpoints that are drained for balance at the same time.
	defaultMoves = 4
)

// Options are the settings of a Table and of a Holder; all instances of a data centre need equal
// values of Length, Margin, Drift and Command.
type Options struct {
	Length  time.Duration // of an owner's lease on its endpoints
	Margin  time.Duration // by which an owner stops early and the table waits longer
	Drift   float64       // bound on the rate error of a monotonic clock
	Command time.Duration // longest command to an endpoint that ignores fencing numbers
	Moves   int           // endpoints drained for balance at the same time
	Group   int           // endpoints that an owner gets before another instance becomes one
	Suspect func(now time.Time, instance string) bool

	// Rules that tests disable to prove that their checks detect the violation.
	AwaitDeadline func() bool // wait for the deadline of the previous owner
	AwaitCommand  func() bool // wait for the longest command of the previous owner
	Learn         func() bool // a new coordinator learns before it assigns
	RaiseFence    func() bool // each assignment has a higher fencing number
	StopEarly     func() bool // an owner stops at its own deadline
	KeepFromLeave func() bool // a leaving endpoint is not assigned
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

// WithMaxCommand sets the longest time of a command to an endpoint that ignores fencing numbers.
func WithMaxCommand(d time.Duration) Option {
	return func(o *Options) { o.Command = d }
}

// WithMoves sets how many endpoints are drained for balance at the same time.
func WithMoves(n int) Option {
	return func(o *Options) { o.Moves = n }
}

// WithSuspect sets the function that keeps new endpoints from instances that seem to have failed.
func WithSuspect(f func(now time.Time, instance string) bool) Option {
	return func(o *Options) { o.Suspect = f }
}

func on() bool { return true }

func build(opts []Option) Options {
	o := Options{
		Length:  defaultLength,
		Margin:  defaultMargin,
		Drift:   defaultDrift,
		Command: defaultCommand,
		Moves:   defaultMoves, Group: 1,
		Suspect:       func(time.Time, string) bool { return false },
		AwaitDeadline: on,
		AwaitCommand:  on,
		Learn:         on,
		RaiseFence:    on,
		StopEarly:     on,
		KeepFromLeave: on,
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}

// hold returns how long an owner acts after it sent a renewal, by its own clock.
func (o Options) hold() time.Duration {
	return time.Duration(float64(o.Length)*(1-2*o.Drift)) - o.Margin
}

// wait returns how long the table waits after it received a renewal, by its own clock.
func (o Options) wait() time.Duration {
	return time.Duration(float64(o.Length)*(1+2*o.Drift)) + o.Margin
}

// WithEndpointsPerOwner sets how many endpoints an owner gets before another instance becomes one.
func WithEndpointsPerOwner(endpoints int) Option {
	return func(o *Options) { o.Group = endpoints }
}
