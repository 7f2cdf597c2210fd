package share

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"lycheevale/internal/state/registry"
)

// plan is the split of one customer's limit at one moment.
type plan struct {
	a       *Allocator
	name    string
	limit   registry.Customer
	shares  map[string]registry.Share
	rows    []row  // data centres that can change, by name
	waiting bool   // requests wait somewhere
	fixed   amount // sum of the shares that cannot change: of data centres that are cut off or not listed
}

// row is one reachable data centre.
type row struct {
	centre  string
	current registry.Share
	exists  bool
	demand  demand
	target  amount
}

func (a *Allocator) prepare(now time.Time, name string, limit registry.Customer, centres []string,
	shares map[string]registry.Share,
) *plan {
	p := &plan{a: a, name: name, limit: limit, shares: shares}
	waiting := a.requestsWait(now, name, centres, shares)
	p.waiting = waiting
	for _, centre := range slices.Sorted(slices.Values(centres)) {
		s, exists := shares[centre]
		if !a.Reachable(now, centre) && len(shares) > 0 {
			continue
		}
		if !exists {
			s = registry.Share{Customer: name, DataCentre: centre, Confirmed: true}
		}
		k := key{name, centre}
		d := a.demands[k]
		d.rate = a.decayed(now, k)
		if waiting && d.waiting == 0 {
			d.rate = min(d.rate, d.latest*a.options.Headroom)
		}
		p.rows = append(p.rows, row{centre: centre, current: s, exists: exists, demand: d})
	}
	for _, centre := range slices.Sorted(maps.Keys(shares)) {
		s := shares[centre]
		if !slices.ContainsFunc(p.rows, func(r row) bool { return r.centre == centre }) {
			h := a.unconfirmed[key{name, centre}]
			p.fixed.rate += s.Rate + h.rate
			p.fixed.burst += s.Burst + h.burst
		}
	}
	p.setTargets(len(centres))
	return p
}

// requestsWait reports whether requests of the customer wait somewhere for longer than longWait. Then the slow decay of
// demand elsewhere, which avoids needless moves, would only prolong the wait.
func (a *Allocator) requestsWait(now time.Time, name string, centres []string, shares map[string]registry.Share) bool {
	return slices.ContainsFunc(centres, func(centre string) bool {
		waitLimit := shares[centre].Rate * longWait.Seconds()
		return a.Reachable(now, centre) && a.demands[key{name, centre}].waiting > waitLimit
	})
}

func (a *Allocator) decayed(now time.Time, k key) float64 {
	d := a.demands[k]
	return d.rate * math.Exp(-max(0, now.Sub(d.at).Seconds())/a.options.Decay.Seconds())
}

// setTargets computes the targets: demand is covered first, in proportion when it exceeds the rate, and the rest is
// divided evenly.
func (p *plan) setTargets(centres int) {
	n := float64(len(p.rows))
	if n == 0 {
		return
	}
	rate, burst := max(0, p.limit.Rate-p.fixed.rate), max(0, p.limit.Burst-p.fixed.burst)
	least := p.a.options.Minimum / float64(max(1, centres))
	leastRate, leastBurst := min(least*p.limit.Rate, rate/n), min(least*p.limit.Burst, burst/n)
	wanted := 0.0
	for _, r := range p.rows {
		wanted += max(leastRate, r.demand.rate)
	}
	rest := rate - n*leastRate
	scale := 1.0
	if wanted > rate && wanted > n*leastRate {
		scale = rest / (wanted - n*leastRate)
	}
	spare := max(0, rate-wanted)
	for i := range p.rows {
		extra := max(0, p.rows[i].demand.rate-leastRate)
		p.rows[i].target.rate = leastRate + extra*scale + spare/n
	}
	p.setBurstTargets(rate, burst, leastBurst)
}

// setBurstTargets gives each data centre its largest recent request, those with most waiting first, and divides the
// rest like the rate.
func (p *plan) setBurstTargets(rate, burst, least float64) {
	rest := burst - least*float64(len(p.rows))
	order := make([]int, len(p.rows))
	for i := range order {
		order[i] = i
		p.rows[i].target.burst = least
	}
	slices.SortStableFunc(order, func(x, y int) int {
		a, b := p.rows[x], p.rows[y]
		return cmp.Or(cmp.Compare(b.demand.waiting, a.demand.waiting), cmp.Compare(b.current.Burst, a.current.Burst))
	})
	for _, i := range order {
		r := &p.rows[i]
		extra := max(0, min(rest, r.demand.largest-least))
		r.target.burst += extra
		rest -= extra
	}
	if rate <= 0 {
		return
	}
	for i := range p.rows {
		p.rows[i].target.burst += max(0, rest) * p.rows[i].target.rate / rate
	}
}

// changes returns decreases, and increases within what is free already. No share is decreased and increased at once.
func (p *plan) changes(now time.Time) (list []registry.Share) {
	free := unallocated(p.limit, p.shares)
	usable := p.usable(free)
	over := free.rate < -p.roundingError(p.limit.Rate) || free.burst < -p.roundingError(p.limit.Burst)
	pause := !p.waiting && now.Sub(p.a.lastDecrease[p.name]) < p.a.options.Pause
	for i, r := range p.rows {
		if !r.exists || !r.current.Confirmed || (!over && (pause || !p.neededElsewhere(i))) {
			continue
		}
		if s, ok := p.decrease(r, over); ok {
			list = append(list, s)
			p.rows[i].current.Confirmed = false
			p.a.lastDecrease[p.name] = now
		}
	}
	return append(list, p.increases(usable)...)
}

// neededElsewhere reports whether a data centre other than row i could use more than its share; otherwise a decrease
// would only follow the noise of demand.
func (p *plan) neededElsewhere(i int) bool {
	for k, r := range p.rows {
		if k == i {
			continue
		}
		highDemand := r.demand.rate > p.a.options.HighDemandFraction*r.current.Rate || r.demand.largest > r.current.Burst ||
			r.demand.waiting > r.current.Rate*longWait.Seconds()
		if !r.exists || highDemand {
			return true
		}
	}
	return false
}

// usable subtracts what unconfirmed decreases may not have freed yet.
func (p *plan) usable(free amount) amount {
	if p.a.options.earlyIncrease {
		return free
	}
	for _, centre := range slices.Sorted(maps.Keys(p.shares)) {
		h := p.a.unconfirmed[key{p.name, centre}]
		free.rate -= h.rate
		free.burst -= h.burst
	}
	return free
}

func (p *plan) decrease(r row, over bool) (registry.Share, bool) {
	s := r.current
	threshold := amount{p.minChange(p.limit.Rate), p.minChange(p.limit.Burst)}
	if over {
		threshold = amount{}
	}
	cut := amount{s.Rate - r.target.rate, s.Burst - r.target.burst}
	if cut.rate <= threshold.rate && cut.burst <= threshold.burst {
		return s, false
	}
	s.Rate = min(s.Rate, r.target.rate)
	s.Burst = min(s.Burst, r.target.burst)
	s.Confirmed = false
	return s, true
}

// minChange returns the smallest change of a share of the total.
func (p *plan) minChange(total float64) float64 {
	part := p.a.options.Move
	if p.waiting {
		part = min(part, minMoveWhileWaiting)
	}
	return part * total / float64(max(1, len(p.shares)))
}

// roundingError returns a bound of the rounding errors of sums up to the total.
func (p *plan) roundingError(total float64) float64 { return total * 1e-9 }

func (p *plan) increases(usable amount) (list []registry.Share) {
	missing := amount{}
	for _, r := range p.rows {
		if r.current.Confirmed {
			missing.rate += max(0, r.target.rate-r.current.Rate)
			missing.burst += max(0, r.target.burst-r.current.Burst)
		}
	}
	part := amount{p.usablePart(usable.rate, missing.rate, p.limit.Rate), p.usablePart(usable.burst, missing.burst, p.limit.Burst)}
	for _, r := range p.rows {
		if !r.current.Confirmed {
			continue
		}
		s := r.current
		s.Rate += max(0, r.target.rate-s.Rate) * part.rate
		s.Burst += max(0, r.target.burst-s.Burst) * part.burst
		small := s.Rate-r.current.Rate <= p.minChange(p.limit.Rate)/50 && s.Burst-r.current.Burst <= p.minChange(p.limit.Burst)/20
		if r.exists && small {
			continue
		}
		list = append(list, s)
		p.a.planned[key{p.name, r.centre}] = p.a.terms[r.centre]
	}
	return list
}

// usablePart returns the part of the missing amount that can be granted, less a reserve for rounding errors.
func (p *plan) usablePart(usable, missing, total float64) float64 {
	usable -= p.roundingError(total)
	if usable <= 0 || missing <= 0 {
		return 0
	}
	return min(1, usable/missing)
}

// outlook returns the share of the data centre when the others keep no more than their demand.
func (p *plan) outlook(centre string) amount {
	o := amount{p.limit.Rate - p.fixed.rate, p.limit.Burst - p.fixed.burst}
	n := float64(max(1, len(p.shares)))
	for _, r := range p.rows {
		if r.centre == centre {
			continue
		}
		o.rate -= max(r.demand.latest, p.a.options.Minimum*p.limit.Rate/n)
		o.burst -= max(r.demand.largest, p.a.options.Minimum*p.limit.Burst/n)
	}
	return amount{max(0, o.rate), max(0, o.burst)}
}
