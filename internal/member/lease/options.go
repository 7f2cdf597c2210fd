package lease

import "time"

// Defaults of the options.
const (
	defaultLength         = 3 * time.Second
	defaultMargin         = 200 * time.Millisecond
	defaultAttemptTimeout = 700 * time.Millisecond
	// defaultDrift is the largest rate error of a monotonic clock. Quartz oscillators stay within 100 parts
	// per million; time synchronisation slews by at most 500.
	defaultDrift = 0.001
	// defaultReserve is how many fencing numbers a holder reserves ahead of their use.
	defaultReserve = 1 << 16
	// renewalsPerLease is the number of attempts to renew within one lease.
	renewalsPerLease = 3
	// backoffShare is the longest random wait after a failed attempt, as a share of the lease length.
	backoffShare = 0.5
)

// Options are the settings of an Acceptor and of a Proposer; all keepers of a data centre need equal
// values of Length, Margin and Drift.
type Options struct {
	Length         time.Duration // of one lease, measured by each acceptor
	Margin         time.Duration // by which the holder stops early and a restarted keeper stays silent longer
	Drift          float64       // bound on the rate error of a monotonic clock; 0.001 is 1 ms per second
	AttemptTimeout time.Duration // for the answers to one message
	Reserve        uint64        // fencing numbers reserved ahead
	Random         func() float64

	// Rules that tests disable to verify that their checks detect the violation.
	Exclusive  func() bool // an acceptor grants to one holder at a time
	Silence    func() bool // a restarted keeper does not answer until its earlier grants have ended
	StopEarly  func() bool // the holder stops at its own deadline
	LearnFence func() bool // a holder starts above the fencing numbers that a majority knows
}

// Option sets one of the Options.
type Option func(*Options)

// WithLength sets the length of one lease.
func WithLength(d time.Duration) Option {
	return func(o *Options) { o.Length = d }
}

// WithMargin sets the time by which the holder stops early.
func WithMargin(d time.Duration) Option {
	return func(o *Options) { o.Margin = d }
}

// WithDrift sets the bound on the rate error of a monotonic clock.
func WithDrift(share float64) Option {
	return func(o *Options) { o.Drift = share }
}

// WithAttemptTimeout sets how long a proposer waits for the answers to one message.
func WithAttemptTimeout(d time.Duration) Option {
	return func(o *Options) { o.AttemptTimeout = d }
}

// WithReserve sets how many fencing numbers are reserved ahead.
func WithReserve(n uint64) Option {
	return func(o *Options) { o.Reserve = n }
}

// WithRandom sets the source of jitter, a number from 0 to below 1.
func WithRandom(f func() float64) Option {
	return func(o *Options) { o.Random = f }
}

func enabled() bool { return true }

func newOptions(opts []Option) Options {
	o := Options{
		Length:         defaultLength,
		Margin:         defaultMargin,
		Drift:          defaultDrift,
		AttemptTimeout: defaultAttemptTimeout,
		Reserve:        defaultReserve,
		Random:         random,
		Exclusive:      enabled,
		Silence:        enabled,
		StopEarly:      enabled,
		LearnFence:     enabled,
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}

// holdTime returns how long a holder may act, by its own clock. If the clock of the holder is slow by Drift
// and that of an acceptor is fast by Drift, a lease of Length ends after Length*(1-2*Drift).
func (o Options) holdTime() time.Duration {
	return time.Duration(float64(o.Length)*(1-2*o.Drift)) - o.Margin
}

// silenceTime returns how long a restarted keeper neither answers nor proposes, by its own clock.
func (o Options) silenceTime() time.Duration {
	return time.Duration(float64(o.Length)*(1+2*o.Drift)) + o.Margin
}
