package main

import (
	"bufio"
	"bytes"
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

// worker is a stand-in of a worker. It speaks HTTP/1.1 over its own sockets, so that a case can decide when each byte is sent.
type worker struct {
	site    *site
	id      string
	service string
	zone    string
	address string
	model   string // base model, empty for a plain service
	slots   int
	pause   time.Duration // before each event of a stream
	// extra returns bytes that are sent before the answer to an order that has just arrived.
	extra func(w *worker, c *workerConn, operation, adapter string, inUse bool) []byte

	// deadly crashes the worker if a request does that, and reports whether it did.
	deadly func(w *worker, q *http.Request) bool
	// ordered is called when an order has arrived.
	ordered func(w *worker, holder string, fence uint64)

	mu         sync.Mutex
	listener   net.Listener
	conns      map[net.Conn]bool
	born       int64
	sequence   int
	fence      uint64
	heartbeats int
	adapters   map[string]int // version by name
	pending    map[string]int
	leaving    map[string]bool // unloaded as soon as its runs have ended
	known      map[string]bool // held before
	active     map[string]int
	answers    []time.Time // of all answers
	runs       map[string]int
	overload   string // the order that exceeded the places
	down       bool
	quit       chan struct{}
}

// workerConn is one connection of a worker.
type workerConn struct {
	net.Conn
	number int
	last   []byte // last complete answer
	status int    // of that answer
}

func (s *site) newWorker(n int, service, zone, model string, slots int) *worker {
	w := &worker{
		site: s, id: fmt.Sprintf("i-%s-%d", service, n), service: service, zone: zone, address: s.workerAddress(n), model: model, slots: slots,
		pause: 50 * time.Millisecond, conns: map[net.Conn]bool{}, quit: make(chan struct{}), runs: map[string]int{}, known: map[string]bool{},
	}
	s.workers = append(s.workers, w)
	w.boot()
	go w.announce()
	return w
}

// boot starts the worker with nothing but its base model.
func (w *worker) boot() {
	l, err := net.Listen("tcp", w.address)
	must(err)
	w.mu.Lock()
	w.listener, w.born, w.down = l, time.Now().UnixMilli(), false
	w.sequence, w.fence, w.heartbeats = 0, 0, 0
	w.adapters, w.pending, w.leaving, w.active = map[string]int{}, map[string]int{}, map[string]bool{}, map[string]int{}
	w.mu.Unlock()
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go w.serve(&workerConn{Conn: c, number: n})
		}
	}()
}

func (w *worker) stop() {
	close(w.quit)
	w.crash()
}

// crash ends all connections and the listener.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down = true
	_ = w.listener.Close()
	for c := range w.conns {
		_ = c.Close()
	}
}

func (w *worker) serve(c *workerConn) {
	w.mu.Lock()
	w.conns[c] = true
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		delete(w.conns, c)
		w.mu.Unlock()
		_ = c.Close()
	}()
	reader := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		if expected := q.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
			w.answer(c, http.StatusMisdirectedRequest, q, "", "X-Not-Executed: 1\r\n")
			continue
		}
		switch q.URL.Path {
		case "/v1/report":
			w.answer(c, http.StatusOK, q, w.report(), "")
		case "/v1/order":
			w.order(c, q, body)
		default:
			w.request(c, q)
		}
		w.mu.Lock()
		down := w.down
		w.mu.Unlock()
		if down {
			return
		}
	}
}

// answer writes a complete answer.
func (w *worker) answer(c *workerConn, status int, q *http.Request, body, header string) {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id := q.Header.Get("X-Attempt-Id"); id != "" {
		fmt.Fprintf(&b, "X-Attempt-Id: %s\r\n", id)
	}
	if strings.HasPrefix(body, "{") {
		b.WriteString("Content-Type: application/json\r\n")
	}
	fmt.Fprintf(&b, "%sContent-Length: %d\r\n\r\n%s", header, len(body), body)
	w.count()
	c.last, c.status = bytes.Clone(b.Bytes()), status
	_, _ = c.Write(b.Bytes())
}

func (w *worker) count() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answers = append(w.answers, time.Now())
}

// answersSince returns the number of answers in the last span.
func (w *worker) answersSince(span time.Duration) (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, at := range w.answers {
		if time.Since(at) <= span {
			n++
		}
	}
	return n
}

// holdings lists adapters as NAME@VERSION. The caller holds w.mu.
func (w *worker) holdings() (list []string) {
	list = []string{}
	for name, version := range w.adapters {
		list = append(list, fmt.Sprintf("%s@%d", name, version))
	}
	return list
}

func (w *worker) models() []any {
	return []any{map[string]any{"name": w.model, "version": 1, "adapters": w.holdings()}}
}

func (w *worker) report() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	pending := []string{}
	for name, version := range w.pending {
		pending = append(pending, fmt.Sprintf("%s/%s@%d", w.model, name, version))
	}
	active := 0
	for _, n := range w.active {
		active += n
	}
	data, err := json.Marshal(map[string]any{
		"stage": "both", "models": w.models(), "busy": false, "sequence": w.sequence, "queued": 0, "active": active, "kvUsed": 0, "kvTotal": 122202,
		"handles": 0, "pending": pending,
	})
	must(err)
	return string(data)
}

// order carries out an order as the page on workers says.
func (w *worker) order(c *workerConn, q *http.Request, body []byte) {
	var o struct {
		Operation    string `json:"operation"`
		Model        string `json:"model"`
		Adapter      string `json:"adapter"`
		Version      int    `json:"version"`
		Precondition *int   `json:"precondition"`
		Holder       string `json:"holder"`
		FencingToken uint64 `json:"fencingToken"`
	}
	if json.Unmarshal(body, &o) != nil || o.Holder == "" || o.FencingToken == 0 {
		w.answer(c, http.StatusBadRequest, q, "", "")
		return
	}
	w.mu.Lock()
	inUse := w.active[o.Adapter] > 0
	w.mu.Unlock()
	if w.ordered != nil {
		w.ordered(w, o.Holder, o.FencingToken)
	}
	if w.extra != nil {
		if b := w.extra(w, c, o.Operation, o.Adapter, inUse); len(b) > 0 {
			w.site.note("%s: before the answer to %s %s, a second copy of the last answer on connection %d: %.15q", w.id, o.Operation, o.Adapter, c.number, b)
			_, _ = c.Write(b)
			time.Sleep(20 * time.Millisecond)
		}
	}
	status, overload := w.execute(o.Operation, o.Adapter, max(o.Version, 1), o.Precondition, o.FencingToken)
	w.site.note("%s: order %s %s, precondition %v, fence %d of %s, on connection %d: %d; %s", w.id, o.Operation, o.Adapter, deref(o.Precondition), o.FencingToken, o.Holder,
		c.number, status, w.places())
	w.answer(c, status, q, "", "")
	if overload {
		w.site.note("%s: ordered to load %s beyond its %d places: crash", w.id, o.Adapter, w.site.places)
		w.crash()
	}
}

func deref(n *int) int {
	if n == nil {
		return -1
	}
	return *n
}

func (w *worker) places() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var held, running []string
	held = append(held, w.holdings()...)
	for name := range w.pending {
		held = append(held, name+" (loading)")
	}
	for name, n := range w.active {
		if n > 0 && name != "" {
			running = append(running, name)
		}
	}
	return fmt.Sprintf("places: %v, running: %v", held, running)
}

func (w *worker) execute(operation, adapter string, version int, precondition *int, fence uint64) (status int, overload bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case fence < w.fence && !w.site.unfenced:
		return http.StatusPreconditionFailed, false
	case precondition != nil && *precondition != w.sequence:
		return http.StatusConflict, false
	}
	w.fence = max(w.fence, fence)
	if operation == "unload" {
		if _, held := w.adapters[adapter]; !held {
			return http.StatusOK, false
		}
		w.sequence++
		if w.active[adapter] > 0 {
			w.leaving[adapter] = true
			return http.StatusAccepted, false
		}
		delete(w.adapters, adapter)
		return http.StatusOK, false
	}
	if w.adapters[adapter] >= version && !w.leaving[adapter] {
		return http.StatusOK, false
	}
	w.sequence++
	w.pending[adapter] = version
	took, fetched := 25*time.Millisecond, func() {}
	if !w.known[adapter] {
		took, fetched = w.site.store.fetch()
	}
	w.known[adapter] = true
	born := w.born
	time.AfterFunc(took, func() {
		fetched()
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.born == born {
			delete(w.pending, adapter)
			w.adapters[adapter] = version
		}
	})
	if len(w.adapters)+len(w.pending) > w.site.places {
		w.overload = adapter
		return http.StatusAccepted, true
	}
	return http.StatusAccepted, false
}

func (w *worker) request(c *workerConn, q *http.Request) {
	model, adapter, _ := strings.Cut(q.Header.Get("X-Model"), "/")
	id := q.Header.Get("X-Attempt-Id")
	w.mu.Lock()
	version, held := w.adapters[adapter]
	expected := q.Header.Get("X-Expect-Version")
	_, loading := w.pending[adapter]
	ordered := loading || w.leaving[adapter] // an order that concerns the request is not complete
	missing := w.model != "" && (model != w.model || (adapter != "" && (!held || (expected != "" && expected != strconv.Itoa(version)))))
	if !missing && !ordered {
		w.active[adapter]++
		w.runs[id]++
	}
	w.mu.Unlock()
	if ordered {
		w.site.note("%s: refused %s, an order for %s is not complete", w.id, id, adapter)
		w.answer(c, http.StatusServiceUnavailable, q, "", "X-Not-Executed: 1\r\n")
		return
	}
	if missing {
		w.site.note("%s: refused %s, %s is not here", w.id, id, adapter)
		w.answer(c, http.StatusMisdirectedRequest, q, "", "X-Not-Executed: 1\r\n")
		return
	}
	w.site.note("%s: ran %s %s", w.id, id, adapter)
	if w.deadly != nil && w.deadly(w, q) {
		return
	}
	defer w.ended(adapter)
	seal := "X-Server-Seal: " + w.id + "." + id + "\r\n"
	if w.model == "" {
		time.Sleep(w.pause)
		w.answer(c, http.StatusOK, q, "answer to "+id+"\n", seal)
		return
	}
	w.stream(c, q, seal)
}

// ended counts the end of a run, and drops an adapter that was waiting for it.
func (w *worker) ended(adapter string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.active[adapter]--; w.active[adapter] <= 0 && w.leaving[adapter] {
		delete(w.adapters, adapter)
		delete(w.leaving, adapter)
	}
}

// stream answers with an event for each two tokens.
func (w *worker) stream(c *workerConn, q *http.Request, seal string) {
	_, most, _ := strings.Cut(q.Header.Get("X-Token-Count"), ",")
	tokens, _ := strconv.Atoi(most)
	from, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n%sX-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		q.Header.Get("X-Attempt-Id"), seal)
	w.count()
	if _, err := io.WriteString(c, head); err != nil {
		return
	}
	for n := from + 1; n <= max(tokens/2, 1); n++ {
		select {
		case <-w.quit:
			return
		case <-time.After(w.pause):
		}
		event := fmt.Sprintf("id: %d\ndata: word %d\n\n", n, n)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return
		}
	}
	_, _ = io.WriteString(c, "0\r\n\r\n")
	c.last = nil
}

// announce sends heartbeats.
func (w *worker) announce() {
	next := ""
	for n := 0; ; n++ {
		to := next
		if to == "" {
			to = w.site.controlAddress(n % len(zones))
		}
		w.mu.Lock()
		down := w.down
		w.heartbeats++
		b := map[string]any{
			"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": w.slots, "state": "ready", "coldLeftMs": 0,
			"stage": "both", "sequence": w.heartbeats, "born": w.born,
		}
		if w.model != "" {
			b["models"] = w.models()
		}
		w.mu.Unlock()
		next = ""
		wait := 100 * time.Millisecond
		if !down {
			status, content := call(http.MethodPost, "http://"+to+"/v1/instances/"+w.id+"/heartbeat", b)
			var answer struct {
				HeartbeatAddr string `json:"heartbeatAddr"`
			}
			if status == http.StatusOK && json.Unmarshal(content, &answer) == nil {
				next, wait = answer.HeartbeatAddr, heartbeat
			}
		}
		select {
		case <-w.quit:
			return
		case <-time.After(wait):
		}
	}
}

// store is the weight store. A fetch of an adapter takes 250 ms while no more than 8 are on their way, and longer in proportion beyond.
type store struct {
	mu      sync.Mutex
	running int
}

const fullSpeedFetches = 8

// fetch returns how long a fetch takes that begins now, and a function that ends it.
func (s *store) fetch() (took time.Duration, end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	took = 250 * time.Millisecond * time.Duration(max(s.running, fullSpeedFetches)) / fullSpeedFetches
	return took, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.running--
	}
}
