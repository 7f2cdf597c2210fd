package quota

import (
	"math"
	"slices"
	"time"
)

// Limit is what a customer may use over all entries.
type Limit struct {
	Rate  float64 // tokens per second
	Burst float64 // tokens
}

// Report is what an entry tells about itself, by customer.
type Report struct {
	Entry      string
	DataCentre string
	Uses       map[string]Use
}

// Tolerance is how far the use of a customer may exceed its limit.
type Tolerance struct {
	Window  time.Duration // over which use is counted
	Overage float64       // part of what the limit allows in the window
	Slack   float64       // tokens in the window
}

// Pool lends the rates of customers to entries, and divides them among its deputies for the time in which no leader answers. The
// sum of the shares that entries may be using never exceeds the limit: a share grows only into what other entries have reported
// to use no longer. It is not safe for concurrent use.
type Pool struct {
	options   Options
	started   time.Time
	entries   map[string]*holder
	reported  map[string]bool // entries that have ever reported
	appointed Appointment
	revision  uint64              // times that the deputies have changed
	reserve   map[string]*reserve // by customer
	totals    map[string]total    // by customer, over all entries
	silent    map[string]float64  // shares of entries that may be using them, by customer
}

// total is kept up to date with each report, because summing all entries for each customer took most of a leader's time at
// 75 entries.
type total struct {
	demand    float64
	committed float64
	extra     float64
}

// reserve is a bucket that all entries share.
type reserve struct {
	level float64
	at    time.Time
}

// Options are the settings of a Pool.
type Options struct {
	// Lease is the time after which an entry that has not reported has stopped using its shares.
	Lease time.Duration
	// AloneAfter is the silence of an entry after which it may be using its shares.
	AloneAfter time.Duration
	// Tolerance bounds the tokens that entries hold at any moment.
	Tolerance Tolerance
}

type holder struct {
	dataCentre string
	heardAt    time.Time
	uses       map[string]Use
	granted    map[string]Grant
}

// NewPool returns a pool without entries.
func NewPool(now time.Time, o Options) *Pool {
	return &Pool{options: o, started: now, entries: map[string]*holder{}, reported: map[string]bool{}, reserve: map[string]*reserve{}, totals: map[string]total{}, silent: map[string]float64{}}
}

// count adds an entry to the totals, or takes it out with a negative sign.
func (p *Pool) count(h *holder, sign float64) {
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

// Report records a report and returns what the entry gets.
func (p *Pool) Report(now time.Time, r Report, limits map[string]Limit) (grants map[string]Grant) {
	h := p.entries[r.Entry]
	if h == nil {
		h = &holder{}
		p.entries[r.Entry] = h
	}
	h.heardAt, h.dataCentre = now, r.DataCentre
	p.reported[r.Entry] = true
	p.expire(now)
	p.count(h, -1)
	h.uses, h.granted = r.Uses, nil
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

// share is what an entry may use of a customer's limit while no leader answers, in tokens per second.
func (p *Pool) share(now time.Time, entry, customer string, limit Limit) float64 {
	n := p.options.Tolerance.Deputies(limit, len(p.appointed.Deputies))
	if i := slices.Index(p.appointed.Deputies, entry); i < 0 || i >= n {
		return 0
	}
	rate := limit.Rate * sharedPart
	committed := max(p.totals[customer].committed, 0) // without this entry
	return min(rate/float64(n), max(rate-committed-p.unknown(now, customer, limit), 0))
}

const (
	// sharedPart is the part of a limit that deputies divide for the time in which no leader answers; the rest is for the leader
	// that does not know yet who is alone.
	sharedPart = 0.9
	// topUpLevel is the part of the reserve that stays for single requests.
	topUpLevel = 0.5
	// extraPart is the part of the tolerance that the tokens at entries may fill; the rest is for shares that change.
	extraPart = 0.8
	// heldPart is the part of the burst that entries may hold in the place of the reserve.
	heldPart = 0.5
)

// topUp takes from the reserve what an entry misses.
func (p *Pool) topUp(now time.Time, h *holder, customer string, limit Limit) float64 {
	t, u := p.totals[customer], h.uses[customer] // t is without this entry
	if u.Missing <= 0 {
		return 0
	}
	b, most := p.fill(now, customer, limit)
	room := p.options.Tolerance.room(limit) + heldPart*limit.Burst
	part := max(room*u.Demand/max(max(t.demand, 0)+u.Demand, 1), u.Request)
	grant := max(min(u.Missing, part-u.Extra, room-max(t.extra, 0)-u.Extra, b.level-topUpLevel*most), 0)
	b.level -= grant
	return grant
}

// room is the number of a customer's tokens that all entries may hold beside its burst.
func (t Tolerance) room(l Limit) float64 {
	return extraPart * (t.Overage*(l.Rate*t.Window.Seconds()+l.Burst) + t.Slack)
}

func (p *Pool) bucket(customer string) *reserve {
	b := p.reserve[customer]
	if b == nil {
		// A new pool begins with empty reserves, since the leader before may have lent them.
		b = &reserve{at: p.started}
		p.reserve[customer] = b
	}
	return b
}

// fill returns the reserve of a customer and the tokens that fit it.
func (p *Pool) fill(now time.Time, customer string, limit Limit) (b *reserve, most float64) {
	b = p.bucket(customer)
	most = limit.Burst - max(p.totals[customer].extra-p.options.Tolerance.room(limit), 0)
	b.level = min(b.level+p.lendable(now, customer, limit)*now.Sub(b.at).Seconds(), most)
	b.at = now
	return b, most
}

// lendable is the rate that no entry may be using by itself, in tokens per second.
func (p *Pool) lendable(now time.Time, customer string, limit Limit) float64 {
	return max(limit.Rate-p.silent[customer]-p.unknown(now, customer, limit), (1-sharedPart)*limit.Rate)
}

// Borrow admits one request from the reserve, or returns the time at which it may come back.
func (p *Pool) Borrow(now time.Time, customer string, cost float64, limit Limit) (retryAt time.Time, admitted bool) {
	if limit.Rate <= 0 {
		return time.Time{}, true
	}
	b, most := p.fill(now, customer, limit)
	need := min(cost, max(most, 0))
	if b.level >= need {
		b.level -= cost
		return time.Time{}, true
	}
	return now.Add(time.Duration((need - b.level) / p.lendable(now, customer, limit) * float64(time.Second))), false
}

// expire forgets entries that have stopped using their shares, and sums up the shares of those that may be using them.
func (p *Pool) expire(now time.Time) {
	clear(p.silent)
	for name, h := range p.entries {
		switch age := now.Sub(h.heardAt); {
		case age >= p.options.Lease:
			p.count(h, -1)
			delete(p.entries, name)
		case age >= p.options.AloneAfter:
			for customer, g := range h.granted {
				p.silent[customer] += max(g.Share, h.uses[customer].Held)
			}
		}
	}
}
