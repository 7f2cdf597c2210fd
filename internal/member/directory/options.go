package directory

import "time"

// Defaults of the options.
const (
	// defaultLifetime covers several lost announcements at an interval of 3 s.
	defaultLifetime = 10 * time.Second
	// defaultGrace is the "few seconds" of promise P10, in which a leaving endpoint may still get work, less
	// the time to distribute a view.
	defaultGrace = 2 * time.Second
	// defaultRetention outlives messages that are delayed in a queue or a socket buffer.
	defaultRetention = 2 * time.Minute
	// defaultMaxEndpoints is the number of endpoints of the design's target size, all in one data centre.
	defaultMaxEndpoints = 12000
	// defaultMaxInstances is the number of nodes of the design's target size, all in one data centre.
	defaultMaxInstances = 1100
)

// Options are the settings of a Directory.
type Options struct {
	DataCentre       string        // announcements of other data centres are refused; empty accepts all
	EndpointLifetime time.Duration // from an announcement to the deadline of the entry
	InstanceLifetime time.Duration // from a heartbeat to the deadline of the entry
	Grace            time.Duration // from the announcement that an endpoint is leaving to its last new work
	Retention        time.Duration // for which the incarnation of a removed entry is remembered
	MaxEndpoints     int           // limit on endpoints, and separately on remembered removed endpoints
	MaxInstances     int           // limit on instances, and separately on remembered removed instances

	// Rules that tests disable to verify that their checks detect the violation.
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
	return func(o *Options) { o.Retention = d }
}

// WithLimits sets the largest numbers of endpoints and of instances.
func WithLimits(endpoints, instances int) Option {
	return func(o *Options) { o.MaxEndpoints, o.MaxInstances = endpoints, instances }
}

// WithIgnoreOlder replaces the rule that decides whether an announced incarnation is outdated.
func WithIgnoreOlder(f func(known, announced uint64) bool) Option {
	return func(o *Options) { o.IgnoreOlder = f }
}

// WithLeavingIsFinal replaces the rule that a leaving incarnation never serves again.
func WithLeavingIsFinal(f func() bool) Option {
	return func(o *Options) { o.LeavingIsFinal = f }
}

func defaultOptions() Options {
	return Options{
		EndpointLifetime: defaultLifetime,
		InstanceLifetime: defaultLifetime,
		Grace:            defaultGrace,
		Retention:        defaultRetention,
		MaxEndpoints:     defaultMaxEndpoints,
		MaxInstances:     defaultMaxInstances,
		IgnoreOlder:      func(known, announced uint64) bool { return announced < known },
		LeavingIsFinal:   func() bool { return true },
	}
}
