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
	name                  string
	grant                 Grant
	client                *engine.Client
	cancel                context.CancelFunc
	known                 bool // the scheduler knows the endpoint
	failedPolls           int  // consecutive failed polls
	ownRequests           map[string]int
	commands              int                 // in flight
	previousOwnerAdapters map[string]struct{} // adapters that requests of an earlier owner still use
	report                engine.State        // latest load report or state
	stopped               func()              // called when stopping has finished; nil unless stopping
	drain                 bool                // stopping also waits for running requests
}

// Acquire starts owning an endpoint, or updates the grant of one that is owned already. It blocks until Run has
// started.
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
		o.removeEndpoint(old)
	}
	ctx, cancel := context.WithCancel(o.ctx)
	e := &ownedEndpoint{
		name: name, grant: g, client: o.options.Client(g.Endpoint.Address), cancel: cancel, ownRequests: map[string]int{},
	}
	o.endpoints[name] = e
	o.spawn(func() { o.poll(ctx, e) })
	event.Log(ctx, o.options.Logger, event.EndpointAcquired, slog.String("Endpoint", name),
		slog.Uint64("Fence", g.Fence))
}

// renew updates the grant. It keeps the incarnation that was read from the engine, which is newer than any
// announcement.
func (o *Owner) renew(e *ownedEndpoint, g Grant) {
	g.Endpoint.Incarnation = e.grant.Endpoint.Incarnation
	changed := g.NoWorkAfter != e.grant.NoWorkAfter
	e.grant = g
	if changed && e.known {
		o.updateScheduler(e)
	}
	if !g.NoWorkAfter.IsZero() {
		o.refuseWaiting()
	}
}

// Drain stops scheduling work on the endpoint and calls stopped when its running requests and commands have ended.
func (o *Owner) Drain(name string, stopped func()) { o.stop(name, true, stopped) }

// Release stops owning the endpoint immediately and calls stopped when no command is in flight. Running streams
// continue to their end; the next owner does not evict the adapters that they use.
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
			o.updateScheduler(e)
		}
		o.refuseWaiting()
	} else {
		o.removeEndpoint(e)
	}
	o.checkStopped(e)
}

// checkStopped calls the stopped function of a stopping endpoint once its commands, and its requests when draining,
// have ended.
func (o *Owner) checkStopped(e *ownedEndpoint) {
	busy := e.commands > 0
	for _, n := range e.ownRequests {
		busy = busy || e.drain && n > 0
	}
	if e.stopped == nil || busy {
		return
	}
	stopped := e.stopped
	e.stopped = nil
	if o.endpoints[e.name] == e {
		o.removeEndpoint(e)
	}
	o.spawn(stopped)
}

func (o *Owner) removeEndpoint(e *ownedEndpoint) {
	e.cancel()
	delete(o.endpoints, e.name)
	o.scheduler.RemoveEndpoint(o.options.Now(), e.name)
	o.refuseWaiting()
	event.Log(o.ctx, o.options.Logger, event.EndpointReleased, slog.String("Endpoint", e.name))
}

// updateScheduler passes the endpoint's description to the scheduler, with its resident adapters if they were read.
func (o *Owner) updateScheduler(e *ownedEndpoint, resident ...string) {
	g := e.grant
	o.scheduler.SetEndpoint(o.options.Now(), scheduler.Endpoint{
		Name: e.name, Model: g.Endpoint.Model, Incarnation: g.Endpoint.Incarnation, Fence: g.Fence,
		Slots: max(0, g.Endpoint.Slots-len(e.previousOwnerAdapters)), BatchSize: g.Endpoint.BatchSize,
		Draining: !g.NoWorkAfter.IsZero() || e.stopped != nil, Resident: parseTargets(resident),
	})
}

func parseTargets(names []string) []scheduler.AdapterRef {
	list := make([]scheduler.AdapterRef, 0, len(names))
	for _, name := range names {
		list = append(list, parseTarget(name))
	}
	return list
}

// poll reads the endpoint's state once and then its load reports, until ctx ends.
func (o *Owner) poll(ctx context.Context, e *ownedEndpoint) {
	ticker := time.NewTicker(o.options.PollInterval)
	defer ticker.Stop()
	for {
		o.pollOnce(ctx, e)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (o *Owner) pollOnce(ctx context.Context, e *ownedEndpoint) {
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
		o.unloadIdleAdapters(callCtx, e, state)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	defer o.wakeLoop()
	if err != nil {
		o.recordFailedPoll(ctx, e)
		return
	}
	e.failedPolls, e.report = 0, state
	if known && state.Incarnation == e.grant.Endpoint.Incarnation {
		o.scheduler.Report(o.options.Now(), scheduler.LoadReport{
			Endpoint: e.name, Incarnation: state.Incarnation, Running: state.Running, Waiting: state.Waiting,
			At: state.MeasuredAt, Resident: parseTargets(state.Resident),
		})
		return
	}
	if known {
		// The load report may predate the restart, so the next poll reads the state.
		event.Log(ctx, o.options.Logger, event.EndpointRestarted, slog.String("Endpoint", e.name))
		o.unschedule(e)
		return
	}
	o.adoptState(e, state)
}

// unschedule removes the endpoint from the scheduler until its state is read again.
func (o *Owner) unschedule(e *ownedEndpoint) {
	e.known = false
	e.previousOwnerAdapters = nil
	o.scheduler.RemoveEndpoint(o.options.Now(), e.name)
}

// adoptState applies the state read from the engine, before the first command. Slots whose adapters are used by requests of
// an earlier owner are not offered to the scheduler, because an adapter in use must not be evicted.
func (o *Owner) adoptState(e *ownedEndpoint, state engine.State) {
	e.known = true
	e.grant.Endpoint.Incarnation = state.Incarnation
	e.grant.Endpoint.Model = state.Model
	e.previousOwnerAdapters = map[string]struct{}{}
	for name, n := range state.InUse {
		if n > e.ownRequests[name] && name != state.Model {
			e.previousOwnerAdapters[name] = struct{}{}
		}
	}
	o.updateScheduler(e, slices.DeleteFunc(slices.Clone(state.Resident), func(name string) bool {
		_, foreign := e.previousOwnerAdapters[name]
		return foreign
	})...)
}

// unloadIdleAdapters unloads adapters that only requests of an earlier owner used, once a load report shows them idle.
func (o *Owner) unloadIdleAdapters(ctx context.Context, e *ownedEndpoint, state engine.State) {
	o.mu.Lock()
	var idle []string
	for name := range e.previousOwnerAdapters {
		if state.InUse[name] == 0 && state.Incarnation == e.grant.Endpoint.Incarnation {
			idle = append(idle, name)
		}
	}
	grant := e.grant
	o.mu.Unlock()
	for _, name := range idle {
		if o.expired(grant, o.options.Now()) || o.unloadIdle(ctx, e, name, grant.Fence) != nil {
			continue
		}
		o.mu.Lock()
		if _, ok := e.previousOwnerAdapters[name]; ok && e.known {
			delete(e.previousOwnerAdapters, name)
			o.updateScheduler(e)
		}
		o.mu.Unlock()
	}
}

// recordFailedPoll counts a failed poll and removes the endpoint from the scheduler after Options.MissedPolls in a row.
func (o *Owner) recordFailedPoll(ctx context.Context, e *ownedEndpoint) {
	e.failedPolls++
	if e.failedPolls < o.options.MissedPolls {
		return
	}
	o.refuseWaiting()
	if !e.known {
		return
	}
	o.unschedule(e)
	e.client.CloseIdle()
	event.Log(ctx, o.options.Logger, event.EndpointSilent, slog.String("Endpoint", e.name))
}

// Load describes the work on one owned endpoint.
type Load struct {
	Endpoint string    `json:"Endpoint"`
	Resident int       `json:"Resident"` // adapters in slots, from the endpoint's latest report
	Running  int       `json:"Running"`  // requests placed by this owner
	Queued   int       `json:"Queued"`   // requests that wait for this endpoint, or for its model on any endpoint
	Reported time.Time `json:"Reported"` // when the endpoint made its latest report; zero without one
}

// Loads returns the work on all owned endpoints.
func (o *Owner) Loads() (loads []Load) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for name, e := range o.endpoints {
		l := Load{Endpoint: name, Resident: len(e.report.Resident), Reported: e.report.MeasuredAt}
		for _, n := range e.ownRequests {
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
