package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Deputies are the few entries that hold the shares of all customers. While no leader answers, the others borrow from them: a
// share for each of 75 entries would be smaller than a request, and be of use only where the requests happen to arrive. Who
// they are is kept where each new leader finds it, so that it knows who may be using shares.

const (
	// mostDeputies leaves five sixths of a customer's share when one of them is lost.
	mostDeputies = 6
	// settleTime is the time in which all entries report to a new leader.
	settleTime = time.Second
	// replaceAfter is the silence after which a deputy is replaced; one that only restarts is back before.
	replaceAfter = 3 * time.Second
)

// Appointment names the entries that may hold shares.
type Appointment struct {
	Deputies []string
	Former   []string // may still hold some
}

func (a Appointment) equal(other Appointment) bool {
	return slices.Equal(a.Deputies, other.Deputies) && slices.Equal(a.Former, other.Former)
}

// Appoint takes over an appointment that has been stored. Those that have not reported count as using their shares.
func (p *Pool) Appoint(a Appointment) {
	if !slices.Equal(a.Deputies, p.appointed.Deputies) {
		p.revision++
	}
	p.appointed = a
}

// Deputies returns the entries that hold shares, and a number that changes with them.
func (p *Pool) Deputies() (entries []string, revision uint64) {
	return p.appointed.Deputies, p.revision
}

// Propose returns the appointment that should be stored next; false if the present one holds.
func (p *Pool) Propose(now time.Time) (a Appointment, changed bool) {
	if now.Sub(p.started) < settleTime {
		return a, false
	}
	a.Deputies = p.choose(now)
	for _, name := range slices.Concat(p.appointed.Deputies, p.appointed.Former) {
		if !slices.Contains(a.Deputies, name) && p.mayHold(now, name) {
			a.Former = append(a.Former, name)
		}
	}
	slices.Sort(a.Former)
	return a, !a.equal(p.appointed)
}

// choose returns entries that report, from all data centres in turn, so that the loss of one data centre leaves most deputies.
func (p *Pool) choose(now time.Time) (list []string) {
	centres := map[string][]string{}
	for name, h := range p.entries {
		if now.Sub(h.heardAt) < replaceAfter {
			centres[h.dataCentre] = append(centres[h.dataCentre], name)
		}
	}
	for _, names := range centres {
		slices.SortFunc(names, func(a, b string) int {
			return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
		})
	}
	order := slices.Sorted(maps.Keys(centres))
	for turn := 0; ; turn++ {
		before := len(list)
		for _, centre := range order {
			if names := centres[centre]; turn < len(names) && len(list) < mostDeputies {
				list = append(list, names[turn])
			}
		}
		if len(list) == before {
			return list
		}
	}
}

// mayHold tells whether an entry may hold shares.
func (p *Pool) mayHold(now time.Time, name string) bool {
	h := p.entries[name]
	if h == nil {
		return p.unheard(now, name)
	}
	for customer, g := range h.granted {
		if g.Share > 0 || h.uses[customer].Held > 0 {
			return true
		}
	}
	return false
}

// unheard tells whether an entry was appointed, has not reported to this leader, and may still use the shares of the one before.
func (p *Pool) unheard(now time.Time, name string) bool {
	return !p.reported[name] && now.Sub(p.started) < p.options.Lease
}

// unknown is what deputies that have not reported to this leader may be using of a limit, in tokens per second.
func (p *Pool) unknown(now time.Time, customer string, limit Limit) (share float64) {
	n := p.options.Tolerance.Deputies(limit, len(p.appointed.Deputies))
	unheard := p.countUnheard(now, p.appointed.Deputies[:n]) + p.countUnheard(now, p.appointed.Former)
	if unheard == 0 {
		return 0
	}
	rate := limit.Rate * sharedPart
	share = rate * float64(unheard) / float64(max(n, 1))
	return min(share, max(rate-max(p.totals[customer].committed, 0), 0))
}

func (p *Pool) countUnheard(now time.Time, names []string) (n int) {
	for _, name := range names {
		if p.unheard(now, name) {
			n++
		}
	}
	return n
}

// Deputies is the number of deputies that hold a share of a limit, the first of all that there are. Each may run into debt by a
// request, which the burst and the tolerance have to cover, and its share should be a request a second or more.
func (t Tolerance) Deputies(limit Limit, available int) int {
	covered := (limit.Burst + t.room(limit)) / largeRequest
	worth := max(limit.Rate/largeRequest, leastDeputies)
	return min(max(int(min(covered, worth)), 1), available)
}

const (
	// largeRequest is above the size of most requests, in tokens.
	largeRequest = 4000
	// leastDeputies hold shares of every customer that is large enough, so that one may be lost.
	leastDeputies = 2
)
