// Package ceiling records the rates of requests that endpoints take from all entries together, for as long as they name them in their answers. Package
// quota divides such a rate among entries, as it does with a customer's. The package reads no clock and does no I/O.
package ceiling

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"lycheevale/internal/limit/quota"
)

// Unit is the number of tokens that a request costs in package quota, which gives out whole tokens.
const Unit = 1000

const (
	// minRate lets through the requests whose answers tell that an endpoint takes more again.
	minRate = 0.25
	// burstTime is the time for which an endpoint's rate is kept for requests that arrive together.
	burstTime = 500 * time.Millisecond
	// retention exceeds the time in which all entries have learned that an endpoint names no rate any more.
	retention = 30 * time.Second
	// awayRetention exceeds the time for which an endpoint is usually cut off from the leader.
	awayRetention = 2 * time.Minute
	// maxEndpoints limits the memory for endpoints that name rates.
	maxEndpoints = 20_000
)

// Named is the rate that an endpoint has named, as sent between entries and the leader.
type Named struct {
	_ struct{} `cbor:",toarray"`

	Endpoint  string  `json:"Endpoint"`
	Rate      float64 `json:"Rate,omitempty"` // requests per second, 0 if it names none any more
	AgoMillis int64   `json:"AgoMillis"`      // time since the answer that states it
}

// Book holds the latest statement of each endpoint. It is not safe for concurrent use.
type Book struct {
	records  map[string]record
	revision uint64
}

type record struct {
	rate   float64 // requests per second, 0 for none
	stated time.Time
	own    bool      // in an answer that was received here
	away   time.Time // since when its endpoint is not listed
}

// New returns an empty book.
func New() *Book { return &Book{records: map[string]record{}} }

// State records what an endpoint has stated in an answer to a request that was sent at a time: a rate, or 0 for none. It reports whether the rate has
// changed.
func (b *Book) State(now, sent time.Time, endpoint string, rate float64) (changed bool) {
	before := b.records[endpoint]
	if rate > 0 {
		rate = max(rate, minRate)
	} else if before.rate == 0 || sent.Before(before.stated) {
		return false // nothing ends
	}
	return b.set(endpoint, record{rate: rate, stated: now, own: true})
}

func (b *Book) set(endpoint string, r record) (changed bool) {
	before, known := b.records[endpoint]
	if !known && len(b.records) >= maxEndpoints {
		return false
	}
	b.records[endpoint] = r
	if changed = before.rate != r.rate; changed {
		b.revision++
	}
	return changed
}

// Merge records statements that others have received, unless a later one of the endpoint is known, or the same was stated here.
func (b *Book) Merge(now time.Time, list []Named) {
	for _, n := range list {
		stated := now.Add(-time.Duration(max(n.AgoMillis, 0)) * time.Millisecond)
		before, known := b.records[n.Endpoint]
		outdated := known && (!stated.After(before.stated) || (before.own && before.rate == n.Rate))
		if outdated || !(n.Rate >= 0) || math.IsInf(n.Rate, 0) {
			continue
		}
		b.set(n.Endpoint, record{rate: n.Rate, stated: stated})
	}
}

// Replace merges the complete list of the leader, and removes what it lacks, except for statements that are younger than the report that it answers.
func (b *Book) Replace(now, reported time.Time, list []Named) {
	listed := map[string]bool{}
	for _, n := range list {
		listed[n.Endpoint] = true
	}
	b.delete(func(endpoint string, r record) bool { return !listed[endpoint] && r.stated.Before(reported) })
	b.Merge(now, list)
}

// Forget removes endpoints that have not been listed for some time, and old statements that an endpoint names no rate. One that is back takes no more than
// before until it says so.
func (b *Book) Forget(now time.Time, listed func(endpoint string) bool) {
	for endpoint, r := range b.records {
		switch {
		case listed(endpoint):
			r.away = time.Time{}
		case r.away.IsZero():
			r.away = now
		}
		b.records[endpoint] = r
	}
	b.delete(func(_ string, r record) bool {
		return (!r.away.IsZero() && now.Sub(r.away) >= awayRetention) || (r.rate == 0 && now.Sub(r.stated) >= retention)
	})
}

func (b *Book) delete(remove func(endpoint string, r record) bool) {
	maps.DeleteFunc(b.records, func(endpoint string, r record) bool {
		removes := remove(endpoint, r)
		if removes && r.rate > 0 {
			b.revision++
		}
		return removes
	})
}

// Limit returns the limit of an endpoint that names a rate, in tokens of which a request costs Unit.
func (b *Book) Limit(endpoint string) (l quota.Limit, limited bool) {
	r := b.records[endpoint]
	if r.rate <= 0 {
		return l, false
	}
	return quota.Limit{Rate: r.rate * Unit, Burst: (1 + r.rate*burstTime.Seconds()) * Unit}, true
}

// Limits returns the limits of all endpoints that name a rate.
func (b *Book) Limits() map[string]quota.Limit {
	limits := map[string]quota.Limit{}
	for endpoint := range b.records {
		if l, limited := b.Limit(endpoint); limited {
			limits[endpoint] = l
		}
	}
	return limits
}

// List returns all statements, sorted by endpoint.
func (b *Book) List(now time.Time) []Named {
	return b.list(now, func(record) bool { return true })
}

// Own returns the statements in answers that were received here, sorted by endpoint. Those of others are not passed on, because they would seem younger
// each time.
func (b *Book) Own(now time.Time) []Named {
	return b.list(now, func(r record) bool { return r.own })
}

func (b *Book) list(now time.Time, include func(r record) bool) (list []Named) {
	for endpoint, r := range b.records {
		if !include(r) {
			continue
		}
		list = append(list, Named{Endpoint: endpoint, Rate: r.rate, AgoMillis: max(now.Sub(r.stated), 0).Milliseconds()})
	}
	slices.SortFunc(list, func(x, y Named) int { return strings.Compare(x.Endpoint, y.Endpoint) })
	return list
}

// Revision increases with each change of a rate.
func (b *Book) Revision() uint64 { return b.revision }
