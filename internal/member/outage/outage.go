// Package outage estimates when a leader that does not answer is back, so that callers who are refused meanwhile are told a time
// at which they can be served.
package outage

import (
	"sync"
	"time"
)

const (
	// electionTime is the usual time from the loss of a leader until another one answers: 0.7 to 1.1 s for the election, and the
	// reports of entries that find it.
	electionTime = 1600 * time.Millisecond
	// restartTime is the same where no control instance answers: their processes are back after one to two seconds, and elect
	// a leader.
	restartTime = 3500 * time.Millisecond
	// longerTime is added to the age of an outage that has lasted longer than expected.
	longerTime = time.Second
	// unreachableInstances is the number of questions to control instances that nobody answers, from which on all of them count as
	// down: the first fails with the leader itself.
	unreachableInstances = 3
)

// Outage is the time since the leader has last answered. It is safe for concurrent use.
type Outage struct {
	mu      sync.Mutex
	since   time.Time // zero while the leader answers
	silent  int       // questions without any answer
	reached bool      // another control instance has answered
}

// New returns an outage that begins now: no leader has answered yet.
func New(now time.Time) *Outage { return &Outage{since: now} }

// Answered ends the outage.
func (o *Outage) Answered() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.since, o.silent, o.reached = time.Time{}, 0, false
}

// CallFailed records a call to the leader that has failed, which tells nothing of the other control instances.
func (o *Outage) CallFailed(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.begin(now)
}

// LookupFailed records a question that no leader has answered; reached tells that another instance did.
func (o *Outage) LookupFailed(now time.Time, reached bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.begin(now)
	if reached {
		o.reached = true
	} else {
		o.silent++
	}
}

func (o *Outage) begin(now time.Time) {
	if o.since.IsZero() {
		o.since = now
	}
}

// ExpectedEnd returns when a leader is expected to answer again; zero while one answers.
func (o *Outage) ExpectedEnd(now time.Time) (at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.since.IsZero() {
		return at
	}
	at = o.since.Add(electionTime)
	if !o.reached && o.silent >= unreachableInstances {
		at = o.since.Add(restartTime)
	}
	if now.After(at) {
		return now.Add(longerTime)
	}
	return at
}
