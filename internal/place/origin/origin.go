// Package origin records which software version of a service began each stream. What two versions write does not fit together, so that a stream may
// be continued only at the version that began it.
package origin

import (
	"cmp"
	"slices"
	"time"
)

// Software is a software version of the endpoints of a service.
type Software struct {
	_ struct{} `cbor:",toarray"`

	Service string `json:"Service"`
	Version string `json:"Version"` // empty if endpoints name none
}

func (s Software) compare(other Software) int {
	return cmp.Or(cmp.Compare(s.Service, other.Service), cmp.Compare(s.Version, other.Version))
}

// Stream is a stream that has begun.
type Stream struct {
	_ struct{} `cbor:",toarray"`

	Attempt  string   `json:"Attempt"` // the caller's attempt that brought the first event
	Software Software `json:"Software"`
}

// minRetention exceeds the time for which most callers continue a stream.
const minRetention = time.Minute

// Retention returns the time for which a caller may continue a stream, in a deployment whose routes have at most this timeout. A caller may wait for
// several attempts.
func Retention(longestTimeout time.Duration) time.Duration {
	return max(minRetention, 2*longestTimeout)
}

// MaxStreams is the number of streams that about 15 MB of memory hold.
const MaxStreams = 100_000

// Book records streams. It reads no clock and does no I/O. It is not safe for concurrent use.
type Book struct {
	limit   int
	streams map[string]*record
	order   []*record // by time of their recording, oldest first
	dropped int       // records at the beginning of order that are forgotten
}

type record struct {
	Stream
	at   time.Time
	sent uint64 // term of the leader that has confirmed the record, 0 for none
}

// New returns an empty book of at most limit streams, the newest ones.
func New(limit int) *Book { return &Book{limit: limit, streams: map[string]*record{}} }

// maxAttempt limits the memory for one identifier in bytes; a stream with a longer one is not recorded.
const maxAttempt = 128

// Record records a stream. Where the stream is known, the earlier record stays, unless its route leads to another service now.
func (b *Book) Record(now time.Time, s Stream) {
	if len(s.Attempt) == 0 || len(s.Attempt) > maxAttempt {
		return
	}
	if r := b.streams[s.Attempt]; r != nil {
		if r.Software.Service != s.Software.Service {
			r.Software, r.sent = s.Software, 0
		}
		return
	}
	if len(b.streams) >= b.limit {
		b.drop()
	}
	r := &record{Stream: s, at: now}
	b.streams[s.Attempt] = r
	b.order = append(b.order, r)
}

// Find returns the software version that began a stream.
func (b *Book) Find(attempt string) (s Software, known bool) {
	r := b.streams[attempt]
	if r == nil {
		return s, false
	}
	return r.Software, true
}

// Unconfirmed returns the newest streams that the leader of a term has not confirmed, at most limit of some services and at most others of the rest; older
// ones have mostly ended.
func (b *Book) Unconfirmed(term uint64, services []string, limit, others int) (list []Stream) {
	if len(services) == 0 {
		limit = 0
	}
	for _, r := range slices.Backward(b.order[b.dropped:]) {
		if limit+others <= 0 {
			break
		}
		room := &others
		if slices.Contains(services, r.Software.Service) {
			room = &limit
		}
		if r.sent != term && *room > 0 {
			*room--
			list = append(list, r.Stream)
		}
	}
	return list
}

// Confirm records that the leader of a term has received streams.
func (b *Book) Confirm(term uint64, list []Stream) {
	for _, s := range list {
		if r := b.streams[s.Attempt]; r != nil {
			r.sent = term
		}
	}
}

// Forget removes the streams that are too old to be continued.
func (b *Book) Forget(now time.Time, retention time.Duration) {
	for b.dropped < len(b.order) && now.Sub(b.order[b.dropped].at) >= retention {
		b.drop()
	}
}

// drop removes the oldest record.
func (b *Book) drop() {
	delete(b.streams, b.order[b.dropped].Attempt)
	b.order[b.dropped] = nil
	if b.dropped++; b.dropped > len(b.order)/2 {
		b.order = append([]*record(nil), b.order[b.dropped:]...)
		b.dropped = 0
	}
}
