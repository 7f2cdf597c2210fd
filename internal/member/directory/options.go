package directory

import "time"

// Defaults of the options.
const (
	// defaultLifetime covers several lost announcements at an interval of 3 s.
	defaultLifetime = 10 * time.Second
	// defaultGrace is the "few seconds" of promise P10, less the time that a view takes to spread.
	defaultGrace = 2 * time.Second
	// defaultMemory outlives messages that are delayed in a queue or a socket buffer.
	defaultMemory = 2 * time.Minute
	// defaultMaxEndpoints holds all 12,000 endpoints of the design's target size in one data centre.
	defaultMaxEndpoints = 12000
	// defaultMaxInstances holds all 1,100 nodes of the design's target size in one data centre.
	defaultMaxInstances = 1100
)

// Options are the settings of a Directory.
type Options struct {
	DataCentre       string        // announcements of other data centres are refused unless empty
	EndpointLifetime time.Duration // from an announcement to the deadline of the entry
	InstanceLifetime time.Duration // from a heartbeat to the deadline of the entry
	Grace            time.Duration // from the news that an endpoint leaves to its last new work
	Memory           time.Duration // for which the incarnation of a removed entry is remembered
	MaxEndpoints     int           // entries, and separately incarnations of removed entries
	MaxInstances     int           // entries, and separately incarnations of removed entries

	// Rules that tests disable to prove that their checks detect the violation.
	IgnoreOlder    func(known, announced uint64) bool
	LeavingIsFinal func() bool
}

// Option sets one of the Options.
type Option func(*Options)

// WithDataCentre sets the data centre whose announcements are accepted.
func WithDataCentre(name string) Option {
	return func(o *Options) { o.DataCentre = name }
}

// WithLifetimes sets how long entries stay without an announcement or a heartbeat.
func WithLifetimes(endpoint, instance time.Duration) Option {
	return func(o *Options) { o.EndpointLifetime, o.InstanceLifetime = endpoint, instance }
}

// WithGrace sets how long a leaving endpoint may still get new work.
func WithGrace(d time.Duration) Option {
	return func(o *Options) { o.Grace = d }
}

// WithRetention sets how long the incarnation of a removed entry is remembered.
func WithRetention(d time.Duration) Option {
	return func(o *Options) { o.Memory = d }
}

// WithLimits sets how many endpoints and instances are held at most.
func WithLimits(endpoints, instances int) Option {
	return func(o *Options) { o.MaxEndpoints, o.MaxInstances = endpoints, instances }
}

// WithIgnoreOlder replaces the rule by which an announced incarnation is ignored as outdated.
func WithIgnoreOlder(f func(known, announced uint64) bool) Option {
	return func(o *Options) { o.IgnoreOlder = f }
}

// WithLeavingIsFinal replaces the rule that an incarnation which leaves never serves again.
func WithLeavingIsFinal(f func() bool) Option {
	return func(o *Options) { o.LeavingIsFinal = f }
}

func defaults() Options {
	return Options{
		EndpointLifetime: defaultLifetime,
		InstanceLifetime: defaultLifetime,
		Grace:            defaultGrace,
		Memory:           defaultMemory,
		MaxEndpoints:     defaultMaxEndpoints,
		MaxInstances:     defaultMaxInstances,
		IgnoreOlder:      func(known, announced uint64) bool { return announced < known },
		LeavingIsFinal:   func() bool { return true },
	}
}
