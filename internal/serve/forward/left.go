package forward

import (
	"context"
	"log/slog"
	"slices"
	"syscall"
	"time"

	"github.com/zeebo/errs"

	"lycheevale/internal/base/event"
	"lycheevale/internal/member/report"
	"lycheevale/internal/place/quarantine"
	"lycheevale/internal/wire/upstream"
)

// recordLeft records an attempt that this entry has ended before its answer began: the caller has left, the deadline has passed, or another endpoint was
// faster. The endpoint may run it all the same, and crash.
func (h *Handler) recordLeft(x *exchange, s *attempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.inFlight.begun {
		return
	}
	i := incarnation(s.Endpoint)
	h.leftAt[i] = s.Endpoint
	h.tracker.Left(h.options.Now(), quarantine.Attempt{
		Incarnation: i, Service: x.service.Name, Signatures: x.signatures, SentAt: s.started,
	}, x.deadline.Add(overrun))
}

const (
	// overrun is the time by which an endpoint may exceed the deadline of a request.
	overrun = time.Second
	// leftInterval is short compared with the restart of an endpoint.
	leftInterval = 250 * time.Millisecond
	// leftProbeInterval limits the connections that are opened to an endpoint that keeps none open.
	leftProbeInterval = time.Second
)

// watchLeft checks the endpoints that may still run requests of which this entry has let go. The caller holds h.mu.
func (h *Handler) watchLeft(now time.Time) {
	if now.Sub(h.leftCheckedAt) < leftInterval {
		return
	}
	h.leftCheckedAt = now
	list := h.tracker.LeftAt(now)
	for i := range h.leftAt {
		if !slices.Contains(list, i) {
			delete(h.leftAt, i)
			delete(h.leftProbedAt, i)
		}
	}
	for _, i := range list {
		e := h.leftAt[i]
		if !h.serves(e) {
			continue
		}
		idle := h.options.Pool.CheckIdle(e.Address)
		if idle == upstream.IdleOpen || (idle == upstream.NoIdle && now.Sub(h.leftProbedAt[i]) < leftProbeInterval) {
			continue
		}
		h.leftProbedAt[i] = now
		h.options.Spawn(func() { _ = h.probe(e) }) // it leaves an idle connection
	}
}

// serves reports whether an incarnation of an endpoint is listed and does not leave; one that leaves ends without a crash.
func (h *Handler) serves(e report.Endpoint) bool {
	listed, ok := h.options.View.Endpoint(e.ID)
	return ok && listed.Born == e.Born
}

// recordUnreachable records that a connection to an endpoint has failed. The caller holds h.mu.
func (h *Handler) recordUnreachable(ctx context.Context, e report.Endpoint, err error) {
	if !errs.Is(err, syscall.ECONNREFUSED) || !h.serves(e) {
		h.tracker.Down(h.options.Now(), incarnation(e))
		return
	}
	if n := h.tracker.Ended(h.options.Now(), incarnation(e)); n > 0 {
		event.Log(ctx, h.options.Logger, event.LeftExposed, slog.String("Endpoint", e.ID), slog.Int64("Born", e.Born), slog.Int("Requests", n))
	}
}

// runsOn reports whether a request is sent on to its end although its caller has left: it, or what it has in common with others, may have crashed an endpoint
// before, and whether it begins shows whether it has.
func (h *Handler) runsOn(x *exchange) bool {
	if len(x.silent) > 0 {
		return false // a search ends with the request for which it began
	}
	for _, s := range h.options.View.Suspects() {
		if s.AppliesTo(x.service.Name) && slices.Contains(x.signatures, s.ID) {
			return true
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.tracker.Repeated(quarantine.Attempt{Service: x.service.Name, Signatures: x.signatures})
}
