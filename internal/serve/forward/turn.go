package forward

import (
	"time"

	"lycheevale/internal/base/refusal"
)

const (
	// turnWait is the time for which a request waits for its turn: a few intervals of reports.
	turnWait = time.Second
	// turnPause is a fraction of the interval of reports.
	turnPause = 25 * time.Millisecond
	// turnLease is the time in which a permit to send one copy is used. It leaves the rest of the leader's time for a permit to the report of its
	// outcome.
	turnLease = 1500 * time.Millisecond
	// turnRetry is the time after which a caller whose request did not get its turn may repeat it.
	turnRetry = time.Second
)

// awaitTurn delays a request that may have crashed endpoints, and is about to be sent, until the leader permits one copy of it, or until a copy has
// begun. Copies that are sent at once would each crash an endpoint before the request can be blamed. A request that has run is not delayed, but refused.
func (h *Handler) awaitTurn(x *exchange) (waited bool, refused *refusal.Error) {
	id := h.heldSignature(x)
	if id == "" || h.hasTurn(x, id) {
		return false, nil
	}
	if x.ran > 0 {
		return false, h.refuseTurn(id)
	}
	end := h.options.Now().Add(turnWait)
	h.countWaiting(id, 1)
	defer h.countWaiting(id, -1)
	for h.options.Now().Before(end) {
		select {
		case <-x.ctx.Done():
			return true, h.refuseTurn(id)
		case <-time.After(turnPause):
		}
		if refused = h.checkSignatures(x); refused != nil {
			return true, refused
		}
		if h.takeTurn(x, id) {
			return true, nil
		}
	}
	return true, h.refuseTurn(id)
}

// heldSignature returns the identifier of the exact request or else of its target, whichever is held, empty if none is.
func (h *Handler) heldSignature(x *exchange) string {
	for _, id := range x.signatures[:min(len(x.signatures), 2)] {
		if _, held := h.options.View.Held(h.options.Now(), id); held {
			return id
		}
	}
	return ""
}

func (h *Handler) countWaiting(id string, n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.waiting[id] += n; h.waiting[id] == 0 {
		delete(h.waiting, id)
	}
}

func (h *Handler) refuseTurn(id string) *refusal.Error {
	return refusal.New(refusal.Quarantined, "request %q may crash endpoints; one copy is sent at a time", id).WithRetryAt(h.options.Now().Add(turnRetry))
}

// isHeld reports whether only one copy at a time of an exact request is sent. A begin at this entry ends that before the leader knows of it.
func (h *Handler) isHeld(id string) bool {
	since, held := h.options.View.Held(h.options.Now(), id)
	return held && !h.tracker.LastBegin(id).After(since)
}

// takeTurn reports whether a request need not wait any longer, or uses the permit for one copy.
func (h *Handler) takeTurn(x *exchange, id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.isHeld(id) {
		return true
	}
	until := h.turns[id]
	if !h.options.Now().Before(until) {
		return false
	}
	delete(h.turns, id)
	x.turnUntil = until
	return true
}

// hasTurn reports whether a request may be sent: it is not held, or has a turn and has not run.
func (h *Handler) hasTurn(x *exchange, id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.isHeld(id) || (x.ran == 0 && h.options.Now().Before(x.turnUntil))
}
