package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Deputies are the few entries that hold the shares of all customers. While no leader answers, the others borrow from them: a
// share for each of 75 entries would be smaller than a request, and usable only by the requests that arrive at its entry. The
// list of deputies is stored, so that each new leader can read which entries may be using shares.

const (
	// maxDeputies limits the deputies; with six, five sixths of a customer's share remain when one of them is lost.
	maxDeputies = 6
	// settleTime is the time within which all entries have reported to a new leader.
	settleTime = time.Second
	// replaceAfter is the time without a report after which a deputy is replaced; a restart takes less.
	replaceAfter = 3 * time.Second
)

// Appointment names the entries that may hold shares.
type Appointment struct {
	Deputies []string
	Former   []string // no longer deputies, but may still hold shares
}

func (a Appointment) equal(other Appointment) bool {
	return slices.Equal(a.Deputies, other.Deputies) && slices.Equal(a.Former, other.Former)
}

// Appoint applies a stored appointment. Entries in it that have not reported count as using their shares.
func (p *Pool) Appoint(a Appointment) {
	if !slices.Equal(a.Deputies, p.appointed.Deputies) {
		p.revision++
	}
	p.appointed = a
}

// Deputies returns the entries that hold shares, and a revision that changes with the list.
func (p *Pool) Deputies() (entries []string, revision uint64) {
	return p.appointed.Deputies, p.revision
}

// Propose returns the appointment that should be stored next; changed is false if it equals the current one.
func (p *Pool) Propose(now time.Time) (a Appointment, changed bool) {
	if now.Sub(p.started) < settleTime {
		return a, false
	}
	a.Deputies = p.chooseDeputies(now)
	for _, name := range slices.Concat(p.appointed.Deputies, p.appointed.Former) {
		if !slices.Contains(a.Deputies, name) && p.mayHold(now, name) {
			a.Former = append(a.Former, name)
		}
	}
	slices.Sort(a.Former)
	return a, !a.equal(p.appointed)
}

// chooseDeputies returns reporting entries, from all data centres in turn, so that most deputies remain when a data centre is lost.
func (p *Pool) chooseDeputies(now time.Time) (list []string) {
	centres := map[string][]string{}
	for name, h := range p.entries {
		if now.Sub(h.lastReport) < replaceAfter {
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
			if names := centres[centre]; turn < len(names) && len(list) < maxDeputies {
				list = append(list, names[turn])
			}
		}
		if len(list) == before {
			return list
		}
	}
}

// mayHold reports whether an entry may hold shares.
func (p *Pool) mayHold(now time.Time, name string) bool {
	h := p.entries[name]
	if h == nil {
		return p.mayUseEarlierShares(now, name)
	}
	for customer, g := range h.granted {
		if g.Share > 0 || h.uses[customer].Held > 0 {
			return true
		}
	}
	return false
}

// mayUseEarlierShares reports whether an appointed entry has not reported to this leader and may still use shares of the previous one.
func (p *Pool) mayUseEarlierShares(now time.Time, name string) bool {
	return !p.reported[name] && now.Sub(p.started) < p.options.Lease
}

// unreportedShares returns the part of a limit that deputies which have not reported to this leader may be using, in tokens per second.
func (p *Pool) unreportedShares(now time.Time, customer string, limit Limit) (share float64) {
	n := p.options.Tolerance.Deputies(limit, len(p.appointed.Deputies))
	unreported := p.countUsingEarlierShares(now, p.appointed.Deputies[:n]) + p.countUsingEarlierShares(now, p.appointed.Former)
	if unreported == 0 {
		return 0
	}
	rate := limit.Rate * sharedPart
	share = rate * float64(unreported) / float64(max(n, 1))
	return min(share, max(rate-max(p.totals[customer].committed, 0), 0))
}

func (p *Pool) countUsingEarlierShares(now time.Time, names []string) (n int) {
	for _, name := range names {
		if p.mayUseEarlierShares(now, name) {
			n++
		}
	}
	return n
}

// Deputies returns the number of deputies that hold a share of a limit: the first ones of the list. The bucket of each may go
// into debt by one request, which the burst and the tolerance must cover, and each share should allow at least one request per
// second.
func (t Tolerance) Deputies(limit Limit, available int) int {
	request := t.Request
	if request <= 0 {
		request = largeRequest
	}
	covered := (limit.Burst + t.extraLimit(limit)) / request
	worth := max(limit.Rate/request, minDeputies)
	return min(max(int(min(covered, worth)), 1), available)
}

const (
	// largeRequest is above the size of most requests of customers, in tokens.
	largeRequest = 4000
	// minDeputies hold shares of every customer whose burst covers them, so that one may be lost.
	minDeputies = 2
)
