package forward

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"lycheevale/internal/base/event"
	"lycheevale/internal/member/report"
	"lycheevale/internal/place/pick"
	"lycheevale/internal/place/residency"
	"lycheevale/internal/place/silence"
)

// flight is a sending that waits for bytes of its endpoint.
type flight struct {
	endpoint report.Endpoint
	movable  bool // it may go to another endpoint, if the budget allows it
	service  string
	adapter  residency.Adapter
	begun    bool // bytes of the body have come
	heardAt  time.Time
	cancel   context.CancelCauseFunc
}

// takeOff counts a sending.
func (h *Handler) takeOff(x *exchange, c choice, cancel context.CancelCauseFunc) *flight {
	f := &flight{
		endpoint: c.Endpoint, movable: x.route.Repeatable() && x.ran+1 < x.route.MaxAttempts, service: x.service.Name,
		adapter: x.request.Adapter, heardAt: h.options.Now(), cancel: cancel,
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.picker.Start(c.ID)
	h.flights[f] = true
	if a := x.request.Adapter; a.Name != "" {
		key := [2]string{c.ID, a.Name}
		u := h.uses[key]
		if u == nil {
			u = &use{adapter: a}
			h.uses[key] = u
		}
		u.count++
		u.active++
	}
	return f
}

// land uncounts it.
func (h *Handler) land(x *exchange, s sending) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.picker.End(s.ID)
	delete(h.flights, s.flight)
	if u := h.uses[[2]string{s.ID, x.request.Adapter.Name}]; u != nil {
		u.active--
	}
}

func (h *Handler) hear(f *flight) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.options.Now()
	h.silence.Heard(now, f.endpoint.ID)
	f.heardAt = now
}

// silenceMemory is above every time for which a request may stay at a silent endpoint.
const silenceMemory = time.Minute

// Sweep moves requests away from endpoints that have gone silent; it is to be called a few times a second. A request stays
// where it may not be sent again, or where no other endpoint could take it at once.
func (h *Handler) Sweep() {
	now := h.options.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	for f := range h.flights {
		if !f.movable {
			continue
		}
		switch h.silence.Decide(now, silence.Flight{Endpoint: f.endpoint.ID, HeardAt: f.heardAt, Begun: f.begun}) {
		case silence.Wait:
		case silence.Probe:
			h.options.Spawn(func() { h.probe(f.endpoint) })
		case silence.Leave:
			if h.elsewhere(now, f) {
				f.cancel(errSilent)
			}
		}
	}
	h.silence.Forget(now, silenceMemory)
}

// probe finds out whether a silent endpoint accepts connections.
func (h *Handler) probe(e report.Endpoint) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	err := h.options.Pool.Probe(ctx, e.Address)
	event.Log(ctx, h.options.Logger, event.EndpointProbed, slog.String("Endpoint", e.ID), slog.Any("Address", e.Address),
		slog.Any("Error", err))
	now := h.options.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.silence.Probed(now, e.ID, err == nil)
	if err != nil {
		h.picker.Observe(now, e.ID, pick.Unreachable, 0)
	}
}

// probeTimeout is twice the time to connect at most.
const probeTimeout = 800 * time.Millisecond

// elsewhere tells whether another healthy endpoint could take a request at once, and the budget of repeats allows it. h.mu is
// held.
func (h *Handler) elsewhere(now time.Time, f *flight) bool {
	_, entries := h.options.View.Version()
	if b := h.budgets[f.service]; b != nil && !b.Allows(now, entries) {
		return false
	}
	list := h.options.View.Endpoints(f.service)
	if f.adapter.Name != "" {
		list, _ = h.options.View.Holders(f.service, f.adapter)
	}
	return slices.ContainsFunc(list, func(e report.Endpoint) bool {
		return e.ID != f.endpoint.ID && h.picker.Healthy(now, e.ID) && h.picker.Load(h.candidate(e)) < 1
	})
}
