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
	Sequence uint64 // orders that the endpoint has to have accepted before
	Holder   string
	Fence    uint64
}

// Result is an endpoint's answer to an order.
type Result string

// Results of orders.
const (
	Accepted Result = "Accepted" // is being carried out
	Done     Result = "Done"     // holds already: a load changed nothing, an unload was carried out at once
	Conflict Result = "Conflict" // another order came before, or is in progress
	Fenced   Result = "Fenced"   // a newer leader has given orders
	Refused  Result = "Refused"  // not carried out for another reason
)

// EngineState is what an engine tells when asked.
type EngineState struct {
	Sequence uint64 // orders accepted
	Holdings []residency.Holding
	Pending  []residency.Holding
}

// Engines calls endpoints. Errors of Order mean that it may still be carried out, unless they are upstream.ErrNotSent.
type Engines struct {
	Order func(ctx context.Context, to report.Endpoint, o Order) (Result, error)
	State func(ctx context.Context, to report.Endpoint) (EngineState, error)
}

// Options are the settings and parts of a Control.
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

func build(opts []Option) Options {
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

// WithDecode sets the function that reads a configuration.
func WithDecode(f func(content []byte) (document.Document, error)) Option {
	return func(o *Options) { o.Decode = f }
}

// WithLogger sets the logger.
func WithLogger(l *slog.Logger) Option { return func(o *Options) { o.Logger = l } }

// WithScope sets where metrics are counted.
func WithScope(s tally.Scope) Option { return func(o *Options) { o.Scope = s } }

// WithPeer adds options of the links to other instances.
func WithPeer(opts ...peer.Option) Option {
	return func(o *Options) { o.Peer = append(o.Peer, opts...) }
}

// WithNow replaces the clock.
func WithNow(f func() time.Time) Option { return func(o *Options) { o.Now = f } }
