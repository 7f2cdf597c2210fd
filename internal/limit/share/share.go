// Package share splits each customer's rate and burst over the data centres by demand. It is pure and not safe
// for concurrent use: the leader of the configuration log feeds it demand reports and the current objects, and
// proposes the changes that it returns.
package share

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lycheevale/internal/state/registry"
)

// Report is what a data centre's coordinator tells the leader.
type Report struct {
	DataCentre string   `json:"DataCentre"`
	Items      []Demand `json:"Items,omitempty"` // customers that are not listed have no demand
}

// Demand is the recent use of one customer in one data centre.
type Demand struct {
	Customer string  `json:"Customer"`
	Rate     float64 `json:"Rate"`              // tokens per second, with refused requests
	Waiting  float64 `json:"Waiting,omitempty"` // tokens of queued requests
	Largest  float64 `json:"Largest,omitempty"` // tokens of the largest recent request
}

// Answer tells a data centre what its shares can become.
type Answer struct {
	Items []Outlook `json:"Items,omitempty"`
}

// Outlook is what one customer's share of a data centre can become, given the demand elsewhere.
type Outlook struct {
	Customer string  `json:"Customer"`
	Rate     float64 `json:"Rate"`
	Burst    float64 `json:"Burst"`
}

// Input is the configuration at one revision.
type Input struct {
	Revision    uint64
	DataCentres []string
	Customers   map[string]registry.Customer
	Shares      []registry.Share
}

// Allocator holds the demand and what it knows of decreases in progress.
type Allocator struct {
	options Options
	centres map[string]time.Time // last report
	demands map[key]demand
	seen    map[key]registry.Share
	holds   map[key]amount // freed by a decrease that is not confirmed
	moved   map[string]time.Time
}

type key struct{ customer, centre string }

// amount is a rate with its burst.
type amount struct{ rate, burst float64 }

type demand struct {
	rate    float64 // tokens per second; rises at once and decays
	largest float64
	waiting float64
	at      time.Time
}

// New returns an allocator without knowledge.
func New(opts ...Option) *Allocator {
	o := defaultOptions()
	for _, opt := range opts {
		opt(&o)
	}
	return &Allocator{
		options: o, centres: map[string]time.Time{}, demands: map[key]demand{}, seen: map[key]registry.Share{},
		holds: map[key]amount{}, moved: map[string]time.Time{},
	}
}

// Report records the demand of a data centre; a report replaces the one before.
func (a *Allocator) Report(now time.Time, r Report) {
	a.centres[r.DataCentre] = now
	listed := map[string]bool{}
	for _, d := range r.Items {
		listed[d.Customer] = true
		k := key{d.Customer, r.DataCentre}
		rate := d.Rate + d.Waiting/a.options.Backlog.Seconds()
		a.demands[k] = demand{
			rate: max(rate, a.decayed(now, k)), largest: d.Largest, waiting: d.Waiting, at: now,
		}
	}
	for k := range a.demands {
		if k.centre != r.DataCentre || listed[k.customer] {
			continue
		}
		rate := a.decayed(now, k)
		a.demands[k] = demand{rate: rate, at: now}
		if rate < leastRate {
			delete(a.demands, k)
		}
	}
}

// Reachable reports whether the data centre has reported lately; the share of another one stays its own.
func (a *Allocator) Reachable(now time.Time, centre string) bool {
	at, ok := a.centres[centre]
	return ok && now.Sub(at) <= a.options.Silence
}

// Plan returns the changes for the input; the caller proposes them with Input.Revision as expected revision,
// so that a plan of a deposed leader cannot be applied on top of another.
func (a *Allocator) Plan(now time.Time, in Input) (changes []registry.Object) {
	shares := a.observe(in)
	for _, name := range slices.Sorted(maps.Keys(in.Customers)) {
		limit := in.Customers[name]
		if Unlimited(limit) {
			continue
		}
		p := a.prepare(now, name, limit, in.DataCentres, shares[name])
		for _, s := range p.changes(now) {
			s.Epoch = max(s.Epoch, in.Revision) + 1
			changes = append(changes, object(s))
		}
	}
	return append(changes, obsolete(in)...)
}

// Unlimited reports whether a customer has no limit: neither rate nor burst is set.
func Unlimited(c registry.Customer) bool {
	return c.Rate == 0 && c.Burst == 0
}

// Confirm returns the changes that mark shares as applied by their data centre. Shares that have changed
// since are left out, so a late or resent confirmation has no effect.
func Confirm(current []registry.Share, confirmed []registry.Share) (changes []registry.Object) {
	for _, c := range confirmed {
		for _, s := range current {
			same := s.Customer == c.Customer && s.DataCentre == c.DataCentre && s.Epoch == c.Epoch
			if same && !s.Confirmed {
				s.Confirmed = true
				changes = append(changes, object(s))
			}
		}
	}
	return changes
}

// Outlook returns what the shares of a data centre can become, for the customers of its report.
func (a *Allocator) Outlook(now time.Time, in Input, r Report) (answer Answer) {
	shares := group(in.Shares)
	for _, d := range r.Items {
		limit, ok := in.Customers[d.Customer]
		if !ok || Unlimited(limit) {
			continue
		}
		p := a.prepare(now, d.Customer, limit, in.DataCentres, shares[d.Customer])
		o := p.outlook(r.DataCentre)
		answer.Items = append(answer.Items, Outlook{Customer: d.Customer, Rate: o.rate, Burst: o.burst})
	}
	return answer
}

// observe notes what the decreases since the last call have freed. A share that is first seen unconfirmed may
// have freed everything that is free now.
func (a *Allocator) observe(in Input) map[string]map[string]registry.Share {
	shares := group(in.Shares)
	current := map[key]registry.Share{}
	for customer, byCentre := range shares {
		free := left(in.Customers[customer], byCentre)
		for centre, s := range byCentre {
			k := key{customer, centre}
			a.observeShare(k, s, free)
			current[k] = s
		}
	}
	maps.DeleteFunc(a.holds, func(k key, _ amount) bool { _, ok := current[k]; return !ok })
	maps.DeleteFunc(a.moved, func(c string, _ time.Time) bool { _, ok := in.Customers[c]; return !ok })
	a.seen = current
	return shares
}

func (a *Allocator) observeShare(k key, s registry.Share, free amount) {
	if s.Confirmed {
		delete(a.holds, k)
		return
	}
	old, known := a.seen[k]
	if !known {
		a.holds[k] = amount{max(0, free.rate), max(0, free.burst)}
		return
	}
	if old.Epoch != s.Epoch {
		h := a.holds[k]
		a.holds[k] = amount{h.rate + max(0, old.Rate-s.Rate), h.burst + max(0, old.Burst-s.Burst)}
	}
}

// left returns what the shares leave of the limit; it is negative after the limit was lowered.
func left(limit registry.Customer, shares map[string]registry.Share) amount {
	free := amount{limit.Rate, limit.Burst}
	for _, centre := range slices.Sorted(maps.Keys(shares)) { // sums must not depend on the order of a map
		s := shares[centre]
		free.rate -= s.Rate
		free.burst -= s.Burst
	}
	return free
}

// obsolete returns the deletion of the shares of customers that no longer exist or have become unlimited.
func obsolete(in Input) (changes []registry.Object) {
	for _, s := range in.Shares {
		if limit, ok := in.Customers[s.Customer]; !ok || Unlimited(limit) {
			changes = append(changes, registry.Object{Kind: registry.KindShare, Name: Name(s), Deleted: true})
		}
	}
	slices.SortFunc(changes, func(x, y registry.Object) int { return cmp.Compare(x.Name, y.Name) })
	return changes
}

// Name returns the name of the share's object.
func Name(s registry.Share) string { return s.Customer + "/" + s.DataCentre }

func object(s registry.Share) registry.Object {
	return registry.Object{Kind: registry.KindShare, Name: Name(s), Share: &s}
}

func group(list []registry.Share) map[string]map[string]registry.Share {
	byCustomer := map[string]map[string]registry.Share{}
	for _, s := range list {
		if byCustomer[s.Customer] == nil {
			byCustomer[s.Customer] = map[string]registry.Share{}
		}
		byCustomer[s.Customer][s.DataCentre] = s
	}
	return byCustomer
}
