package owner

import (
	"context"
	"log/slog"
	"time"

	"lycheevale/internal/base/event"
	"lycheevale/internal/place/scheduler"
	"lycheevale/internal/serve/engine"
)

// Acquire starts owning an endpoint, or renews or updates what is owned already. Run must have started.
func (o *Owner) Acquire(g Grant) {
	<-o.started
	o.mu.Lock()
	defer o.mu.Unlock()
	if e, ok := o.endpoints[g.Endpoint.Name]; ok && e.grant.Fence == g.Fence && e.grant.Endpoint.Address == g.Endpoint.Address {
		leaving := g.Endpoint.Leaving != e.grant.Endpoint.Leaving
		g.Endpoint.Incarnation = e.grant.Endpoint.Incarnation
		e.grant = g
		if leaving && e.known {
			o.scheduler.SetEndpoint(o.options.Now(), describe(g, nil))
		}
		return
	} else if ok {
		o.drop(g.Endpoint.Name, e)
	}
	ctx, cancel := context.WithCancel(o.ctx)
	e := &ownedEndpoint{grant: g, client: o.options.Client(g.Endpoint.Address), cancel: cancel}
	o.endpoints[g.Endpoint.Name] = e
	o.group.Go(func() error { return o.poll(ctx, e) })
	event.Log(ctx, o.options.Logger, event.EndpointAcquired, slog.String("Endpoint", g.Endpoint.Name),
		slog.Uint64("Fence", g.Fence))
}

// Release stops owning an endpoint; running streams end on their own.
func (o *Owner) Release(name string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if e, ok := o.endpoints[name]; ok {
		o.drop(name, e)
		event.Log(o.ctx, o.options.Logger, event.EndpointReleased, slog.String("Endpoint", name))
	}
}

func (o *Owner) drop(name string, e *ownedEndpoint) {
	e.cancel()
	delete(o.endpoints, name)
	o.scheduler.RemoveEndpoint(o.options.Now(), name)
}

// describe turns a grant and the engine's state into what the scheduler knows; state may be nil.
func describe(g Grant, state *engine.State) scheduler.Endpoint {
	d := scheduler.Endpoint{
		Name: g.Endpoint.Name, Model: g.Endpoint.Model, Incarnation: g.Endpoint.Incarnation,
		Slots: g.Endpoint.Slots, BatchSize: g.Endpoint.BatchSize, Draining: g.Endpoint.Leaving,
	}
	if state != nil {
		d.Resident = refs(state.Resident)
	}
	return d
}

func refs(names []string) []scheduler.AdapterRef {
	list := make([]scheduler.AdapterRef, 0, len(names))
	for _, name := range names {
		list = append(list, parseTarget(name))
	}
	return list
}

// poll reads the endpoint's state first and its load reports after that, until ctx ends.
func (o *Owner) poll(ctx context.Context, e *ownedEndpoint) error {
	ticker := time.NewTicker(o.options.PollInterval)
	defer ticker.Stop()
	for {
		o.observe(ctx, e)
		select {
		case <-ctx.Done():
			return nil
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
	o.mu.Lock()
	defer o.mu.Unlock()
	defer o.poke()
	if err != nil {
		o.miss(ctx, e)
		return
	}
	e.missed = 0
	now := o.options.Now()
	if known && state.Incarnation == e.grant.Endpoint.Incarnation {
		o.scheduler.Report(now, scheduler.LoadReport{
			Endpoint: state.Name, Incarnation: state.Incarnation, Running: state.Running, Waiting: state.Waiting,
			At: state.MeasuredAt, Resident: refs(state.Resident),
		})
		return
	}
	if known {
		event.Log(ctx, o.options.Logger, event.EndpointRestarted, slog.String("Endpoint", state.Name))
	}
	e.known = true
	e.grant.Endpoint.Incarnation = state.Incarnation
	o.scheduler.SetEndpoint(now, describe(e.grant, &state))
}

// miss counts a failed poll and takes the endpoint out of scheduling after several.
func (o *Owner) miss(ctx context.Context, e *ownedEndpoint) {
	e.missed++
	if e.missed < o.options.MissedPolls || !e.known {
		return
	}
	e.known = false
	o.scheduler.RemoveEndpoint(o.options.Now(), e.grant.Endpoint.Name)
	e.client.CloseIdle()
	event.Log(ctx, o.options.Logger, event.EndpointSilent, slog.String("Endpoint", e.grant.Endpoint.Name))
}
