// Package share divides each customer's rate and burst among the data centres by demand. It has no side effects and is
// not safe for concurrent use: the leader of the configuration log passes it demand reports and the current objects,
// and proposes the changes that it returns.
package share

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lycheevale/internal/state/registry"
)

// Report is a demand report of a data centre's coordinator to the leader.
type Report struct {
	DataCentre string   `json:"DataCentre"`
	Term       uint64   `json:"Term"`           // of the coordinator
	Full       bool     `json:"Full,omitempty"` // customers that are not listed have no demand; otherwise theirs is unchanged
	Items      []Demand `json:"Items,omitempty"`
}

// Demand is the recent use of one customer in one data centre.
type Demand struct {
	Customer string  `json:"Customer"`
	Rate     float64 `json:"Rate"`              // tokens per second, including refused requests
	Waiting  float64 `json:"Waiting,omitempty"` // tokens of queued requests
	Largest  float64 `json:"Largest,omitempty"` // tokens of the largest recent request
	Epoch    uint64  `json:"Epoch,omitempty"`   // of the share in effect
}

// Confirmation states that a smaller share is in effect.
type Confirmation struct {
	Share registry.Share `json:"Share"`
	Freed float64        `json:"Freed,omitempty"` // tokens that the data centre has given up with it
}

// Answer is the leader's answer to a Report.
type Answer struct {
	Full  bool      `json:"Full,omitempty"` // the next report must be full
	Items []Outlook `json:"Items,omitempty"`
}

// Outlook is the rate and burst that one customer's share of a data centre can grow to, given the demand elsewhere.
type Outlook struct {
	Customer string  `json:"Customer"`
	Rate     float64 `json:"Rate"`
	Burst    float64 `json:"Burst"`
	Grant    *Grant  `json:"Grant,omitempty"`
}

// Grant passes on tokens that another data centre gave up. It is sent at most once, and not again if it is lost.
type Grant struct {
	Epoch  uint64  `json:"Epoch"` // of the increase that the tokens belong to
	Tokens float64 `json:"Tokens"`
}

// Input is the configuration at one revision.
type Input struct {
	Revision    uint64
	DataCentres []string
	Customers   map[string]registry.Customer
	Shares      []registry.Share
}

// NewInput returns the input for the customer and share objects that exist at a revision.
func NewInput(revision uint64, centres []string, customers, shares []registry.Object) Input {
	in := Input{Revision: revision, DataCentres: centres, Customers: map[string]registry.Customer{}}
	for _, o := range customers {
		if o.Customer != nil && !o.Deleted {
			in.Customers[o.Name] = *o.Customer
		}
	}
	for _, o := range shares {
		if o.Share != nil && !o.Deleted {
			in.Shares = append(in.Shares, *o.Share)
		}
	}
	return in
}

// Allocator plans shares from the reported demand and the decreases in progress.
type Allocator struct {
	options      Options
	lastReport   map[string]time.Time // last report
	terms        map[string]uint64    // terms of the coordinators, from their last reports
	planned      map[key]uint64       // coordinator's term for which the last increase was planned
	demands      map[key]demand
	observed     map[key]registry.Share
	unconfirmed  map[key]amount // amounts of decreases that are not confirmed
	lastDecrease map[string]time.Time
	freed        map[string]float64 // tokens given up and not yet passed on, by customer
	grants       map[key]granted    // to be passed on with the next answer
}

// granted is a grant with the term of the coordinator that it is for. A later coordinator does not know what its
// predecessor did with the increase, and could lend the tokens twice.
type granted struct {
	Grant
	term uint64
}

type key struct{ customer, centre string }

// amount is a rate with its burst.
type amount struct{ rate, burst float64 }

type demand struct {
	rate    float64 // tokens per second; rises at once and decays
	latest  float64 // tokens per second as reported
	steady  float64 // the same with what would clear the waiting tokens
	largest float64
	waiting float64
	at      time.Time
}

// New returns an allocator without reports.
func New(opts ...Option) *Allocator {
	o := defaultOptions()
	for _, opt := range opts {
		opt(&o)
	}
	return &Allocator{
		options: o, lastReport: map[string]time.Time{}, demands: map[key]demand{}, observed: map[key]registry.Share{},
		unconfirmed: map[key]amount{}, lastDecrease: map[string]time.Time{},
		freed: map[string]float64{}, grants: map[key]granted{},
		terms: map[string]uint64{}, planned: map[key]uint64{},
	}
}

// Report records the demand of a data centre. It returns false and records nothing if the report lists only changes and
// there is no recent full one, because customers that are not listed would count as without demand, and if it comes from
// a coordinator that has been replaced.
func (a *Allocator) Report(now time.Time, r Report) (ok bool) {
	late := r.Term < a.terms[r.DataCentre] // from a coordinator that has been replaced
	if late || (!r.Full && !a.Reachable(now, r.DataCentre)) {
		return false
	}
	a.lastReport[r.DataCentre] = now
	a.terms[r.DataCentre] = r.Term
	listed := map[string]bool{}
	for _, d := range r.Items {
		listed[d.Customer] = true
		k := key{d.Customer, r.DataCentre}
		steady := d.Rate + d.Waiting/a.options.Backlog.Seconds()
		a.demands[k] = demand{
			rate: max(steady, a.decayed(now, k)), latest: d.Rate, steady: steady, largest: d.Largest, waiting: d.Waiting,
			at: now,
		}
	}
	for k, d := range a.demands {
		if k.centre == r.DataCentre && !listed[k.customer] {
			a.updateUnlisted(now, k, d, r.Full)
		}
	}
	return true
}

// updateUnlisted updates a demand that was not listed in a report; ended is true if it has therefore ended.
func (a *Allocator) updateUnlisted(now time.Time, k key, d demand, ended bool) {
	if ended {
		d.latest, d.steady, d.largest, d.waiting = 0, 0, 0, 0
	}
	d.rate = max(d.steady, a.decayed(now, k))
	d.at = now
	a.demands[k] = d
	if d.rate < minRate {
		delete(a.demands, k)
	}
}

// Reachable reports whether the data centre has reported within Silence. The share of an unreachable one is not changed.
func (a *Allocator) Reachable(now time.Time, centre string) bool {
	at, ok := a.lastReport[centre]
	return ok && now.Sub(at) <= a.options.Silence
}

// Plan returns the changes for the input; the caller proposes them with Input.Revision as expected revision,
// so that a plan of a former leader cannot be applied on top of another.
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
	return append(changes, removeObsolete(in)...)
}

// Unlimited reports whether a customer has no limit: neither rate nor burst is set.
func Unlimited(c registry.Customer) bool {
	return c.Rate == 0 && c.Burst == 0
}

// Confirm returns the changes that mark shares as applied by their data centre, and the tokens that were given
// up with them, by customer. Shares that have changed since are left out, so a late or resent confirmation has
// no effect.
func Confirm(current []registry.Share, confirmed []Confirmation) (changes []registry.Object, freed map[string]float64) {
	freed = map[string]float64{}
	for _, c := range confirmed {
		for _, s := range current {
			same := s.Customer == c.Share.Customer && s.DataCentre == c.Share.DataCentre && s.Epoch == c.Share.Epoch
			if same && !s.Confirmed {
				s.Confirmed = true
				changes = append(changes, object(s))
				freed[s.Customer] += max(0, c.Freed)
			}
		}
	}
	return changes, freed
}

// Free records tokens that were given up. It is called once for each confirmation, after the log has applied it.
func (a *Allocator) Free(freed map[string]float64) {
	for customer, tokens := range freed {
		a.freed[customer] += tokens
	}
}

// Outlook returns what the shares of a data centre can grow to, for the customers of its report.
func (a *Allocator) Outlook(now time.Time, in Input, r Report) (answer Answer) {
	shares := group(in.Shares)
	for _, d := range r.Items {
		limit, ok := in.Customers[d.Customer]
		if !ok || Unlimited(limit) {
			continue
		}
		p := a.prepare(now, d.Customer, limit, in.DataCentres, shares[d.Customer])
		o := p.outlook(r.DataCentre)
		item := Outlook{Customer: d.Customer, Rate: o.rate, Burst: o.burst}
		k := key{d.Customer, r.DataCentre}
		if g, ok := a.grants[k]; ok && d.Epoch >= g.Epoch {
			if g.term == r.Term || a.options.anyTerm {
				item.Grant = &g.Grant
			}
			delete(a.grants, k)
		}
		answer.Items = append(answer.Items, item)
	}
	return answer
}

// observe records what the decreases since the last call will free. A share that is unconfirmed when it is first seen
// counts as the source of everything that is free now. It returns the shares by customer and data centre.
func (a *Allocator) observe(in Input) map[string]map[string]registry.Share {
	shares := group(in.Shares)
	current := map[key]registry.Share{}
	for _, customer := range slices.Sorted(maps.Keys(shares)) {
		byCentre := shares[customer]
		free := unallocated(in.Customers[customer], byCentre)
		for _, centre := range slices.Sorted(maps.Keys(byCentre)) {
			k := key{customer, centre}
			a.observeShare(k, byCentre[centre], free)
			a.observeIncrease(k, byCentre[centre])
			current[k] = byCentre[centre]
		}
		// Tokens passed on must fit what is free, because limits may have been lowered since.
		a.freed[customer] = min(a.freed[customer], max(0, free.burst))
	}
	maps.DeleteFunc(a.freed, func(c string, tokens float64) bool { return tokens <= 0 || shares[c] == nil })
	maps.DeleteFunc(a.grants, func(k key, _ granted) bool { _, ok := current[k]; return !ok })
	maps.DeleteFunc(a.planned, func(k key, _ uint64) bool { return shares[k.customer] == nil })
	maps.DeleteFunc(a.unconfirmed, func(k key, _ amount) bool { _, ok := current[k]; return !ok })
	maps.DeleteFunc(a.lastDecrease, func(c string, _ time.Time) bool { _, ok := in.Customers[c]; return !ok })
	a.observed = current
	return shares
}

func (a *Allocator) observeShare(k key, s registry.Share, free amount) {
	if s.Confirmed {
		delete(a.unconfirmed, k)
		return
	}
	old, known := a.observed[k]
	if !known {
		a.unconfirmed[k] = amount{max(0, free.rate), max(0, free.burst)}
		return
	}
	if old.Epoch != s.Epoch {
		h := a.unconfirmed[k]
		a.unconfirmed[k] = amount{h.rate + max(0, old.Rate-s.Rate), h.burst + max(0, old.Burst-s.Burst)}
	}
}

// observeIncrease assigns freed tokens to a share whose burst has grown.
func (a *Allocator) observeIncrease(k key, s registry.Share) {
	old, known := a.observed[k]
	term, planned := a.planned[k]
	if !known || !planned || s.Burst <= old.Burst || a.freed[k.customer] <= 0 {
		return
	}
	tokens := min(a.freed[k.customer], s.Burst-old.Burst)
	a.freed[k.customer] -= tokens
	a.grants[k] = granted{Grant{Epoch: s.Epoch, Tokens: tokens}, term}
}

// unallocated returns the part of the limit that no share has; it is negative after the limit was lowered.
func unallocated(limit registry.Customer, shares map[string]registry.Share) amount {
	free := amount{limit.Rate, limit.Burst}
	for _, centre := range slices.Sorted(maps.Keys(shares)) { // sums must not depend on the order of a map
		s := shares[centre]
		free.rate -= s.Rate
		free.burst -= s.Burst
	}
	return free
}

// removeObsolete returns the changes that remove the shares of customers that no longer exist or have become unlimited:
// each is first decreased to zero, and deleted once that is confirmed.
func removeObsolete(in Input) (changes []registry.Object) {
	for _, s := range in.Shares {
		if limit, ok := in.Customers[s.Customer]; ok && !Unlimited(limit) {
			continue
		}
		switch {
		case s.Rate != 0 || s.Burst != 0:
			if s.Confirmed {
				s.Rate, s.Burst, s.Confirmed = 0, 0, false
				s.Epoch = max(s.Epoch, in.Revision) + 1
				changes = append(changes, object(s))
			}
		case s.Confirmed:
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
