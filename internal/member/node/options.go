package node

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"time"

	"lycheevale/internal/member/assign"
	"lycheevale/internal/member/directory"
	"lycheevale/internal/member/lease"
	"lycheevale/internal/wire/peer"
)

// Defaults of the options.
const (
	defaultInterval   = time.Second
	defaultGrace      = 2 * time.Second
	defaultMaxCommand = 5 * time.Second
	// defaultMargin covers the time between reading the clock and sending a command.
	defaultMargin = 500 * time.Millisecond
	// defaultDrift is the bound on the rate error of monotonic clocks; see docs/membership.md.
	defaultDrift = 0.001
	// renewalsPerLease is the number of attempts to renew within one lease.
	renewalsPerLease = 3
	// minLease and maxLease limit the length of the coordinator's lease. The lease is renewed at each keeper
	// three times within its length, so a longer one leaves more of the traffic of a large data centre for
	// the renewals of instances.
	minLease = 2 * time.Second
	maxLease = 3 * time.Second
	// intervalPerInstance keeps the traffic of the coordinator within 12 KB/s. The traffic grows with the
	// number of instances and falls with the interval; see docs/membership.md.
	intervalPerInstance = 55 * time.Millisecond
)

// Timing holds the durations that must be equal on all instances of a data centre.
type Timing struct {
	Interval         time.Duration // between two renewals of an instance
	CoordinatorLease time.Duration // length of the coordinator's lease
	OwnerLease       time.Duration // length of an owner's lease on its endpoints
	Margin           time.Duration // by which owners stop early
	Drift            float64       // bound on the rate error of a monotonic clock
	MaxCommand       time.Duration // longest command to an endpoint that ignores fencing numbers
	Grace            time.Duration // for which an endpoint still gets new work after an instance learns that it is leaving
}

// TimingFor returns the timing for the planned number of instances of a data centre. An owner's lease is
// longer than the coordinator's by several renewals, so that owners keep their endpoints when the
// coordinator fails.
func TimingFor(instances int) Timing {
	interval := max(defaultInterval, time.Duration(instances)*intervalPerInstance)
	lease := min(max(interval, minLease), maxLease)
	return Timing{
		Interval:         interval,
		CoordinatorLease: lease,
		OwnerLease:       renewalsPerLease*interval + lease + 2*defaultMargin,
		Margin:           defaultMargin,
		Drift:            defaultDrift,
		MaxCommand:       defaultMaxCommand,
		Grace:            defaultGrace,
	}
}

// Callbacks notify an owner of changes to its endpoints. They run one at a time, in order, and must not
// block. The owner must stop at the deadline by itself, since a callback may run late.
type Callbacks struct {
	Acquired func(o Owned) // may act until the deadline
	Renewed  func(o Owned) // the deadline was extended
	Leaving  func(o Owned) // the endpoint is leaving: no new work after NoWorkAfter
	Drain    func(o Owned) // finish the current work, then call Node.Stopped
	Released func(o Owned) // stop immediately, then call Node.Stopped when no command is in flight
}

// Options are the settings of a Node.
type Options struct {
	Name       string
	DataCentre string
	Address    netip.AddrPort            // at which other instances reach this one
	Keepers    map[string]netip.AddrPort // of the data centre, by name
	Caller     peer.Caller
	Mux        *peer.Mux
	Logger     *slog.Logger
	Timing     Timing
	Callbacks  Callbacks
	Now        func() time.Time // monotonic
	Wall       func() time.Time // used for the incarnation only
	Random     func() float64   // from 0 to below 1, for jitter; safe for concurrent use
	Lease      []lease.Option
	Assign     []assign.Option
	Directory  []directory.Option
}

// Option sets one of the Options.
type Option func(*Options)

// WithName sets the name of the instance.
func WithName(name string) Option {
	return func(o *Options) { o.Name = name }
}

// WithDataCentre sets the data centre of the instance.
func WithDataCentre(name string) Option {
	return func(o *Options) { o.DataCentre = name }
}

// WithAddress sets the address at which other instances reach this one.
func WithAddress(a netip.AddrPort) Option {
	return func(o *Options) { o.Address = a }
}

// WithKeepers sets the names and addresses of the keepers of the data centre.
func WithKeepers(keepers map[string]netip.AddrPort) Option {
	return func(o *Options) { o.Keepers = keepers }
}

// WithCaller sets the function that calls other instances.
func WithCaller(c peer.Caller) Option {
	return func(o *Options) { o.Caller = c }
}

// WithMux sets the Mux that receives the methods of this package.
func WithMux(m *peer.Mux) Option {
	return func(o *Options) { o.Mux = m }
}

// WithLogger sets the logger.
func WithLogger(l *slog.Logger) Option {
	return func(o *Options) { o.Logger = l }
}

// WithTiming sets the durations that must be equal on all instances of the data centre.
func WithTiming(t Timing) Option {
	return func(o *Options) { o.Timing = t }
}

// WithCallbacks sets the functions that notify the owner of changes to its endpoints.
func WithCallbacks(c Callbacks) Option {
	return func(o *Options) { o.Callbacks = c }
}

// WithClocks sets the monotonic clock and the wall clock.
func WithClocks(now, wall func() time.Time) Option {
	return func(o *Options) { o.Now, o.Wall = now, wall }
}

// WithRandom sets the source of jitter.
func WithRandom(f func() float64) Option {
	return func(o *Options) { o.Random = f }
}

func newOptions(opts []Option) Options {
	o := Options{
		Name:   "instance",
		Caller: noCaller,
		Mux:    peer.NewMux(),
		Logger: slog.Default(),
		Timing: TimingFor(1),
		Now:    time.Now,
		Wall:   time.Now,
		Random: rand.Float64,
	}
	for _, opt := range opts {
		opt(&o)
	}
	if o.Keepers == nil {
		o.Keepers = map[string]netip.AddrPort{o.Name: o.Address}
	}
	return o
}

func noCaller(_ context.Context, to, _ string, _, _ any) error {
	return fmt.Errorf("no caller is set to reach %q", to)
}

// assignOptions returns the options of the coordinator's table and of the owner's holder.
func (o Options) assignOptions(extra ...assign.Option) []assign.Option {
	t := o.Timing
	opts := []assign.Option{assign.WithLength(t.OwnerLease), assign.WithMargin(t.Margin), assign.WithDrift(t.Drift), assign.WithMaxCommand(t.MaxCommand)}
	return append(append(opts, extra...), o.Assign...)
}

func (o Options) leaseOptions() []lease.Option {
	return append([]lease.Option{lease.WithLength(o.Timing.CoordinatorLease), lease.WithDrift(o.Timing.Drift), lease.WithRandom(o.Random)}, o.Lease...)
}

// directoryOptions returns the options of a directory whose endpoints expire after the given time.
func (o Options) directoryOptions(endpoint time.Duration) []directory.Option {
	opts := []directory.Option{directory.WithDataCentre(o.DataCentre), directory.WithGrace(o.Timing.Grace),
		directory.WithLifetimes(endpoint, o.Timing.OwnerLease+o.Timing.Interval)}
	return append(opts, o.Directory...)
}

// WithAssign adds options of the assignment of endpoints.
func WithAssign(opts ...assign.Option) Option {
	return func(o *Options) { o.Assign = append(o.Assign, opts...) }
}
