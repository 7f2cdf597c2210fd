// Package bucket implements an exact token bucket that charges requests before their final cost is known and credits
// unused tokens later. It is not safe for concurrent use. All methods are given the time, which need not be wall-clock
// time.
package bucket

import (
	"math"
	"slices"
	"sort"
	"time"
)

// Grant identifies tokens that were taken; the zero Grant is never credited.
type Grant struct {
	Mark   uint64  // position in the bucket's history, 0 when nothing can be credited
	Tokens float64 // tokens taken
}

// Bucket holds tokens up to a burst and refills at a rate. Tokens lent with Hold remain part of its content until Spend
// counts them, so the content (level and held tokens together) never exceeds the burst.
type Bucket struct {
	options  Options
	rate     float64 // tokens per second
	burst    float64 // tokens
	level    float64 // tokens that can be taken
	held     float64 // tokens that are lent and not yet counted as spent
	last     time.Time
	nextMark uint64
	open     []segment // by ascending mark; headroom never descends
}

// segment is a group of consecutive grants, with the smallest headroom since the first of them.
type segment struct {
	mark     uint64
	headroom float64
}

// New returns a full bucket with a rate in tokens per second and a burst in tokens.
func New(now time.Time, rate, burst float64, opts ...Option) *Bucket {
	o := Options{Level: burst, Grants: defaultGrants}
	for _, opt := range opts {
		opt(&o)
	}
	b := &Bucket{options: o, rate: rate, burst: burst, last: now}
	b.level = clamp(o.Level, 0, burst)
	return b
}

// Take removes n tokens if all of them are available.
func (b *Bucket) Take(now time.Time, n float64) (g Grant, ok bool) {
	if !b.Hold(now, n) {
		return Grant{}, false
	}
	return b.Spend(now, n), true
}

// Hold lends n tokens if all of them are available; they count against the burst until Spend or Unhold.
func (b *Bucket) Hold(now time.Time, n float64) (ok bool) {
	b.refill(now)
	if !valid(n) || n > b.level {
		return false
	}
	b.level -= n
	b.held += n
	return true
}

// Assume counts n tokens as lent that an earlier bucket may have lent. They use free capacity of the burst first; what
// does not fit lowers the level.
func (b *Bucket) Assume(now time.Time, n float64) {
	b.refill(now)
	if !valid(n) {
		return
	}
	b.held += n
	b.trim()
	b.updateHeadrooms()
}

// Unhold takes back up to n lent tokens that were not spent and returns how many were accepted.
func (b *Bucket) Unhold(now time.Time, n float64) float64 {
	b.refill(now)
	if !valid(n) {
		return 0
	}
	n = min(n, b.held)
	b.held -= n
	b.level += n
	b.trim()
	return n
}

// Spend counts n lent tokens as used at now and returns the grant for a later credit.
func (b *Bucket) Spend(now time.Time, n float64) Grant {
	b.refill(now)
	if !valid(n) {
		return Grant{}
	}
	n = min(n, b.held)
	b.held -= n
	b.nextMark++
	g := Grant{Mark: b.nextMark, Tokens: n}
	b.open = append(b.open, segment{mark: g.Mark, headroom: b.headroom()})
	b.compact()
	return g
}

// Credit returns n unused tokens of a grant and reports how many were accepted: no more than the smallest
// headroom (burst less content) since the grant. The content then equals that of a bucket that was charged the
// final cost at the time of the grant. A caller must not credit more than the grant's tokens in total.
func (b *Bucket) Credit(now time.Time, g Grant, n float64) (accepted float64) {
	b.refill(now)
	if !valid(n) {
		return 0
	}
	n = min(n, g.Tokens)
	if b.options.Naive {
		accepted = min(n, b.headroom())
		b.level += accepted
		return accepted
	}
	i := b.find(g.Mark)
	if i < 0 {
		return 0
	}
	accepted = min(n, b.open[i].headroom)
	b.level += accepted
	for j := i; j < len(b.open); j++ {
		b.open[j].headroom -= accepted
	}
	b.limitHeadrooms(i-1, b.open[i].headroom)
	b.updateHeadrooms()
	return accepted
}

// Advance makes the marks of later grants at least mark, so that several buckets can share their marks.
func (b *Bucket) Advance(mark uint64) {
	b.nextMark = max(b.nextMark, mark-1)
}

// Close removes a grant that will not be credited again from the history.
func (b *Bucket) Close(g Grant) {
	i := b.find(g.Mark)
	if i >= 0 && b.open[i].mark == g.Mark {
		b.open = slices.Delete(b.open, i, i+1)
	}
}

// When returns the time at which n tokens will be available if nothing else is taken and lent tokens are spent or
// returned by then; never is true when the burst or the rate does not allow it.
func (b *Bucket) When(now time.Time, n float64) (at time.Time, never bool) {
	b.refill(now)
	missing := n - b.level
	if missing <= 0 {
		return now, false
	}
	if !valid(n) || n > b.burst || b.rate <= 0 {
		return time.Time{}, true
	}
	wait := missing / b.rate
	if wait > float64(math.MaxInt64)/float64(2*time.Second) {
		return time.Time{}, true
	}
	// The extra nanosecond covers the truncation to whole nanoseconds.
	return now.Add(time.Duration(wait*float64(time.Second)) + 1), false
}

// SetLimits changes rate and burst from now on; tokens above a smaller burst are dropped.
func (b *Bucket) SetLimits(now time.Time, rate, burst float64) {
	b.refill(now)
	b.rate, b.burst = rate, burst
	b.trim()
	b.updateHeadrooms()
}

// Drop removes up to n tokens that are not lent.
func (b *Bucket) Drop(now time.Time, n float64) {
	b.refill(now)
	b.level -= clamp(n, 0, b.level)
}

// Level returns the tokens that can be taken at now.
func (b *Bucket) Level(now time.Time) float64 {
	b.refill(now)
	return b.level
}

// Held returns the tokens that are lent and not yet counted as spent.
func (b *Bucket) Held() float64 { return b.held }

// Rate returns the tokens per second.
func (b *Bucket) Rate() float64 { return b.rate }

// Burst returns the largest content in tokens.
func (b *Bucket) Burst() float64 { return b.burst }

// Within reports whether the content, including lent tokens, fits the burst. It can be false after the burst shrank.
func (b *Bucket) Within() bool { return b.held <= b.burst }

// Open returns the number of grant groups in the history.
func (b *Bucket) Open() int { return len(b.open) }

// refill adds the tokens since the last call; an earlier time adds none.
func (b *Bucket) refill(now time.Time) {
	elapsed := now.Sub(b.last)
	if elapsed <= 0 {
		return
	}
	b.last = now
	room := b.burst - b.held - b.level
	if room > 0 {
		b.level += min(room, b.rate*elapsed.Seconds())
	}
	b.updateHeadrooms()
}

// trim drops tokens above the burst.
func (b *Bucket) trim() {
	b.level = min(b.level, max(0, b.burst-b.held))
}

func (b *Bucket) headroom() float64 {
	return max(0, b.burst-b.held-b.level)
}

// updateHeadrooms lowers the recorded headrooms to the current one and removes grants that can no longer be credited.
func (b *Bucket) updateHeadrooms() {
	b.limitHeadrooms(len(b.open)-1, b.headroom())
	exhausted := 0
	for exhausted < len(b.open) && b.open[exhausted].headroom <= 0 {
		exhausted++
	}
	b.open = slices.Delete(b.open, 0, exhausted)
}

// limitHeadrooms limits the headroom of the segments up to i.
func (b *Bucket) limitHeadrooms(i int, h float64) {
	for ; i >= 0 && b.open[i].headroom > h; i-- {
		b.open[i].headroom = h
	}
}

// find returns the index of the segment of a mark, or -1 when it can no longer be credited.
func (b *Bucket) find(mark uint64) int {
	if mark == 0 || mark > b.nextMark {
		return -1
	}
	return sort.Search(len(b.open), func(i int) bool { return b.open[i].mark > mark }) - 1
}

// compact merges the two adjacent segments with the most similar headroom if there are too many. The merged segment keeps
// the smaller headroom and the earlier start, so a credit can become smaller than the exact one, but never larger.
func (b *Bucket) compact() {
	if len(b.open) <= b.options.Grants {
		return
	}
	best := 1
	for i := 2; i < len(b.open); i++ {
		if b.headroomStep(i) < b.headroomStep(best) {
			best = i
		}
	}
	b.open = slices.Delete(b.open, best, best+1)
}

func (b *Bucket) headroomStep(i int) float64 {
	return b.open[i].headroom - b.open[i-1].headroom
}

func valid(n float64) bool {
	return n >= 0 && !math.IsInf(n, 0) // false for NaN
}

func clamp(n, low, high float64) float64 {
	return max(low, min(n, high))
}
