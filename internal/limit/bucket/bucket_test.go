package bucket_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"lycheevale/internal/base/seeded"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"lycheevale/internal/limit/bucket"
)

const seed = "20261204"

func TestMain(m *testing.M) { seeded.Main(m, seed, 1500) }

func ExampleBucket() {
	now := time.Unix(0, 0)
	b := bucket.New(now, 10, 100)
	g, _ := b.Take(now, 80)
	later := now.Add(5 * time.Second)
	fmt.Println(b.Level(later), b.Credit(later, g, 60), b.Level(later))
	// The bucket would have been full 2 s after a take of 20, so 30 of the refilled 50 tokens are lost.
	// Output: 70 30 100
}

// oracle computes the level by replaying all operations with the costs known so far.
type oracle struct {
	burst, rate float64
	events      []oracleEvent
}

type oracleEvent struct {
	at          time.Time
	rate, burst float64 // new limits when positive
	cost        float64
}

func (o *oracle) level(now time.Time, start time.Time) float64 {
	level, rate, burst, last := o.burst, o.rate, o.burst, start
	for _, e := range append(o.events, oracleEvent{at: now}) {
		level = min(burst, level+rate*e.at.Sub(last).Seconds())
		last = e.at
		if e.burst > 0 {
			rate, burst = e.rate, e.burst
			level = min(level, burst)
		}
		level -= e.cost
	}
	return level
}

type openGrant struct {
	event int
	grant bucket.Grant
}

func compareWithOracle(t *rapid.T, opts ...bucket.Option) error {
	now := time.Unix(0, 0)
	start := now
	o := &oracle{rate: rapid.Float64Range(1, 50).Draw(t, "rate"), burst: rapid.Float64Range(10, 200).Draw(t, "burst")}
	b := bucket.New(now, o.rate, o.burst, opts...)
	var grants []openGrant
	for range rapid.IntRange(1, 40).Draw(t, "steps") {
		now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
		switch rapid.IntRange(0, 4).Draw(t, "operation") {
		case 0, 1:
			n := rapid.Float64Range(0, 150).Draw(t, "tokens")
			if g, ok := b.Take(now, n); ok {
				grants = append(grants, openGrant{len(o.events), g})
				o.events = append(o.events, oracleEvent{at: now, cost: n})
			}
		case 2, 3:
			if len(grants) == 0 {
				continue
			}
			i := rapid.IntRange(0, len(grants)-1).Draw(t, "grant")
			unused := grants[i].grant.Tokens * rapid.Float64Range(0, 1).Draw(t, "unused")
			b.Credit(now, grants[i].grant, unused)
			b.Close(grants[i].grant)
			o.events[grants[i].event].cost -= unused
			grants = append(grants[:i], grants[i+1:]...)
		case 4:
			e := oracleEvent{at: now, rate: rapid.Float64Range(1, 50).Draw(t, "r"), burst: rapid.Float64Range(10, 200).Draw(t, "b")}
			b.SetLimits(now, e.rate, e.burst)
			o.events = append(o.events, e)
		}
		b.Level(now.Add(-time.Hour)) // a clock that steps back adds nothing
		if got, want := b.Level(now), o.level(now, start); math.Abs(got-want) > 1e-6 {
			return fmt.Errorf("level %v, exact bucket has %v", got, want)
		}
	}
	return nil
}

// Guards against a level that differs from that of a bucket that is charged every final cost in advance.
func TestEqualsBucketWithKnownCosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := compareWithOracle(t); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against a merged history that credits more than the exact bucket would.
func TestJoinedHistoryNeverExceeds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		exact, small := bucket.New(now, 10, 100), bucket.New(now, 10, 100, bucket.WithGrants(2))
		var a, b []bucket.Grant
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			n := rapid.Float64Range(0, 40).Draw(t, "tokens")
			if small.Level(now) >= n && rapid.Bool().Draw(t, "take") {
				ga, _ := exact.Take(now, n)
				gb, _ := small.Take(now, n)
				a, b = append(a, ga), append(b, gb)
			} else if len(a) > 0 {
				i := rapid.IntRange(0, len(a)-1).Draw(t, "grant")
				unused := a[i].Tokens / 2
				exact.Credit(now, a[i], unused)
				small.Credit(now, b[i], unused)
				a, b = append(a[:i], a[i+1:]...), append(b[:i], b[i+1:]...)
			}
			if small.Level(now) > exact.Level(now)+1e-6 || small.Open() > 2 {
				t.Fatalf("level %v, exact %v, %d groups", small.Level(now), exact.Level(now), small.Open())
			}
		}
	})
}

// Mutation: the comparison must detect credit without the headroom rule.
func TestNaiveCreditIsDetected(t *testing.T) {
	found := false
	rapid.Check(t, func(t *rapid.T) {
		found = found || compareWithOracle(t, bucket.WithNaiveCredit()) != nil
	})
	quicktest.Assert(t, found, quicktest.IsTrue)
}

// Guards against a returned time that is too early, and against a time for tokens that will never be available.
func TestWhen(t *testing.T) {
	c := quicktest.New(t)
	now := time.Unix(0, 0)
	b := bucket.New(now, 3, 10, bucket.WithLevel(0))
	at, never := b.When(now, 10)
	c.Assert(never, quicktest.IsFalse)
	c.Assert(at.Sub(now) > 3333*time.Millisecond && at.Sub(now) < 3334*time.Millisecond, quicktest.IsTrue)
	c.Assert(b.Hold(at, 10), quicktest.IsTrue)
	_, never = b.When(at, 10.5)
	c.Assert(never, quicktest.IsTrue)
	_, never = b.When(at, math.NaN())
	c.Assert(never, quicktest.IsTrue)
	c.Assert(b.Hold(at, -1), quicktest.IsFalse)
	b.SetLimits(at, 0, 10)
	_, never = b.When(at, 5)
	c.Assert(never, quicktest.IsTrue)
	// Lent tokens count against the burst until they are spent.
	b.SetLimits(at, 3, 10)
	c.Assert(b.Level(at.Add(time.Hour)), quicktest.Equals, 0.0)
	b.Spend(at.Add(time.Hour), 10)
	c.Assert(b.Level(at.Add(time.Hour+2*time.Second)), quicktest.Equals, 6.0)
}
