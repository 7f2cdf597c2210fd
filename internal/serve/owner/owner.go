// Package owner runs the decisions of the scheduler for the endpoints that this instance owns: it queues requests,
// sends control commands to engines and streams their answers.
package owner

import (
	"context"
	"log/slog"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"lycheevale/internal/base/event"
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
	Endpoint     string               `json:"Endpoint,omitempty"` // the only endpoint allowed
	Body         []byte               `json:"-"`
}

// Target is the model name that the engine is asked for.
func (r Request) Target() string { return target(r.Adapter, r.Model) }

func target(a scheduler.AdapterRef, model string) string {
	if a.Base() {
		return model
	}
	return a.Adapter + "@" + a.Version
}

func parseTarget(name string) scheduler.AdapterRef {
	adapter, version, _ := strings.Cut(name, "@")
	return scheduler.AdapterRef{Adapter: adapter, Version: version}
}

// Grant is the right to give commands to an endpoint until a deadline.
type Grant struct {
	Endpoint engine.Announcement
	Fence    uint64
	Deadline time.Time
}

// Owner owns endpoints; it is safe for concurrent use.
type Owner struct {
	options   Options
	mu        sync.Mutex
	scheduler *scheduler.Scheduler
	endpoints map[string]*ownedEndpoint
	waiting   map[string]chan placement
	wake      chan struct{}
	group     *errgroup.Group
	ctx       context.Context // of the group, ends when Run does
	started   chan struct{}
}

// placement is the scheduler's decision on a waiting request.
type placement struct {
	endpoint *ownedEndpoint
	err      error
}

type ownedEndpoint struct {
	grant  Grant
	client *engine.Client
	cancel context.CancelFunc
	known  bool // the scheduler knows the endpoint
	missed int
}

// New returns an owner without endpoints; Run makes it work.
func New(opts ...Option) *Owner {
	o := defaults()
	for _, opt := range opts {
		opt(&o)
	}
	return &Owner{
		options: o, scheduler: o.Scheduler, endpoints: map[string]*ownedEndpoint{},
		waiting: map[string]chan placement{}, wake: make(chan struct{}, 1), started: make(chan struct{}),
	}
}

// Run carries out decisions until ctx ends.
func (o *Owner) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	o.group, o.ctx = group, ctx
	close(o.started)
	group.Go(func() error { return o.loop(ctx) })
	return group.Wait()
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

func (o *Owner) poke() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// step carries out all decisions that are due and returns when the next one is.
func (o *Owner) step() time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, action := range o.scheduler.Decide(o.options.Now()) {
		o.act(action)
	}
	return o.scheduler.NextWake()
}

func (o *Owner) act(a scheduler.Action) {
	switch a.Kind {
	case scheduler.Dispatch:
		o.place(a.ID, placement{endpoint: o.endpoints[a.Endpoint]})
	case scheduler.Refuse:
		o.place(a.ID, placement{err: a.Err})
	case scheduler.Load, scheduler.Unload:
		if e := o.endpoints[a.Endpoint]; e != nil {
			o.group.Go(func() error { o.command(e, a); return nil })
		}
	}
}

func (o *Owner) place(id string, p placement) {
	if ch, ok := o.waiting[id]; ok {
		delete(o.waiting, id)
		ch <- p
	}
}

// command sends one control command and tells the scheduler how it ended.
func (o *Owner) command(e *ownedEndpoint, a scheduler.Action) {
	now := o.options.Now()
	o.mu.Lock()
	grant := e.grant
	o.mu.Unlock()
	c := engine.Command{
		ID: uuid.NewString(), Kind: engine.LoadAdapter, Fence: grant.Fence, Deadline: now.Add(o.options.LoadTimeout),
		Target: target(a.Adapter, ""), Source: target(a.Adapter, ""),
	}
	if a.Kind == scheduler.Unload {
		c.Kind = engine.UnloadAdapter
	}
	if !a.Evict.Base() {
		c.Evict = target(a.Evict, "")
	}
	ctx, cancel := context.WithDeadline(o.ctx, c.Deadline)
	defer cancel()
	var err error
	if o.expired(grant, now) {
		err = engine.StaleFence.New("lease of %s has ended", grant.Endpoint.Name)
	} else {
		err = e.client.Order(ctx, c)
	}
	o.logCommand(a, err)
	if a.Kind == scheduler.Unload {
		return
	}
	o.mu.Lock()
	o.scheduler.Loaded(o.options.Now(), scheduler.LoadResult{
		Endpoint: a.Endpoint, Adapter: a.Adapter, Incarnation: grant.Endpoint.Incarnation, Failed: err != nil,
	})
	o.mu.Unlock()
	o.poke()
}

func (o *Owner) logCommand(a scheduler.Action, err error) {
	if err == nil {
		return
	}
	id := event.LoadFailed
	if engine.StaleFence.Has(err) {
		id = event.OrderRefused
	}
	event.Log(o.ctx, o.options.Logger, id, slog.String("Endpoint", a.Endpoint),
		slog.String("Adapter", target(a.Adapter, "")), slog.Any("Error", err))
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
	e, err := o.await(ctx, r)
	if err != nil {
		return nil, err
	}
	return o.open(ctx, cancel, e, r)
}

// await waits until the scheduler has placed the request.
func (o *Owner) await(ctx context.Context, r Request) (*ownedEndpoint, error) {
	ch := make(chan placement, 1)
	now := o.options.Now()
	o.mu.Lock()
	err := o.scheduler.Submit(now, scheduler.Request{
		ID: r.Attempt, Customer: r.Customer, Model: r.Model, Adapter: r.Adapter, PrefixHash: r.PrefixHash,
		PromptTokens: r.PromptTokens, MaxTokens: r.MaxTokens, Priority: r.Priority, Arrived: now,
		Deadline: r.Deadline, Endpoint: r.Endpoint,
	})
	if err == nil {
		o.waiting[r.Attempt] = ch
	}
	o.mu.Unlock()
	if err != nil {
		return nil, err
	}
	o.poke()
	select {
	case p := <-ch:
		return o.accept(r, p)
	case <-ctx.Done():
		return nil, o.withdraw(ctx, r, ch)
	}
}

// accept checks the placement against the lease, which may have ended while the request waited.
func (o *Owner) accept(r Request, p placement) (*ownedEndpoint, error) {
	if p.err != nil {
		return nil, p.err
	}
	if p.endpoint == nil {
		return nil, refusal.New(refusal.Unavailable, "endpoint is no longer owned here")
	}
	o.mu.Lock()
	grant := p.endpoint.grant
	o.mu.Unlock()
	if o.expired(grant, o.options.Now()) {
		o.finish(r.Attempt, 0, true)
		return nil, refusal.New(refusal.Unavailable, "lease of endpoint %s has ended", grant.Endpoint.Name)
	}
	return p.endpoint, nil
}

// withdraw takes back a request that its caller no longer waits for.
func (o *Owner) withdraw(ctx context.Context, r Request, ch chan placement) error {
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
	return refusal.New(refusal.Unavailable, "caller has gone")
}

func (o *Owner) finish(attempt string, tokens int, failed bool) {
	o.mu.Lock()
	o.scheduler.Finished(o.options.Now(), scheduler.Finish{ID: attempt, Tokens: tokens, Failed: failed})
	o.mu.Unlock()
	o.poke()
}

// Load returns the number of owned endpoints and of waiting requests.
func (o *Owner) Load() (endpoints, waiting int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.endpoints), len(o.waiting)
}
