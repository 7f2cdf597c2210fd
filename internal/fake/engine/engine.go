// Package engine is a fake model engine: it implements the engine protocol over HTTP, batches requests with a simple cost
// model, keeps adapters in slots and injects faults.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"lycheevale/internal/serve/engine"
)

// Engine is a fake engine; it implements http.Handler.
type Engine struct {
	options  Options
	mux      *http.ServeMux
	mu       sync.Mutex
	state    engine.State
	resident map[string]time.Time // last use
	inUse    map[string]int
	pending  map[string]bool // loads in progress
	streams  map[string]*stream
	commands map[string]*outcome
	reports  []engine.State
	leaving  bool
	evicted  int // adapters evicted while in use
}

// outcome is the result of a command, kept so that a resent command gets the same result.
type outcome struct {
	done chan struct{}
	err  error
	code int
}

// New returns an engine that by default has 4 slots, a batch size of 8 and 2 ms between tokens.
func New(opts ...Option) *Engine {
	o := Options{
		Name: "engine-1", DataCentre: "dc-a", Service: "quill", Model: "quill", Slots: 4, BatchSize: 8,
		StepTime: 2 * time.Millisecond, ReportLag: 100 * time.Millisecond, ChecksFencing: true,
		Fetch: func(context.Context, string) error { return nil },
	}
	for _, opt := range opts {
		opt(&o)
	}
	e := &Engine{options: o, mux: http.NewServeMux()}
	e.Restart()
	e.mux.HandleFunc("POST /v1/completions", e.complete)
	e.mux.HandleFunc("POST /v1/chat/completions", e.complete)
	e.mux.HandleFunc("GET /v1/streams/{attempt}", e.resume)
	e.mux.HandleFunc("DELETE /v1/streams/{attempt}", e.cancel)
	e.mux.HandleFunc("GET /v1/state", e.showState)
	e.mux.HandleFunc("GET /v1/load", e.showLoad)
	e.mux.HandleFunc("POST /v1/commands", e.command)
	e.mux.HandleFunc("GET /v1/health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	return e
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if e.options.Inspect != nil {
		body, _ := io.ReadAll(r.Body)
		e.options.Inspect(r, body)
		r.Body = io.NopCloser(bytes.NewReader(body))
	}
	e.mux.ServeHTTP(w, r)
}

// Restart resets the engine as a restart of its process would.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.streams {
		s.stop()
	}
	e.state = engine.State{
		Name: e.options.Name, Incarnation: uint64(time.Now().UnixNano()), Model: e.options.Model, Role: "Mixed",
		Slots: e.options.Slots, BatchSize: e.options.BatchSize,
	}
	e.resident = map[string]time.Time{}
	e.inUse = map[string]int{}
	e.pending = map[string]bool{}
	e.streams = map[string]*stream{}
	e.commands = map[string]*outcome{}
	e.reports = nil
}

// Leave makes the engine announce that it is leaving.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// EvictedInUse returns how many adapters were evicted while requests used them.
func (e *Engine) EvictedInUse() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.evicted
}

// Running returns the number of running streams.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state.Running
}

func (e *Engine) snapshot() engine.State {
	s := e.state
	s.Resident = make([]string, 0, len(e.resident))
	for name := range e.resident {
		s.Resident = append(s.Resident, name)
	}
	slices.Sort(s.Resident)
	s.InUse = map[string]int{}
	for name, n := range e.inUse {
		if n > 0 {
			s.InUse[name] = n
		}
	}
	s.MeasuredAt = time.Now()
	return s
}

func (e *Engine) showState(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	s := e.snapshot()
	e.mu.Unlock()
	writeJSON(w, s)
}

// showLoad answers with the newest report that is at least ReportLag old, or with the oldest one if none is.
func (e *Engine) showLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	now := time.Now()
	e.reports = append(e.reports, e.snapshot())
	for len(e.reports) > 1 && now.Sub(e.reports[1].MeasuredAt) >= e.options.ReportLag {
		e.reports = e.reports[1:]
	}
	report := e.reports[0]
	e.mu.Unlock()
	writeJSON(w, report)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func refuse(w http.ResponseWriter, status int, message string) {
	w.Header().Set(engine.HeaderNotRun, "true")
	http.Error(w, message, status)
}
