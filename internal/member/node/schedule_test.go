package node_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"lycheevale/internal/base/virtualtime"
	"lycheevale/internal/member/assign"
	"lycheevale/internal/member/lease"
	"lycheevale/internal/member/node"
)

// schedule is a generated sequence of faults and the properties of the network.
type schedule struct {
	network []byte
	loss    float64
	delay   time.Duration
	steps   []step
}

type step struct {
	fault, target int
	wait          time.Duration
}

var schedules = rapid.Custom(func(t *rapid.T) schedule {
	return schedule{
		network: rapid.SliceOfN(rapid.Byte(), 32, 32).Draw(t, "network"),
		loss:    rapid.SampledFrom([]float64{0, 0.05, 0.2}).Draw(t, "loss"),
		delay:   rapid.SampledFrom([]time.Duration{2, 50, 300}).Draw(t, "delay") * time.Millisecond,
		steps: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
			return step{
				fault:  rapid.IntRange(0, 5).Draw(t, "fault"),
				target: rapid.IntRange(0, 2).Draw(t, "target"),
				wait:   time.Duration(rapid.IntRange(1, 80).Draw(t, "wait")) * 100 * time.Millisecond,
			}
		}), 2, 6).Draw(t, "steps"),
	}
})

// checker holds the state that the invariants are checked against.
type checker struct {
	c               *cluster
	fences          map[string]uint64
	last            map[string]*instance // incarnation of the last owner
	leftAt          map[string]time.Time
	maxLeavingDelay time.Duration // on the time from an endpoint's announcement that it leaves to its last new work
}

// runAndCheck advances virtual time and checks the invariants every 100 ms.
func (k *checker) runAndCheck(d time.Duration) error {
	for end := time.Now().Add(d); time.Now().Before(end); {
		for i := range 3 {
			a := endpoint(i)
			a.HighestFence = k.fences[a.Name]
			_, a.Leaving = k.leftAt[a.Name]
			in := k.c.instances[(i+1)%len(k.c.instances)]
			in.node.Announce(k.c.ctx, a)
		}
		for range 10 {
			time.Sleep(100 * time.Millisecond)
			synctest.Wait()
			if err := k.check(); err != nil {
				return err
			}
		}
	}
	return nil
}

func (k *checker) check() error {
	var coordinators []string
	owners := map[string]string{}
	for _, in := range k.c.instances {
		if _, ok := in.node.IsCoordinator(); ok {
			coordinators = append(coordinators, in.name)
		}
		for _, o := range in.node.Owned() {
			if other, taken := owners[o.Name]; taken {
				return fmt.Errorf("%s and %s own %s", other, in.name, o.Name)
			}
			owners[o.Name] = in.name
			if last := k.last[o.Name]; o.Fence < k.fences[o.Name] || (last != nil && last != in && o.Fence == k.fences[o.Name]) {
				return fmt.Errorf("%s owns %s with fence %d after %d of %s", in.name, o.Name, o.Fence, k.fences[o.Name], last.name)
			}
			at, leaving := k.leftAt[o.Name]
			if leaving && time.Since(at) > k.maxLeavingDelay && (o.NoWorkAfter.IsZero() || o.NoWorkAfter.After(time.Now())) {
				return fmt.Errorf("%s gives work to %s %v after the endpoint announced that it is leaving", in.name, o.Name, time.Since(at))
			}
			k.fences[o.Name], k.last[o.Name] = o.Fence, in
		}
	}
	if len(coordinators) > 1 {
		return fmt.Errorf("%v are coordinators", coordinators)
	}
	return nil
}

func (k *checker) fault(s step) {
	switch s.fault {
	case 0:
		k.c.mu.Lock()
		k.c.instances[s.target].cut = !k.c.instances[s.target].cut
		k.c.mu.Unlock()
	case 1:
		k.c.crash(s.target)
	case 2:
		k.c.wallOffset += time.Duration(s.target-1) * time.Hour
		k.c.crash(s.target)
	case 3:
		k.leftAt[endpoint(s.target).Name] = time.Now()
	case 4:
		in := k.c.instances[s.target]
		if !in.leaves {
			in.leaves = true
			k.c.wg.Go(func() {
				ctx, cancel := context.WithTimeout(k.c.ctx, time.Minute)
				defer cancel()
				in.node.Leave(ctx)
			})
		}
	}
}

// runSchedule runs a schedule in virtual time and returns the first violation.
func runSchedule(t *testing.T, p schedule, opts ...node.Option) (err error) {
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := newCluster(ctx, rand.New(rand.NewChaCha8([32]byte(p.network))), 3, 3, opts...)
		defer c.wg.Wait()
		defer cancel()
		// The announcement reaches the coordinator or the entry expires there; then the owner is notified or
		// loses the endpoint; then the grace period ends.
		timing := node.TimingFor(3)
		bound := 2*timing.OwnerLease + timing.Interval + timing.Grace + time.Second
		k := &checker{c: c, fences: map[string]uint64{}, last: map[string]*instance{}, leftAt: map[string]time.Time{}, maxLeavingDelay: bound}
		if err = k.runAndCheck(14 * time.Second); err != nil {
			return
		}
		c.mu.Lock()
		c.loss, c.delay = p.loss, p.delay
		c.mu.Unlock()
		for _, s := range p.steps {
			k.fault(s)
			if err = k.runAndCheck(s.wait); err != nil {
				return
			}
		}
	})
	return err
}

// Guards against two coordinators, two owners, decreasing fencing numbers and assignments of leaving endpoints,
// with complete nodes.
func TestInvariantsUnderFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		if err := runSchedule(t, schedules.Draw(rt, "plan")); err != nil {
			rt.Fatal(err)
		}
	})
}

// Guards against a check that does not detect the violation it looks for.
func TestMutationsAreDetected(t *testing.T) {
	t.Parallel()
	disabled := func() bool { return false }
	slow := node.TimingFor(3)
	slow.Grace = time.Hour
	for name, opt := range map[string]node.Option{
		"equal fences":     func(o *node.Options) { o.Assign = []assign.Option{func(o *assign.Options) { o.RaiseFence = disabled }} },
		"no grace":         node.WithTiming(slow),
		"two coordinators": func(o *node.Options) { o.Lease = []lease.Option{func(o *lease.Options) { o.Exclusive = disabled }} },
		"two owners":       func(o *node.Options) { o.Assign = []assign.Option{func(o *assign.Options) { o.StopEarly = disabled }} },
	} {
		t.Run(name, func(t *testing.T) {
			for i := range 100 {
				if err := runSchedule(t, schedules.Example(i), opt); err != nil {
					t.Logf("schedule %d: %v", i, err)
					return
				}
			}
			t.Fatal("no violation found")
		})
	}
}
