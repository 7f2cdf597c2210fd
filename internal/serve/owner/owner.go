// Package owner executes the scheduler's decisions for the endpoints that this instance owns: it queues requests,
// sends control commands to engines and streams their responses.
package owner

import (
	"cmp"
	"context"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"lycheevale/internal/base/refusal"
	"lycheevale/internal/place/scheduler"
	"lycheevale/internal/serve/engine"
)

// Request is one attempt at a completion.
type Request struct {
	Attempt      string               `json:"Attempt"`
	Customer     string               `json:"Customer"`
	Model        string               `json:"Model"` // base model
	Adapter      scheduler.AdapterRef `json:"Adapter"`
	Path         string               `json:"Path"`
	PrefixHash   uint64               `json:"PrefixHash,omitempty"`
	PromptTokens int                  `json:"PromptTokens"`
	MaxTokens    int                  `json:"MaxTokens"`
	Priority     int                  `json:"Priority,omitempty"`
	Deadline     time.Time            `json:"Deadline"`
	Endpoint     string               `json:"Endpoint,omitempty"`   // the only endpoint allowed
	Preferred    string               `json:"Preferred,omitempty"`  // the entry's choice
	Signatures   []string             `json:"Signatures,omitempty"` // compared by place/quarantine
	Trial        bool                 `json:"Trial,omitempty"`      // may run with a quarantined signature
	Body         []byte               `json:"-"`
}

// Target returns the model name to request from the engine.
func (r Request) Target() string { return target(r.Adapter, r.Model) }

func target(a scheduler.AdapterRef, model string) string {
	if a.IsBase() {
		return model
	}
	return a.Adapter + "@" + a.Version
}

func parseTarget(name string) scheduler.AdapterRef {
	adapter, version, _ := strings.Cut(name, "@")
	return scheduler.AdapterRef{Adapter: adapter, Version: version}
}

// Grant is a lease on an endpoint: the right to send commands to it until a deadline.
type Grant struct {
	Endpoint    engine.Announcement
	Fence       uint64
	Deadline    time.Time
	NoWorkAfter time.Time // zero unless the endpoint is leaving
}

// Owner owns endpoints; it is safe for concurrent use.
type Owner struct {
	options   Options
	mu        sync.Mutex
	scheduler *scheduler.Scheduler
	endpoints map[string]*ownedEndpoint
	waiting   map[string]waiter
	running   map[string]running // by attempt
	wake      chan struct{}
	wakeAt    time.Time // when the loop's timer expires; zero if it is not set
	group     *errgroup.Group
	ctx       context.Context // context of the group; ends when Run returns
	started   chan struct{}
	spawnMu   sync.Mutex
	ended     bool // the group accepts no more goroutines
}

// waiter is a queued request. If endpoint is set, only that endpoint may serve it.
type waiter struct {
	endpoint string
	model    string
	placed   chan placement
}

// placement is the scheduler's decision on a waiting request.
type placement struct {
	endpoint *ownedEndpoint
	err      error
}

// running is an attempt that was placed and has not finished.
type running struct {
	endpoint *ownedEndpoint
	target   string
}

// New returns an owner without endpoints. Call Run to start it.
func New(opts ...Option) *Owner {
	o := defaults()
	for _, opt := range opts {
		opt(&o)
	}
	return &Owner{
		options: o, scheduler: o.Scheduler, endpoints: map[string]*ownedEndpoint{},
		waiting: map[string]waiter{}, running: map[string]running{}, wake: make(chan struct{}, 1), started: make(chan struct{}),
	}
}

// Run executes scheduling decisions until ctx ends.
func (o *Owner) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	o.group, o.ctx = group, ctx
	group.Go(func() error {
		err := o.loop(ctx)
		o.spawnMu.Lock()
		defer o.spawnMu.Unlock()
		o.ended = true
		return err
	})
	// The group must have a member before other goroutines add to it while Run waits for it.
	close(o.started)
	return group.Wait()
}

// spawn runs f in the owner's group; it returns false, without running f, once the owner has ended. Adding to the group
// while Run waits for its last member is not allowed.
func (o *Owner) spawn(f func()) bool {
	o.spawnMu.Lock()
	defer o.spawnMu.Unlock()
	if o.ended {
		return false
	}
	o.group.Go(func() error {
		f()
		return nil
	})
	return true
}

func (o *Owner) loop(ctx context.Context) error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		if next := o.step(); !next.IsZero() {
			timer.Reset(max(time.Millisecond, next.Sub(o.options.Now())))
		}
		select {
		case <-ctx.Done():
			return nil
		case <-o.wake:
		case <-timer.C:
		}
	}
}

// Wake triggers a scheduling decision, for instance after a permit was granted.
func (o *Owner) Wake() { o.wakeLoop() }

func (o *Owner) wakeLoop() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// step executes all decisions that are due and returns the time of the next one.
func (o *Owner) step() time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.decide()
	o.wakeAt = o.scheduler.NextWake()
	return o.wakeAt
}

// decide executes the decisions that are due. The caller holds mu.
func (o *Owner) decide() {
	for _, action := range o.scheduler.Decide(o.options.Now()) {
		o.execute(action)
	}
}

// decideNow decides in the request's goroutine, which saves the latency of waking the loop; the loop is woken only if
// its timer must be set to an earlier time.
func (o *Owner) decideNow() {
	o.decide()
	if next := o.scheduler.NextWake(); !next.IsZero() && (o.wakeAt.IsZero() || next.Before(o.wakeAt)) {
		o.wakeLoop()
	}
}

func (o *Owner) execute(a scheduler.Action) {
	e := o.endpoints[a.Endpoint]
	switch a.Kind {
	case scheduler.Dispatch:
		if e != nil {
			o.running[a.ID] = running{e, target(a.Adapter, e.grant.Endpoint.Model)}
			e.ownRequests[target(a.Adapter, e.grant.Endpoint.Model)]++
		}
		o.place(a.ID, placement{endpoint: e})
	case scheduler.Refuse:
		o.place(a.ID, placement{err: a.Err})
	default:
		if e != nil {
			e.commands++
			o.spawn(func() { o.runCommand(e, a) })
		}
	}
}

func (o *Owner) place(id string, p placement) {
	if w, ok := o.waiting[id]; ok {
		delete(o.waiting, id)
		w.placed <- p
	}
}

// refuseWaiting refuses the queued requests that none of the owned endpoints can serve any more, so that their entries
// try another owner immediately.
func (o *Owner) refuseWaiting() {
	for id, w := range o.waiting {
		if !o.available(w.endpoint, w.model) {
			o.scheduler.Cancel(o.options.Now(), id)
			o.place(id, placement{err: refusal.New(refusal.Unavailable, "no endpoint for the request is left here")})
		}
	}
}

// available reports whether a request for the endpoint, or for any endpoint of the model, may be queued. A new endpoint
// is considered available until Options.MissedPolls polls of it have failed.
func (o *Owner) available(endpoint, model string) bool {
	if endpoint != "" {
		e, ok := o.endpoints[endpoint]
		return ok && o.usable(e)
	}
	for _, e := range o.endpoints {
		if e.grant.Endpoint.Model == model && o.usable(e) {
			return true
		}
	}
	return false
}

func (o *Owner) usable(e *ownedEndpoint) bool {
	leaving := e.stopped != nil || !e.grant.NoWorkAfter.IsZero()
	return !leaving && (e.known || e.failedPolls < o.options.MissedPolls)
}

func (o *Owner) expired(g Grant, now time.Time) bool {
	return !now.Before(g.Deadline.Add(-o.options.LeaseMargin))
}

// Dispatch queues the request and returns its stream once an engine has accepted it.
func (o *Owner) Dispatch(ctx context.Context, r Request) (stream *Stream, err error) {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer func() {
		if stream == nil {
			cancel()
		}
	}()
	stalled := !r.Adapter.IsBase() && !o.view(cmp.Or(r.Endpoint, r.Preferred), r.Adapter).Resident
	e, err := o.waitForPlacement(ctx, r)
	if err != nil {
		return nil, err
	}
	stream, err = o.open(ctx, cancel, e, r)
	if stream != nil {
		stream.Stalled = stalled
	}
	return stream, err
}

// waitForPlacement waits until the scheduler has placed the request.
func (o *Owner) waitForPlacement(ctx context.Context, r Request) (*ownedEndpoint, error) {
	ch := make(chan placement, 1)
	now := o.options.Now()
	o.mu.Lock()
	if !o.available(r.Endpoint, r.Model) {
		o.mu.Unlock()
		return nil, refusal.New(refusal.Unavailable, "no endpoint for the request is available here")
	}
	err := o.scheduler.Submit(now, scheduler.Request{
		ID: r.Attempt, Customer: r.Customer, Model: r.Model, Adapter: r.Adapter, PrefixHash: r.PrefixHash,
		PromptTokens: r.PromptTokens, MaxTokens: r.MaxTokens, Priority: r.Priority, Arrived: now,
		Deadline: r.Deadline, Endpoint: r.Endpoint, Preferred: r.Preferred,
	})
	if err == nil {
		o.waiting[r.Attempt] = waiter{r.Endpoint, r.Model, ch}
		o.decideNow()
	}
	o.mu.Unlock()
	if err != nil {
		return nil, err
	}
	select {
	case p := <-ch:
		return o.accept(r, p)
	case <-ctx.Done():
		return nil, o.cancelWaiting(ctx, r, ch)
	}
}

// accept checks the placement against the lease, which may have expired while the request was queued.
func (o *Owner) accept(r Request, p placement) (*ownedEndpoint, error) {
	if p.err != nil {
		return nil, p.err
	}
	if p.endpoint == nil {
		o.finish(r.Attempt, 0, true)
		return nil, refusal.New(refusal.Unavailable, "endpoint is no longer owned here")
	}
	o.mu.Lock()
	grant := p.endpoint.grant
	o.mu.Unlock()
	if o.expired(grant, o.options.Now()) {
		o.finish(r.Attempt, 0, true)
		return nil, refusal.New(refusal.Unavailable, "lease of endpoint %s has ended", p.endpoint.name)
	}
	// A signature may have been quarantined while the request was queued.
	if err := o.options.Recorder.Refuse(r.Model, r.Signatures); err != nil && !r.Trial {
		o.finish(r.Attempt, 0, true)
		return nil, err
	}
	return p.endpoint, nil
}

// cancelWaiting removes a queued request whose caller no longer waits for it.
func (o *Owner) cancelWaiting(ctx context.Context, r Request, ch chan placement) error {
	o.mu.Lock()
	delete(o.waiting, r.Attempt)
	o.scheduler.Cancel(o.options.Now(), r.Attempt)
	o.mu.Unlock()
	select {
	case <-ch:
		o.finish(r.Attempt, 0, true)
	default:
	}
	if ctx.Err() == context.DeadlineExceeded {
		return refusal.New(refusal.DeadlineExceeded, "no endpoint was free before the deadline")
	}
	return refusal.New(refusal.Unavailable, "caller disconnected")
}

func (o *Owner) finish(attempt string, tokens int, failed bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.scheduler.Finished(o.options.Now(), scheduler.Finish{ID: attempt, Tokens: tokens, Failed: failed})
	if r, ok := o.running[attempt]; ok {
		delete(o.running, attempt)
		r.endpoint.ownRequests[r.target]--
		o.checkStopped(r.endpoint)
	}
	o.decideNow()
}

func (o *Owner) view(endpoint string, ref scheduler.AdapterRef) scheduler.View {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.scheduler.View(o.options.Now(), endpoint, ref)
}

// Idle reports whether no request is running or queued.
func (o *Owner) Idle() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.running) == 0 && len(o.waiting) == 0
}

// Waiting returns the number of queued requests.
func (o *Owner) Waiting() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.waiting)
}
