package forward

import (
	"log/slog"
	"maps"
	"slices"
	"strings"
	"time"

	"lycheevale/internal/base/event"
	"lycheevale/internal/base/refusal"
	"lycheevale/internal/member/report"
	"lycheevale/internal/place/quarantine"
)

// sign fills in the signatures of a request.
func (h *Handler) sign(x *exchange) *refusal.Error {
	customer := ""
	if x.customer != nil {
		customer = x.customer.Name
	}
	x.signatures = append(x.signatures, quarantine.Request([]byte(x.request.Method), []byte(x.request.Target), []byte(customer), x.body))
	if target, _, hasQuery := strings.Cut(x.request.Target, "?"); hasQuery {
		x.signatures = append(x.signatures, quarantine.Target([]byte(x.request.Method), []byte(target), []byte(customer), x.body))
	}
	for _, part := range x.request.SharedParts[:min(len(x.request.SharedParts), maxComparedParts)] {
		if id := quarantine.Part(part); len(id) <= maxPartBytes && !slices.Contains(x.signatures, id) {
			x.signatures = append(x.signatures, id)
		}
	}
	if a := x.request.Adapter; a.Name != "" {
		x.signatures = append(x.signatures, quarantine.Adapter(a.Model, a.Name))
	}
	if x.customer != nil {
		x.signatures = append(x.signatures, quarantine.Customer(customer))
	}
	return nil
}

const (
	// maxComparedParts and maxPartBytes limit what one request adds to reports of crashes. Callers choose their parts, and real prompts have a
	// few, whose identifiers are short.
	maxComparedParts = 32
	maxPartBytes     = 64
)

// exactRequest returns the identifier of the exact request, empty for a request that was refused before its body was read.
func (x *exchange) exactRequest() string {
	if len(x.signatures) == 0 {
		return ""
	}
	return x.signatures[0]
}

// checkSignatures refuses a request with a signature that crashes the endpoints which begin to answer it.
func (h *Handler) checkSignatures(x *exchange) *refusal.Error { return h.checkQuarantine(x, false) }

// checkQuarantine does the same, and uses up a permit for a trial if the request is about to be sent.
func (h *Handler) checkQuarantine(x *exchange, sending bool) *refusal.Error {
	ids := h.options.View.Quarantined(x.service.Name, x.signatures)
	if len(ids) == 0 || (x.trial && x.ran == 0) {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.options.Now()
	// With a second quarantined signature, a crash would not show which one is to blame.
	if permitUntil := h.trials[ids[0]]; len(ids) == 1 && now.Before(permitUntil) {
		if sending {
			delete(h.trials, ids[0])
			x.trial = true
		}
		return nil
	}
	for _, id := range ids {
		r := h.refusedSignatures[id]
		r.Total++
		if len(ids) == 1 {
			r.Alone++
		}
		h.refusedSignatures[id] = r
	}
	return refusal.New(refusal.Quarantined, "%s %q crashes endpoints", quarantine.KindOf(ids[0]), ids[0]).WithRetryAt(now.Add(quarantineRetry))
}

const (
	// quarantineRetry exceeds what callers wait, so that they do not repeat the request.
	quarantineRetry = time.Minute
	// trialTime is the time in which an entry may use a permit to try a quarantined signature.
	trialTime = 30 * time.Second
)

// recordBegin records that an endpoint has begun to answer the request.
func (h *Handler) recordBegin(x *exchange) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tracker.Begun(h.options.Now(), x.service.Name, x.signatures)
}

// recordBroken records a connection that broke before the answer began, and checks whether the endpoint has crashed. The request may have caused
// that, and is not sent to another endpoint, if it was exposed to an earlier crash here, or if the endpoint had sent the head of the answer and
// a part of the prompt has never begun here.
func (h *Handler) recordBroken(x *exchange, s *attempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f := s.inFlight
	if f.begun {
		return
	}
	a := quarantine.Attempt{
		Incarnation: incarnation(s.Endpoint), Service: x.service.Name, Signatures: x.signatures, SentAt: s.started, Acknowledged: f.acknowledged,
	}
	x.mayCrash = (f.acknowledged && !h.tracker.Proven(a.Service, a.Signatures)) || h.tracker.Repeated(a)
	check := h.tracker.Broken(h.options.Now(), a)
	if !check {
		return
	}
	event.Log(x.ctx, h.options.Logger, event.BrokenUnanswered, slog.String("Attempt", x.request.Attempt), slog.String("Endpoint", s.ID),
		slog.Any("Parts", x.request.SharedParts), slog.String("Request", x.exactRequest()), slog.Bool("Acknowledged", f.acknowledged))
	h.options.Spawn(func() { h.checkCrash(s.Endpoint) })
}

// checkCrash checks whether an endpoint whose connection broke has crashed. If it accepts a connection it is checked again, because the
// sockets of a process that ends are closed one after the other.
func (h *Handler) checkCrash(e report.Endpoint) {
	if h.probe(e) {
		time.Sleep(recheckAfter)
		_ = h.probe(e)
	}
}

// recheckAfter is shorter than any restart of an endpoint.
const recheckAfter = 200 * time.Millisecond

func incarnation(e report.Endpoint) quarantine.Incarnation {
	return quarantine.Incarnation{Endpoint: e.ID, Born: e.Born}
}

// reportSignatures fills in what the leader needs to find what crashes endpoints. The caller holds h.mu.
func (h *Handler) reportSignatures(now time.Time, r *report.Entry) {
	r.Crashes = h.tracker.Report(now, r.Term)
	asked := slices.Clone(h.options.View.Suspects())
	for _, c := range r.Crashes {
		for _, e := range c.Exposed {
			asked = append(asked, quarantine.NewSignature(c.Service, e.ID))
		}
	}
	r.Begins = h.tracker.Begins(now, r.Term, asked)
	r.Refused = h.refusedSignatures
	h.refusedSignatures = map[string]quarantine.Refusals{}
	r.Waiting = slices.Sorted(maps.Keys(h.waiting))
}

// HasCrash reports whether a crash should be reported to the leader without waiting for the next report.
func (h *Handler) HasCrash() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.tracker.HasUnreported()
}

// Reported records that the leader has answered a report, and applies its permits to try quarantined signatures.
func (h *Handler) Reported(at time.Time, r report.Entry, u report.Update) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if u.Term == r.Term {
		h.tracker.Delivered(at, u.Term, r.Crashes, r.Begins)
		h.streams.Confirm(u.Term, r.Streams)
	}
	for _, id := range u.Trials {
		h.trials[id] = h.options.Now().Add(trialTime)
	}
	for _, id := range u.Turns {
		h.turns[id] = h.options.Now().Add(turnLease)
	}
}
