package budget

import "time"

const (
	// StoreTransfers is the number of concurrent loads, over all endpoints, that the store serves at full speed. With more,
	// each load slows down proportionally.
	StoreTransfers = 8
	// StoreRate is the rate, in loads per second, of the smaller of the two reference weight stores.
	StoreRate = 3.0
	// LoadTime is the time of one load at full speed.
	LoadTime = 250 * time.Millisecond
	// permitLife covers a store that is eight times slower than usual. An owner aborts or extends its load before it ends.
	permitLife = 8 * LoadTime
	// permitMargin covers the rate difference of two monotonic clocks.
	permitMargin = 50 * time.Millisecond
	// longestWait is the age from which a load is granted first regardless of its waiting work, to prevent starvation.
	longestWait = 5 * time.Second
	// refillPart is the fraction of permits for refills while normal loads wait too.
	refillPart = 0.5
	// releasedRetention is how long released loads are kept, to ignore late resends.
	releasedRetention = 30 * time.Second
	// grantRetention is how long an owner's last grant is kept. An owner without a grant for longer is served first anyway.
	grantRetention = 30 * time.Second
	// maxQueue bounds the waiting loads of a data centre.
	maxQueue = 65536
)

// Options are the settings of a Budget.
type Options struct {
	Life       time.Duration // of a permit
	Margin     time.Duration // added by the coordinator
	RefillPart float64       // fraction of permits for refills while normal loads wait
	MaxWait    time.Duration // after which a load is granted first

	// Each mutation disables one rule; only tests set them.
	grantAtStart     bool // grants before the predecessor's permits have expired
	refillFirst      bool // refills always go first
	forgetReleased   bool // a late resend of a released load is granted again
	mostWorkFirst    bool // the owner with the most work always goes first
	releaseOnRestart bool // permits of a restarted owner are free at once
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

// WithMaxWait sets the age from which a load is granted first regardless of its waiting work.
func WithMaxWait(d time.Duration) Option {
	return func(o *Options) { o.MaxWait = d }
}
