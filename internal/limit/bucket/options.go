package bucket

// defaultGrants bounds the history to about 1.5 KB for each bucket.
const defaultGrants = 64

// Options are the settings of a Bucket.
type Options struct {
	Level  float64 // tokens at the start
	Grants int     // largest number of segments in the history
	Naive  bool    // credits up to the burst at settlement; only tests of the invariant set it
}

// Option sets one of the Options.
type Option func(*Options)

// WithLevel sets the tokens at the start; the default is a full bucket.
func WithLevel(tokens float64) Option {
	return func(o *Options) { o.Level = tokens }
}

// WithGrants sets how many open grants are tracked separately; beyond it, adjacent grants share the smaller headroom.
func WithGrants(n int) Option {
	return func(o *Options) { o.Grants = max(1, n) }
}

// WithNaiveCredit disables the headroom rule of Credit, so that a test can show that its check detects the fault.
func WithNaiveCredit() Option {
	return func(o *Options) { o.Naive = true }
}
