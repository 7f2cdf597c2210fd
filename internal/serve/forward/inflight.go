package forward

import (
	"context"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"lycheevale/internal/base/event"
	"lycheevale/internal/member/report"
	"lycheevale/internal/place/pick"
	"lycheevale/internal/place/residency"
	"lycheevale/internal/place/silence"
)

// inFlight is an attempt whose endpoint has not finished its answer.
type inFlight struct {
	endpoint     report.Endpoint
	movable      bool     // it may be sent to another endpoint, if the retry budget allows it
	unresumable  bool     // no other endpoint can continue what was delivered
	exclude      []string // endpoints that did not run the request
	leaving      bool     // another endpoint is sought since the last progress, and the retry budget is charged
	service      string
	software     *string // version that began the stream
	adapter      residency.Adapter
	acknowledged bool          // the head of an answer has arrived
	begun        bool          // complete events have arrived
	prompt       int           // tokens
	ahead        time.Duration // to read the prompts of other entries that waited at the endpoint when it was sent
	waiting      int           // tokens of this entry that waited there, including its own
	progressAt   time.Time     // of its start, its head or its last complete event
	leave        chan struct{} // tells the request to look for another endpoint
	searchFrom   time.Time     // when the next search may begin, after one that has found no endpoint
	silent       bool          // that has happened since its last event
	delivering   atomic.Bool   // while a write to the caller blocks, nothing more is read from the endpoint
}

// startAttempt registers an attempt with the picker and the counts of uses.
func (h *Handler) startAttempt(x *exchange, c choice) *inFlight {
	f := &inFlight{
		endpoint: c.Endpoint, movable: h.movable(x), exclude: x.exclude, service: x.service.Name, software: x.software,
		adapter: x.request.Adapter, prompt: x.request.PromptTokens, progressAt: h.options.Now(), leave: make(chan struct{}, 1),
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.picker.Start(c.ID)
	f.ahead = h.backlog(c.ID) - h.reading.Delay(h.unread[c.ID])
	h.unread[c.ID] += f.prompt
	f.waiting = h.unread[c.ID]
	h.attempts[f] = true
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

// movable reports whether a request that has been sent to an endpoint may be sent to another one.
func (h *Handler) movable(x *exchange) bool {
	return h.repeatable(x) && x.tries < maxEndpointsTried
}

// endAttempt ends an attempt and removes what startAttempt has registered.
func (h *Handler) endAttempt(x *exchange, s *attempt) {
	s.end()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.picker.End(s.ID)
	h.promptRead(s.inFlight)
	delete(h.attempts, s.inFlight)
	if u := h.uses[[2]string{s.ID, x.request.Adapter.Name}]; u != nil {
		u.active--
	}
}

// promptRead removes the prompt of an attempt that has begun or ended from those that wait at its endpoint. The caller holds h.mu.
func (h *Handler) promptRead(f *inFlight) {
	if h.unread[f.endpoint.ID] -= f.prompt; h.unread[f.endpoint.ID] <= 0 {
		delete(h.unread, f.endpoint.ID)
	}
	f.prompt = 0
}

func (h *Handler) recordHead(x *exchange, f *inFlight) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f.acknowledged = true
	now := h.options.Now()
	h.silence.RecordEvents(now, f.endpoint.ID)
	f.progressAt = now
	if x.search == nil { // otherwise the search goes on: no event has arrived
		f.stay()
	}
}

// awaitCaller records that a write to the caller begins, for which the endpoint is not to blame, and returns a function that records its end.
func (h *Handler) awaitCaller(f *inFlight) (written func()) {
	began := h.options.Now()
	f.delivering.Store(true)
	return func() {
		if now := h.options.Now(); now.Sub(began) > briefWrite {
			h.mu.Lock()
			f.progressAt = now
			h.mu.Unlock()
		}
		f.delivering.Store(false)
	}
}

// briefWrite is far below the shortest time after which a silent endpoint is left.
const briefWrite = 50 * time.Millisecond

// allowSearch allows another search from a time on, while the endpoint stays silent.
func (h *Handler) allowSearch(f *inFlight, from time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f.leaving, f.searchFrom = false, from
}

// stay allows another search for an endpoint, should this one fall silent again. The caller holds the mutex of the Handler.
func (f *inFlight) stay() {
	f.leaving = false
	select {
	case <-f.leave:
	default:
	}
}

// recordUnresumable records whether no other endpoint can continue what was delivered of an answer.
func (h *Handler) recordUnresumable(x *exchange, f *inFlight, unresumable bool) {
	if x.unresumable == unresumable {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	x.unresumable, f.unresumable = unresumable, unresumable
}

// silenceRetention exceeds every period for which a request may stay at a silent endpoint.
const silenceRetention = time.Minute

// Sweep lets requests at silent endpoints look for another endpoint; call it a few times a second. A request stays if it may not be sent
// again or if no other endpoint could take it immediately.
func (h *Handler) Sweep() {
	now := h.options.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	for f := range h.attempts {
		if !f.movable || f.unresumable || f.leaving || f.delivering.Load() || now.Before(f.searchFrom) {
			continue
		}
		switch h.silence.Decide(now, silence.Attempt{
			Endpoint: f.endpoint.ID, ProgressAt: f.progressAt, Streaming: f.begun, Expected: f.ahead + h.reading.Delay(f.waiting),
		}) {
		case silence.Wait:
		case silence.Probe:
			h.options.Spawn(func() { _ = h.probe(f.endpoint) })
		case silence.Leave:
			if f.leaving = h.takeMove(now, f); f.leaving {
				f.silent = true
				f.leave <- struct{}{} // does not block: it is empty unless the request is leaving
			}
		}
	}
	h.silence.Forget(now, silenceRetention)
	h.watchLeft(now)
}

// probe checks whether an endpoint accepts connections, and records the result.
func (h *Handler) probe(e report.Endpoint) (accepted bool) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	err := h.options.Pool.Probe(ctx, e.Address)
	event.Log(ctx, h.options.Logger, event.EndpointProbed, slog.String("Endpoint", e.ID), slog.Any("Address", e.Address),
		slog.Any("Error", err))
	now := h.options.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.silence.RecordProbe(now, e.ID, err == nil)
	if err != nil {
		h.picker.Observe(now, e.ID, pick.Unreachable, 0)
		h.recordUnreachable(ctx, e, err)
	}
	return err == nil
}

// probeTimeout is twice the longest time to connect.
const probeTimeout = 800 * time.Millisecond

// takeMove reports whether another healthy endpoint could take a request immediately, and charges the retry budget, so that requests which
// leave together do not rely on the same part of it. The caller holds h.mu.
func (h *Handler) takeMove(now time.Time, f *inFlight) bool {
	list := h.options.View.Endpoints(f.service)
	if f.adapter.Name != "" {
		list, _ = h.options.View.Holders(f.service, f.adapter)
	}
	hasRoom := slices.ContainsFunc(sameSoftware(list, f.software), func(e report.Endpoint) bool {
		return e.ID != f.endpoint.ID && !slices.Contains(f.exclude, e.ID) && h.picker.Healthy(now, e.ID) && h.picker.Load(h.candidate(e)) < 1
	})
	_, entries := h.options.View.Version()
	return hasRoom && h.budget(f.service).Take(now, entries)
}
