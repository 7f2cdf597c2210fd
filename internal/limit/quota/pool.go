package quota

import "time"

// Limit is what a customer may use over all entries.
type Limit struct {
	Rate  float64 // tokens per second
	Burst float64 // tokens
}

// Report is what an entry tells about itself: by customer, the tokens per second that its callers ask for, and the
// share that it uses at the moment.
type Report struct {
	Entry  string
	Demand map[string]float64
	Held   map[string]float64
}

// Pool divides the rates of customers among entries by their demand. The sum of the shares that entries may be using
// never exceeds the limit: a share grows only into what other entries have reported to use no longer. It is not safe
// for concurrent use.
type Pool struct {
	options Options
	started time.Time
	entries map[string]*holder
	reserve map[string]*reserve // by customer
	totals  map[string]total    // by customer, over all entries
}

// total is kept up to date with each report, because summing all entries for each customer took most of a leader's time at
// 75 entries.
type total struct {
	demand    float64
	committed float64
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
	// Gather is the time that a new pool waits for reports before a share may grow that another entry may still use.
	Gather time.Duration
	// Reserve is the least part of a limit that entries borrow for single requests. It serves lumps that no share fits.
	Reserve float64
	// Holders is the number of entries that the rest is enough for. More entries leave a larger reserve, since a share that is
	// smaller than a request fills its bucket and then runs over.
	Holders int
	// Floor is the part of a limit that is divided evenly, so that a customer who appears at an entry is served at once.
	Floor float64
}

type holder struct {
	heardAt time.Time
	demand  map[string]float64
	held    map[string]float64
	granted map[string]float64
}

// NewPool returns a pool without entries.
func NewPool(now time.Time, o Options) *Pool {
	return &Pool{options: o, started: now, entries: map[string]*holder{}, reserve: map[string]*reserve{}, totals: map[string]total{}}
}

// count adds an entry to the totals, or takes it out with a negative sign.
func (p *Pool) count(h *holder, sign float64) {
	for customer, demand := range h.demand {
		t := p.totals[customer]
		t.demand += sign * demand
		p.totals[customer] = t
	}
	for customer := range h.granted {
		t := p.totals[customer]
		t.committed += sign * h.committed(customer)
		p.totals[customer] = t
	}
	for customer, held := range h.held {
		if _, granted := h.granted[customer]; !granted {
			t := p.totals[customer]
			t.committed += sign * held
			p.totals[customer] = t
		}
	}
}

// committed is the share of a customer that the entry may be using.
func (h *holder) committed(customer string) float64 {
	return max(h.held[customer], h.granted[customer])
}

// Report records a report and returns the entry's shares in tokens per second.
func (p *Pool) Report(now time.Time, r Report, limits map[string]Limit) (shares map[string]float64) {
	p.expire(now)
	h := p.entries[r.Entry]
	if h == nil {
		h = &holder{}
		p.entries[r.Entry] = h
	}
	p.count(h, -1)
	h.heardAt, h.demand, h.held, h.granted = now, r.Demand, r.Held, nil
	shares = make(map[string]float64, len(limits))
	for customer, limit := range limits {
		if limit.Rate <= 0 {
			continue
		}
		limit.Rate *= 1 - p.reserved()
		shares[customer] = p.share(now, r.Entry, customer, limit)
	}
	h.granted = shares
	p.count(h, 1)
	return shares
}

func (p *Pool) share(now time.Time, entry, customer string, limit Limit) float64 {
	h := p.entries[entry]
	t := p.totals[customer] // without this entry
	demand, others := max(t.demand, 0)+h.demand[customer], max(t.committed, 0)
	target := limit.Rate / float64(len(p.entries))
	if demand > 0 {
		even := p.options.Floor * target
		target = even + (1-p.options.Floor)*limit.Rate*h.demand[customer]/demand
	}
	free := max(limit.Rate-others, 0)
	if now.Sub(p.started) < p.options.Gather {
		// Entries that have not reported yet may use shares of the leader before.
		free = min(free, max(h.held[customer], limit.Rate*newcomerShare))
	}
	return min(target, free)
}

// newcomerShare lets an entry without shares serve something while the pool still gathers reports.
const newcomerShare = 0.02

// reserved is the part of every limit that is in reserve. It grows at once with the number of entries, so that shares are lower
// before more is lent; it shrinks with it only when entries have left for a lease.
func (p *Pool) reserved() float64 {
	if p.options.Holders == 0 {
		return p.options.Reserve
	}
	return max(p.options.Reserve, 1-float64(p.options.Holders)/float64(max(len(p.entries), 1)))
}

// Borrow admits one request from the reserve, or returns the time at which it may come back. A new pool begins with empty
// reserves, since the leader before may have lent them.
func (p *Pool) Borrow(now time.Time, customer string, cost float64, limit Limit) (retryAt time.Time, admitted bool) {
	if limit.Rate <= 0 {
		return time.Time{}, true
	}
	part := p.reserved()
	rate, most := limit.Rate*part, limit.Burst*part
	b := p.reserve[customer]
	if b == nil {
		b = &reserve{at: p.started}
		p.reserve[customer] = b
	}
	b.level = min(b.level+rate*now.Sub(b.at).Seconds(), most)
	b.at = now
	need := min(cost, most)
	if b.level >= need {
		b.level -= cost
		return time.Time{}, true
	}
	return now.Add(time.Duration((need - b.level) / rate * float64(time.Second))), false
}

func (p *Pool) expire(now time.Time) {
	for name, h := range p.entries {
		if now.Sub(h.heardAt) >= p.options.Lease {
			p.count(h, -1)
			delete(p.entries, name)
		}
	}
}
