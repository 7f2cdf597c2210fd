package quarantine

import (
	"slices"
	"time"
)

// maxHeld limits the requests that are sent one copy at a time.
const maxHeld = 64

// holdCrashes is the number of runs that ended with their endpoints from which a request is held, and the number of crashes from which one is that
// has begun before: callers send some requests all the time, and many copies of them are at an endpoint that crashes for another cause.
const (
	holdRuns    = 2
	holdCrashes = 3
)

// turnTime is the time in which an entry sends a permitted copy and reports its begin or the crash of its endpoint.
const turnTime = 3 * time.Second

// held reports whether a request may have crashed so many endpoints that copies of it must not be sent at once.
func (s *suspect) held() bool {
	switch {
	case s.kind > KindTarget || s.size == 0:
		return false
	case s.begun.IsZero():
		return s.runs >= holdRuns
	}
	return s.kind == KindRequest && s.size >= holdCrashes // many sound requests have a target that has begun
}

// Held returns the identifiers of the exact requests and targets of which entries send one copy at a time, with a permit of the leader. The caller must not
// change the list.
func (d *Detector) Held() []string {
	d.compare()
	return d.heldIDs
}

// findHeld finds the held requests among all suspects.
func (d *Detector) findHeld() {
	var list []*suspect
	for _, s := range d.all {
		if s.held() {
			list = append(list, s)
		}
	}
	slices.SortStableFunc(list, func(a, b *suspect) int { return b.runs - a.runs })
	former := d.held
	d.held, d.heldIDs = map[string]*hold{}, nil
	for _, s := range list[:min(len(list), maxHeld)] {
		id := s.signature.ID
		h := former[id]
		if h == nil {
			h = &hold{}
		}
		h.crashedAt = time.Time{}
		for _, x := range s.exposed {
			if x.recordedAt.After(h.crashedAt) {
				h.crashedAt = x.recordedAt
			}
		}
		d.held[id] = h
		d.heldIDs = append(d.heldIDs, id)
	}
	slices.Sort(d.heldIDs)
}

// hold is a request of which one copy at a time is sent.
type hold struct {
	crashedAt   time.Time // when the leader learned of the last crash
	permittedAt time.Time // of the last copy
}

// permitted reports whether a copy was sent with the last permit.
func (h *hold) permitted(sentAt time.Time) bool {
	return h != nil && !h.permittedAt.IsZero() && !sentAt.Before(h.permittedAt)
}

// Turns returns those of the requests that wait at an entry of which it may send one copy. The next one follows when that copy has crashed its
// endpoint and entries could report begins since, or has not done so for a while. A begin ends the hold.
func (d *Detector) Turns(now time.Time, waiting []string) (turns []string) {
	d.compare()
	for _, id := range waiting {
		h := d.held[id]
		if h == nil || now.Before(h.crashedAt.Add(d.options.Settle)) || (!h.crashedAt.After(h.permittedAt) && now.Before(h.permittedAt.Add(turnTime))) {
			continue
		}
		h.permittedAt = now
		turns = append(turns, id)
	}
	return turns
}
