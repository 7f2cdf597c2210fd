package scheduler

import "time"

// Options are the settings of a Scheduler.
type Options struct {
	LoadTime time.Duration // time of one load at full speed
	MaxLoads int           // loads in transit at once
}

// Option sets one of the Options.
type Option func(*Options)

// WithLoadTime sets the time of one load at full speed.
func WithLoadTime(d time.Duration) Option {
	return func(o *Options) { o.LoadTime = d }
}

// WithMaxLoads sets how many loads may be in transit at once.
func WithMaxLoads(n int) Option {
	return func(o *Options) { o.MaxLoads = n }
}
