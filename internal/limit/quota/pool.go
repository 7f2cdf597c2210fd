package quota

import (
	"math"
	"slices"
	"time"
)

// Limit is the rate and burst of a customer over all entries.
type Limit struct {
	Rate  float64 // tokens per second
	Burst float64 // tokens
}

// Report is an entry's report to the leader, with its use by customer.
type Report struct {
	Entry      string
	DataCentre string
	Uses       map[string]Use
}

// Tolerance bounds how far the use of a customer may exceed its limit.
type Tolerance struct {
	Window  time.Duration // over which use is counted
	Overage float64       // part of what the limit allows in the window
	Slack   float64       // tokens in the window
	Request float64       // tokens of a large request; those of customers if it is 0
}

// Pool lends tokens of customers to entries, and divides each rate among its deputies for the time in which no leader answers.
// The sum of the shares that entries may be using never exceeds the limit: a share grows only by what other entries have reported
// as no longer in use. It is not safe for concurrent use.
type Pool struct {
	options      Options
	started      time.Time
	entries      map[string]*entryState
	reported     map[string]bool // entries that have reported to this leader, also those removed from entries since
	appointed    Appointment
	revision     uint64              // number of changes of the deputies
	reserve      map[string]*reserve // by customer
	totals       map[string]total    // by customer, over all entries
	silentShares map[string]float64  // shares of entries that may be using them, by customer
}

// total is the sum over all entries for one customer. It is updated with each report, because computing the sums anew took most
// of a leader's time with 75 entries.
type total struct {
	demand    float64
	committed float64
	extra     float64
}

// reserve is a token bucket of one customer that all entries draw from.
type reserve struct {
	level        float64
	at           time.Time
	claimed      float64 // tokens that are kept for requests of precedence First
	claimedUntil time.Time
}

// Options are the settings of a Pool.
type Options struct {
	// Lease is the time after which an entry that has not reported has stopped using its shares.
	Lease time.Duration
	// LeaderlessAfter is the time without a report after which an entry may be using its shares.
	LeaderlessAfter time.Duration
	// Tolerance bounds the tokens that entries hold at any moment.
	Tolerance Tolerance
}

type entryState struct {
	dataCentre string
	lastReport time.Time
	uses       map[string]Use
	granted    map[string]Grant
}

// NewPool returns a pool without entries.
func NewPool(now time.Time, o Options) *Pool {
	return &Pool{options: o, started: now, entries: map[string]*entryState{}, reported: map[string]bool{}, reserve: map[string]*reserve{}, totals: map[string]total{}, silentShares: map[string]float64{}}
}

// valid returns the uses with figures that can be added up: one figure that is not a number would spoil the totals for good.
func valid(uses map[string]Use) map[string]Use {
	for customer, u := range uses {
		for _, figure := range []float64{u.Demand, u.Held, u.Extra, u.Missing, u.Request} {
			if !countable(figure) {
				delete(uses, customer)
				break
			}
		}
	}
	return uses
}

// countable reports whether a figure can be added up: it is a number, finite and not negative.
func countable(figure float64) bool { return figure >= 0 && !math.IsInf(figure, 0) }

// count adds an entry to the totals, or with a negative sign subtracts it.
func (p *Pool) count(h *entryState, sign float64) {
	for customer, u := range h.uses {
		p.countCustomer(customer, u, h.granted[customer], sign)
	}
	for customer, g := range h.granted {
		if _, used := h.uses[customer]; !used {
			p.countCustomer(customer, Use{}, g, sign)
		}
	}
}

func (p *Pool) countCustomer(customer string, u Use, g Grant, sign float64) {
	t := p.totals[customer]
	t.demand += sign * u.Demand
	t.extra += sign * (u.Extra + g.Extra)
	t.committed += sign * max(u.Held, g.Share)
	p.totals[customer] = t
}

// Report records a report and returns the grants of the entry.
func (p *Pool) Report(now time.Time, r Report, limits map[string]Limit) (grants map[string]Grant) {
	h := p.entries[r.Entry]
	if h == nil {
		h = &entryState{}
		p.entries[r.Entry] = h
	}
	h.lastReport, h.dataCentre = now, r.DataCentre
	p.reported[r.Entry] = true
	p.expire(now)
	p.count(h, -1)
	h.uses, h.granted = valid(r.Uses), nil
	grants = make(map[string]Grant, len(limits))
	for customer, limit := range limits {
		if limit.Rate <= 0 {
			continue
		}
		grants[customer] = Grant{
			Share: math.Floor(p.share(now, r.Entry, customer, limit)), Extra: math.Floor(p.topUp(now, h, customer, limit)),
		}
	}
	h.granted = grants
	p.count(h, 1)
	return grants
}

// share returns the part of a customer's limit that an entry may use while no leader answers, in tokens per second.
func (p *Pool) share(now time.Time, entry, customer string, limit Limit) float64 {
	n := p.options.Tolerance.Deputies(limit, len(p.appointed.Deputies))
	if i := slices.Index(p.appointed.Deputies, entry); i < 0 || i >= n {
		return 0
	}
	rate := limit.Rate * sharedPart
	committed := max(p.totals[customer].committed, 0) // without this entry
	return min(rate/float64(n), max(rate-committed-p.unreportedShares(now, customer, limit), 0))
}

const (
	// sharedPart is the part of a limit that deputies divide for the time in which no leader answers; the rest is for a leader
	// that does not know yet which entries are cut off.
	sharedPart = 0.9
	// topUpLevel is the part of the reserve that is kept for single requests.
	topUpLevel = 0.5
	// extraPart is the part of the tolerance that tokens held by entries may use; the rest is for changes of shares.
	extraPart = 0.8
	// heldPart is the part of the burst that entries may hold instead of the reserve.
	heldPart = 0.5
)

// topUp takes the tokens that an entry is missing from the reserve, within its part of what all entries may hold.
func (p *Pool) topUp(now time.Time, h *entryState, customer string, limit Limit) float64 {
	t, u := p.totals[customer], h.uses[customer] // t is without this entry
	if u.Missing <= 0 {
		return 0
	}
	b, most := p.fill(now, customer, limit)
	room := p.options.Tolerance.extraLimit(limit) + heldPart*limit.Burst
	part := max(room*u.Demand/max(max(t.demand, 0)+u.Demand, 1), u.Request)
	grant := max(min(u.Missing, part-u.Extra, room-max(t.extra, 0)-u.Extra, b.level-b.claimed-topUpLevel*most), 0)
	b.level -= grant
	return grant
}

// extraLimit is the number of a customer's tokens that all entries together may hold in addition to its burst.
func (t Tolerance) extraLimit(l Limit) float64 {
	return extraPart * (t.Overage*(l.Rate*t.Window.Seconds()+l.Burst) + t.Slack)
}

func (p *Pool) customerReserve(customer string) *reserve {
	b := p.reserve[customer]
	if b == nil {
		// The reserves of a new pool are empty, because the previous leader may have lent their tokens.
		b = &reserve{at: p.started}
		p.reserve[customer] = b
	}
	return b
}

// fill refills the reserve of a customer and returns it with its capacity.
func (p *Pool) fill(now time.Time, customer string, limit Limit) (b *reserve, most float64) {
	b = p.customerReserve(customer)
	most = limit.Burst - max(p.totals[customer].extra-p.options.Tolerance.extraLimit(limit), 0)
	b.level = min(b.level+p.lendable(now, customer, limit)*now.Sub(b.at).Seconds(), most)
	b.at = now
	if !now.Before(b.claimedUntil) {
		b.claimed = 0
	}
	return b, most
}

// lendable returns the part of the rate that no entry may be using as its share, in tokens per second.
func (p *Pool) lendable(now time.Time, customer string, limit Limit) float64 {
	return max(limit.Rate-p.silentShares[customer]-p.unreportedShares(now, customer, limit), (1-sharedPart)*limit.Rate)
}

// Precedence is the order in which requests get tokens of the reserve.
type Precedence int

const (
	// Later requests get what the others leave.
	Later Precedence = iota
	// First is the precedence of a request that goes before later ones, and claims its tokens if it is not admitted.
	First
	// FirstAgain is the precedence of a request that has claimed its tokens.
	FirstAgain
)

// claimTime is the time after the last claim for which tokens are kept for claims. It exceeds the time for which a request waits for its tokens.
const claimTime = 2 * time.Second

// Borrow admits one request from the reserve, or returns the time at which it may be retried.
func (p *Pool) Borrow(now time.Time, customer string, cost float64, limit Limit, precedence Precedence) (retryAt time.Time, admitted bool) {
	if limit.Rate <= 0 {
		return time.Time{}, true
	}
	if !countable(cost) {
		return now, false
	}
	b, most := p.fill(now, customer, limit)
	need := min(cost, max(most, 0))
	switch {
	case precedence == Later:
		need += b.claimed
	case b.level < need && precedence == First:
		b.claimed += cost
		b.claimedUntil = now.Add(claimTime)
		need = max(need, b.claimed)
	case b.level >= need && precedence == FirstAgain:
		b.claimed = max(b.claimed-cost, 0)
	}
	if b.level >= need {
		b.level -= cost
		return time.Time{}, true
	}
	return now.Add(time.Duration((need - b.level) / p.lendable(now, customer, limit) * float64(time.Second))), false
}

// expire removes entries whose lease has ended, and sums the shares of entries that may be using them without the leader.
func (p *Pool) expire(now time.Time) {
	clear(p.silentShares)
	for name, h := range p.entries {
		switch age := now.Sub(h.lastReport); {
		case age >= p.options.Lease:
			p.count(h, -1)
			delete(p.entries, name)
		case age >= p.options.LeaderlessAfter:
			for customer, g := range h.granted {
				p.silentShares[customer] += max(g.Share, h.uses[customer].Held)
			}
		}
	}
}
