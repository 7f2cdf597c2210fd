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
	// Reserve is the part of a limit that entries borrow for single requests. It serves lumps that no share fits.
	Reserve float64
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
	return &Pool{options: o, started: now, entries: map[string]*holder{}, reserve: map[string]*reserve{}}
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
	h.heardAt, h.demand, h.held = now, r.Demand, r.Held
	shares = make(map[string]float64, len(limits))
	for customer, limit := range limits {
		if limit.Rate <= 0 {
			continue
		}
		limit.Rate *= 1 - p.options.Reserve
		shares[customer] = p.share(now, r.Entry, customer, limit)
	}
	h.granted = shares
	return shares
}

func (p *Pool) share(now time.Time, entry, customer string, limit Limit) float64 {
	h := p.entries[entry]
	var demand, others float64
	for name, other := range p.entries {
		demand += other.demand[customer]
		if name != entry {
			others += other.committed(customer)
		}
	}
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

// Borrow admits one request from the reserve, or returns the time at which it may come back. A new pool begins with empty
// reserves, since the leader before may have lent them.
func (p *Pool) Borrow(now time.Time, customer string, cost float64, limit Limit) (retryAt time.Time, admitted bool) {
	if limit.Rate <= 0 {
		return time.Time{}, true
	}
	rate, most := limit.Rate*p.options.Reserve, limit.Burst*p.options.Reserve
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
			delete(p.entries, name)
		}
	}
}

// Entries returns the number of entries that hold shares.
func (p *Pool) Entries() int { return len(p.entries) }
