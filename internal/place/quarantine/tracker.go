package quarantine

import (
	"maps"
	"slices"
	"time"
)

// Tracker records at an entry which signatures were exposed to crashes, and which ones begin. It is not safe for concurrent use.
type Tracker struct {
	begun    recentBegins
	broken   map[Incarnation]*brokenEndpoint
	crashes  map[Incarnation]*brokenEndpoint // of these, the confirmed ones
	told     map[Signature]time.Time         // begins that the leader of toldTerm has received
	toldTerm uint64
}

// brokenEndpoint is an endpoint whose connections broke before answers began.
type brokenEndpoint struct {
	incarnation Incarnation
	service     string
	at          time.Time // of the crash, or else of the first connection that broke within confirmTime
	downAt      time.Time // when the endpoint refused a connection
	checkedAt   time.Time // when the last check was requested
	exposed     exposures
	reported    bool   // in its current state
	delivered   uint64 // term of the leader that has received the record
}

// exposure is the latest request with a signature that had not begun.
type exposure struct {
	sentAt       time.Time
	acknowledged bool // the endpoint had sent the head of an answer to one of them
}

// exposures holds the signatures that were exposed to a crash, by identifier.
type exposures map[string]exposure

// add merges an exposure. Beyond limit signatures, an acknowledged one replaces one that is not.
func (x exposures) add(id string, e exposure, limit int) {
	merged, known := x[id]
	if !known && len(x) >= limit && (!e.acknowledged || !x.dropUnacknowledged()) {
		return
	}
	if e.sentAt.After(merged.sentAt) {
		merged.sentAt = e.sentAt
	}
	merged.acknowledged = merged.acknowledged || e.acknowledged
	x[id] = merged
}

// dropUnacknowledged removes one signature whose requests were not acknowledged, and reports whether there was one.
func (x exposures) dropUnacknowledged() bool {
	for id, e := range x {
		if !e.acknowledged {
			delete(x, id)
			return true
		}
	}
	return false
}

const (
	// confirmTime is the time before and after a broken connection in which a refused one shows that the endpoint has crashed. Restarted
	// endpoints accept connections after a second or more.
	confirmTime = time.Second
	// retention is the time for which crashes are evidence.
	retention = 10 * time.Minute
	// maxCrashes and maxExposed limit the memory for crashes and the signatures of one crash.
	maxCrashes = 128
	maxExposed = 64
)

// NewTracker returns a tracker without records.
func NewTracker() *Tracker {
	return &Tracker{
		begun: newRecentBegins(), broken: map[Incarnation]*brokenEndpoint{}, crashes: map[Incarnation]*brokenEndpoint{},
		told: map[Signature]time.Time{},
	}
}

// Begun records that a request with the signatures has begun at an endpoint of a service.
func (t *Tracker) Begun(now time.Time, service string, signatures []string) {
	for _, id := range signatures {
		t.begun.record(Signature{Service: service, ID: id}, now)
	}
}

// Proven reports whether all signatures have begun here at endpoints of a service.
func (t *Tracker) Proven(service string, signatures []string) bool {
	for _, id := range signatures {
		if _, known := t.begun.last(Signature{Service: service, ID: id}); !known {
			return false
		}
	}
	return true
}

// Attempt is a request at an endpoint that has not begun.
type Attempt struct {
	Incarnation  Incarnation
	Service      string
	Signatures   []string
	SentAt       time.Time
	Acknowledged bool // the head of an answer has arrived
}

// Broken records that the connection of an attempt broke. It reports whether the caller should check if the endpoint accepts connections,
// and pass a failure to Down.
func (t *Tracker) Broken(now time.Time, a Attempt) (check bool) {
	if len(a.Signatures) == 0 {
		return false
	}
	b := t.endpoint(now, a.Incarnation)
	if t.crashes[a.Incarnation] == nil && now.Sub(b.at) > confirmTime {
		b.at, b.exposed = now, exposures{} // earlier connections were only reset
	}
	b.service = a.Service
	for _, id := range a.Signatures {
		b.exposed.add(id, exposure{sentAt: a.SentAt, acknowledged: a.Acknowledged}, maxExposed)
	}
	b.reported, b.delivered = false, 0
	t.confirm(b)
	if !b.downAt.IsZero() || now.Sub(b.checkedAt) < confirmTime {
		return false
	}
	b.checkedAt = now
	return true
}

// Down records that an endpoint does not accept connections.
func (t *Tracker) Down(now time.Time, i Incarnation) {
	b := t.endpoint(now, i)
	b.downAt = now
	t.confirm(b)
}

func (t *Tracker) endpoint(now time.Time, i Incarnation) *brokenEndpoint {
	b := t.broken[i]
	if b == nil {
		t.expire(now)
		b = &brokenEndpoint{incarnation: i, exposed: exposures{}, checkedAt: now.Add(-confirmTime)}
		t.broken[i] = b
	}
	return b
}

func (t *Tracker) confirm(b *brokenEndpoint) {
	if !b.at.IsZero() && !b.downAt.IsZero() && b.downAt.Sub(b.at).Abs() <= confirmTime {
		t.crashes[b.incarnation] = b
	}
}

// expire removes old records, and the oldest crash if there are too many.
func (t *Tracker) expire(now time.Time) {
	maps.DeleteFunc(t.crashes, func(_ Incarnation, b *brokenEndpoint) bool { return now.Sub(b.at) > retention })
	if len(t.crashes) >= maxCrashes {
		oldest := slices.MinFunc(slices.Collect(maps.Values(t.crashes)), func(a, b *brokenEndpoint) int { return a.at.Compare(b.at) })
		delete(t.crashes, oldest.incarnation)
	}
	maps.DeleteFunc(t.broken, func(i Incarnation, b *brokenEndpoint) bool {
		return t.crashes[i] == nil && now.Sub(b.at) > confirmTime && now.Sub(b.downAt) > confirmTime
	})
}

// Report returns the crashes that the leader of a term has not received yet, without signatures that have begun here after they were exposed.
func (t *Tracker) Report(now time.Time, term uint64) (list []Crash) {
	for i, b := range t.crashes {
		if b.delivered == term {
			continue
		}
		b.reported = true
		c := Crash{Incarnation: i, Service: b.service, AgoMillis: millisSince(now, b.at)}
		for id, e := range b.exposed {
			if last, known := t.begun.last(Signature{Service: b.service, ID: id}); known && last.After(b.at) {
				continue
			}
			c.Exposed = append(c.Exposed, Exposure{ID: id, WaitedMillis: millisSince(b.at, e.sentAt), Acknowledged: e.acknowledged})
		}
		if len(c.Exposed) > 0 {
			list = append(list, c)
		}
	}
	slices.SortFunc(list, func(a, b Crash) int { return int(b.AgoMillis - a.AgoMillis) })
	return list
}

// HasUnreported reports whether there is a crash that no report has contained as it is.
func (t *Tracker) HasUnreported() bool {
	for _, b := range t.crashes {
		if !b.reported {
			return true
		}
	}
	return false
}

// Begins returns when requests with the given signatures last began here, unless the leader of the term knows it.
func (t *Tracker) Begins(now time.Time, term uint64, signatures []Signature) (list []Begin) {
	if term != t.toldTerm {
		t.told, t.toldTerm = map[Signature]time.Time{}, term
	}
	for _, sig := range signatures {
		if at, known := t.begun.last(sig); known && at.After(t.told[sig]) {
			list = append(list, Begin{Signature: sig, AgoMillis: millisSince(now, at)})
		}
	}
	return list
}

// Delivered records that the leader of a term has received crashes and begins that were reported at a time.
func (t *Tracker) Delivered(reportedAt time.Time, term uint64, crashes []Crash, begins []Begin) {
	for _, c := range crashes {
		if b := t.crashes[c.Incarnation]; b != nil && b.reported {
			b.delivered = term
		}
	}
	if term != t.toldTerm {
		return
	}
	if len(t.told) > maxGeneration {
		t.told = map[Signature]time.Time{}
	}
	for _, b := range begins {
		t.told[b.Signature] = reportedAt
	}
}

// recentBegins holds the last begins of the most recent signatures, in two generations.
type recentBegins struct {
	current, previous map[Signature]time.Time
}

// maxGeneration is the number of signatures of one generation.
const maxGeneration = 4096

func newRecentBegins() recentBegins { return recentBegins{current: map[Signature]time.Time{}} }

func (r *recentBegins) record(sig Signature, at time.Time) {
	if _, known := r.current[sig]; !known && len(r.current) >= maxGeneration {
		r.current, r.previous = map[Signature]time.Time{}, r.current
	}
	r.current[sig] = at
}

func (r *recentBegins) last(sig Signature) (at time.Time, known bool) {
	if at, known = r.current[sig]; !known {
		at, known = r.previous[sig]
	}
	return at, known
}
