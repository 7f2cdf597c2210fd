package isolate_test

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"lycheevale/internal/base/refusal"
	"lycheevale/internal/base/virtualtime"
	"lycheevale/internal/place/quarantine"
	"lycheevale/internal/serve/isolate"
	"lycheevale/internal/state/registry"
	"lycheevale/internal/wire/peer"
)

const (
	service = "quill"
	request = "request:1"
	other   = "request:2"
	// learned is more than the time from a crash to the decision.
	learned = 3 * time.Second
)

var address = netip.MustParseAddrPort("127.1.2.1:9000")

// cluster is a data centre of three instances a, b and c, and another one of d and e. All endpoints are down.
type cluster struct {
	*qt.C
	registry  *registry.Registry
	recorders map[string]*isolate.Recorder
	muxes     map[string]*peer.Mux

	mu        sync.Mutex
	leader    string
	term      uint64
	lose      func(to, method string) bool // whether the reply of a call is lost
	supported error
	crashes   int64
}

func run(t *testing.T, test func(c *cluster)) {
	t.Helper()
	virtualtime.Test(t, func(t *testing.T) {
		c := &cluster{
			C: qt.New(t), registry: registry.New(), recorders: map[string]*isolate.Recorder{}, muxes: map[string]*peer.Mux{},
			leader: "a", term: 1, lose: func(string, string) bool { return false },
		}
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		var runners []func(context.Context) error
		for _, names := range [][]string{{"a", "b", "c"}, {"d", "e"}} {
			for _, name := range names {
				runners = append(runners, c.add(name, names)...)
			}
		}
		for _, run := range runners {
			group.Go(func() error { return run(ctx) })
		}
		test(c)
		cancel()
		c.Check(group.Wait(), qt.IsNil)
	})
}

// add creates an instance and returns its loops.
func (c *cluster) add(name string, centre []string) (runners []func(context.Context) error) {
	r := isolate.New(isolate.With(func(o *isolate.Options) {
		o.Logger, o.Registry, o.Call = slog.New(slog.DiscardHandler), c.registry, c.call
		o.Dial = func(context.Context, string, string) (net.Conn, error) { return nil, net.ErrClosed }
		o.Instances = func() []string { return centre }
		o.Leader = func() (string, bool) {
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.leader, true
		}
		o.Term = func() (uint64, bool) {
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.term, c.leader == name
		}
		o.Centres = func() []string { return map[string][]string{"a": {"d"}, "b": {"e"}, "c": {"d"}}[name] }
		o.Supported = func() error {
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.supported
		}
		o.Propose = func(_ context.Context, command registry.Command) error { return c.registry.Apply(command).Err() }
	}))
	collector := isolate.NewCollector(r)
	c.recorders[name], c.muxes[name] = r, peer.NewMux()
	r.Register(c.muxes[name])
	collector.Register(c.muxes[name])
	return []func(context.Context) error{r.Run, collector.Run}
}

func (c *cluster) call(ctx context.Context, to, method string, params, result any) error {
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	time.Sleep(10 * time.Millisecond)
	answer, err := c.muxes[to].Serve(ctx, "x", method, raw)
	if err != nil {
		return err
	}
	if raw, err = json.Marshal(answer); err != nil {
		return err
	}
	c.mu.Lock()
	lost := c.lose(to, method)
	c.mu.Unlock()
	if lost {
		return context.DeadlineExceeded
	}
	return json.Unmarshal(raw, result)
}

func (c *cluster) set(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

// crash records at an instance that an endpoint crashed with the requests.
func (c *cluster) crash(at string, ids ...string) {
	c.crashes++
	c.recorders[at].Broken(c.Context(), quarantine.Attempt{
		Incarnation: quarantine.Incarnation{Endpoint: fmt.Sprint("engine-", c.crashes), Born: 1}, Service: service, Signatures: ids,
		SentAt: time.Now().Add(-10 * time.Millisecond), Acknowledged: true,
	}, address)
	time.Sleep(learned)
}

func (c *cluster) quarantined(id string) bool {
	_, found := c.registry.Get(registry.KindQuarantine, registry.QuarantineName(registry.Quarantine{Signature: id}))
	return found
}

func (c *cluster) check(at, id string) (trial bool, code refusal.Code) {
	trial, err := c.recorders[at].Check(service, []string{id})
	if err != nil {
		code = refusal.From(err).Code
	}
	return trial, code
}

// Guards against crashes that are compared only within an instance or a data centre, and against blame for a request that begins elsewhere.
func TestCrashesOfAllInstancesAreCompared(t *testing.T) {
	run(t, func(c *cluster) {
		for _, at := range []string{"b", "c", "e"} {
			c.Check(c.quarantined(request), qt.IsFalse)
			c.crash(at, request, other)
			c.recorders["d"].Begun(service, []string{other})
		}
		c.Check(c.quarantined(request), qt.IsTrue)
		c.Check(c.quarantined(other), qt.IsFalse)
		for name := range c.recorders {
			trial, code := c.check(name, request)
			c.Check(trial, qt.IsFalse)
			c.Check(code, qt.Equals, refusal.Quarantined)
			_, code = c.check(name, other)
			c.Check(code, qt.Equals, refusal.Code(""))
		}
	})
}

// Guards against crashes that are forgotten with the leader which has received them.
func TestNewLeaderCollectsCrashes(t *testing.T) {
	run(t, func(c *cluster) {
		c.crash("b", request)
		c.crash("e", request)
		c.set(func() { c.leader, c.term = "b", 2 })
		c.crash("c", request)
		c.Check(c.quarantined(request), qt.IsTrue)
	})
}

// Guards against crashes and refusals that are lost with an answer, and against an instance of an earlier release that holds up the others.
func TestLostAnswersAreRepeated(t *testing.T) {
	run(t, func(c *cluster) {
		calls := map[string]int{}
		c.set(func() {
			c.lose = func(to, method string) bool {
				calls[to+method]++
				return to == "c" || calls[to+method]%2 == 1 // c answers nothing
			}
		})
		for range 3 {
			c.crash("b", request)
		}
		c.Check(c.quarantined(request), qt.IsTrue)
		// The permit to try it depends on the refusals that are reported.
		time.Sleep(quarantine.DefaultOptions().TrialAfter)
		_, code := c.check("b", request)
		c.Check(code, qt.Equals, refusal.Quarantined)
		time.Sleep(2 * learned)
		trial, _ := c.check("b", request)
		c.Check(trial, qt.IsTrue)
		again, code := c.check("b", request)
		c.Check(again, qt.IsFalse)
		c.Check(code, qt.Equals, refusal.Quarantined)
		c.recorders["b"].Begun(service, []string{request})
		time.Sleep(learned)
		c.Check(c.quarantined(request), qt.IsFalse)
	})
}

// Guards against a crash that is forgotten because the leader cannot reach the instance for a while.
func TestUnreachedInstanceIsAskedLater(t *testing.T) {
	run(t, func(c *cluster) {
		for range 3 {
			c.set(func() { c.lose = func(to, _ string) bool { return to == "b" } })
			c.crash("b", request)
			time.Sleep(time.Minute)
			c.set(func() { c.lose = func(string, string) bool { return false } })
			time.Sleep(learned)
		}
		c.Check(c.quarantined(request), qt.IsTrue)
	})
}

// Guards against a change that a voter of an earlier release would not apply.
func TestOldVotersBlockDecisions(t *testing.T) {
	run(t, func(c *cluster) {
		c.set(func() { c.supported = isolate.Error.New("old voter") })
		for range 4 {
			c.crash("b", request)
		}
		c.Check(c.quarantined(request), qt.IsFalse)
		c.set(func() { c.supported = nil })
		time.Sleep(learned)
		c.Check(c.quarantined(request), qt.IsTrue)
	})
}

// Guards against traffic while no endpoint has crashed.
func TestQuietClusterSendsNothing(t *testing.T) {
	run(t, func(c *cluster) {
		time.Sleep(learned) // a new leader asks once
		calls := 0
		c.set(func() {
			c.lose = func(string, string) bool {
				calls++
				return false
			}
		})
		time.Sleep(time.Minute)
		c.set(func() { c.Check(calls, qt.Equals, 0) })
	})
}

// Guards against a request that is sent to a second endpoint although it was exposed to a crash anywhere and has begun nowhere, and against a
// sound one that is not.
func TestInterruptedRequestIsSuspectOnce(t *testing.T) {
	run(t, func(c *cluster) {
		interrupted := func(at, id string) bool { return c.recorders[at].Interrupted(service, []string{id, "customer:x"}) }
		c.Check(interrupted("c", other), qt.IsFalse)
		c.Check(interrupted("c", other), qt.IsTrue)
		c.recorders["c"].Begun(service, []string{other})
		c.Check(interrupted("c", other), qt.IsFalse)
		c.crash("e", request)
		c.crash("b", request)
		for name := range c.recorders {
			c.Check(interrupted(name, request), qt.IsTrue)
		}
	})
}
