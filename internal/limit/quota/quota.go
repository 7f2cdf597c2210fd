// Package quota keeps customers within their rates over all entries: the leader divides each rate into shares, and an
// entry admits requests from a bucket that its share fills.
package quota

import "time"

// Wallet holds the buckets of one entry. It is not safe for concurrent use.
type Wallet struct {
	accounts map[string]*account
	expires  time.Time
}

type account struct {
	share  float64 // tokens per second
	cap    float64 // tokens
	level  float64
	at     time.Time
	asked  float64   // tokens since the last report
	retry  time.Time // when the reserve may have tokens again
	demand float64   // tokens per second, smoothed
}

// NewWallet returns a wallet without shares.
func NewWallet() *Wallet { return &Wallet{accounts: map[string]*account{}} }

// demandWeight is the weight of the last interval in the smoothed demand.
const demandWeight = 0.4

// Grant sets the shares, which hold until the deadline. A share that is left out is kept.
func (w *Wallet) Grant(now, deadline time.Time, shares map[string]float64, limits map[string]Limit) {
	w.expires = deadline
	for customer, share := range shares {
		a := w.account(now, customer)
		a.fill(now)
		limit := limits[customer]
		if limit.Rate <= 0 {
			continue
		}
		before := a.cap
		a.share, a.cap = share, limit.Burst*share/limit.Rate // a share brings the same part of the burst
		if before == 0 {
			// Other entries may have used the burst a moment ago, so that a new share begins with a part of it.
			a.level = a.cap * newShareFill
		}
		a.level = min(a.level, a.cap)
	}
}

// newShareFill is the part of its burst that a new share begins with.
const newShareFill = 0.5

func (w *Wallet) account(now time.Time, customer string) *account {
	a := w.accounts[customer]
	if a == nil {
		a = &account{at: now}
		w.accounts[customer] = a
	}
	return a
}

func (a *account) fill(now time.Time) {
	if d := now.Sub(a.at); d > 0 {
		a.level = min(a.level+a.share*d.Seconds(), a.cap)
		a.at = now
	}
}

// Take admits a request that costs some tokens, or returns the time at which it may come back. A request that is larger
// than the bucket is admitted from a full one, and leaves a debt.
func (w *Wallet) Take(now time.Time, customer string, cost float64) (retryAt time.Time, admitted bool) {
	a := w.account(now, customer)
	a.asked += cost
	if !now.Before(w.expires) || a.share <= 0 {
		return now.Add(noShareWait), false
	}
	a.fill(now)
	need := min(cost, a.cap)
	if a.level >= need {
		a.level -= cost
		return time.Time{}, true
	}
	return now.Add(time.Duration((need - a.level) / a.share * float64(time.Second))), false
}

// noShareWait is about the time in which the leader answers a report with a share.
const noShareWait = 500 * time.Millisecond

// MayBorrow tells whether the reserve is worth asking for a request that Take has turned away.
func (w *Wallet) MayBorrow(now time.Time, customer string) bool {
	return !now.Before(w.account(now, customer).retry)
}

// Denied records when the reserve may have tokens again.
func (w *Wallet) Denied(now, retryAt time.Time, customer string) {
	w.account(now, customer).retry = retryAt
}

// Return gives back what a request was charged that has not run.
func (w *Wallet) Return(now time.Time, customer string, cost float64) {
	a := w.account(now, customer)
	a.fill(now)
	a.level = min(a.level+cost, a.cap)
}

// Report returns demand and shares for the leader; elapsed is the time since the last report.
func (w *Wallet) Report(now time.Time, elapsed time.Duration) (demand, held map[string]float64) {
	demand, held = map[string]float64{}, map[string]float64{}
	for customer, a := range w.accounts {
		if s := elapsed.Seconds(); s > 0 {
			a.demand += demandWeight * (a.asked/s - a.demand)
			a.asked = 0
		}
		demand[customer] = a.demand
		if now.Before(w.expires) {
			held[customer] = a.share
		}
	}
	return demand, held
}

// State is what decides about a customer's requests.
type State struct {
	Share float64 // tokens per second
	Level float64 // tokens in the bucket
	Cap   float64 // tokens that fit the bucket
}

// State returns the bucket of a customer.
func (w *Wallet) State(now time.Time, customer string) State {
	a := w.account(now, customer)
	a.fill(now)
	return State{Share: a.share, Level: a.level, Cap: a.cap}
}
