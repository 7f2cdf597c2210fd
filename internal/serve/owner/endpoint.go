package owner

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"lycheevale/internal/base/event"
	"lycheevale/internal/place/scheduler"
	"lycheevale/internal/serve/engine"
)

type ownedEndpoint struct {
	name     string
	grant    Grant
	client   *engine.Client
	cancel   context.CancelFunc
	known    bool // the scheduler knows the endpoint
	missed   int  // failed polls in a row
	own      map[string]int
	commands int                 // in flight
	foreign  map[string]struct{} // adapters that requests of an earlier owner still use
	report   engine.State        // the newest one
	stopped  func()              // called once nothing that must end is in flight; nil unless stopping
	drain    bool                // running requests must end too
}

// Acquire starts owning an endpoint, or updates what is owned already. Run must have started.
func (o *Owner) Acquire(g Grant) {
	<-o.started
	o.mu.Lock()
	defer o.mu.Unlock()
	name := g.Endpoint.Name
	old, ok := o.endpoints[name]
	if ok && old.grant.Fence == g.Fence && old.grant.Endpoint.Address == g.Endpoint.Address {
		o.renew(old, g)
		return
	}
	if ok {
		o.drop(old)
	}
	ctx, cancel := context.WithCancel(o.ctx)
	e := &ownedEndpoint{
		name: name, grant: g, client: o.options.Client(g.Endpoint.Address), cancel: cancel, own: map[string]int{},
	}
	o.endpoints[name] = e
	o.spawn(func() { o.poll(ctx, e) })
	event.Log(ctx, o.options.Logger, event.EndpointAcquired, slog.String("Endpoint", name),
		slog.Uint64("Fence", g.Fence))
}

// renew keeps the incarnation that was read from the engine, which is newer than any announcement.
func (o *Owner) renew(e *ownedEndpoint, g Grant) {
	g.Endpoint.Incarnation = e.grant.Endpoint.Incarnation
	changed := g.NoWorkAfter != e.grant.NoWorkAfter
	e.grant = g
	if changed && e.known {
		o.describe(e)
	}
	if !g.NoWorkAfter.IsZero() {
		o.refuseWaiting()
	}
}

// Drain gives the endpoint no new work and calls stopped when its running requests and commands have ended.
func (o *Owner) Drain(name string, stopped func()) { o.stop(name, true, stopped) }

// Release stops owning the endpoint at once and calls stopped when no command is in flight. Running streams end on
// their own; the next owner does not evict what they use.
func (o *Owner) Release(name string, stopped func()) { o.stop(name, false, stopped) }

func (o *Owner) stop(name string, drain bool, stopped func()) {
	<-o.started
	o.mu.Lock()
	defer o.mu.Unlock()
	e, ok := o.endpoints[name]
	if !ok {
		o.spawn(stopped)
		return
	}
	e.stopped, e.drain = stopped, drain
	if drain {
		if e.known {
			o.describe(e)
		}
		o.refuseWaiting()
	} else {
		o.drop(e)
	}
	o.checkStopped(e)
}

// checkStopped reports an endpoint that is being given up once nothing that must end is in flight.
func (o *Owner) checkStopped(e *ownedEndpoint) {
	busy := e.commands > 0
	for _, n := range e.own {
		busy = busy || e.drain && n > 0
	}
	if e.stopped == nil || busy {
		return
	}
	stopped := e.stopped
	e.stopped = nil
	if o.endpoints[e.name] == e {
		o.drop(e)
	}
	o.spawn(stopped)
}

func (o *Owner) drop(e *ownedEndpoint) {
	e.cancel()
	delete(o.endpoints, e.name)
	o.scheduler.RemoveEndpoint(o.options.Now(), e.name)
	o.refuseWaiting()
	event.Log(o.ctx, o.options.Logger, event.EndpointReleased, slog.String("Endpoint", e.name))
}

// describe tells the scheduler what is known of the endpoint, with the resident adapters where they were read.
func (o *Owner) describe(e *ownedEndpoint, resident ...string) {
	g := e.grant
	o.scheduler.SetEndpoint(o.options.Now(), scheduler.Endpoint{
		Name: e.name, Model: g.Endpoint.Model, Incarnation: g.Endpoint.Incarnation, Fence: g.Fence,
		Slots: max(0, g.Endpoint.Slots-len(e.foreign)), BatchSize: g.Endpoint.BatchSize,
		Draining: !g.NoWorkAfter.IsZero() || e.stopped != nil, Resident: refs(resident),
	})
}

func refs(names []string) []scheduler.AdapterRef {
	list := make([]scheduler.AdapterRef, 0, len(names))
	for _, name := range names {
		list = append(list, parseTarget(name))
	}
	return list
}

// poll reads the endpoint's state first and its load reports after that, until ctx ends.
func (o *Owner) poll(ctx context.Context, e *ownedEndpoint) {
	ticker := time.NewTicker(o.options.PollInterval)
	defer ticker.Stop()
	for {
		o.observe(ctx, e)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (o *Owner) observe(ctx context.Context, e *ownedEndpoint) {
	callCtx, cancel := context.WithTimeout(ctx, o.options.ProbeTimeout)
	defer cancel()
	o.mu.Lock()
	known := e.known
	o.mu.Unlock()
	read := e.client.Load
	if !known {
		read = e.client.State
	}
	state, err := read(callCtx)
	if ctx.Err() != nil {
		return
	}
	if err == nil && known {
		o.freeForeign(callCtx, e, state)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	defer o.poke()
	if err != nil {
		o.miss(ctx, e)
		return
	}
	e.missed, e.report = 0, state
	if known && state.Incarnation == e.grant.Endpoint.Incarnation {
		o.scheduler.Report(o.options.Now(), scheduler.LoadReport{
			Endpoint: e.name, Incarnation: state.Incarnation, Running: state.Running, Waiting: state.Waiting,
			At: state.MeasuredAt, Resident: refs(state.Resident),
		})
		return
	}
	if known {
		// A load report may be older than the restart; the state is read on the next poll.
		event.Log(ctx, o.options.Logger, event.EndpointRestarted, slog.String("Endpoint", e.name))
		o.forget(e)
		return
	}
	o.learn(e, state)
}

// forget takes the endpoint out of scheduling until its state is read again.
func (o *Owner) forget(e *ownedEndpoint) {
	e.known = false
	e.foreign = nil
	o.scheduler.RemoveEndpoint(o.options.Now(), e.name)
}

// learn takes the engine's real state before the first command. Slots whose adapters are used by requests of an
// earlier owner are kept out of scheduling, because an adapter in use must not be evicted.
func (o *Owner) learn(e *ownedEndpoint, state engine.State) {
	e.known = true
	e.grant.Endpoint.Incarnation = state.Incarnation
	e.grant.Endpoint.Model = state.Model
	e.foreign = map[string]struct{}{}
	for name, n := range state.InUse {
		if n > e.own[name] && name != state.Model {
			e.foreign[name] = struct{}{}
		}
	}
	o.describe(e, slices.DeleteFunc(slices.Clone(state.Resident), func(name string) bool {
		_, foreign := e.foreign[name]
		return foreign
	})...)
}

// freeForeign unloads adapters that only an earlier owner's requests used, once a report shows them idle.
func (o *Owner) freeForeign(ctx context.Context, e *ownedEndpoint, state engine.State) {
	o.mu.Lock()
	var idle []string
	for name := range e.foreign {
		if state.InUse[name] == 0 && state.Incarnation == e.grant.Endpoint.Incarnation {
			idle = append(idle, name)
		}
	}
	grant := e.grant
	o.mu.Unlock()
	for _, name := range idle {
		if o.expired(grant, o.options.Now()) || o.unloadForeign(ctx, e, name, grant.Fence) != nil {
			continue
		}
		o.mu.Lock()
		if _, ok := e.foreign[name]; ok && e.known {
			delete(e.foreign, name)
			o.describe(e)
		}
		o.mu.Unlock()
	}
}

// miss counts a failed poll and takes the endpoint out of scheduling after several.
func (o *Owner) miss(ctx context.Context, e *ownedEndpoint) {
	e.missed++
	if e.missed < o.options.MissedPolls {
		return
	}
	o.refuseWaiting()
	if !e.known {
		return
	}
	o.forget(e)
	e.client.CloseIdle()
	event.Log(ctx, o.options.Logger, event.EndpointSilent, slog.String("Endpoint", e.name))
}

// Load is what an owner knows of the work on one of its endpoints.
type Load struct {
	Endpoint string    `json:"Endpoint"`
	Resident int       `json:"Resident"` // adapters in slots, by the endpoint's report
	Running  int       `json:"Running"`  // requests placed by this owner
	Queued   int       `json:"Queued"`   // requests that wait for this endpoint or, on any endpoint, for its model
	Reported time.Time `json:"Reported"` // when the endpoint made its newest report; zero without one
}

// Loads returns the work on all owned endpoints.
func (o *Owner) Loads() (loads []Load) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for name, e := range o.endpoints {
		l := Load{Endpoint: name, Resident: len(e.report.Resident), Reported: e.report.MeasuredAt}
		for _, n := range e.own {
			l.Running += n
		}
		for _, w := range o.waiting {
			if w.endpoint == name || w.endpoint == "" && w.model == e.grant.Endpoint.Model {
				l.Queued++
			}
		}
		loads = append(loads, l)
	}
	return loads
}
