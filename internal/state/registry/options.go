package registry

import "time"

// Rules are the safety rules; all are enabled by default, and only mutation tests disable one.
type Rules struct {
	RememberResults  bool // a resent command gets the first result
	ExpectedRevision bool // of concurrent changes only one is applied
	KeepWithdrawn    bool // a withdrawn key never becomes valid again
	HoldDecreases    bool // an unconfirmed decrease still counts with the old share
	ForwardOnly      bool // Install never lowers the revision
}

// Options are the settings of a Registry.
type Options struct {
	Retention  time.Duration // how long results are kept, measured by the times of commands
	MaxResults int           // results kept; beyond it the oldest is dropped
	MaxHistory int           // changed objects kept for deltas
	Rules      Rules
}

// Option sets one of the Options.
type Option func(*Options)

const (
	// defaultRetention lets an operator resend a command on the next day.
	defaultRetention = 24 * time.Hour
	// defaultMaxResults holds over six days of the 16,000 changes a day of the target size.
	defaultMaxResults = 100_000
	// defaultMaxHistory holds two days of changes at the target size.
	defaultMaxHistory = 32_000
)

func defaults() Options {
	return Options{
		Retention: defaultRetention, MaxResults: defaultMaxResults, MaxHistory: defaultMaxHistory,
		Rules: Rules{
			RememberResults: true, ExpectedRevision: true, KeepWithdrawn: true, HoldDecreases: true, ForwardOnly: true,
		},
	}
}

// WithRetention sets how long results are kept.
func WithRetention(d time.Duration) Option {
	return func(o *Options) { o.Retention = d }
}

// WithMaxResults sets how many results are kept.
func WithMaxResults(n int) Option {
	return func(o *Options) { o.MaxResults = n }
}

// WithMaxHistory sets how many changed objects are kept for deltas.
func WithMaxHistory(n int) Option {
	return func(o *Options) { o.MaxHistory = n }
}

// WithRules changes the safety rules for a mutation test.
func WithRules(change func(*Rules)) Option {
	return func(o *Options) { change(&o.Rules) }
}
