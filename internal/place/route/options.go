package route

import "time"

// Options are the settings of a Router. docs/placement.md gives the measurements behind the defaults.
type Options struct {
	DataCentre   string        // the entry's own
	Entries      int           // number of entries of the data centre, which share its callers evenly
	LoadCost     time.Duration // delay that costs as much as one load
	Latency      time.Duration // one way between data centres
	PricePerByte time.Duration // delay that costs as much as sending one byte over a slow link
	HalfLife     time.Duration // half-life of the usage count of an adapter
	FillTarget   float64       // share of an endpoint's places that one adapter may take before it gets a replica
	Hysteresis   float64       // factor by which an adapter's rate must exceed the threshold to change its home
	MaxLoadAge   time.Duration // age up to which the load in an answer is used
}

// Option sets one of the Options.
type Option func(*Options)

// Defaults returns the settings that New starts from.
func Defaults() Options {
	return Options{
		Entries:      1,
		LoadCost:     20 * time.Second,
		Latency:      30 * time.Millisecond,
		PricePerByte: time.Microsecond,
		HalfLife:     10 * time.Minute,
		FillTarget:   0.5,
		Hysteresis:   1.5,
		MaxLoadAge:   5 * time.Second,
	}
}

// WithOptions replaces all settings.
func WithOptions(all Options) Option {
	return func(o *Options) { *o = all }
}

// WithDataCentre sets the entry's own data centre.
func WithDataCentre(name string) Option {
	return func(o *Options) { o.DataCentre = name }
}
