package burn

import "lycheevale/internal/state/registry"

const (
	// maxSeries bounds a recorder to about 29 MB: a series with all its buckets and refusals in them takes 28 KB.
	maxSeries = 1024
	// minutesKept and hoursKept cover the shorter and the longer two windows.
	minutesKept = 60
	hoursKept   = 72
	// Other is the customer under whose name those beyond the bound are counted.
	Other = "(other)"
)

// Options are the settings of a Recorder.
type Options struct {
	Objective func(service string) registry.Objective
	MaxSeries int // pairs of customer and service
}

// Option sets one of the Options.
type Option func(*Options)

// WithObjective sets the lookup of a service's objective; its first-token time decides which requests are slow.
func WithObjective(f func(service string) registry.Objective) Option {
	return func(o *Options) { o.Objective = f }
}

// WithMaxSeries bounds the pairs of customer and service that are counted separately.
func WithMaxSeries(n int) Option {
	return func(o *Options) { o.MaxSeries = n }
}
