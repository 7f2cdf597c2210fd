package forward

import (
	"context"
	"slices"
	"time"

	"lycheevale/internal/member/report"
	"lycheevale/internal/place/residency"
)

// flight is a sending that waits for bytes of its endpoint.
type flight struct {
	endpoint   string
	repeatable bool
	service    string
	adapter    residency.Adapter
	begun      bool // bytes of the body have come
	heardAt    time.Time
	cancel     context.CancelCauseFunc
}

// takeOff counts a sending.
func (h *Handler) takeOff(x *exchange, c choice, cancel context.CancelCauseFunc) *flight {
	f := &flight{
		endpoint: c.ID, repeatable: x.route.Repeatable(), service: x.service.Name, adapter: x.request.Adapter,
		heardAt: h.options.Now(), cancel: cancel,
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
	h.heard[f.endpoint], f.heardAt = now, now
}

const (
	// silentAfter is the time without a byte from an endpoint, on any connection, after which its repeatable requests move on.
	// It is over the time to the first event of a large prompt, and leaves time for another endpoint within an objective of a
	// second.
	silentAfter = 700 * time.Millisecond
	// silentMidway is the same for a stream that has begun. Callers give a stream up after a gap of two seconds.
	silentMidway = 1300 * time.Millisecond
)

// Sweep moves requests away from endpoints that have gone silent; it is to be called a few times a second. A request stays
// where no other endpoint could take it at once.
func (h *Handler) Sweep() {
	now := h.options.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	for f := range h.flights {
		limit := silentAfter
		if f.begun {
			limit = silentMidway
		}
		if f.repeatable && now.Sub(f.heardAt) > limit && now.Sub(h.heard[f.endpoint]) > limit && h.elsewhere(now, f) {
			f.cancel(errSilent)
		}
	}
	for id, at := range h.heard {
		if now.Sub(at) > time.Minute {
			delete(h.heard, id)
		}
	}
}

// elsewhere tells whether another healthy endpoint could take a request at once. h.mu is held.
func (h *Handler) elsewhere(now time.Time, f *flight) bool {
	list := h.options.View.Endpoints(f.service)
	if f.adapter.Name != "" {
		list, _ = h.options.View.Holders(f.service, f.adapter)
	}
	return slices.ContainsFunc(list, func(e report.Endpoint) bool { return e.ID != f.endpoint && h.picker.Healthy(now, e.ID) })
}
