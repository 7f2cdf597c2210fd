package forward

import (
	"context"
	"slices"
	"time"

	"lycheevale/internal/base/locality"
	"lycheevale/internal/base/refusal"
	"lycheevale/internal/member/report"
	"lycheevale/internal/place/pick"
)

// want is a question to the leader that several requests wait for.
type want struct {
	done   chan struct{}
	placed report.Placed
	err    error
	at     time.Time
}

// candidates describes endpoints as this entry sees them. h.mu is held.
func (h *Handler) candidates(list []report.Endpoint) (candidates []pick.Endpoint) {
	for _, e := range list {
		candidates = append(candidates, h.candidate(e))
	}
	return candidates
}

func (h *Handler) candidate(e report.Endpoint) pick.Endpoint {
	slots := e.Slots
	if len(e.Models) == 0 {
		slots *= plainQueue
	}
	return pick.Endpoint{
		ID: e.ID, Slots: slots, Distance: h.distance(e),
		Others: max(h.options.View.Running(e.ID)-h.reported[e.ID], 0),
	}
}

func (h *Handler) distance(e report.Endpoint) locality.Distance {
	return h.options.Regions.Distance(h.options.DataCentre, e.DataCentre)
}

// plainQueue is how many requests for each slot a plain service takes: its requests are short, so that waiting for two
// others costs little.
const plainQueue = 3

// choice is the endpoint of a sending.
type choice struct {
	report.Endpoint
	version int  // of the adapter, 0 for any
	loaded  bool // the adapter has just been loaded, and may be a moment late
}

// place chooses the endpoint of the next sending. For an adapter that no endpoint holds, it asks the leader and waits
// until the adapter is there.
func (h *Handler) place(x *exchange, exclude []string) (c choice, refused *refusal.Error) {
	if x.request.Adapter.Name == "" || x.service.Engine == nil {
		list := h.options.View.Endpoints(x.service.Name)
		if x.service.Engine != nil {
			list = slices.DeleteFunc(list, func(e report.Endpoint) bool { return !slices.Contains(e.Models, x.request.Adapter.Model) })
		}
		e, ok := h.choose(x, list, exclude)
		if !ok {
			return c, h.later(refusal.Overloaded, "no endpoint of the service has room")
		}
		return choice{Endpoint: e}, nil
	}
	holders, version := h.options.View.Holders(x.service.Name, x.request.Adapter)
	if e, ok := h.choose(x, holders, exclude); ok {
		h.spreadLoad(x, e)
		return choice{Endpoint: e, version: version}, nil
	}
	return h.load(x, exclude)
}

// later is a refusal that tells the caller to come back.
func (h *Handler) later(code refusal.Code, format string, args ...any) *refusal.Error {
	return refusal.New(code, format, args...).WithRetryAt(h.options.Now().Add(h.retryWait()))
}

func (h *Handler) choose(x *exchange, list []report.Endpoint, exclude []string) (e report.Endpoint, ok bool) {
	h.mu.Lock()
	id, ok := h.picker.Choose(h.options.Now(), h.candidates(list), exclude)
	h.mu.Unlock()
	if !ok {
		return e, false
	}
	return h.options.View.Endpoint(id)
}

// retryWait spreads the callers that come back.
func (h *Handler) retryWait() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return retryBase + time.Duration(h.random.Int64N(int64(retryBase)))
}

// retryBase is about the time in which a busy batch frees a slot.
const retryBase = 400 * time.Millisecond

// withLeader returns the time at which a caller should come back whose request needs the leader: once that is expected to answer
// again, but not after most of the caller's own time. Callers repeat a request once or twice, so that one who comes back
// too early is lost.
func (h *Handler) withLeader(x *exchange, at time.Time) time.Time {
	back := h.options.LeaderExpectedAt()
	if back.IsZero() {
		return at
	}
	h.mu.Lock()
	back = back.Add(time.Duration(h.random.Int64N(int64(returnSpread))))
	h.mu.Unlock()
	within := x.request.Timeout
	if within <= 0 && x.route != nil {
		within = x.route.Timeout
	}
	if latest := x.arrived.Add(time.Duration(patience * float64(within))); within > 0 && back.After(latest) {
		back = latest
	}
	if back.Before(at) {
		return at
	}
	return back
}

const (
	// returnSpread keeps callers who were refused in an outage from returning in one wave: adapters are loaded again then.
	returnSpread = time.Second
	// patience is the part of a caller's time after which it should have come back.
	patience = 0.6
)

// spreadLoad asks for another copy beside the request, if the one that was chosen is far away or busy.
func (h *Handler) spreadLoad(x *exchange, chosen report.Endpoint) {
	a := x.request.Adapter
	h.mu.Lock()
	busy := h.picker.Load(h.candidate(chosen)) > copyLoad
	uses := 0
	if u := h.uses[[2]string{chosen.ID, a.Name}]; u != nil {
		uses = u.count + u.active
	}
	h.mu.Unlock()
	far := h.distance(chosen) == locality.Far
	if (far && uses >= farUses) || (busy && uses > 0) {
		h.ask(report.Want{Adapter: a, DataCentre: h.options.DataCentre, Replicate: busy && !far})
	}
}

const (
	// copyLoad is the load of an endpoint from which on an adapter that is asked for again gets another copy.
	copyLoad = 0.6
	// farUses is the number of requests since the last report from which on an adapter is worth a local copy.
	farUses = 2
)

// load asks the leader for the adapter and waits until it is there.
func (h *Handler) load(x *exchange, exclude []string) (c choice, refused *refusal.Error) {
	w := h.ask(report.Want{Adapter: x.request.Adapter, DataCentre: h.options.DataCentre, Missing: x.missing, Avoid: exclude})
	x.missing = ""
	select {
	case <-w.done:
	case <-x.ctx.Done():
		return c, h.later(refusal.Unavailable, "no endpoint got the adapter in time")
	}
	if w.err != nil || w.placed.Endpoint == "" {
		refused = h.later(refusal.Unavailable, "no endpoint can load the adapter: %v", w.err)
		if w.err != nil {
			refused = refused.WithRetryAt(h.withLeader(x, refused.RetryAt))
		}
		return c, refused
	}
	e, ok := h.options.View.Endpoint(w.placed.Endpoint)
	if !h.options.View.Known(w.placed.Endpoint) && w.placed.Details.Address.IsValid() {
		// After a restart the leader knows endpoints before the entry's next report.
		e, ok = w.placed.Details, !w.placed.Details.Leaving
	}
	if !ok || slices.Contains(exclude, e.ID) {
		return c, h.later(refusal.Unavailable, "endpoint %q, which loads the adapter, is not available", w.placed.Endpoint)
	}
	ready := w.at.Add(time.Duration(w.placed.InMillis) * time.Millisecond)
	select {
	case <-x.ctx.Done():
		return c, h.later(refusal.Unavailable, "the adapter was not loaded in time")
	case <-time.After(ready.Sub(h.options.Now())):
	}
	return choice{Endpoint: e, version: w.placed.Version, loaded: true}, nil
}

// ask sends a question to the leader. Requests that may use any endpoint share one question for each adapter.
func (h *Handler) ask(q report.Want) *want {
	h.mu.Lock()
	defer h.mu.Unlock()
	shared := len(q.Avoid) == 0
	if w := h.wanted[q.Adapter]; w != nil && shared {
		return w
	}
	w := &want{done: make(chan struct{})}
	if shared {
		h.wanted[q.Adapter] = w
	}
	h.options.Spawn(func() {
		ctx, cancel := context.WithTimeout(context.Background(), wantTimeout)
		defer cancel()
		w.placed, w.err = h.options.RequestPlacement(ctx, q)
		w.at = h.options.Now()
		close(w.done)
		if !shared {
			return
		}
		// Requests that come while the adapter is on its way share the answer.
		time.Sleep(time.Duration(w.placed.InMillis) * time.Millisecond)
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.wanted, q.Adapter)
	})
	return w
}

// wantTimeout covers the way to the leader, its order to an endpoint and one change of the leader.
const wantTimeout = 2500 * time.Millisecond
