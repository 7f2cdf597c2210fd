package quarantine

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// leftEndpoint is an endpoint that may still run requests of which the entry has let go.
type leftEndpoint struct {
	service  string
	requests map[string]*leftRequest // by requestKey
}

type leftRequest struct {
	exposedRequest
	until time.Time // when the endpoint has ended it at the latest
}

// maxLeft limits the memory for requests of which an entry has let go.
const maxLeft = 1024

// Left records that the entry has ended an attempt before its answer began, for instance because the caller has left. The endpoint may run it until a time.
// The caller should watch whether the endpoint's process ends meanwhile, and pass that to Ended.
func (t *Tracker) Left(now time.Time, a Attempt, until time.Time) {
	if len(a.Signatures) == 0 || !now.Before(until) {
		return
	}
	if begun, _ := t.lastBegin(NewSignature(a.Service, a.Signatures[0])); begun.After(a.SentAt) {
		return
	}
	repeated := t.Repeated(a)
	if t.countLeft() >= maxLeft && !t.makeLeftRoom(now, repeated) {
		return
	}
	l := t.left[a.Incarnation]
	if l == nil {
		l = &leftEndpoint{service: a.Service, requests: map[string]*leftRequest{}}
		t.left[a.Incarnation] = l
	}
	key := requestKey(a.Signatures)
	x := l.requests[key]
	if x == nil {
		x = &leftRequest{exposedRequest: exposedRequest{signatures: a.Signatures, exposure: exposure{sentAt: a.SentAt}}}
		l.requests[key] = x
	}
	x.sentAt, x.repeated, x.copies = a.SentAt, x.repeated || repeated, min(x.copies+1, maxCopies)
	if until.After(x.until) {
		x.until = until
	}
}

func (t *Tracker) countLeft() (n int) {
	for _, l := range t.left {
		n += len(l.requests)
	}
	return n
}

// makeLeftRoom makes room for a request, and reports whether there is. One that was exposed to an earlier crash replaces one that was not.
func (t *Tracker) makeLeftRoom(now time.Time, repeated bool) bool {
	t.expireLeft(now)
	if t.countLeft() < maxLeft {
		return true
	}
	for i, l := range t.left {
		for key, x := range l.requests {
			if repeated && !x.repeated {
				delete(l.requests, key)
				t.dropEmpty(i)
				return true
			}
		}
	}
	return false
}

func (t *Tracker) expireLeft(now time.Time) {
	for i, l := range t.left {
		maps.DeleteFunc(l.requests, func(_ string, x *leftRequest) bool { return !now.Before(x.until) })
		t.dropEmpty(i)
	}
}

func (t *Tracker) dropEmpty(i Incarnation) {
	if len(t.left[i].requests) == 0 {
		delete(t.left, i)
	}
}

// LeftAt returns the endpoints that may still run requests of which the entry has let go, in a stable order.
func (t *Tracker) LeftAt(now time.Time) []Incarnation {
	t.expireLeft(now)
	return slices.SortedFunc(maps.Keys(t.left), func(a, b Incarnation) int { return strings.Compare(a.Endpoint, b.Endpoint) })
}

// Ended records that an endpoint's process has ended: it refuses connections, which a lost one does not do. Requests that it may still have run were exposed to
// that. It returns their number.
func (t *Tracker) Ended(now time.Time, i Incarnation) (exposed int) {
	t.Down(now, i)
	t.expireLeft(now)
	l := t.left[i]
	if l == nil {
		return 0
	}
	delete(t.left, i)
	b := t.broken[i]
	if t.crashes[i] == nil && now.Sub(b.at) > confirmTime {
		b.at, b.exposed = now, map[string]*exposedRequest{}
	}
	b.service = l.service
	for _, key := range slices.Sorted(maps.Keys(l.requests)) {
		x := l.requests[key].exposedRequest
		for range x.copies {
			one := x
			one.copies = 1
			b.add(key, one)
		}
		exposed++
	}
	b.reported, b.delivered = false, 0
	t.confirm(b)
	return exposed
}
