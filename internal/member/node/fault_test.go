package node_test

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"lycheevale/internal/base/virtualtime"
	"lycheevale/internal/member/directory"
	"lycheevale/internal/member/node"
	"lycheevale/internal/wire/peer"
)

// coordinator returns the index of the current coordinator, or -1.
func (c *cluster) coordinator() int {
	for i, in := range c.instances {
		if _, ok := in.node.IsCoordinator(); ok {
			return i
		}
	}
	return -1
}

func (c *cluster) setCut(i int, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.instances[i].cut = cut
}

// Guards against owners that lose their endpoints when the coordinator fails, and against a failed
// coordinator that is not replaced.
func TestCoordinatorIsReplaced(t *testing.T) {
	runCluster(t, 5, 3, func(c *cluster) {
		check := quicktest.New(t)
		c.run(40*time.Second, 10)
		check.Assert(c.ownedCounts(), quicktest.DeepEquals, []int{2, 2, 2, 2, 2})
		first := c.coordinator()
		before := c.instances[4].node.Owned()
		c.setCut(first, true)
		timing := node.TimingFor(5)
		c.run(timing.OwnerLease+6*time.Second, 10)
		check.Check(c.coordinator(), quicktest.Not(quicktest.Equals), first)
		fences := map[string]uint64{}
		for _, o := range c.instances[4].node.Owned() {
			fences[o.Name] = o.Fence
		}
		for _, o := range before {
			check.Check(fences[o.Name], quicktest.Equals, o.Fence, quicktest.Commentf("%s", o.Name))
		}
		check.Check(c.instances[first].node.Owned(), quicktest.HasLen, 0)
		c.run(40*time.Second, 10)
		total := 0
		for _, n := range c.ownedCounts() {
			total += n
		}
		check.Check(total, quicktest.Equals, 10)
	})
}

// Guards against an isolated owner that acts after its deadline, and against endpoints of a failed owner
// that are not assigned again.
func TestIsolatedOwnerStopsBeforeTheNextStarts(t *testing.T) {
	runCluster(t, 4, 3, func(c *cluster) {
		check := quicktest.New(t)
		c.run(40*time.Second, 8)
		check.Assert(c.ownedCounts(), quicktest.DeepEquals, []int{2, 2, 2, 2})
		c.setCut(3, true)
		start := time.Now()
		for len(c.instances[3].node.Owned()) > 0 {
			time.Sleep(50 * time.Millisecond)
		}
		timing := node.TimingFor(4)
		check.Check(time.Since(start) <= timing.OwnerLease-timing.Margin, quicktest.IsTrue)
		check.Check(c.instances[3].owned, quicktest.HasLen, 0)
		// Time for the deadline, the longest command, an announcement to another instance, and a renewal.
		c.run(timing.OwnerLease+2*timing.Margin+timing.MaxCommand+4*timing.Interval, 8)
		synctest.Wait()
		total := 0
		for _, in := range c.instances[:3] {
			total += len(in.node.Owned())
		}
		check.Check(total >= 6, quicktest.IsTrue, quicktest.Commentf("%v", c.ownedCounts()))
	})
}

// Guards against a planned stop after which endpoints have no owner until a lease ends.
func TestPlannedHandoverIsImmediate(t *testing.T) {
	runCluster(t, 3, 3, func(c *cluster) {
		check := quicktest.New(t)
		c.run(40*time.Second, 9)
		leaver := (c.coordinator() + 1) % 3
		start := time.Now()
		ctx, cancel := context.WithTimeout(c.ctx, time.Minute)
		defer cancel()
		check.Assert(c.instances[leaver].node.Leave(ctx), quicktest.IsNil)
		time.Sleep(time.Second)
		total := 0
		for _, n := range c.ownedCounts() {
			total += n
		}
		check.Check(total, quicktest.Equals, 9, quicktest.Commentf("%v", c.ownedCounts()))
		check.Check(time.Since(start) <= node.TimingFor(3).OwnerLease, quicktest.IsTrue, quicktest.Commentf("%v", time.Since(start)))
	})
}

// Guards against a stopping coordinator that resigns and is elected again immediately: the data centre
// would be without a coordinator when it exits.
func TestLeavingCoordinatorIsNotReelected(t *testing.T) {
	runCluster(t, 3, 3, func(c *cluster) {
		check := quicktest.New(t)
		c.run(40*time.Second, 9)
		leaver := c.coordinator()
		ctx, cancel := context.WithTimeout(c.ctx, time.Minute)
		defer cancel()
		check.Assert(c.instances[leaver].node.Leave(ctx), quicktest.IsNil)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			check.Assert(c.coordinator(), quicktest.Not(quicktest.Equals), leaver)
		}
		check.Check(c.coordinator() >= 0, quicktest.IsTrue)
		check.Check(c.instances[leaver].node.Owned(), quicktest.HasLen, 0)
	})
}

// Guards against an endpoint that stays unknown after the coordinator refused it once. Here the refusal is
// due to an incarnation below the remembered one of a removed entry.
func TestRefusedEndpointIsAskedForAgain(t *testing.T) {
	memory := func(o *node.Options) { o.Directory = []directory.Option{directory.WithRetention(30 * time.Second)} }
	runCluster(t, 3, 3, func(c *cluster) {
		check := quicktest.New(t)
		c.run(20*time.Second, 0)
		other := (c.coordinator() + 1) % 3
		announce := func(i int, incarnation uint64, d time.Duration) int {
			a := endpoint(0)
			a.Incarnation = incarnation
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(3 * time.Second) {
				c.instances[i].node.Announce(c.ctx, a)
			}
			return len(c.instances[other].node.View().Endpoints)
		}
		check.Assert(announce(c.coordinator(), 2, 10*time.Second), quicktest.Equals, 1)
		c.run(21*time.Second, 0)
		check.Assert(announce(other, 1, 10*time.Second), quicktest.Equals, 0)
		check.Check(announce(other, 1, 40*time.Second), quicktest.Equals, 1)
	}, memory)
}

// Guards against an instance whose renewals are refused after its wall clock was set back.
func TestWallClockSetBack(t *testing.T) {
	runCluster(t, 3, 3, func(c *cluster) {
		check := quicktest.New(t)
		c.run(40*time.Second, 9)
		c.wallOffset -= 24 * time.Hour
		c.crash(2)
		c.run(60*time.Second, 9)
		check.Check(c.ownedCounts(), quicktest.DeepEquals, []int{3, 3, 3})
	})
}

// Guards against messages from another instance that make a handler panic.
func FuzzHandlers(f *testing.F) {
	f.Add(uint8(4), `{"Incarnation":1,"Sequence":1,"Full":true,"Held":[{"Endpoint":"e","Fence":18446744073709551615}],"Address":"127.0.0.1:1"}`)
	f.Add(uint8(6), `{"To":{"Term":9,"Version":1},"Reset":true,"Endpoints":[{"Name":"e","Owner":"x"}]}`)
	f.Add(uint8(5), `{"Endpoint":{"Name":"e"}}`)
	f.Add(uint8(1), `{"Ballot":{"Round":18446744073709551615,"Proposer":"a"}}`)
	f.Fuzz(func(t *testing.T, method uint8, params string) { runInput(t, int(method), params) })
}

// runInput sends a message to a coordinator twice and runs the coordinator for 30 s after each.
func runInput(t *testing.T, method int, params string) {
	methods := []string{"Lease.Prepare", "Lease.Accept", "Lease.Release", "Member.Heartbeat", "Member.Renew", "Member.Announce", "Member.View"}
	virtualtime.Test(t, func(t *testing.T) {
		mux := peer.NewMux()
		n := node.New(node.WithName("a"), node.WithMux(mux), node.WithLogger(slog.New(slog.DiscardHandler)),
			node.WithCaller(func(ctx context.Context, _, method string, params, result any) error {
				raw, _ := json.Marshal(params)
				answer, err := mux.Serve(ctx, "a", method, raw)
				if err != nil {
					return err
				}
				raw, _ = json.Marshal(answer)
				return json.Unmarshal(raw, result)
			}))
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { n.Run(ctx) })
		time.Sleep(5 * time.Second)
		for range 2 {
			_, _ = mux.Serve(ctx, "a", methods[method%len(methods)], json.RawMessage(params))
			time.Sleep(30 * time.Second)
		}
		_ = n.View()
		cancel()
		wg.Wait()
	})
}

// Guards against a node that works only with simulated links.
func TestOverRealLinks(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	logger := slog.New(slog.NewTextHandler(io.Discard, nil))
	links, nodes := map[string]*peer.Node{}, map[string]*node.Node{}
	keepers := map[string]netip.AddrPort{}
	muxes := map[string]*peer.Mux{}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	resolve := func(name string) (netip.AddrPort, bool) { a, ok := keepers[name]; return a, ok }
	for _, name := range []string{"a", "b", "c"} {
		muxes[name] = peer.NewMux()
		l := peer.New(peer.WithName(name), peer.WithMux(muxes[name]), peer.WithResolve(resolve), peer.WithLogger(logger))
		wg.Go(func() { l.Run(ctx) })
		links[name], keepers[name] = l, l.Address()
	}
	timing := node.Timing{Interval: 100 * time.Millisecond, CoordinatorLease: 2 * time.Second, OwnerLease: 600 * time.Millisecond, Margin: 50 * time.Millisecond, MaxCommand: 10 * time.Millisecond}
	for name := range keepers {
		n := node.New(node.WithName(name), node.WithDataCentre("suva-a"), node.WithAddress(keepers[name]), node.WithKeepers(keepers),
			node.WithCaller(links[name].Call), node.WithMux(muxes[name]), node.WithLogger(logger), node.WithTiming(timing))
		wg.Go(func() { n.Run(ctx) })
		nodes[name] = n
	}
	// There is no time limit here, because the machine may be busy; the timeout of go test ends a hang.
	for owned := 0; owned < 9; time.Sleep(20 * time.Millisecond) {
		owned = 0
		for i := range 9 {
			_, err := nodes["a"].Announce(ctx, endpoint(i))
			c.Assert(err, quicktest.IsNil)
		}
		for _, n := range nodes {
			owned += len(n.Owned())
		}
	}
}
