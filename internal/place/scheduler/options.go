package scheduler

import "time"

// Rule is a scheduling rule that tests can switch off to prove that their checks detect its violation.
type Rule int

// Rules that guarantee properties of the schedule.
const (
	ProtectInUse       Rule = iota // no eviction of an adapter in use
	ProtectWaiting                 // no eviction of an adapter with accepted work
	ExactVersion                   // versions are distinct
	FairShares                     // start-time fair queueing between customers
	LimitFailures                  // backoff after failed loads, and refusal after MaxFailures
	CheckIncarnation               // observations of an earlier incarnation are ignored
	BudgetLoads                    // loads wait for permits
	RefuseEarly                    // requests that cannot meet their deadline are refused on arrival
	ProtectNewArrivals             // a slot is freed for a customer that cannot evict from any slot
	ruleCount
)

// Options are the settings of a Scheduler. docs/placement.md gives the measurements behind the defaults.
type Options struct {
	LoadTime     time.Duration // time of one load at full speed
	LoadInterval time.Duration // mean time between permits for this owner, used to estimate waits for loads
	MaxLoads     int           // loads in transit at once

	// Permit requests a permit for one load from the data centre's weight store budget. If it is refused, retryAt is the
	// time of the next request.
	Permit func(now time.Time, l LoadOrder) (ok bool, retryAt time.Time)
	// Weight returns a customer's share in fair queueing.
	Weight func(customer string) float64

	HalfLife        time.Duration // half-life of the count of conversations, which measures popularity
	TurnGap         time.Duration // mean time between the requests of a conversation
	ConversationGap time.Duration // a use after a longer pause starts a new conversation
	MaxConversation time.Duration // after which uses without a pause count as a new conversation
	OpenShare       float64       // share of requests that are followed by another of the same conversation
	ReplicaValue    float64       // factor on an adapter's value for eviction if it has several copies
	ForeignValue    float64       // factor on the value of others' slots for a customer that holds more than its share
	CreditTokens    float64       // tokens of its lag behind the others that a customer may catch up
	WorkBonus       time.Duration // each waiting request moves a load forward by this time
	PrefetchGain    float64       // minimum ratio of a prefetched adapter's value to its victim's
	CopyGap         float64       // difference in batch fill up to which a cached prefix decides the endpoint
	PrefixLimit     int           // prefixes kept for each endpoint
	MaxFailures     int           // failed loads of an adapter in a row before its requests are refused
	FailureDelay    time.Duration // delay after the first failed load, doubled with each further one
	QuarantineFor   time.Duration // time for which requests are refused after MaxFailures

	disabled [ruleCount]bool
}

// Option sets one of the Options.
type Option func(*Options)

// Defaults returns the settings that New starts from.
func Defaults() Options {
	return Options{
		LoadTime:        250 * time.Millisecond,
		LoadInterval:    250 * time.Millisecond,
		MaxLoads:        8,
		Permit:          func(time.Time, LoadOrder) (bool, time.Time) { return true, time.Time{} },
		Weight:          func(string) float64 { return 1 },
		HalfLife:        15 * time.Minute,
		TurnGap:         12 * time.Second,
		ConversationGap: 20 * time.Second,
		MaxConversation: time.Minute,
		OpenShare:       0.75,
		ReplicaValue:    0.25,
		ForeignValue:    4,
		CreditTokens:    4000,
		WorkBonus:       500 * time.Millisecond,
		PrefetchGain:    4,
		CopyGap:         0.25,
		PrefixLimit:     1024,
		MaxFailures:     3,
		FailureDelay:    100 * time.Millisecond,
		QuarantineFor:   5 * time.Second,
	}
}

// WithOptions replaces all settings.
func WithOptions(all Options) Option {
	return func(o *Options) { *o = all }
}

// WithLoadTime sets the time of one load at full speed.
func WithLoadTime(d time.Duration) Option {
	return func(o *Options) { o.LoadTime = d }
}

// WithMaxLoads sets how many loads may be in transit at once.
func WithMaxLoads(n int) Option {
	return func(o *Options) { o.MaxLoads = n }
}

// WithPermit sets the callback that asks the weight store budget.
func WithPermit(f func(now time.Time, l LoadOrder) (bool, time.Time)) Option {
	return func(o *Options) { o.Permit = f }
}

// WithWeight sets the share of each customer in fair queueing.
func WithWeight(f func(customer string) float64) Option {
	return func(o *Options) { o.Weight = f }
}

// WithoutRule disables a rule; for tests only.
func WithoutRule(r Rule) Option {
	return func(o *Options) { o.disabled[r] = true }
}
