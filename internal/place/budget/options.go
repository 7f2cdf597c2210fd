package budget

import "time"

const (
	// StoreTransfers in transit over all endpoints are served at full speed; a load slows in proportion beyond.
	StoreTransfers = 8
	// StoreRate is the loads per second that the smaller of the two reference weight stores does.
	StoreRate = 3.0
	// LoadTime is the time of one load at full speed.
	LoadTime = 250 * time.Millisecond
	// permitLife covers a store eight times slower than usual; an owner gives up or extends by then.
	permitLife = 8 * LoadTime
	// permitMargin covers the rate difference of two monotonic clocks.
	permitMargin = 50 * time.Millisecond
	// longestWait is the age at which a load goes first whatever its waiting work, so that none starves.
	longestWait = 5 * time.Second
	// refillPart of the permits goes to refills while normal loads wait too.
	refillPart = 0.5
	// doneMemory is how long a released permit is remembered against late resends.
	doneMemory = 30 * time.Second
	// grantMemory is how long an owner's last grant counts; an owner that got none for longer goes first anyway.
	grantMemory = 30 * time.Second
	// maxQueue bounds the waiting loads of a data centre.
	maxQueue = 65536
)

// Options are the settings of a Budget.
type Options struct {
	Life       time.Duration // of a permit
	Margin     time.Duration // added by the coordinator
	RefillPart float64       // of permits, while normal loads wait
	MaxWait    time.Duration // after which a load goes first

	// Mutations switch off one protecting rule each; only tests set them.
	openAtOnce  bool // grants before the predecessor's permits have expired
	refillFirst bool // refills always go first
	forgetDone  bool // a late resend of a released load is granted again
	byWork      bool // the owner with the most work always goes first
	forgetLost  bool // permits of a restarted owner are free at once
}

// Option sets one of the Options.
type Option func(*Options)

// WithLife sets the life of a permit; all coordinators of a data centre use the same.
func WithLife(life, margin time.Duration) Option {
	return func(o *Options) { o.Life, o.Margin = life, margin }
}

// WithRefillPart sets the part of the permits that refills get while normal loads wait.
func WithRefillPart(part float64) Option {
	return func(o *Options) { o.RefillPart = part }
}

// WithMaxWait sets the age at which a load goes first whatever its waiting work.
func WithMaxWait(d time.Duration) Option {
	return func(o *Options) { o.MaxWait = d }
}
