package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// store is a weight store that serves one load at full speed; further ones share its bandwidth.
type store struct {
	mu    sync.Mutex
	loads map[*load]bool
}

type load struct {
	left time.Duration // at full speed
	done func()
}

const storeTick = 5 * time.Millisecond

func newStore(f *fleet) *store {
	s := &store{loads: map[*load]bool{}}
	f.group.Go(func() error {
		last := time.Now()
		for f.ctx.Err() == nil {
			f.sleep(storeTick)
			now := time.Now()
			s.advance(now.Sub(last))
			last = now
		}
		return nil
	})
	return s
}

func (s *store) advance(d time.Duration) {
	s.mu.Lock()
	var done []func()
	n := max(len(s.loads), 1)
	for l := range s.loads {
		if l.left -= d / time.Duration(n); l.left <= 0 {
			delete(s.loads, l)
			done = append(done, l.done)
		}
	}
	s.mu.Unlock()
	for _, f := range done {
		f()
	}
}

func (s *store) begin(d time.Duration, done func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loads[&load{left: d, done: done}] = true
}

// engine is a stand-in of a model endpoint that holds base models.
type engine struct {
	fleet    *fleet
	store    *store
	id       string
	software string // version
	zone     int
	address  string
	sizes    map[string]float64 // of models, in MB
	memory   float64            // MB
	slots    int
	loadTime time.Duration
	exceeded func(e *engine, model string)
	// serveRequest serves the requests of callers; without it they are refused as not run.
	serveRequest http.HandlerFunc
	active       atomic.Int64 // requests of callers

	mu         sync.Mutex
	born       int64
	heartbeats uint64
	sequence   uint64
	fence      uint64
	held       []string
	loading    string
	history    []engineState
	leaderZone int
	down       bool
	server     *http.Server
	beatNow    chan struct{}
}

// engineState is what a report tells, some time later.
type engineState struct {
	at       time.Time
	sequence uint64
	held     []string
	busy     bool
}

// Timing of engines, as in the users' pages and site files.
const (
	reportLag     = 100 * time.Millisecond
	heartbeatTime = 1200 * time.Millisecond
	restartTime   = 3 * time.Second
)

// run serves until the run ends.
func (e *engine) run() error {
	e.beatNow = make(chan struct{}, 1)
	if err := e.serve(); err != nil {
		return err
	}
	e.fleet.group.Go(func() error {
		e.announce()
		return nil
	})
	return nil
}

func (e *engine) serve() error {
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: e, ReadHeaderTimeout: time.Minute}
	e.mu.Lock()
	e.born, e.heartbeats, e.sequence, e.fence, e.down, e.server = time.Now().UnixMilli(), 0, 0, 0, false, server
	e.history = nil
	e.record()
	e.mu.Unlock()
	e.fleet.group.Go(func() error {
		_ = server.Serve(l) // ends when the server is closed
		return nil
	})
	e.fleet.group.Go(func() error {
		<-e.fleet.ctx.Done()
		_ = server.Close() // the run ends
		return nil
	})
	return nil
}

// record adds the present state to the history. The caller holds e.mu.
func (e *engine) record() {
	e.history = append(e.history, engineState{time.Now(), e.sequence, slices.Clone(e.held), e.loading != ""})
}

// crash ends the engine, which is back with an empty memory after some seconds.
func (e *engine) crash() {
	e.mu.Lock()
	e.down, e.held, e.loading = true, nil, ""
	server := e.server
	e.mu.Unlock()
	_ = server.Close() // cuts all connections
	e.fleet.group.Go(func() error {
		e.fleet.sleep(restartTime)
		if e.fleet.ctx.Err() == nil {
			e.fleet.log("%s is back, empty", e.id)
			_ = e.serve() // without it the engine stays down
		}
		return nil
	})
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	latency := e.latency()
	e.mu.Unlock()
	if r.URL.Path == "/v1/report" || r.URL.Path == "/v1/order" {
		e.fleet.sleep(latency)
		defer e.fleet.sleep(latency)
	}
	if id := r.Header.Get("X-Attempt-Id"); id != "" {
		w.Header().Set("X-Attempt-Id", id)
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/v1/report":
		e.report(w)
	case "/v1/order":
		e.order(w, r)
	default:
		if e.serveRequest != nil {
			e.serveRequest(w, r)
			return
		}
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// latency returns the time of a message between the leader and this engine. The caller holds e.mu.
func (e *engine) latency() time.Duration {
	if e.leaderZone == e.zone {
		return 0
	}
	return oneWay
}

func (e *engine) leader() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leaderZone
}

func models(held []string) []map[string]any {
	list := []map[string]any{}
	for _, m := range held {
		list = append(list, map[string]any{"name": m, "version": 1, "adapters": []string{}})
	}
	return list
}

func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	state, until := e.history[0], time.Now().Add(-reportLag)
	for _, s := range e.history {
		if !s.at.After(until) {
			state = s
		}
	}
	body := map[string]any{
		"stage": "both", "models": models(state.held), "busy": state.busy, "sequence": state.sequence, "queued": 0, "active": 0, "kvUsed": 0,
		"kvTotal": 100000, "handles": 0, "born": e.born, "pending": []string{},
	}
	e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(body) // the caller has disconnected
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Operation, Model, Adapter, Holder string
		Precondition                      *uint64
		FencingToken                      uint64
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	status := http.StatusAccepted
	over := false
	switch {
	case e.down:
		status = http.StatusServiceUnavailable
	case o.Adapter != "" || o.Operation != "load":
		status = http.StatusBadRequest
	case o.FencingToken < e.fence:
		status = http.StatusPreconditionFailed
	case e.loading != "" || (o.Precondition != nil && *o.Precondition != e.sequence):
		status = http.StatusConflict
	case slices.Contains(e.held, o.Model):
		status = http.StatusOK
	default:
		e.fence = o.FencingToken
		e.sequence++
		total := e.sizes[o.Model]
		for _, m := range e.held {
			total += e.sizes[m]
		}
		over = total > e.memory
		e.loading = o.Model
		e.record()
	}
	held, loading, born := fmt.Sprint(e.held), e.loading, e.born
	e.mu.Unlock()
	e.fleet.log("%s: load %s by %s, fence %d, precondition %v: %d (holds %s, loads %q)", e.id, o.Model, o.Holder, o.FencingToken, value(o.Precondition), status, held, loading)
	w.WriteHeader(status)
	switch {
	case status != http.StatusAccepted:
	case over:
		e.exceeded(e, o.Model)
		e.crash()
	default:
		e.store.begin(e.loadTime, func() { e.loaded(born, o.Model) })
	}
}

func value(n *uint64) any {
	if n == nil {
		return "none"
	}
	return *n
}

// loaded ends a load, which the engine announces at once.
func (e *engine) loaded(born int64, model string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.born != born || e.down {
		return
	}
	e.held, e.loading = append(e.held, model), ""
	e.record()
	e.fleet.log("%s has loaded %s", e.id, model)
	select {
	case e.beatNow <- struct{}{}:
	default:
	}
}

// announce sends heartbeats until the run ends.
func (e *engine) announce() {
	next := ""
	for i := 0; e.fleet.ctx.Err() == nil; i++ {
		e.mu.Lock()
		if e.down {
			e.mu.Unlock()
			next = ""
			e.fleet.sleep(heartbeatTime / 4)
			continue
		}
		e.heartbeats++
		body := map[string]any{
			"service": "engines", "address": e.address, "zone": zones[e.zone], "version": cmp.Or(e.software, "v1"), "slots": e.slots, "state": "ready", "coldLeftMs": 0, "stage": "both",
			"models": models(e.held), "sequence": e.heartbeats, "born": e.born,
		}
		latency := e.latency()
		e.mu.Unlock()
		e.fleet.sleep(latency)
		to := next
		if to == "" {
			to = fmt.Sprintf("%s:%d", e.fleet.controlIP(i%len(zones)), controlPort)
		}
		next = ""
		status, content, err := e.fleet.post(e.fleet.ctx, to, "/v1/instances/"+e.id+"/heartbeat", body)
		var answer struct{ HeartbeatAddr string }
		wait := heartbeatTime / 10
		if err == nil && status == http.StatusOK {
			wait = heartbeatTime
			if json.Unmarshal(content, &answer) == nil && answer.HeartbeatAddr != "" {
				next = answer.HeartbeatAddr
				e.mu.Lock()
				e.leaderZone = e.fleet.zoneOf(next)
				e.mu.Unlock()
			}
		}
		select {
		case <-e.fleet.ctx.Done():
		case <-e.beatNow:
		case <-time.After(wait):
		}
	}
}
