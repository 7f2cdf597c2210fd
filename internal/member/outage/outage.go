// Package outage estimates when a leader answers again, so that refused callers get a time to retry at.
package outage

import (
	"sync"
	"time"
)

const (
	// electionTime is the usual time from the failure of a leader until another one answers: 0.7 to 1.1 s for the election, and
	// the time until the reports of entries reach the new leader.
	electionTime = 1600 * time.Millisecond
	// restartTime is the same if no control instance answers: their processes restart within one to two seconds and then elect
	// a leader.
	restartTime = 3500 * time.Millisecond
	// extraTime is the expected remaining time of an outage that has lasted longer than expected.
	extraTime = time.Second
	// unansweredLimit is the number of unanswered lookups from which all control instances count as down. One is not enough,
	// because the first lookup fails together with the leader.
	unansweredLimit = 3
)

// Outage tracks the time since the leader last answered. It is safe for concurrent use.
type Outage struct {
	mu            sync.Mutex
	since         time.Time // zero while the leader answers
	unanswered    int       // lookups that no control instance answered
	otherAnswered bool      // another control instance has answered a lookup
}

// New returns an outage that begins now, since no leader has answered yet.
func New(now time.Time) *Outage { return &Outage{since: now} }

// Answered records an answer of the leader, which ends the outage.
func (o *Outage) Answered() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.since, o.unanswered, o.otherAnswered = time.Time{}, 0, false
}

// CallFailed records a failed call to the leader. It does not show whether other control instances answer.
func (o *Outage) CallFailed(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.begin(now)
}

// LookupFailed records a lookup that no leader answered; reached reports whether another control instance did.
func (o *Outage) LookupFailed(now time.Time, reached bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.begin(now)
	if reached {
		o.otherAnswered = true
	} else {
		o.unanswered++
	}
}

func (o *Outage) begin(now time.Time) {
	if o.since.IsZero() {
		o.since = now
	}
}

// ExpectedEnd returns when a leader is expected to answer again, or the zero time while one answers.
func (o *Outage) ExpectedEnd(now time.Time) (at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.since.IsZero() {
		return at
	}
	at = o.since.Add(electionTime)
	if !o.otherAnswered && o.unanswered >= unansweredLimit {
		at = o.since.Add(restartTime)
	}
	if now.After(at) {
		return now.Add(extraTime)
	}
	return at
}
