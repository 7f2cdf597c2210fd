package forward

import (
	"log/slog"
	"slices"
	"time"

	"lycheevale/internal/base/event"
	"lycheevale/internal/base/refusal"
	"lycheevale/internal/member/report"
	"lycheevale/internal/place/quarantine"
)

// checkParts refuses a request with a part that crashes the endpoints which begin to answer it.
func (h *Handler) checkParts(x *exchange) *refusal.Error {
	parts := h.options.View.Quarantined(x.request.SharedParts)
	if len(parts) == 0 || (x.trial && x.ran == 0) {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.options.Now()
	// With a second quarantined part, a crash would not show which one is to blame.
	if permitUntil := h.trials[parts[0]]; len(parts) == 1 && now.Before(permitUntil) {
		delete(h.trials, parts[0])
		x.trial = true
		return nil
	}
	for _, id := range parts {
		r := h.refusedParts[id]
		r.Total++
		if len(parts) == 1 {
			r.Alone++
		}
		h.refusedParts[id] = r
	}
	return refusal.New(refusal.Quarantined, "prompt part %q crashes endpoints", parts[0]).WithRetryAt(now.Add(quarantineRetry))
}

const (
	// quarantineRetry exceeds what callers wait, so that they do not repeat the request.
	quarantineRetry = time.Minute
	// trialTime is the time in which an entry may use a permit to try a quarantined part.
	trialTime = 30 * time.Second
)

// recordBegin records that an endpoint has begun to answer the request.
func (h *Handler) recordBegin(x *exchange) {
	if len(x.request.SharedParts) == 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tracker.Begun(h.options.Now(), x.service.Name, x.request.SharedParts)
}

// recordBroken records a connection that broke before the answer began, and checks whether the endpoint has crashed. If the endpoint had
// sent the head of the answer and a part has never begun here, the request may have caused that, and is not sent to another endpoint.
func (h *Handler) recordBroken(x *exchange, s attempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f := s.inFlight
	if f.begun {
		return
	}
	x.mayCrash = f.acknowledged && !h.tracker.Proven(x.service.Name, x.request.SharedParts)
	check := h.tracker.Broken(h.options.Now(), quarantine.Attempt{
		Incarnation: incarnation(s.Endpoint), Service: x.service.Name, Parts: x.request.SharedParts, SentAt: s.started, Acknowledged: f.acknowledged,
	})
	if !check {
		return
	}
	event.Log(x.ctx, h.options.Logger, event.BrokenUnanswered, slog.String("Attempt", x.request.Attempt), slog.String("Endpoint", s.ID),
		slog.Any("Parts", x.request.SharedParts), slog.Bool("Acknowledged", f.acknowledged))
	h.options.Spawn(func() { h.probe(s.Endpoint) })
}

// recordDown records that an endpoint does not accept connections. The caller holds h.mu.
func (h *Handler) recordDown(e report.Endpoint) {
	h.tracker.Down(h.options.Now(), incarnation(e))
}

func incarnation(e report.Endpoint) quarantine.Incarnation {
	return quarantine.Incarnation{Endpoint: e.ID, Born: e.Born}
}

// reportParts fills in what the leader needs to find parts of prompts that crash endpoints. The caller holds h.mu.
func (h *Handler) reportParts(now time.Time, r *report.Entry) {
	r.Crashes = h.tracker.Report(now, r.Term)
	asked := slices.Clone(h.options.View.Suspects())
	for _, c := range r.Crashes {
		for _, e := range c.Exposed {
			asked = append(asked, quarantine.Part{Service: c.Service, ID: e.ID})
		}
	}
	r.Begins = h.tracker.Begins(now, r.Term, asked)
	r.Refused = h.refusedParts
	h.refusedParts = map[string]quarantine.Refusals{}
}

// HasCrash reports whether a crash should be reported to the leader without waiting for the next report.
func (h *Handler) HasCrash() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.tracker.HasUnreported()
}

// Reported records that the leader has answered a report, and applies its permits to try quarantined parts.
func (h *Handler) Reported(at time.Time, r report.Entry, u report.Update) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if u.Term == r.Term {
		h.tracker.Delivered(at, u.Term, r.Crashes, r.Begins)
	}
	for _, id := range u.Trials {
		h.trials[id] = h.options.Now().Add(trialTime)
	}
}
