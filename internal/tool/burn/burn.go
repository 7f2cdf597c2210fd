// Package burn reports how much of a service's error budget is spent, how fast, and on what.
package burn

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"lycheevale/internal/base/refusal"
	"lycheevale/internal/state/registry"
)

// Outcome is the end of one request.
type Outcome struct {
	Customer   string // empty on open routes
	Service    string
	Refused    refusal.Code  // empty when the request ran
	Failed     bool          // it ran, and its response was lost or broken
	Stalled    bool          // it waited for an adapter to be loaded
	FirstToken time.Duration // from arrival to the first byte of the response; 0 when there was none
}

// Counts are the requests of one bucket of time. A request counts as one of good, refused, failed, stalled and slow.
type Counts struct {
	Requests uint64                  `json:"Requests"`
	Good     uint64                  `json:"Good,omitempty"`
	Failed   uint64                  `json:"Failed,omitempty"`
	Stalled  uint64                  `json:"Stalled,omitempty"` // slow because of a load
	Slow     uint64                  `json:"Slow,omitempty"`    // slow for another reason
	Refused  map[refusal.Code]uint64 `json:"Refused,omitempty"`
}

// callersCodes are refusals that the caller can avoid; they spend no budget.
var callersCodes = []refusal.Code{
	refusal.OverRate, refusal.NotPermitted, refusal.BadRequest, refusal.UnknownModel, refusal.TooLarge,
	refusal.Conflict, refusal.NotFound, refusal.UnsupportedType,
}

// refusedBy sums the refusals of the callers' or of the system's making.
func (c Counts) refusedBy(callers bool) (n uint64) {
	for code, k := range c.Refused {
		if slices.Contains(callersCodes, code) == callers {
			n += k
		}
	}
	return n
}

// Eligible returns the requests that the objective of availability is about.
func (c Counts) Eligible() uint64 { return c.Requests - c.refusedBy(true) }

// Refusals returns the requests that the system refused for its own reasons.
func (c Counts) Refusals() uint64 { return c.refusedBy(false) }

// Ran returns the requests that the objective of the first token is about.
func (c Counts) Ran() uint64 { return c.Good + c.Stalled + c.Slow }

func (c *Counts) add(o Counts) {
	c.Requests += o.Requests
	c.Good += o.Good
	c.Failed += o.Failed
	c.Stalled += o.Stalled
	c.Slow += o.Slow
	for code, n := range o.Refused {
		if c.Refused == nil {
			c.Refused = map[refusal.Code]uint64{}
		}
		c.Refused[code] += n
	}
}

// count returns the counts of one request.
func count(o Outcome, objective registry.Objective) Counts {
	c := Counts{Requests: 1}
	limit := time.Duration(objective.FirstTokenMS) * time.Millisecond
	slow := limit > 0 && o.FirstToken > limit
	switch {
	case o.Refused != "":
		c.Refused = map[refusal.Code]uint64{o.Refused: 1}
	case o.Failed:
		c.Failed = 1
	case slow && o.Stalled:
		c.Stalled = 1
	case slow:
		c.Slow = 1
	default:
		c.Good = 1
	}
	return c
}

// Recorder counts outcomes in buckets of time, in bounded memory. It is safe for concurrent use. Buckets are aligned
// to the wall clock, so that snapshots of different instances can be merged.
type Recorder struct {
	options Options
	mu      sync.Mutex
	series  map[key]*series
}

type key struct{ customer, service string }

// series has one ring of minutes and one of hours, by number since 1970.
type series struct {
	minutes map[int64]*Counts
	hours   map[int64]*Counts
}

// New returns an empty recorder.
func New(opts ...Option) *Recorder {
	o := Options{
		MaxSeries: maxSeries,
		Objective: func(string) registry.Objective { return registry.Objective{} },
	}
	for _, opt := range opts {
		opt(&o)
	}
	return &Recorder{options: o, series: map[key]*series{}}
}

// Observe counts the end of a request.
func (r *Recorder) Observe(now time.Time, o Outcome) {
	c := count(o, r.options.Objective(o.Service))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.find(now, key{o.Customer, o.Service}).add(now, c)
}

// find returns the series of the key, or that of all others when there are too many.
func (r *Recorder) find(now time.Time, k key) *series {
	if s, ok := r.series[k]; ok {
		return s
	}
	if len(r.series) >= r.options.MaxSeries {
		maps.DeleteFunc(r.series, func(_ key, s *series) bool { return s.trim(now) })
	}
	// The names of services are few and configured; those of customers can be many.
	if len(r.series) >= r.options.MaxSeries && k.customer != Other {
		return r.find(now, key{Other, k.service})
	}
	s := &series{minutes: map[int64]*Counts{}, hours: map[int64]*Counts{}}
	r.series[k] = s
	return s
}

func (s *series) add(now time.Time, c Counts) {
	bucket(s.minutes, minuteOf(now)).add(c)
	bucket(s.hours, hourOf(now)).add(c)
	if len(s.minutes) > minutesKept || len(s.hours) > hoursKept {
		s.trim(now)
	}
}

// trim forgets what no window covers and reports whether nothing is left.
func (s *series) trim(now time.Time) (empty bool) {
	maps.DeleteFunc(s.minutes, func(n int64, _ *Counts) bool { return n <= minuteOf(now)-minutesKept })
	maps.DeleteFunc(s.hours, func(n int64, _ *Counts) bool { return n <= hourOf(now)-hoursKept })
	return len(s.hours) == 0
}

func bucket(m map[int64]*Counts, n int64) *Counts {
	c, ok := m[n]
	if !ok {
		c = &Counts{}
		m[n] = c
	}
	return c
}

func minuteOf(t time.Time) int64 { return t.Unix() / 60 }

func hourOf(t time.Time) int64 { return t.Unix() / 3600 }

// Snapshot is what recorders know; its JSON form is exchanged and stored.
type Snapshot struct {
	Series []Series `json:"Series,omitempty"` // by customer and service
}

// Series are the counts of one customer and service.
type Series struct {
	Customer string   `json:"Customer"`
	Service  string   `json:"Service"`
	Minutes  []Bucket `json:"Minutes,omitempty"` // ascending
	Hours    []Bucket `json:"Hours,omitempty"`   // ascending
}

// Bucket is one minute or hour, numbered since 1970.
type Bucket struct {
	Number int64 `json:"Number"`
	Counts
}

// Snapshot returns the counts that the windows cover.
func (r *Recorder) Snapshot(now time.Time) (s Snapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for k, v := range r.series {
		if !v.trim(now) {
			s.Series = append(s.Series, Series{k.customer, k.service, buckets(v.minutes), buckets(v.hours)})
		}
	}
	s.sort()
	return s
}

// Merge returns the sum of snapshots of different instances.
func Merge(list ...Snapshot) (sum Snapshot) {
	all := map[key]*series{}
	for _, one := range list {
		for _, s := range one.Series {
			k := key{s.Customer, s.Service}
			if all[k] == nil {
				all[k] = &series{minutes: map[int64]*Counts{}, hours: map[int64]*Counts{}}
			}
			for _, b := range s.Minutes {
				bucket(all[k].minutes, b.Number).add(b.Counts)
			}
			for _, b := range s.Hours {
				bucket(all[k].hours, b.Number).add(b.Counts)
			}
		}
	}
	for k, v := range all {
		sum.Series = append(sum.Series, Series{k.customer, k.service, buckets(v.minutes), buckets(v.hours)})
	}
	sum.sort()
	return sum
}

// buckets copies the counts, which go on changing in the recorder.
func buckets(m map[int64]*Counts) (list []Bucket) {
	for _, n := range slices.Sorted(maps.Keys(m)) {
		b := Bucket{Number: n}
		b.add(*m[n])
		list = append(list, b)
	}
	return list
}

func (s *Snapshot) sort() {
	slices.SortFunc(s.Series, func(a, b Series) int {
		return cmp.Or(cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.Service, b.Service))
	})
}
