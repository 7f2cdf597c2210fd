package view

import (
	"time"

	"lycheevale/internal/member/report"
)

const (
	// heldTime is the time for which a held request stays held without a further update.
	heldTime = 2 * time.Second
	// heldNewTerm is the time after a change of the leader in which the new one may not know all crashes yet.
	heldNewTerm = time.Second
)

// heldRequest is an exact request of which one copy at a time is sent.
type heldRequest struct {
	since time.Time
	until time.Time
}

// applyHeld records which requests are held. A new leader learns of crashes from the next reports, so that its first lists release none.
func (v *View) applyHeld(sentAt time.Time, u report.Update) {
	if u.Term != v.term {
		v.termSince = sentAt
	}
	former := v.held
	v.held = map[string]heldRequest{}
	if sentAt.Sub(v.termSince) < heldNewTerm {
		for id, h := range former {
			if sentAt.Before(h.until) {
				v.held[id] = h
			}
		}
	}
	for _, id := range u.Held {
		h, known := former[id]
		if !known {
			h.since = sentAt
		}
		h.until = sentAt.Add(heldTime)
		v.held[id] = h
	}
}

// Held reports whether only one copy at a time of an exact request may be sent, and since when.
func (v *View) Held(now time.Time, id string) (since time.Time, held bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	h, known := v.held[id]
	return h.since, known && now.Before(h.until)
}
