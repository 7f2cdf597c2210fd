package share

import "time"

const (
	// decayTime averages demand that falls, so that a pause of a fraction of a second moves nothing.
	decayTime = 1500 * time.Millisecond
	// reportSilence is six reports at 500 ms.
	reportSilence = 3 * time.Second
	// planPause lets a decrease show its effect before the next one, so that plans do not chase each other.
	planPause = time.Second
	// backlogTime turns waiting tokens into a rate that would clear them in this time.
	backlogTime = 2 * time.Second
	// leastShare of an even share stays at each data centre, so that a first request there need not wait for a move.
	leastShare = 0.1
	// leastMove as part of an even share: the noise of a demand of one second moves nothing.
	leastMove = 0.3
	// shortMove replaces leastMove while requests wait.
	shortMove = 0.1
	// shortWait at the present share is a wait that moves a share at once.
	shortWait = 250 * time.Millisecond
	// needyPart of a share in use calls for more.
	needyPart = 0.8
	// headroom covers the noise of a demand report of one second.
	headroom = 1.3
	// leastRate in tokens per second below which a demand is forgotten.
	leastRate = 1e-3
)

// Options are the settings of an Allocator.
type Options struct {
	Minimum  float64       // part of an even share that each data centre keeps, 0 to 1
	Move     float64       // part of an even share below which nothing moves while no request waits
	Decay    time.Duration // time constant of falling demand
	Silence  time.Duration // age of the last report after which a data centre counts as cut off
	Pause    time.Duration // between decreases of one customer
	Backlog  time.Duration // in which waiting tokens should be served
	Headroom float64       // factor on the latest demand of a data centre while requests wait at another
	Needy    float64       // part of its share above which demand calls for more

	anyTerm       bool // mutation for tests: passes tokens on to a later coordinator
	earlyIncrease bool // mutation for tests: gives away what an unconfirmed decrease will free
}

// Option sets one of the Options.
type Option func(*Options)

func defaultOptions() Options {
	return Options{
		Minimum: leastShare, Move: leastMove, Decay: decayTime, Silence: reportSilence, Pause: planPause,
		Backlog: backlogTime, Headroom: headroom, Needy: needyPart,
	}
}

// WithMinimum sets the part of an even share that each data centre keeps.
func WithMinimum(part float64) Option {
	return func(o *Options) { o.Minimum = part }
}

// WithSilence sets after which time without a report a data centre counts as cut off.
func WithSilence(d time.Duration) Option {
	return func(o *Options) { o.Silence = d }
}

// WithEarlyIncrease switches off the wait for confirmation, so that a test can show that its check detects this.
func WithEarlyIncrease() Option {
	return func(o *Options) { o.earlyIncrease = true }
}

// WithAnyTerm passes freed tokens on to later coordinators too, so that a test can show that its check detects this.
func WithAnyTerm() Option {
	return func(o *Options) { o.anyTerm = true }
}
