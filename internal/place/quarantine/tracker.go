package quarantine

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Tracker records at an entry which signatures were exposed to crashes, and which ones begin. It is not safe for concurrent use.
type Tracker struct {
	begun         recentBegins
	begunRequests recentBegins // of exact requests and targets, most of which are unique
	broken        map[Incarnation]*brokenEndpoint
	crashes       map[Incarnation]*brokenEndpoint // of these, the confirmed ones
	left          map[Incarnation]*leftEndpoint
	told          map[Signature]time.Time // begins that the leader of toldTerm has received
	toldTerm      uint64
}

// brokenEndpoint is an endpoint whose connections broke before answers began.
type brokenEndpoint struct {
	incarnation Incarnation
	service     string
	at          time.Time                  // of the crash, or else of the first connection that broke within confirmTime
	downAt      time.Time                  // when the endpoint refused a connection
	checkedAt   time.Time                  // when the last check was requested
	exposed     map[string]*exposedRequest // by requestKey
	reported    bool                       // in its current state
	delivered   uint64                     // term of the leader that has received the record
}

// requestKey returns the identifier of the exact request, or what else tells requests apart.
func requestKey(signatures []string) string {
	if KindOf(signatures[0]) == KindRequest {
		return signatures[0]
	}
	return strings.Join(signatures, "\n")
}

// exposedRequest is a request that had not begun, or several that are the same.
type exposedRequest struct {
	signatures []string
	repeated   bool // it was exposed to an earlier crash
	copies     int
	exposure
}

// exposure is the latest request with a signature that had not begun.
type exposure struct {
	sentAt       time.Time
	acknowledged bool           // the endpoint had sent the head of an answer to one of them
	copies       map[string]int // at the leader, copies of an exact request by entry
	turn         bool           // at the leader, the request was sent alone, with its permit
}

func (e *exposure) merge(other exposure) {
	if other.sentAt.After(e.sentAt) {
		e.sentAt = other.sentAt
	}
	e.acknowledged = e.acknowledged || other.acknowledged
	e.turn = e.turn || other.turn
	for entry, n := range other.copies {
		if e.copies == nil {
			e.copies = map[string]int{}
		}
		e.copies[entry] = max(e.copies[entry], n) // a report contains what the entry has reported before
	}
}

// count returns the number of copies at all entries.
func (e *exposure) count() (n int) {
	for _, copies := range e.copies {
		n += copies
	}
	return n
}

// add merges a request. Beyond the limit, one that is acknowledged or repeated replaces one that is neither.
func (b *brokenEndpoint) add(key string, x exposedRequest) {
	if merged := b.exposed[key]; merged != nil {
		merged.merge(x.exposure)
		merged.copies = min(merged.copies+1, maxCopies)
		for _, id := range x.signatures {
			if !slices.Contains(merged.signatures, id) {
				merged.signatures = append(slices.Clip(merged.signatures), id)
			}
		}
		return
	}
	if len(b.exposed) >= maxExposed && ((!x.acknowledged && !x.repeated) || !b.makeRoom()) {
		return
	}
	b.exposed[key] = &x
}

// makeRoom removes one request that was neither acknowledged nor repeated, and reports whether there was one.
func (b *brokenEndpoint) makeRoom() bool {
	for key, x := range b.exposed {
		if !x.acknowledged && !x.repeated {
			delete(b.exposed, key)
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
	// maxCrashes and maxExposed limit the memory for crashes and the requests that were exposed to one crash.
	maxCrashes = 128
	maxExposed = 64
	// maxCopies limits the copies of an exact request that a report of a crash counts.
	maxCopies = 8
	// maxReported limits the crashes of one report. A new leader gets those of the last ten minutes from all entries.
	maxReported = 16
)

// NewTracker returns a tracker without records.
func NewTracker() *Tracker {
	return &Tracker{
		begun: newRecentBegins(), begunRequests: newRecentBegins(),
		broken: map[Incarnation]*brokenEndpoint{}, crashes: map[Incarnation]*brokenEndpoint{}, left: map[Incarnation]*leftEndpoint{}, told: map[Signature]time.Time{},
	}
}

// Begun records that a request with the signatures has begun at an endpoint of a service.
func (t *Tracker) Begun(now time.Time, service string, signatures []string) {
	for _, id := range signatures {
		sig := NewSignature(service, id)
		t.recent(sig).record(sig, now)
	}
}

// recent returns the begins among which those of a signature are.
func (t *Tracker) recent(sig Signature) *recentBegins {
	if KindOf(sig.ID) <= KindTarget {
		return &t.begunRequests
	}
	return &t.begun
}

func (t *Tracker) lastBegin(sig Signature) (at time.Time, known bool) { return t.recent(sig).last(sig) }

// Proven reports whether all parts of a request's prompt have begun here at endpoints of a service.
func (t *Tracker) Proven(service string, signatures []string) bool {
	for _, id := range signatures {
		if KindOf(id) != KindPart {
			continue
		}
		if _, known := t.lastBegin(NewSignature(service, id)); !known {
			return false
		}
	}
	return true
}

// Repeated reports whether the exact request of an attempt was exposed to the crash of another endpoint, and has not begun here since.
func (t *Tracker) Repeated(a Attempt) bool {
	if len(a.Signatures) == 0 || KindOf(a.Signatures[0]) != KindRequest {
		return false
	}
	last, _ := t.lastBegin(NewSignature(a.Service, a.Signatures[0]))
	for i, b := range t.crashes {
		if x := b.exposed[a.Signatures[0]]; x != nil && i != a.Incarnation && !last.After(x.sentAt) {
			return true
		}
	}
	return false
}

// Attempt is a request at an endpoint that has not begun.
type Attempt struct {
	Incarnation  Incarnation
	Service      string
	Signatures   []string // identifiers; that of the exact request, if it is known, is the first
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
		b.at, b.exposed = now, map[string]*exposedRequest{} // earlier connections were only reset
	}
	b.service = a.Service
	b.add(requestKey(a.Signatures), exposedRequest{
		signatures: a.Signatures, repeated: t.Repeated(a), copies: 1, exposure: exposure{sentAt: a.SentAt, acknowledged: a.Acknowledged},
	})
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
		b = &brokenEndpoint{incarnation: i, exposed: map[string]*exposedRequest{}, checkedAt: now.Add(-confirmTime)}
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

// Report returns crashes that the leader of a term has not received yet, the oldest first, without requests that have begun here after they
// were exposed. The exposures of the signatures of a request follow that of the exact request, which is repeated for each further copy.
func (t *Tracker) Report(now time.Time, term uint64) (list []Crash) {
	due := slices.SortedFunc(maps.Values(t.crashes), func(a, b *brokenEndpoint) int { return a.at.Compare(b.at) })
	for _, b := range due {
		if b.delivered == term || len(list) == maxReported {
			continue
		}
		b.reported = true
		if c := t.report(now, b); len(c.Exposed) > 0 {
			list = append(list, c)
		}
	}
	return list
}

func (t *Tracker) report(now time.Time, b *brokenEndpoint) Crash {
	c := Crash{Incarnation: b.incarnation, Service: b.service, AgoMillis: millisSince(now, b.at)}
	begunSince := func(id string) bool {
		last, known := t.lastBegin(NewSignature(b.service, id))
		return known && last.After(b.at)
	}
	others := map[string]*exposure{} // of requests that are not known exactly
	for _, key := range slices.Sorted(maps.Keys(b.exposed)) {
		x := b.exposed[key]
		if KindOf(key) != KindRequest {
			for _, id := range x.signatures {
				if others[id] == nil {
					others[id] = &exposure{}
				}
				others[id].merge(x.exposure)
			}
			continue
		}
		if begunSince(key) {
			continue
		}
		for range x.copies - 1 {
			c.Exposed = append(c.Exposed, x.report(b.at, key))
		}
		for _, id := range x.signatures {
			if !begunSince(id) {
				c.Exposed = append(c.Exposed, x.report(b.at, id))
			}
		}
	}
	for _, id := range slices.Backward(slices.Sorted(maps.Keys(others))) {
		if !begunSince(id) {
			c.Exposed = slices.Insert(c.Exposed, 0, others[id].report(b.at, id))
		}
	}
	return c
}

func (e *exposure) report(crashAt time.Time, id string) Exposure {
	return Exposure{ID: id, WaitedMillis: millisSince(crashAt, e.sentAt), Acknowledged: e.acknowledged}
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
		if at, known := t.lastBegin(sig); known && at.After(t.told[sig]) {
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
