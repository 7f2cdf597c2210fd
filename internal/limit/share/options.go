package share

import "time"

const (
	// decayTime is the time constant of falling demand, so that a pause of a fraction of a second does not move shares.
	decayTime = 1500 * time.Millisecond
	// reportSilence is six report intervals of 500 ms.
	reportSilence = 3 * time.Second
	// planPause is the time between decreases of one customer. Each must take effect before the next is planned, or shares
	// would oscillate.
	planPause = time.Second
	// backlogTime is the time in which waiting tokens should be served; it converts them into a rate.
	backlogTime = 2 * time.Second
	// minShare is the fraction of an even share that stays at each data centre, so that the first request there need not wait until a share is moved.
	minShare = 0.1
	// minMove is the smallest move, as a fraction of an even share. It is above the noise of a demand measured over one second.
	minMove = 0.3
	// minMoveWhileWaiting replaces minMove while requests wait.
	minMoveWhileWaiting = 0.1
	// longWait is the expected wait at the current share above which the share is changed immediately.
	longWait = 250 * time.Millisecond
	// highDemandFraction is the fraction of a share above which demand needs a larger one.
	highDemandFraction = 0.8
	// headroom covers the noise of a demand report of one second.
	headroom = 1.3
	// minRate is the rate in tokens per second below which a demand is removed.
	minRate = 1e-3
)

// Options are the settings of an Allocator.
type Options struct {
	Minimum            float64       // fraction of an even share that each data centre keeps, 0 to 1
	Move               float64       // smallest move, as a fraction of an even share, while no request waits
	Decay              time.Duration // time constant of falling demand
	Silence            time.Duration // age of the last report after which a data centre counts as cut off
	Pause              time.Duration // between decreases of one customer
	Backlog            time.Duration // time in which waiting tokens should be served
	Headroom           float64       // factor on the latest demand of a data centre while requests wait at another
	HighDemandFraction float64       // fraction of a data centre's share above which its demand needs a larger one

	anyTerm       bool // mutation for tests: passes freed tokens on to a later coordinator
	earlyIncrease bool // mutation for tests: assigns what an unconfirmed decrease will free
}

// Option sets one of the Options.
type Option func(*Options)

func defaultOptions() Options {
	return Options{
		Minimum: minShare, Move: minMove, Decay: decayTime, Silence: reportSilence, Pause: planPause,
		Backlog: backlogTime, Headroom: headroom, HighDemandFraction: highDemandFraction,
	}
}

// WithMinimum sets the fraction of an even share that each data centre keeps.
func WithMinimum(part float64) Option {
	return func(o *Options) { o.Minimum = part }
}

// WithSilence sets the time without a report after which a data centre counts as cut off.
func WithSilence(d time.Duration) Option {
	return func(o *Options) { o.Silence = d }
}

// WithEarlyIncrease disables the wait for confirmation, so that a test can show that its check detects the fault.
func WithEarlyIncrease() Option {
	return func(o *Options) { o.earlyIncrease = true }
}

// WithAnyTerm passes freed tokens on to later coordinators too, so that a test can show that its check detects the fault.
func WithAnyTerm() Option {
	return func(o *Options) { o.anyTerm = true }
}
