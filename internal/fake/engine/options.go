package engine

import (
	"context"
	"net/http"
	"time"
)

// Options configure an Engine and its faults.
type Options struct {
	Name          string
	DataCentre    string
	Service       string
	Model         string
	Slots         int
	BatchSize     int
	StepTime      time.Duration // time between tokens of a stream
	ReportLag     time.Duration // age of load reports
	ChecksFencing bool
	Fetch         func(ctx context.Context, source string) error
	Inspect       func(r *http.Request, body []byte) // called with every request and its body
	Began         func(prompt string)                // called with the prompt of every completion that starts
	Faults        Faults
}

// Faults injects faults into individual requests; nil fields inject none.
type Faults struct {
	CutAfter   func(attempt string) int              // number of events after which the connection is aborted, 0 for never
	SilentFrom func(attempt string) uint64           // sequence number from which nothing more is sent, 0 for never
	Answer     func(attempt string) string           // attempt identifier sent with the answer
	Serve      func(model string) string             // model that runs in place of the requested one
	Duplicate  func(attempt string, seq uint64) bool // sends an event twice
	HeaderWait func(attempt string) time.Duration    // delay before the first byte of the answer
	FailLoad   func(target string) error             // fails a load
	Run        func(prompt string)                   // called when the head of the answer has been sent and before the first event
	NoResume   bool                                  // refuses to resume streams
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

// WithStepTime sets the time between tokens of a stream.
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

// WithInspect sets a function that is called with every request and its body.
func WithInspect(f func(r *http.Request, body []byte)) Option {
	return func(o *Options) { o.Inspect = f }
}

// WithBegan sets a function that is called with the prompt of every completion that starts.
func WithBegan(f func(prompt string)) Option {
	return func(o *Options) { o.Began = f }
}

// WithFaults sets the faults.
func WithFaults(f Faults) Option {
	return func(o *Options) { o.Faults = f }
}
