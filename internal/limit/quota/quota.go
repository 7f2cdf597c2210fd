// Package quota limits customers to their rates over all entries. The leader keeps a reserve of tokens for each customer, from
// which it answers the reports of entries with tokens and lends for single requests in between. A few entries, the deputies, also
// have a share of each rate. They use it, and lend from it to other entries, only while no leader answers.
package quota

import (
	"maps"
	"math"
	"time"
)

// EntryPool holds the tokens of one entry. It is not safe for concurrent use.
type EntryPool struct {
	accounts map[string]*account
	terms    Terms
}

// Terms states how long grants are valid.
type Terms struct {
	LeaderlessFrom time.Time // from then on shares are used, unless the leader answers before
	Expires        time.Time // from then on nothing is admitted
}

type account struct {
	share       float64 // tokens per second while no leader answers
	cap         float64 // capacity of the share's bucket in tokens
	level       float64 // tokens in the bucket; negative for a debt
	extra       float64 // tokens from the reserve
	at          time.Time
	requested   float64   // tokens since the last report
	retryAt     time.Time // when the reserve may have tokens again
	demand      float64   // tokens per second, smoothed
	request     float64   // tokens of a request, smoothed
	lastRequest time.Time
}

// NewEntryPool returns an entry pool without shares.
func NewEntryPool() *EntryPool { return &EntryPool{accounts: map[string]*account{}} }

const (
	// demandWeight is the weight of the last interval in the smoothed demand.
	demandWeight = 0.4
	// requestWeight is the weight of the last request in the smoothed size.
	requestWeight = 0.1
	// idleAfter is the time without a request after which an entry gives up its tokens from the reserve.
	idleAfter = 5 * time.Second
)

// Grant is the share and the tokens of one customer that the leader gives an entry.
type Grant struct {
	_ struct{} `cbor:",toarray"`

	Share float64 `json:"S"`           // tokens per second, to be used while no leader answers
	Extra float64 `json:"X,omitempty"` // tokens, once
}

// Grant applies grants. Customers without a grant keep their share and tokens.
func (p *EntryPool) Grant(now time.Time, terms Terms, grants map[string]Grant, limits map[string]Limit) {
	for customer, g := range grants {
		a := p.account(now, customer)
		p.fill(now, a)
		limit := limits[customer]
		if limit.Rate <= 0 {
			continue
		}
		a.share, a.cap = g.Share, limit.Burst*g.Share/limit.Rate // the same part of the burst as of the rate
		a.level = min(a.level, 0)                                // the leader lends again; a debt remains
		a.extra += g.Extra
	}
	p.terms = terms
}

// Forget removes customers for which keep returns false.
func (p *EntryPool) Forget(keep func(customer string) bool) {
	maps.DeleteFunc(p.accounts, func(customer string, _ *account) bool { return !keep(customer) })
}

func (p *EntryPool) account(now time.Time, customer string) *account {
	a := p.accounts[customer]
	if a == nil {
		a = &account{at: now}
		p.accounts[customer] = a
	}
	return a
}

func (p *EntryPool) leaderless(now time.Time) bool {
	return !now.Before(p.terms.LeaderlessFrom) && now.Before(p.terms.Expires)
}

// fill refills the bucket of a share for the time in which no leader has answered.
func (p *EntryPool) fill(now time.Time, a *account) {
	from := a.at
	if from.Before(p.terms.LeaderlessFrom) {
		from = p.terms.LeaderlessFrom
	}
	if d := now.Sub(from); d > 0 && p.leaderless(now) {
		a.level = min(a.level+a.share*d.Seconds(), a.cap)
	}
	a.at = now
}

func (a *account) charge(cost float64) {
	fromExtra := min(max(cost-max(a.level, 0), 0), a.extra)
	a.extra -= fromExtra
	a.level -= cost - fromExtra
}

// Take admits a request, or returns the time at which it may be retried. While no leader answers, a deputy admits a request
// whenever its customer's bucket is not in debt, and the request may put it into debt, because some shares are smaller than a
// request.
func (p *EntryPool) Take(now time.Time, customer string, cost float64) (retryAt time.Time, admitted bool) {
	a := p.account(now, customer)
	a.recordRequest(now, cost)
	if !now.Before(p.terms.Expires) {
		return now.Add(noShareWait), false
	}
	p.fill(now, a)
	usesShare := p.leaderless(now) && a.share > 0
	if a.level+a.extra >= cost || (usesShare && a.level+a.extra >= 0) {
		a.charge(cost)
		return time.Time{}, true
	}
	if !usesShare {
		return now.Add(noShareWait), false
	}
	return now.Add(time.Duration((-a.level - a.extra) / a.share * float64(time.Second))), false
}

// Lend admits a request of another entry from a deputy's share. lends is false if this entry has no share that it may use now.
func (p *EntryPool) Lend(now time.Time, customer string, cost float64) (retryAt time.Time, admitted, lends bool) {
	a := p.accounts[customer]
	if !countable(cost) || a == nil || a.share <= 0 || !p.leaderless(now) {
		return now, false, false
	}
	p.fill(now, a)
	if a.level >= 0 {
		a.level -= cost
		return time.Time{}, true, true
	}
	return now.Add(time.Duration(-a.level / a.share * float64(time.Second))), false, true
}

// recordRequest adds a request to the demand and to the mean size.
func (a *account) recordRequest(now time.Time, cost float64) {
	a.requested += cost
	a.lastRequest = now
	if a.request == 0 {
		a.request = cost
	}
	a.request += requestWeight * (cost - a.request)
}

// noShareWait is about the time until the leader has answered the next report with a grant.
const noShareWait = 500 * time.Millisecond

// MayBorrow reports whether the reserve may have tokens for a request that Take has not admitted.
func (p *EntryPool) MayBorrow(now time.Time, customer string) bool {
	return !now.Before(p.account(now, customer).retryAt)
}

// Denied records when the reserve may have tokens again.
func (p *EntryPool) Denied(retryAt time.Time, customer string) {
	if a := p.accounts[customer]; a != nil {
		a.retryAt = retryAt
	}
}

// Return returns the tokens of a request that was charged but has not run.
func (p *EntryPool) Return(now time.Time, customer string, cost float64) {
	a := p.account(now, customer)
	p.fill(now, a)
	a.extra += cost
}

// Use is an entry's report on one customer.
type Use struct {
	_ struct{} `cbor:",toarray"`

	Demand  float64 `json:"D,omitempty"` // tokens per second that its callers request
	Held    float64 `json:"H,omitempty"` // share, tokens per second
	Extra   float64 `json:"X,omitempty"` // tokens from the reserve
	Missing float64 `json:"M,omitempty"` // tokens that the next requests need beyond Extra
	Request float64 `json:"R,omitempty"` // tokens of a request, on average
}

// Report returns the use of customers for the leader; elapsed is the time since the last report.
func (p *EntryPool) Report(now time.Time, elapsed time.Duration) map[string]Use {
	uses := map[string]Use{}
	for customer, a := range p.accounts {
		p.fill(now, a)
		if s := elapsed.Seconds(); s > 0 {
			a.demand += demandWeight * (a.requested/s - a.demand)
			a.requested = 0
		}
		u := Use{Demand: a.demand, Request: a.request}
		valid := now.Before(p.terms.Expires)
		if valid {
			u.Held = a.share
		}
		if !valid || now.Sub(a.lastRequest) >= idleAfter {
			a.extra = 0
		}
		if now.Sub(a.lastRequest) < idleAfter {
			ready := readyRequests*a.request + a.demand*readyTime.Seconds()
			u.Missing = max(ready-min(a.level, 0)-a.extra, 0)
		}
		u.Extra = a.extra
		uses[customer] = u.rounded()
	}
	return uses
}

// rounded rounds the figures to whole numbers, which take fewer bytes in a message.
func (u Use) rounded() Use {
	return Use{
		Demand: math.Round(u.Demand), Held: math.Ceil(u.Held), Extra: math.Ceil(u.Extra), Missing: math.Floor(u.Missing),
		Request: math.Round(u.Request),
	}
}

const (
	// readyRequests is the number of average requests that an entry holds tokens for.
	readyRequests = 2
	// readyTime is the time whose demand it holds further tokens for: until shares are used after the loss of the leader.
	readyTime = time.Second
)

// State is the state on which the admission of a customer's requests depends.
type State struct {
	Share float64 // tokens per second, while no leader answers
	Level float64 // tokens in the bucket of the share; negative for a debt
	Cap   float64 // capacity of the bucket in tokens
	Extra float64 // tokens that the leader has given
}

// State returns the current state of a customer.
func (p *EntryPool) State(now time.Time, customer string) State {
	a := p.account(now, customer)
	p.fill(now, a)
	return State{Share: a.share, Level: a.level, Cap: a.cap, Extra: a.extra}
}
