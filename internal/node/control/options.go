package control

import (
	"context"
	"log/slog"
	"time"

	"github.com/uber-go/tally/v4"

	"lycheevale/internal/base/clock"
	"lycheevale/internal/base/deployment"
	"lycheevale/internal/member/report"
	"lycheevale/internal/place/residency"
	"lycheevale/internal/state/document"
	"lycheevale/internal/wire/peer"
)

// Order is a command to an endpoint.
type Order struct {
	Load     bool // or unload
	Holding  residency.Holding
	Sequence uint64 // number of orders that the endpoint must have accepted before
	Holder   string
	Fence    uint64
	// Permit returns an error if the order must not be sent any more. It is asked after the last wait, directly before the first byte is sent.
	Permit func() error
}

// Result is an endpoint's answer to an order.
type Result string

// Results of orders.
const (
	Accepted Result = "Accepted" // in progress
	Done     Result = "Done"     // complete: a load changed nothing, or an unload took effect immediately
	Conflict Result = "Conflict" // another order was accepted before, or is in progress
	Fenced   Result = "Fenced"   // a newer leader has sent orders
	Refused  Result = "Refused"  // rejected for another reason
)

// EngineState is an engine's report of its state.
type EngineState struct {
	Sequence uint64 // number of orders accepted
	Holdings []residency.Holding
	Pending  []residency.Holding
}

// Engines calls endpoints. After an error of Order the order may still be carried out, unless the error is upstream.ErrNotSent.
type Engines struct {
	Order func(ctx context.Context, to report.Endpoint, o Order) (Result, error)
	State func(ctx context.Context, to report.Endpoint) (EngineState, error)
}

// Options are the settings and dependencies of a Control.
type Options struct {
	Settings deployment.Settings
	Engines  Engines
	Decode   func(content []byte) (document.Document, error)
	Logger   *slog.Logger
	Scope    tally.Scope
	Peer     []peer.Option
	Placer   residency.Options
	Now      func() time.Time
}

// Option sets one of the Options.
type Option func(*Options)

func newOptions(opts []Option) Options {
	o := Options{
		Logger: slog.Default(), Scope: tally.NoopScope, Placer: residency.Defaults(), Now: clock.Now,
		Decode: func([]byte) (document.Document, error) { return document.Document{}, nil },
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}

// WithSettings sets the settings of the process.
func WithSettings(s deployment.Settings) Option { return func(o *Options) { o.Settings = s } }

// WithEngines sets the calls to endpoints.
func WithEngines(e Engines) Option { return func(o *Options) { o.Engines = e } }

// WithDecode sets the function that decodes a configuration.
func WithDecode(f func(content []byte) (document.Document, error)) Option {
	return func(o *Options) { o.Decode = f }
}

// WithLogger sets the logger.
func WithLogger(l *slog.Logger) Option { return func(o *Options) { o.Logger = l } }

// WithScope sets the scope of metrics.
func WithScope(s tally.Scope) Option { return func(o *Options) { o.Scope = s } }

// WithPeer adds options of the links to other instances.
func WithPeer(opts ...peer.Option) Option {
	return func(o *Options) { o.Peer = append(o.Peer, opts...) }
}

// WithNow replaces the clock.
func WithNow(f func() time.Time) Option { return func(o *Options) { o.Now = f } }
