package engine

import (
	"context"
	"net/http"
	"time"
)

// Options are the settings of an Engine and its faults.
type Options struct {
	Name          string
	DataCentre    string
	Service       string
	Model         string
	Slots         int
	BatchSize     int
	StepTime      time.Duration // time between two tokens of a stream
	ReportLag     time.Duration // age of load reports
	ChecksFencing bool
	Fetch         func(ctx context.Context, source string) error
	Inspect       func(r *http.Request, body []byte) // sees everything received
	Began         func(prompt string)                // sees every completion that begins to run
	Faults        Faults
}

// Faults change what the engine does with single requests; nil fields cause no fault.
type Faults struct {
	CutAfter   func(attempt string) int              // events after which the stream breaks, 0 for never
	SilentFrom func(attempt string) uint64           // sequence number from which nothing more is sent, 0 for never
	Answer     func(attempt string) string           // attempt identifier put on the answer
	Serve      func(model string) string             // model that runs in place of the one asked for
	Duplicate  func(attempt string, seq uint64) bool // sends an event twice
	HeaderWait func(attempt string) time.Duration    // delay before the first byte of the answer
	FailLoad   func(target string) error             // fails a load
	NoResume   bool                                  // does not resume streams
}

// Option sets one of the Options.
type Option func(*Options)

// WithName sets name and data centre.
func WithName(name, dataCentre string) Option {
	return func(o *Options) { o.Name, o.DataCentre = name, dataCentre }
}

// WithModel sets service and base model.
func WithModel(service, model string) Option {
	return func(o *Options) { o.Service, o.Model = service, model }
}

// WithSize sets adapter slots and batch size.
func WithSize(slots, batch int) Option {
	return func(o *Options) { o.Slots, o.BatchSize = slots, batch }
}

// WithStepTime sets the time between two tokens of a stream.
func WithStepTime(d time.Duration) Option {
	return func(o *Options) { o.StepTime = d }
}

// WithFetch sets the function that transfers weights from the store.
func WithFetch(f func(ctx context.Context, source string) error) Option {
	return func(o *Options) { o.Fetch = f }
}

// WithFencing makes the engine reject commands with an old fencing number.
func WithFencing(checks bool) Option {
	return func(o *Options) { o.ChecksFencing = checks }
}

// WithInspect sets a function that sees every request with its body.
func WithInspect(f func(r *http.Request, body []byte)) Option {
	return func(o *Options) { o.Inspect = f }
}

// WithBegan sets a function that sees the prompt of every completion that begins to run.
func WithBegan(f func(prompt string)) Option {
	return func(o *Options) { o.Began = f }
}

// WithFaults sets the faults.
func WithFaults(f Faults) Option {
	return func(o *Options) { o.Faults = f }
}
