package quota_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"lycheevale/internal/limit/quota"
)

var epoch = time.Unix(1_800_000_000, 0)

// options are the settings of a leader on the users' platform.
var options = quota.Options{
	Lease: 30 * time.Second, LeaderlessAfter: 800 * time.Millisecond,
	Tolerance: quota.Tolerance{Window: 8 * time.Second, Overage: 0.1, Slack: 17_000},
}

// fleet is a leader with entries that report one after the other.
type fleet struct {
	pool       *quota.Pool
	entryPools []*quota.EntryPool
	limits     map[string]quota.Limit
	now        time.Time
	stored     quota.Appointment // the appointment in the log, for the next leader
}

const (
	interval        = 200 * time.Millisecond
	leaderlessAfter = time.Second
)

func newFleet(entries int, limit quota.Limit) *fleet {
	f := &fleet{pool: quota.NewPool(epoch, options), limits: map[string]quota.Limit{"c": limit}, now: epoch}
	for range entries {
		f.entryPools = append(f.entryPools, quota.NewEntryPool())
	}
	return f
}

// startLeader replaces the leader by a new one.
func (f *fleet) startLeader() {
	f.pool = quota.NewPool(f.now, options)
	f.pool.Appoint(f.stored)
}

// report sends the report of an entry; the answer is lost if delivered is false.
func (f *fleet) report(i int, delivered bool) {
	if a, changed := f.pool.Propose(f.now); changed {
		f.stored = a
		f.pool.Appoint(a)
	}
	grants := f.pool.Report(f.now, quota.Report{Entry: fmt.Sprint(i), DataCentre: fmt.Sprint("dc", i%6), Uses: f.entryPools[i].Report(f.now, interval)}, f.limits)
	if delivered {
		terms := quota.Terms{LeaderlessFrom: f.now.Add(leaderlessAfter), Expires: f.now.Add(options.Lease)}
		f.entryPools[i].Grant(f.now, terms, grants, f.limits)
	}
}

// borrowFromDeputies asks two deputies, as an entry does.
func (f *fleet) borrowFromDeputies(from int, cost float64) bool {
	deputies, _ := f.pool.Deputies()
	deputies = deputies[:options.Tolerance.Deputies(f.limits["c"], len(deputies))]
	for ask := range min(2, len(deputies)) {
		var i int
		if _, err := fmt.Sscan(deputies[(from+ask)%len(deputies)], &i); err != nil {
			return false
		}
		if _, admitted, _ := f.entryPools[i].Lend(f.now, "c", cost); admitted {
			return true
		}
	}
	return false
}

func (f *fleet) held() (sum float64) {
	for _, p := range f.entryPools {
		sum += p.Report(f.now, 0)["c"].Held
	}
	return sum
}

// Guards against shares that together exceed the rate, with lost answers and changing demand.
func TestSharesNeverExceedRate(t *testing.T) {
	c := quicktest.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	f := newFleet(9, quota.Limit{Rate: 1000, Burst: 1000})
	for range 2000 {
		f.now = f.now.Add(interval)
		for i := range f.entryPools {
			for range random.IntN(10) {
				f.entryPools[i].Take(f.now, "c", 100*random.Float64())
			}
			f.report(i, random.IntN(10) > 0)
			c.Assert(f.held() < 1000.001, quicktest.IsTrue)
		}
	}
}

// One customer sends six times its rate through unevenly loaded entries. Guards against admitting more than its rate, and
// against leaving a tenth of the rate unused.
func TestHotCustomerGetsItsRate(t *testing.T) {
	c := quicktest.New(t)
	random := rand.New(rand.NewPCG(2, 2))
	f := newFleet(9, quota.Limit{Rate: 90_000, Burst: 90_000})
	admitted := 0.0
	const seconds = 40
	for f.now.Before(epoch.Add(seconds * time.Second)) {
		f.now = f.now.Add(interval)
		for i := range f.entryPools {
			for range 4 * (i + 1) {
				cost := 200 + 2000*random.Float64()
				if _, ok := f.entryPools[i].Take(f.now, "c", cost); ok {
					admitted += cost
				}
			}
			f.report(i, true)
		}
	}
	c.Check(admitted <= 90_000*(seconds+1)*1.02, quicktest.IsTrue, quicktest.Commentf("%.0f tokens", admitted))
	c.Check(admitted >= 90_000*seconds*0.9, quicktest.IsTrue, quicktest.Commentf("%.0f tokens", admitted))
}

// Guards against a new leader that assigns shares which entries still use.
func TestNewLeaderKeepsSharesWithinRate(t *testing.T) {
	c := quicktest.New(t)
	f := newFleet(6, quota.Limit{Rate: 600, Burst: 600})
	for range 50 {
		f.now = f.now.Add(interval)
		for i := range f.entryPools {
			f.entryPools[i].Take(f.now, "c", 50)
			f.report(i, true)
		}
	}
	f.startLeader()
	for range 10 {
		f.now = f.now.Add(interval)
		for i := range f.entryPools {
			f.report(i, true)
			c.Assert(f.held() <= 600.001, quicktest.IsTrue, quicktest.Commentf("%.1f", f.held()))
		}
	}
}

// Guards against a cut-off entry that still uses its share after its lease, when the leader may have given it to others.
func TestShareEndsWithLease(t *testing.T) {
	c := quicktest.New(t)
	f := newFleet(2, quota.Limit{Rate: 100, Burst: 100})
	for range 20 {
		f.now = f.now.Add(interval)
		f.report(0, true)
		f.report(1, true)
	}
	f.now = f.now.Add(options.Lease)
	_, admitted := f.entryPools[0].Take(f.now, "c", 1)
	c.Check(admitted, quicktest.IsFalse)
}

// Guards against a retry time at which the request is refused again, by the leader or by an entry without a leader.
func TestRetryAtIsEnough(t *testing.T) {
	c := quicktest.New(t)
	const cost = 60
	f := newFleet(1, quota.Limit{Rate: 100, Burst: 100})
	for range 20 {
		f.now = f.now.Add(interval)
		f.report(0, true)
	}
	for admitted := true; admitted; {
		var retryAt time.Time
		if retryAt, admitted = f.pool.Borrow(f.now, "c", cost, f.limits["c"], quota.Later); !admitted {
			_, again := f.pool.Borrow(retryAt.Add(time.Millisecond), "c", cost, f.limits["c"], quota.Later)
			c.Check(again, quicktest.IsTrue)
		}
	}
	f.now = f.now.Add(leaderlessAfter + interval)
	for admitted := true; admitted; {
		var retryAt time.Time
		if retryAt, admitted = f.entryPools[0].Take(f.now, "c", cost); !admitted {
			_, again := f.entryPools[0].Take(retryAt.Add(time.Millisecond), "c", cost)
			c.Check(again, quicktest.IsTrue)
		}
	}
}

// load is a customer's demand on a fleet.
type load struct {
	entries   int
	limit     quota.Limit
	perSecond float64 // requests
	// leads reports whether a leader answers at a time since the start; nil if one always does.
	leads func(at time.Duration) bool
}

// outcome counts requests after warmUp, in which the entries receive their first shares.
type outcome struct {
	asked, refused, borrowed float64
	admitted                 []float64 // tokens, by interval
}

const warmUp = 5 * time.Second

// run applies the load for the given time. After a time without a leader, a new one starts.
func (l load) run(length time.Duration) (o outcome) {
	random := rand.New(rand.NewPCG(3, 3))
	f := newFleet(l.entries, l.limit)
	f.pool = quota.NewPool(epoch, options)
	hadLeader := true
	for at := interval; at < length; at += interval {
		f.now = epoch.Add(at)
		leads := l.leads == nil || l.leads(at)
		if leads && !hadLeader {
			f.startLeader()
		}
		hadLeader = leads
		tokens := 0.0
		for i, p := range f.entryPools {
			for n := random.Float64() + l.perSecond*interval.Seconds()/float64(l.entries); n >= 1; n-- {
				cost := 300 + 3000*random.Float64()
				_, admitted := p.Take(f.now, "c", cost)
				switch {
				case admitted:
				case leads:
					o.borrowed++
					_, admitted = f.pool.Borrow(f.now, "c", cost, l.limit, quota.Later)
				default:
					admitted = f.borrowFromDeputies(i, cost)
				}
				if admitted {
					tokens += cost
				}
				if at > warmUp {
					o.asked++
					if !admitted {
						o.refused++
					}
				}
			}
			if leads {
				f.report(i, true)
			}
		}
		o.admitted = append(o.admitted, tokens)
	}
	return o
}

// A customer sends a steady two thirds of its rate to nine entries. Guards against refusing its requests although its rate
// is not used up.
func TestUnevenRequestsBelowRateAreAdmitted(t *testing.T) {
	o := load{entries: 9, limit: quota.Limit{Rate: 30_000, Burst: 30_000}, perSecond: 11}.run(time.Minute)
	quicktest.New(t).Check(o.refused < 0.01*o.asked, quicktest.IsTrue, quicktest.Commentf("%.0f of %.0f refused", o.refused, o.asked))
}

// A customer sends nine tenths of its rate to 75 entries, each of which receives one request in two seconds. Guards against
// refusals at some entries while the buckets of others overflow, as seen on a deployment that had grown to this size.
func TestManyEntriesShareOneRate(t *testing.T) {
	o := load{entries: 75, limit: quota.Limit{Rate: 80_000, Burst: 80_000}, perSecond: 40}.run(time.Minute)
	quicktest.New(t).Check(o.refused < 0.01*o.asked, quicktest.IsTrue, quicktest.Commentf("%.0f of %.0f refused", o.refused, o.asked))
}

// A large customer sends six tenths of its rate to 75 entries. Guards against asking the leader for each request, as seen on a
// deployment that had grown to this size, where the leader answered too late.
func TestMostRequestsNeedNoBorrow(t *testing.T) {
	o := load{entries: 75, limit: quota.Limit{Rate: 200_000, Burst: 200_000}, perSecond: 67}.run(time.Minute)
	c := quicktest.New(t)
	c.Check(o.borrowed < 0.5*o.asked, quicktest.IsTrue, quicktest.Commentf("%.0f of %.0f borrowed", o.borrowed, o.asked))
	c.Check(o.refused < 0.01*o.asked, quicktest.IsTrue, quicktest.Commentf("%.0f of %.0f refused", o.refused, o.asked))
}

// All control instances lose power: for four seconds no leader answers, and the new one has nothing to lend at first. Guards
// against refusing most requests of a customer well below its rate, as seen on a deployment that had grown to 75 entries.
func TestEntriesServeWithoutLeader(t *testing.T) {
	leads := func(at time.Duration) bool { return at < 10*time.Second || at >= 14*time.Second }
	for _, rate := range []float64{40_000, 200_000} {
		l := load{entries: 75, limit: quota.Limit{Rate: rate, Burst: rate}, perSecond: 0.6 * rate / 1800}
		before := l.run(10 * time.Second)
		l.leads = leads
		o := l.run(16 * time.Second)
		refused, asked := o.refused-before.refused, o.asked-before.asked
		t.Logf("rate %.0f: %.0f of %.0f refused", rate, refused, asked)
		quicktest.New(t).Check(refused < 0.5*asked, quicktest.IsTrue, quicktest.Commentf("rate %.0f: %.0f of %.0f refused", rate, refused, asked))
	}
}

// No leader answers, for customers of several sizes; requests count from two seconds after the loss, when deputies lend. Guards
// against shares that serve only requests arriving at their entry: in the worst seconds of a deployment that had grown to 75
// entries, nine tenths of the refusals came from entries without a share, for customers at six tenths of their rate.
func TestDeputiesServeWithoutLeader(t *testing.T) {
	leads := func(at time.Duration) bool { return at < 10*time.Second }
	for _, rate := range []float64{12_000, 40_000, 200_000} {
		for _, entries := range []int{9, 75} {
			l := load{entries: entries, limit: quota.Limit{Rate: rate, Burst: rate}, perSecond: 0.6 * rate / 1800, leads: leads}
			before, o := l.run(12*time.Second), l.run(38*time.Second)
			refused, asked := o.refused-before.refused, o.asked-before.asked
			quicktest.New(t).Check(refused < 0.03*asked, quicktest.IsTrue,
				quicktest.Commentf("rate %.0f, %d entries: %.0f of %.0f refused", rate, entries, refused, asked))
		}
	}
}

// Guards against the loss of most shares with one data centre, and against lost deputies that are not replaced.
func TestDeputiesAreSpreadAndReplaced(t *testing.T) {
	c := quicktest.New(t)
	f := newFleet(24, quota.Limit{Rate: 60_000, Burst: 60_000})
	step := func(lost int) map[string]int {
		for range 20 {
			f.now = f.now.Add(interval)
			for i := range f.entryPools {
				if i%6 != lost {
					f.report(i, true)
				}
			}
		}
		names, _ := f.pool.Deputies()
		centres := map[string]int{}
		for _, name := range names {
			var i int
			_, err := fmt.Sscan(name, &i)
			c.Assert(err, quicktest.IsNil)
			centres[fmt.Sprint("dc", i%6)]++
		}
		return centres
	}
	none := -1
	c.Check(step(none), quicktest.HasLen, 6)
	after := step(2)
	c.Check(after["dc2"], quicktest.Equals, 0)
	c.Check(after, quicktest.HasLen, 5)
}

// A customer sends seven times its rate while leaders are repeatedly lost and replaced. Guards against admitting more in any
// window than the limit and the tolerance allow, also where a share is far smaller than a request.
func TestHotCustomerStaysWithinTolerance(t *testing.T) {
	for _, rate := range []float64{4_200, 40_000, 200_000} {
		limit := quota.Limit{Rate: rate, Burst: rate}
		leads := func(at time.Duration) bool { return at%(9*time.Second) < 6*time.Second }
		o := load{entries: 75, limit: limit, perSecond: 7 * rate / 1800, leads: leads}.run(time.Minute)
		tolerance := options.Tolerance
		most := (rate*tolerance.Window.Seconds()+limit.Burst)*(1+tolerance.Overage) + tolerance.Slack
		steps := int(tolerance.Window / interval)
		for first := 0; first+steps <= len(o.admitted); first++ {
			sum := 0.0
			for _, tokens := range o.admitted[first : first+steps] {
				sum += tokens
			}
			quicktest.New(t).Assert(sum <= most, quicktest.IsTrue, quicktest.Commentf("rate %.0f: %.0f of %.0f", rate, sum, most))
		}
	}
}

// Half of the entries lose contact with the leader, and then with its replacement. They lend to each other while the new leader
// lends the rest. Guards against admitting more in any window than the limit and the tolerance allow, for a customer that sends
// seven times its rate to all entries.
func TestCutOffDeputiesStayWithinTolerance(t *testing.T) {
	for _, rate := range []float64{12_000, 40_000, 200_000} {
		limit := quota.Limit{Rate: rate, Burst: rate}
		random := rand.New(rand.NewPCG(4, 4))
		f := newFleet(30, limit)
		var admitted []float64
		for at := interval; at < 40*time.Second; at += interval {
			f.now = epoch.Add(at)
			cut := func(i int) bool { return at > 15*time.Second && at < 30*time.Second && i%12 < 6 }
			if at == 18*time.Second {
				f.startLeader()
			}
			tokens := 0.0
			for i, p := range f.entryPools {
				for n := random.Float64() + 7*rate/1800*interval.Seconds()/float64(len(f.entryPools)); n >= 1; n-- {
					cost := 300 + 3000*random.Float64()
					_, ok := p.Take(f.now, "c", cost)
					if !ok && cut(i) {
						ok = f.borrowFromDeputies(i, cost)
					} else if !ok {
						_, ok = f.pool.Borrow(f.now, "c", cost, limit, quota.Later)
					}
					if ok {
						tokens += cost
					}
				}
				if !cut(i) {
					f.report(i, true)
				}
			}
			admitted = append(admitted, tokens)
		}
		tolerance := options.Tolerance
		most := (rate*tolerance.Window.Seconds()+limit.Burst)*(1+tolerance.Overage) + tolerance.Slack
		steps := int(tolerance.Window / interval)
		for first := 0; first+steps <= len(admitted); first++ {
			sum := 0.0
			for _, n := range admitted[first : first+steps] {
				sum += n
			}
			quicktest.New(t).Assert(sum <= most, quicktest.IsTrue, quicktest.Commentf("rate %.0f at %v: %.0f of %.0f", rate, time.Duration(first)*interval, sum, most))
		}
	}
}

// A malformed report or loan holds figures that are not numbers. Guards against a reserve and totals that stay spoilt, so that the customer is
// refused or unlimited from then on.
func TestFiguresThatAreNoNumbers(t *testing.T) {
	c := quicktest.New(t)
	now := time.Unix(1_800_000_000, 0)
	limit := quota.Limit{Rate: 1000, Burst: 1000}
	p := quota.NewPool(now, quota.Options{Lease: time.Minute, LeaderlessAfter: time.Second})
	for _, figure := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -5} {
		_, admitted := p.Borrow(now, "c", figure, limit, quota.Later)
		c.Check(admitted, quicktest.IsFalse, quicktest.Commentf("%v", figure))
		p.Report(now, quota.Report{Entry: "e", Uses: map[string]quota.Use{"c": {Demand: figure, Extra: figure, Missing: figure}}}, map[string]quota.Limit{"c": limit})
	}
	now = now.Add(time.Second)
	_, admitted := p.Borrow(now, "c", 500, limit, quota.Later)
	c.Check(admitted, quicktest.IsTrue)
	grants := p.Report(now, quota.Report{Entry: "e", Uses: map[string]quota.Use{"c": {Demand: 100, Missing: 100, Request: 100}}}, map[string]quota.Limit{"c": limit})
	c.Check(grants["c"].Extra >= 0, quicktest.IsTrue)
	_, admitted = p.Borrow(now, "c", 5000, limit, quota.Later)
	c.Check(admitted, quicktest.IsFalse)
}

// A customer uses its whole rate, and some of its callers continue streams that broke off. Guards against new requests that take the tokens first, so that
// fewer streams go on than new ones begin, and against more tokens than the rate allows.
func TestContinuedStreamsGetTokensFirst(t *testing.T) {
	c := quicktest.New(t)
	limit := quota.Limit{Rate: 10_000, Burst: 10_000}
	start := time.Unix(1_800_000_000, 0)
	p := quota.NewPool(start, quota.Options{Lease: 30 * time.Second, LeaderlessAfter: time.Second})
	const cost, streams = 1000, 8
	var waiting [streams]time.Time // when each stream is tried again; zero once it has its tokens
	for i := range waiting {
		waiting[i] = start
	}
	used, last := 0.0, start
	for now := start; now.Before(start.Add(2 * time.Second)); now = now.Add(10 * time.Millisecond) {
		if _, admitted := p.Borrow(now, "c", cost, limit, quota.Later); admitted {
			used += cost
		}
		for i, at := range waiting {
			if at.IsZero() || now.Before(at) {
				continue
			}
			precedence := quota.FirstAgain
			if at.Equal(start) {
				precedence = quota.First
			}
			retryAt, admitted := p.Borrow(now, "c", cost, limit, precedence)
			waiting[i] = retryAt
			if admitted {
				used += cost
				last = now
			}
		}
	}
	c.Check(waiting, quicktest.Equals, [streams]time.Time{})
	c.Check(last.Sub(start) <= time.Second, quicktest.IsTrue, quicktest.Commentf("the last stream waited %v", last.Sub(start)))
	c.Check(used <= 2*limit.Rate, quicktest.IsTrue, quicktest.Commentf("%v tokens in 2 s", used))
	c.Check(used >= 1.9*limit.Rate, quicktest.IsTrue, quicktest.Commentf("%v tokens in 2 s", used))
}
