package claims

import "time"

// Rules are the safety rules; all are on by default, and only mutation tests disable one.
type Rules struct {
	OneAttempt bool // only one attempt at a time holds the claim of an identifier
	ReleaseOwn bool // only the attempt that holds the claim may release it
}

// Options are the settings of Claims.
type Options struct {
	Retention   time.Duration // how long an identifier is remembered, in the time of commands
	MaxClaims   int           // remembered identifiers; new ones are refused beyond it
	MaxResponse int           // stored bytes of one response
	Rules       Rules
}

// Option sets one of the Options.
type Option func(*Options)

const (
	// defaultRetention covers a caller that repeats its request on the next day.
	defaultRetention = 24 * time.Hour
	// defaultMaxClaims limits the table to about 1 GiB if one claim in a hundred has a response of the largest size.
	defaultMaxClaims = 1_000_000
	// defaultMaxResponse is enough for an order confirmation; of a longer response, the body is not stored.
	defaultMaxResponse = 64 << 10
)

// WithRetention sets how long an identifier is remembered.
func WithRetention(d time.Duration) Option {
	return func(o *Options) { o.Retention = d }
}

// WithMaxClaims sets how many identifiers are remembered.
func WithMaxClaims(n int) Option {
	return func(o *Options) { o.MaxClaims = n }
}

// WithMaxResponse sets how many bytes of one response are stored.
func WithMaxResponse(n int) Option {
	return func(o *Options) { o.MaxResponse = n }
}

// WithRules changes the safety rules for a mutation test.
func WithRules(change func(*Rules)) Option {
	return func(o *Options) { change(&o.Rules) }
}
