// Package retry bounds the number of repeated requests that all entries together send to a service.
package retry

import "time"

// Options are the settings of a Budget.
type Options struct {
	Ratio  float64       // allowed repeats per request
	Window time.Duration // over which requests and repeats are counted
	Slack  float64       // additional repeats in a window, over all entries
}

// Budget counts requests and repeats to one service in slices of a sliding window. It is not safe for concurrent use.
type Budget struct {
	options Options
	slices  [windowSlices]slice
}

// windowSlices is the resolution of the sliding window.
const windowSlices = 10

type slice struct {
	number   int64
	requests float64
	repeats  float64
}

// New returns a budget without counted requests.
func New(o Options) *Budget { return &Budget{options: o} }

func (b *Budget) currentSlice(now time.Time) *slice {
	number := now.UnixNano() / int64(b.options.Window/windowSlices)
	s := &b.slices[number%windowSlices]
	if s.number != number {
		*s = slice{number: number}
	}
	return s
}

// Request counts a request of a caller.
func (b *Budget) Request(now time.Time) { b.currentSlice(now).requests++ }

// Take counts a repeat and reports true if the budget allows it; entries is the number of entries that share the slack.
func (b *Budget) Take(now time.Time, entries int) bool {
	if !b.allows(now, entries) {
		return false
	}
	b.currentSlice(now).repeats++
	return true
}

// allows reports whether Take would count a repeat.
func (b *Budget) allows(now time.Time, entries int) bool {
	current := b.currentSlice(now)
	var requests, repeats float64
	for _, s := range b.slices {
		if s.number > current.number-windowSlices {
			requests += s.requests
			repeats += s.repeats
		}
	}
	return repeats+1 <= b.options.Ratio*requests+b.options.Slack/float64(max(entries, 1))
}
