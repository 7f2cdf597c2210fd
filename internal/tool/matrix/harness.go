package matrix

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"lycheevale/internal/base/event"
	"lycheevale/internal/fake/deployment"
	fakeengine "lycheevale/internal/fake/engine"
	"lycheevale/internal/fake/network"
	"lycheevale/internal/node/instance"
	"lycheevale/internal/serve/caller"
	"lycheevale/internal/state/registry"
	"lycheevale/internal/tool/demo"
)

// Figures of a cell.
const (
	probeCustomer = "calligraphy"
	probeAdapter  = "draft-00"
	probeTokens   = 12
	probeHeader   = "X-Probe"
	probeTimeout  = "15s"
	changeWait    = 8 * time.Second
	recoverWait   = 60 * time.Second
	wideLatency   = 30 * time.Millisecond // between regions, one way
	localLatency  = time.Millisecond
	leaveWait     = 3 * time.Second // of a planned stop, and of all instances at the end of a cell
)

var callerHost = netip.MustParseAddr("127.9.9.9")

// Harness is one deployment under a fault.
type Harness struct {
	*deployment.Deployment
	ctx          context.Context
	net          *network.Network
	client       *http.Client
	group        errgroup.Group
	column       Column
	begin        time.Time
	faults       []Fault
	armed        atomic.Bool
	struck       atomic.Bool
	failLoads    atomic.Int64
	crossed      atomic.Int64
	slower       atomic.Int64 // added to the latency between regions, in nanoseconds
	probeKey     int
	left         *deployment.Endpoint
	leftAt       time.Time
	stopBegun    atomic.Bool // of the probe's entry
	stopped      chan struct{}
	restartBegun atomic.Bool // of a voter
	restarted    chan struct{}
	errors       chan error
	observe      func(r *http.Request, body []byte) // sees what endpoints receive; nil for nothing

	mu       sync.Mutex
	events   map[event.ID]int
	received []string // what endpoints received
	used     int      // tokens that the probe's customer was given
	lateWork int      // requests for an endpoint long after it began to leave
	watched  []string // violations seen while the cell ran
}

// Run runs a cell; folder takes the disks of the voters.
func Run(ctx context.Context, cell Cell, folder string) (result Result, err error) {
	h, err := start(ctx, cell, folder, demo.Changes(), nil)
	if err != nil {
		return result, err
	}
	result = h.cell()
	return result, h.end()
}

// start starts a deployment for a cell, with the objects as its configuration, and waits until it is ready; observe, if
// it is set, sees all that endpoints receive.
func start(ctx context.Context, cell Cell, folder string, objects []registry.Object, observe func(*http.Request, []byte),
	opts ...deployment.Option,
) (h *Harness, err error) {
	n := network.New()
	h = &Harness{
		ctx: ctx, net: n, column: cell.Column, faults: cell.Faults, observe: observe, events: map[event.ID]int{}, errors: make(chan error, 64),
		stopped: make(chan struct{}), restarted: make(chan struct{}),
		client: &http.Client{Transport: &http.Transport{DialContext: n.Dialer(callerHost)}},
	}
	n.Latency = h.latency
	opts = append([]deployment.Option{deployment.WithNetwork(n), deployment.With(func(o *deployment.Options) {
		o.Objects, o.DataFolder, o.Instances, o.ExtraInstances, o.Engines, o.Services = objects, folder, 1, 2, 2, 2
		o.NewLogger = func(string) *slog.Logger { return slog.New(&eventCounter{h}) }
		o.EngineOptions = func(string) []fakeengine.Option { return h.engineOptions() }
		o.Instance = []instance.Option{instance.WithTrace(h.traceChange), instance.WithCaller(h.traceCaller), instance.WithLeaveWait(leaveWait)}
	})}, opts...)
	h.Deployment, err = deployment.Start(ctx, opts...)
	if err != nil {
		return nil, err
	}
	for _, e := range h.Endpoints {
		if e.Service != nil {
			e.Service.Inspect = h.inspect
		}
	}
	h.Store.Before = func(source string) { h.trace(Completion, stepLoad, strings.HasPrefix(source, probeAdapter+"/")) }
	if err := h.WaitReady(ctx); err != nil {
		return nil, err
	}
	h.begin = time.Now()
	return h, nil
}

// end stops the deployment and returns all errors of its parts.
func (h *Harness) end() error {
	h.client.CloseIdleConnections()
	err := errs.Combine(h.group.Wait(), h.Stop())
	h.net.Close()
	close(h.errors)
	for e := range h.errors {
		err = errs.Combine(err, e)
	}
	return err
}

func (h *Harness) latency(from, to netip.Addr) time.Duration {
	a, b := from.As4(), to.As4()
	if a[1] != b[1] && from != callerHost && to != callerHost {
		return wideLatency + time.Duration(h.slower.Load())
	}
	return localLatency
}

func (h *Harness) engineOptions() []fakeengine.Option {
	return []fakeengine.Option{
		fakeengine.WithInspect(h.inspect), fakeengine.WithStepTime(20 * time.Millisecond),
		fakeengine.WithFaults(fakeengine.Faults{
			FailLoad: func(string) error {
				if h.failLoads.Add(-1) >= 0 {
					return errs.New("weight store failed")
				}
				return nil
			},
			Answer: func(attempt string) string {
				if h.crossed.Add(-1) >= 0 {
					return "another-attempt"
				}
				return attempt
			},
			HeaderWait: func(string) time.Duration {
				if h.crossed.Load() > 0 {
					return time.Second
				}
				return 0
			},
		}),
	}
}

func (h *Harness) first() string { return h.Options.DataCentres[0] }

// entry is the instance that the probe is sent to; it has no disk, as most instances.
func (h *Harness) entry() *deployment.Instance { return h.Instances[1] }

func (h *Harness) voter(n int) *deployment.Instance {
	var voters []*deployment.Instance
	for _, i := range h.Instances {
		if i.Settings.DataFolder != "" {
			voters = append(voters, i)
		}
	}
	return voters[n]
}

func (h *Harness) must(err error) {
	if err != nil {
		h.errors <- err
	}
}

// background runs what must not hold up the step that the fault strikes at.
func (h *Harness) background(f func()) {
	h.group.Go(func() error {
		f()
		return nil
	})
}

func (h *Harness) waitFor(condition func() bool) bool {
	deadline := time.Now().Add(recoverWait)
	for !condition() {
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(50 * time.Millisecond)
	}
	return true
}

// isolate cuts an instance off from all other instances.
func (h *Harness) isolate(i *deployment.Instance) {
	for _, other := range h.Instances {
		if other != i {
			h.net.Cut(i.Host, other.Host)
		}
	}
}

// crash takes an instance out without any hand-over: it is cut off from everything before it stops.
func (h *Harness) crash(i *deployment.Instance) {
	h.isolate(i)
	for _, e := range h.Endpoints {
		h.net.Cut(i.Host, e.Address.Addr())
	}
	h.must(h.StopInstance(i))
	h.net.HealAll()
}

func (h *Harness) wipe(i *deployment.Instance) error { return os.RemoveAll(i.Settings.DataFolder) }

func (h *Harness) traceCaller(c *caller.Options) {
	c.Trace = func(r *http.Request, step caller.Step) {
		probe := Completion
		if strings.HasPrefix(r.URL.Path, "/ledger") {
			probe = Order
		}
		h.trace(probe, string(step), r.Header.Get(probeHeader) != "")
	}
}

func (h *Harness) traceChange(step instance.Step) { h.trace(Change, string(step), true) }

// trace strikes when the armed probe reaches its step.
func (h *Harness) trace(probe Probe, step string, mine bool) {
	if !mine || h.column != (Column{probe, step}) || !h.armed.CompareAndSwap(true, false) {
		return
	}
	h.struck.Store(true)
	for _, f := range h.faults {
		f.Strike(h)
	}
}

// inspect records what an endpoint received.
func (h *Harness) inspect(r *http.Request, body []byte) {
	if h.observe != nil {
		h.observe(r, body)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if strings.HasSuffix(r.URL.Path, "completions") || strings.HasPrefix(r.URL.Path, "/ledger") {
		h.received = append(h.received, fmt.Sprintf("%s %s %v %s", r.Method, r.URL, r.Header, body))
	}
	if h.left != nil && r.Method == http.MethodPost && strings.HasSuffix(r.URL.Path, "completions") &&
		r.Host == h.left.Address.String() && time.Since(h.leftAt) > leaveGrace {
		h.lateWork++
	}
}

// leaveGrace is how long a leaving endpoint may still get new work.
const leaveGrace = 5 * time.Second

// eventCounter is a log handler that counts events.
type eventCounter struct{ h *Harness }

// Enabled implements slog.Handler.
func (c *eventCounter) Enabled(context.Context, slog.Level) bool { return true }

// Handle implements slog.Handler.
func (c *eventCounter) Handle(_ context.Context, r slog.Record) error {
	r.Attrs(func(a slog.Attr) bool {
		if a.Key != "Event" {
			return true
		}
		c.h.mu.Lock()
		defer c.h.mu.Unlock()
		c.h.events[event.ID(a.Value.Int64())]++
		return false
	})
	return nil
}

// WithAttrs implements slog.Handler.
func (c *eventCounter) WithAttrs([]slog.Attr) slog.Handler { return c }

// WithGroup implements slog.Handler.
func (c *eventCounter) WithGroup(string) slog.Handler { return c }

type reply struct {
	status int
	body   string
	err    error
}

// whole tells whether a stream ended with its end marker.
func (r reply) whole() bool { return r.err == nil && strings.HasSuffix(r.body, "data: [DONE]\n\n") }

// ran returns the claim of an error on whether the request ran, empty for no error.
func (r reply) ran() string {
	var e struct {
		Error struct {
			Ran string `json:"ran"`
		} `json:"error"`
	}
	text := r.body
	if at := strings.LastIndex(text, `{"error"`); at >= 0 {
		text = text[at:]
	}
	_ = json.Unmarshal([]byte(strings.TrimSpace(text)), &e)
	return e.Error.Ran
}

func (h *Harness) send(to *deployment.Instance, path, key, body string, headers map[string]string) reply {
	url := "http://" + to.Settings.Listen.Callers.String() + path
	req, err := http.NewRequestWithContext(h.ctx, http.MethodPost, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return reply{err: err}
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Request-Timeout", probeTimeout)
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	h.account(key, string(raw))
	return reply{resp.StatusCode, string(raw), err}
}

// account adds the tokens that an answer shows to those of the probe's customer.
func (h *Harness) account(key, body string) {
	if key != demo.Key(0) {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.used += strings.Count(body, `"text":`)
}

func (h *Harness) complete(to *deployment.Instance, key, model string, tokens int) reply {
	body := fmt.Sprintf(`{"model":%q,"prompt":"Dear guests","max_tokens":%d,"stream":true}`, model, tokens)
	return h.send(to, "/v1/completions", key, body, nil)
}

func (h *Harness) otherKey() string { return demo.Key(0) }

func (h *Harness) withdraw(index int) {
	ctx, cancel := context.WithTimeout(h.ctx, changeWait)
	defer cancel()
	_, _ = h.entry().Current().Withdraw(ctx, demo.KeyID(index))
}

func (h *Harness) propose(at *deployment.Instance, c registry.Command) (registry.Result, error) {
	ctx, cancel := context.WithTimeout(h.ctx, changeWait)
	defer cancel()
	out, err := at.Current().Propose(ctx, c)
	return out.Result, err
}
