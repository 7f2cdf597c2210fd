package operator

import (
	"context"
	"log/slog"
	"time"

	"lycheevale/internal/state/registry"
	"lycheevale/internal/tool/burn"
)

// System holds the functions through which the API reaches the system; all but Answered and Burn are required.
type System struct {
	// Propose commits a change and waits, until ctx ends, for the instances to apply it.
	Propose func(ctx context.Context, c registry.Command) (Outcome, error)
	// Withdraw withdraws a key on all instances; it is idempotent.
	Withdraw func(ctx context.Context, keyID string) (Outcome, error)
	// Objects returns the objects of a kind sorted by name.
	Objects func(kind registry.Kind) []registry.Object
	// Object returns one object that is not deleted.
	Object func(kind registry.Kind, name string) (registry.Object, bool)
	// Revision returns the revision that Objects and Object show.
	Revision func() uint64
	Status   func(ctx context.Context) (Status, error)
	// Burn returns the outcomes that this instance has counted; optional.
	Burn func() burn.Snapshot
	// Answered reports whether the configuration holds the result of a request; optional.
	Answered func(requestID string) bool
	// Endpoints returns the endpoints of this data centre.
	Endpoints func(ctx context.Context) ([]Endpoint, error)
	// Watch sends every change after revision "from" until ctx ends or send fails.
	Watch func(ctx context.Context, from uint64, send func(WatchEvent) error) error
}

// Options are the settings of a Server.
type Options struct {
	System      System
	Credentials *Credentials
	Audit       *Audit
	Logger      *slog.Logger
	Now         func() time.Time
	BodyBytes   int64
	HeaderBytes int
	HeaderRead  time.Duration
	BodyRead    time.Duration
	Write       time.Duration // for one response, or one event of a watch
	Idle        time.Duration
	Change      time.Duration // for one change
	KeepAlive   time.Duration // between two comments of an idle watch
	MaxRequests int           // served at once
	MaxWatches  int           // served at once
}

func defaults() Options {
	return Options{
		Credentials: NewCredentials(),
		Audit:       NewAudit(nil),
		Logger:      slog.Default(),
		Now:         time.Now,
		BodyBytes:   8 << 20,
		HeaderBytes: 64 << 10,
		HeaderRead:  5 * time.Second,
		BodyRead:    30 * time.Second,
		Write:       30 * time.Second,
		Idle:        90 * time.Second,
		Change:      10 * time.Second,
		KeepAlive:   10 * time.Second,
		MaxRequests: 64,
		MaxWatches:  64,
	}
}

// Option sets one of the Options.
type Option func(*Options)

// WithSystem sets the functions through which the API reaches the system.
func WithSystem(s System) Option {
	return func(o *Options) { o.System = s }
}

// WithCredentials sets the operators; without any, every request is refused.
func WithCredentials(c *Credentials) Option {
	return func(o *Options) { o.Credentials = c }
}

// WithAudit sets the audit log.
func WithAudit(a *Audit) Option {
	return func(o *Options) { o.Audit = a }
}

// WithLogger sets the logger.
func WithLogger(l *slog.Logger) Option {
	return func(o *Options) { o.Logger = l }
}

// WithLimits sets the largest body and header of a request, in bytes.
func WithLimits(bodyBytes int64, headerBytes int) Option {
	return func(o *Options) { o.BodyBytes, o.HeaderBytes = bodyBytes, headerBytes }
}

// WithTimeouts sets how long the parts of a request may take.
func WithTimeouts(headerRead, bodyRead, write, idle, change time.Duration) Option {
	return func(o *Options) {
		o.HeaderRead, o.BodyRead, o.Write, o.Idle, o.Change = headerRead, bodyRead, write, idle, change
	}
}

// WithKeepAlive sets the time between two comments of an idle watch.
func WithKeepAlive(d time.Duration) Option {
	return func(o *Options) { o.KeepAlive = d }
}

// WithMaximum sets how many requests and how many watches are served at once.
func WithMaximum(requests, watches int) Option {
	return func(o *Options) { o.MaxRequests, o.MaxWatches = requests, watches }
}
