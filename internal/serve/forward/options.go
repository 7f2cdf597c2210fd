package forward

import (
	"context"
	"log/slog"
	"time"

	"golang.org/x/sync/errgroup"

	"lycheevale/internal/base/locality"
	"lycheevale/internal/limit/buffers"
	"lycheevale/internal/limit/quota"
	"lycheevale/internal/limit/retry"
	"lycheevale/internal/member/report"
	"lycheevale/internal/member/view"
	"lycheevale/internal/place/pick"
	"lycheevale/internal/wire/upstream"
)

// Options are the settings and dependencies of a Handler.
type Options struct {
	DataCentre string
	Regions    locality.Regions
	Codec      Codec
	View       *view.View
	Pool       *upstream.Pool
	Picker     pick.Options
	Buffers    *buffers.Budget // of bodies of requests and answers
	Retry      retry.Options
	Seed       uint64
	Logger     *slog.Logger
	// RequestPlacement asks the leader for an endpoint that holds or loads an adapter.
	RequestPlacement func(ctx context.Context, w report.PlacementRequest) (report.PlacementReply, error)
	// Borrow asks the leader to admit requests that exceed the entry's tokens of their customer.
	Borrow func(ctx context.Context, l report.LoanRequest) (report.LoanReply, error)
	// FindOrigin asks the leader which software version began a stream.
	FindOrigin func(ctx context.Context, q report.OriginRequest) (report.OriginReply, error)
	// StartTime asks an endpoint for the start time of its present incarnation in Unix milliseconds; 0 if it does not state one.
	StartTime func(ctx context.Context, e report.Endpoint) (born int64, err error)
	// LeaderExpectedAt returns the time at which a leader is expected to answer again; zero while one answers.
	LeaderExpectedAt func() time.Time
	Observe          func(Outcome)
	Spawn            func(f func()) // starts work that may outlive a request
	Now              func() time.Time
	Shares           *quota.EntryPool
}

// Option sets one of the Options.
type Option func(*Options)

func newOptions(opts []Option) Options {
	o := Options{
		View: view.New(), Pool: upstream.New(), Picker: pick.Defaults(), Buffers: buffers.New(defaultBuffers), Logger: slog.Default(),
		Retry:            retry.Options{Ratio: 0.1, Window: 10 * time.Second, Slack: 20},
		LeaderExpectedAt: func() time.Time { return time.Time{} },
		Observe:          func(Outcome) {}, Now: time.Now, Shares: quota.NewEntryPool(),
		Borrow: func(_ context.Context, l report.LoanRequest) (report.LoanReply, error) {
			return report.LoanReply{Leading: true, Admitted: make([]bool, len(l.Requests))}, nil
		},
		FindOrigin: func(context.Context, report.OriginRequest) (report.OriginReply, error) {
			return report.OriginReply{Leading: true}, nil
		},
		StartTime: func(context.Context, report.Endpoint) (int64, error) { return 0, nil },
		Spawn: func(f func()) {
			var group errgroup.Group
			group.Go(func() error { f(); return nil })
		},
		RequestPlacement: func(context.Context, report.PlacementRequest) (report.PlacementReply, error) {
			return report.PlacementReply{}, nil
		},
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}

// defaultBuffers is the memory for bodies in bytes if none is set.
const defaultBuffers = 64 << 20

// WithBuffers sets the memory for bodies of requests and answers.
func WithBuffers(b *buffers.Budget) Option { return func(o *Options) { o.Buffers = b } }

// WithDataCentre sets the data centre of this entry.
func WithDataCentre(name string) Option { return func(o *Options) { o.DataCentre = name } }

// WithRegions sets the regions of data centres, from which distances follow.
func WithRegions(r locality.Regions) Option { return func(o *Options) { o.Regions = r } }

// WithCodec sets the protocol.
func WithCodec(c Codec) Option { return func(o *Options) { o.Codec = c } }

// WithView sets the entry's view of the deployment.
func WithView(v *view.View) Option { return func(o *Options) { o.View = v } }

// WithPool sets the connection pool for endpoints.
func WithPool(p *upstream.Pool) Option { return func(o *Options) { o.Pool = p } }

// WithRetry sets the retry budget shared by all entries.
func WithRetry(r retry.Options) Option { return func(o *Options) { o.Retry = r } }

// WithSeed sets the seed of random choices.
func WithSeed(seed uint64) Option { return func(o *Options) { o.Seed = seed } }

// WithLogger sets the logger.
func WithLogger(l *slog.Logger) Option { return func(o *Options) { o.Logger = l } }

// WithRequestPlacement sets the call that asks the leader for an endpoint for an adapter.
func WithRequestPlacement(f func(ctx context.Context, w report.PlacementRequest) (report.PlacementReply, error)) Option {
	return func(o *Options) { o.RequestPlacement = f }
}

// WithStartTime sets the call that asks an endpoint for its start time.
func WithStartTime(f func(ctx context.Context, e report.Endpoint) (born int64, err error)) Option {
	return func(o *Options) { o.StartTime = f }
}

// WithLeaderExpectedAt sets the function that returns when a leader is expected to answer again.
func WithLeaderExpectedAt(f func() time.Time) Option {
	return func(o *Options) { o.LeaderExpectedAt = f }
}

// WithObserve sets the function that is called with the outcome of each finished request.
func WithObserve(f func(Outcome)) Option { return func(o *Options) { o.Observe = f } }

// WithNow replaces the clock.
func WithNow(f func() time.Time) Option { return func(o *Options) { o.Now = f } }

// WithSpawn sets how work that outlives a request is started.
func WithSpawn(f func(f func())) Option { return func(o *Options) { o.Spawn = f } }

// WithShares sets the shares of customers' rates.
func WithShares(p *quota.EntryPool) Option { return func(o *Options) { o.Shares = p } }

// WithBorrow sets the call that asks the leader to admit requests.
func WithBorrow(f func(ctx context.Context, l report.LoanRequest) (report.LoanReply, error)) Option {
	return func(o *Options) { o.Borrow = f }
}

// WithFindOrigin sets the call that asks the leader which software version began a stream.
func WithFindOrigin(f func(ctx context.Context, q report.OriginRequest) (report.OriginReply, error)) Option {
	return func(o *Options) { o.FindOrigin = f }
}
