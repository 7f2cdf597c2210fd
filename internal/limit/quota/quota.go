// Package quota keeps customers within their rates over all entries. The leader keeps one reserve for each customer, tops entries
// up with tokens with each report, and lends for single requests in between. A few entries, the deputies, have a share of each rate
// as well, which they use only while no leader answers, and then lend the others.
package quota

import (
	"math"
	"time"
)

// Wallet holds the tokens of one entry. It is not safe for concurrent use.
type Wallet struct {
	accounts map[string]*account
	terms    Terms
}

// Terms tell for how long grants hold.
type Terms struct {
	AloneFrom time.Time // from which on shares are used, because no leader has answered since
	Expires   time.Time // from which on nothing is admitted
}

type account struct {
	share   float64 // tokens per second, while alone
	cap     float64 // tokens that its bucket holds
	level   float64 // tokens in the bucket; negative for a debt
	extra   float64 // tokens from the reserve
	at      time.Time
	asked   float64   // tokens since the last report
	retry   time.Time // when the reserve may have tokens again
	demand  float64   // tokens per second, smoothed
	request float64   // tokens of a request, smoothed
	usedAt  time.Time
}

// NewWallet returns a wallet without shares.
func NewWallet() *Wallet { return &Wallet{accounts: map[string]*account{}} }

const (
	// demandWeight is the weight of the last interval in the smoothed demand.
	demandWeight = 0.4
	// requestWeight is the weight of the last request in the smoothed size.
	requestWeight = 0.1
	// idleAfter is the time without a request after which an entry gives up the tokens that it holds.
	idleAfter = 5 * time.Second
)

// Grant is what the leader gives an entry of a customer's rate.
type Grant struct {
	_ struct{} `cbor:",toarray"`

	Share float64 `json:"S"`           // tokens per second, to be used while no leader answers
	Extra float64 `json:"X,omitempty"` // tokens, once
}

// Grant takes over grants. Customers that are left out keep what they have.
func (w *Wallet) Grant(now time.Time, terms Terms, grants map[string]Grant, limits map[string]Limit) {
	for customer, g := range grants {
		a := w.account(now, customer)
		w.fill(now, a)
		limit := limits[customer]
		if limit.Rate <= 0 {
			continue
		}
		a.share, a.cap = g.Share, limit.Burst*g.Share/limit.Rate // a share brings the same part of the burst
		a.level = min(a.level, 0)                                // the leader lends again
		a.extra += g.Extra
	}
	w.terms = terms
}

func (w *Wallet) account(now time.Time, customer string) *account {
	a := w.accounts[customer]
	if a == nil {
		a = &account{at: now}
		w.accounts[customer] = a
	}
	return a
}

func (w *Wallet) alone(now time.Time) bool {
	return !now.Before(w.terms.AloneFrom) && now.Before(w.terms.Expires)
}

// fill lets the bucket of a share fill while no leader answers.
func (w *Wallet) fill(now time.Time, a *account) {
	from := a.at
	if from.Before(w.terms.AloneFrom) {
		from = w.terms.AloneFrom
	}
	if d := now.Sub(from); d > 0 && w.alone(now) {
		a.level = min(a.level+a.share*d.Seconds(), a.cap)
	}
	a.at = now
}

func (a *account) pay(cost float64) {
	fromExtra := min(max(cost-max(a.level, 0), 0), a.extra)
	a.extra -= fromExtra
	a.level -= cost - fromExtra
}

// Take admits a request that costs some tokens, or returns the time at which it may come back. While no leader answers, a deputy
// admits a request whenever its customer's bucket is not in debt, and may leave one: some shares are smaller than a request.
func (w *Wallet) Take(now time.Time, customer string, cost float64) (retryAt time.Time, admitted bool) {
	a := w.account(now, customer)
	a.note(now, cost)
	if !now.Before(w.terms.Expires) {
		return now.Add(noShareWait), false
	}
	w.fill(now, a)
	alone := w.alone(now) && a.share > 0
	if a.level+a.extra >= cost || (alone && a.level+a.extra >= 0) {
		a.pay(cost)
		return time.Time{}, true
	}
	if !alone {
		return now.Add(noShareWait), false
	}
	return now.Add(time.Duration((-a.level - a.extra) / a.share * float64(time.Second))), false
}

// Lend admits a request of another entry from a deputy's share. It reports false for lends where this entry has none that it may use.
func (w *Wallet) Lend(now time.Time, customer string, cost float64) (retryAt time.Time, admitted, lends bool) {
	a := w.accounts[customer]
	if a == nil || a.share <= 0 || !w.alone(now) {
		return now, false, false
	}
	w.fill(now, a)
	if a.level >= 0 {
		a.level -= cost
		return time.Time{}, true, true
	}
	return now.Add(time.Duration(-a.level / a.share * float64(time.Second))), false, true
}

// note records what callers ask for.
func (a *account) note(now time.Time, cost float64) {
	a.asked += cost
	a.usedAt = now
	if a.request == 0 {
		a.request = cost
	}
	a.request += requestWeight * (cost - a.request)
}

// noShareWait is about the time in which the leader answers a report with a share.
const noShareWait = 500 * time.Millisecond

// MayBorrow tells whether the reserve is worth asking for a request that Take has turned away.
func (w *Wallet) MayBorrow(now time.Time, customer string) bool {
	return !now.Before(w.account(now, customer).retry)
}

// Denied records when the reserve may have tokens again.
func (w *Wallet) Denied(retryAt time.Time, customer string) {
	if a := w.accounts[customer]; a != nil {
		a.retry = retryAt
	}
}

// Return gives back what a request was charged that has not run.
func (w *Wallet) Return(now time.Time, customer string, cost float64) {
	a := w.account(now, customer)
	w.fill(now, a)
	a.extra += cost
}

// Use is what an entry tells of a customer.
type Use struct {
	_ struct{} `cbor:",toarray"`

	Demand  float64 `json:"D,omitempty"` // tokens per second that its callers ask for
	Held    float64 `json:"H,omitempty"` // share, tokens per second
	Extra   float64 `json:"X,omitempty"` // tokens from the reserve
	Missing float64 `json:"M,omitempty"` // tokens that the next requests need beyond them
	Request float64 `json:"R,omitempty"` // tokens of a request, on average
}

// Report returns the use of customers for the leader; elapsed is the time since the last report.
func (w *Wallet) Report(now time.Time, elapsed time.Duration) map[string]Use {
	uses := map[string]Use{}
	for customer, a := range w.accounts {
		w.fill(now, a)
		if s := elapsed.Seconds(); s > 0 {
			a.demand += demandWeight * (a.asked/s - a.demand)
			a.asked = 0
		}
		u := Use{Demand: a.demand, Request: a.request}
		live := now.Before(w.terms.Expires)
		if live {
			u.Held = a.share
		}
		if !live || now.Sub(a.usedAt) >= idleAfter {
			a.extra = 0
		}
		if now.Sub(a.usedAt) < idleAfter {
			ready := readyRequests*a.request + a.demand*readyTime.Seconds()
			u.Missing = max(ready-min(a.level, 0)-a.extra, 0)
		}
		u.Extra = a.extra
		uses[customer] = u.rounded()
	}
	return uses
}

// rounded shortens the figures on their way to the leader.
func (u Use) rounded() Use {
	return Use{
		Demand: math.Round(u.Demand), Held: math.Ceil(u.Held), Extra: math.Ceil(u.Extra), Missing: math.Floor(u.Missing),
		Request: math.Round(u.Request),
	}
}

const (
	// readyRequests is the number of average requests that an entry holds tokens for.
	readyRequests = 2
	// readyTime is the time for which it holds further tokens: until it uses its shares, if the leader is lost.
	readyTime = time.Second
)

// State is what decides about a customer's requests.
type State struct {
	Share float64 // tokens per second, while no leader answers
	Level float64 // tokens in its bucket
	Cap   float64 // tokens that fit the bucket
	Extra float64 // tokens that the leader has given
}

// State returns the bucket of a customer.
func (w *Wallet) State(now time.Time, customer string) State {
	a := w.account(now, customer)
	w.fill(now, a)
	return State{Share: a.share, Level: a.level, Cap: a.cap, Extra: a.extra}
}
