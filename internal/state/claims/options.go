package claims

import "time"

// Rules are the protective rules; all are on by default, and only mutation tests switch one off.
type Rules struct {
	OneAttempt bool // an identifier is granted to one attempt only
	ReleaseOwn bool // only the attempt that holds the claim releases it
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
	// defaultRetention covers a caller that asks again on the next day.
	defaultRetention = 24 * time.Hour
	// defaultMaxClaims bounds the table to about 1 GiB with the largest responses at one in a hundred claims.
	defaultMaxClaims = 1_000_000
	// defaultMaxResponse holds an order confirmation; a longer response is stored as its status only.
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

// WithRules changes the protective rules for a mutation test.
func WithRules(change func(*Rules)) Option {
	return func(o *Options) { change(&o.Rules) }
}
