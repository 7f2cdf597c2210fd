package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxInTransit is the number of adapters that may be in transit to a worker at the same time.
const maxInTransit = 4

// heartbeatInterval is the interval of the platform.
const heartbeatInterval = 1200 * time.Millisecond

// received is an order that has reached a worker.
type received struct {
	at      time.Time
	holder  string
	token   uint64
	what    string
	outcome int
}

// worker stands for a model worker, as the pages describe it: it announces itself, carries out orders, and streams answers.
type worker struct {
	stand    *stand
	id       string
	service  string
	model    string
	zone     string
	address  string
	slots    int
	interval time.Duration
	controls []string
	fromDisk time.Duration                                 // to load the model again after a restart
	answer   func(rw http.ResponseWriter, r *http.Request) // of a plain worker
	unfenced bool                                          // it does not check fencing tokens

	mu         sync.Mutex
	software   string
	born       int64
	sequence   int // of heartbeats
	orders     int // accepted
	fence      uint64
	held       bool // the model is loaded
	loading    bool
	adapters   map[string]int
	pending    map[string]int
	active     int
	uses       map[string]int  // runs by adapter
	leaving    map[string]bool // adapters that are unloaded once their runs have ended
	received   []received
	server     *http.Server
	end        context.CancelFunc // of this incarnation
	heartbeats context.Context
}

// start begins an incarnation of the worker.
func (w *worker) start(software string, holdsModel bool) error {
	listener, err := listenRetry(w.address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.software, w.born, w.sequence, w.orders, w.fence = software, time.Now().UnixMilli(), 0, 0, 0
	w.held, w.loading, w.adapters, w.pending = holdsModel, false, map[string]int{}, map[string]int{}
	w.active, w.uses, w.leaving = 0, map[string]int{}, map[string]bool{}
	w.heartbeats, w.end = context.WithCancel(context.Background())
	server, ctx := &http.Server{Handler: w, ReadHeaderTimeout: 5 * time.Second}, w.heartbeats
	w.server = server
	w.mu.Unlock()
	w.stand.log("worker %s starts, software %s, model loaded: %v", w.id, software, holdsModel)
	go func() { _ = server.Serve(listener) }() // returns when the incarnation ends
	go w.announce(ctx)
	return nil
}

// listenRetry waits for the sockets of the former incarnation to be gone.
func listenRetry(at string) (listener net.Listener, err error) {
	for range 50 {
		if listener, err = net.Listen("tcp", at); err == nil {
			return listener, nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil, err
}

// crash ends the incarnation: its connections break, and it announces nothing. It reports whether it had not ended before.
func (w *worker) crash() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.heartbeats.Err() != nil {
		return false
	}
	w.end()
	_ = w.server.Close()
	w.stand.log("worker %s crashes, software %s", w.id, w.software)
	return true
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if attempt := r.Header.Get("X-Attempt-Id"); attempt != "" {
		rw.Header().Set("X-Attempt-Id", attempt)
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/v1/report":
		w.report(rw)
	case "/v1/order":
		w.order(rw, r)
	case "/healthz":
		rw.Header().Set("X-Instance-Id", w.id)
	default:
		w.request(rw, r)
	}
}

func (w *worker) models() []map[string]any {
	if !w.held || w.model == "" {
		return []map[string]any{}
	}
	adapters := []string{}
	for name, version := range w.adapters {
		adapters = append(adapters, fmt.Sprintf("%s@%d", name, version))
	}
	return []map[string]any{{"name": w.model, "version": 1, "adapters": adapters}}
}

func (w *worker) report(rw http.ResponseWriter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	pending := []string{}
	for name, version := range w.pending {
		pending = append(pending, fmt.Sprintf("%s/%s@%d", w.model, name, version))
	}
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(map[string]any{
		"stage": "both", "models": w.models(), "pending": pending, "busy": w.loading, "sequence": w.orders, "queued": 0, "active": w.active,
		"kvUsed": 0, "kvTotal": 90000, "handles": 0,
	})
}

func (w *worker) order(rw http.ResponseWriter, r *http.Request) {
	var o struct {
		Operation    string
		Model        string
		Adapter      string
		Version      int
		Precondition *int
		Holder       string
		FencingToken uint64
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Holder == "" || o.FencingToken == 0 {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	status := w.carryOut(o.Operation, o.Adapter, o.Version, o.Precondition, o.FencingToken)
	w.received = append(w.received, received{time.Now(), o.Holder, o.FencingToken, o.Operation + " " + o.Adapter, status})
	w.stand.log("worker %s: order of %s, token %d, %s %s/%s: %d", w.id, o.Holder, o.FencingToken, o.Operation, o.Model, o.Adapter, status)
	rw.WriteHeader(status)
}

func (w *worker) carryOut(operation, adapter string, version int, precondition *int, fence uint64) int {
	ctx := w.heartbeats
	later := func(after time.Duration, f func()) {
		time.AfterFunc(after, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if ctx.Err() == nil {
				f()
			}
		})
	}
	switch {
	case fence < w.fence && !w.unfenced:
		return http.StatusPreconditionFailed
	case w.loading || (precondition != nil && *precondition != w.orders):
		return http.StatusConflict
	}
	w.fence = max(w.fence, fence)
	switch {
	case operation == "load" && adapter == "" && w.held:
		return http.StatusOK
	case operation == "load" && adapter == "":
		w.orders++
		w.loading = true
		later(w.fromDisk, func() {
			w.loading, w.held = false, true
			w.stand.log("worker %s has loaded its model", w.id)
		})
		return http.StatusAccepted
	case operation == "load" && !w.held:
		return http.StatusConflict
	case operation == "load":
		version = max(version, 1)
		if w.adapters[adapter] == version {
			return http.StatusOK
		}
		if len(w.pending) >= maxInTransit {
			return http.StatusConflict
		}
		w.orders++
		w.pending[adapter] = version
		later(250*time.Millisecond, func() {
			delete(w.pending, adapter)
			w.adapters[adapter] = version
		})
		return http.StatusAccepted
	case operation == "unload" && adapter != "":
		if _, there := w.adapters[adapter]; !there {
			return http.StatusOK
		}
		w.orders++
		if w.uses[adapter] > 0 {
			w.leaving[adapter] = true
			return http.StatusAccepted
		}
		delete(w.adapters, adapter)
		return http.StatusOK
	}
	return http.StatusBadRequest
}

func (w *worker) request(rw http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	model, adapter, _ := strings.Cut(r.Header.Get("X-Model"), "/")
	w.mu.Lock()
	version, there := w.adapters[adapter]
	expected := r.Header.Get("X-Expect-Version")
	if w.model != "" && (!w.held || model != w.model || (adapter != "" && (!there || (expected != "" && expected != strconv.Itoa(version))))) {
		w.mu.Unlock()
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if w.active >= 3*w.slots {
		w.mu.Unlock()
		rw.Header().Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.active++
	w.uses[adapter]++
	software, born := w.software, w.born
	w.stand.log("worker %s, software %s, runs %s behind event %q", w.id, software, r.Header.Get("X-Attempt-Id"), r.Header.Get("Last-Event-Id"))
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.born != born {
			return // another incarnation
		}
		w.active--
		if w.uses[adapter]--; w.uses[adapter] == 0 && w.leaving[adapter] {
			delete(w.adapters, adapter)
			delete(w.leaving, adapter)
		}
	}()
	rw.Header().Set("X-Server-Seal", "seal-"+w.id)
	if w.answer != nil {
		w.answer(rw, r)
		return
	}
	w.stream(rw, r, software)
}

// stream writes the events after the last one that the client has. Each names the software that wrote it.
func (w *worker) stream(rw http.ResponseWriter, r *http.Request, software string) {
	rw.Header().Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // absent at the first run
	last, _ := strconv.Atoi(r.Header.Get("X-Length-Hint")) // the clients of the stand always send it
	for n := from + 1; n <= last; n++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(w.interval):
		}
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: software %s worker %s event %d\n\n", n, software, w.id, n); err != nil {
			return
		}
		if err := http.NewResponseController(rw).Flush(); err != nil {
			return
		}
	}
}

// announce sends heartbeats while the incarnation lasts, and tries the next control instance after a failure.
func (w *worker) announce(ctx context.Context) {
	next, acknowledged := "", false
	for i := 0; ctx.Err() == nil; i++ {
		to := next
		if to == "" {
			to = w.controls[i%len(w.controls)]
		}
		var ok bool
		next, ok = w.heartbeat(ctx, to)
		if ok && !acknowledged {
			acknowledged = true
			w.stand.log("worker %s: first acknowledgement of this incarnation, software %s", w.id, w.software)
		}
		wait := heartbeatInterval
		if !ok {
			wait = heartbeatInterval / 10
		}
		pause(ctx, wait)
	}
}

func (w *worker) heartbeat(ctx context.Context, to string) (next string, ok bool) {
	w.mu.Lock()
	w.sequence++
	body, err := json.Marshal(map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": w.software, "slots": w.slots, "state": "ready", "coldLeftMs": 0,
		"stage": "both", "models": w.models(), "sequence": w.sequence, "born": w.born,
		"available": map[string]any{"inMemory": []string{}, "onDisk": []string{w.model}},
	})
	w.mu.Unlock()
	if err != nil {
		return "", false
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to+"/v1/instances/"+w.id+"/heartbeat", bytes.NewReader(body))
	if err != nil {
		return "", false
	}
	response, err := plainClient.Do(request)
	if err != nil {
		return "", false
	}
	defer func() { _ = response.Body.Close() }()
	var answer struct{ HeartbeatAddr string }
	if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&answer) != nil {
		return "", false
	}
	return answer.HeartbeatAddr, true
}

// allReceived returns the orders of all incarnations.
func (w *worker) allReceived() []received {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]received(nil), w.received...)
}
