package node_test

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/zeebo/errs"

	"lycheevale/internal/base/seeded"
	"lycheevale/internal/base/virtualtime"
	"lycheevale/internal/member/directory"
	"lycheevale/internal/member/node"
	"lycheevale/internal/wire/peer"
)

// seed is fixed so that every run generates the same schedules.
const seed = "20261204"

func TestMain(m *testing.M) { seeded.Main(m, seed, 120) }

// frameOverhead is the size of the frames of one call and its answer without method, parameters and result:
// 80 and 42 bytes.
const frameOverhead = 122

// headerOverhead is the size of the headers of TLS 1.3 (22), TCP with timestamps (32) and IPv4 (20) of a call and
// its answer.
const headerOverhead = 2 * (22 + 32 + 20)

var errUnreachable = errs.New("unreachable")

// instance is one incarnation of an instance with its network state and traffic counters.
type instance struct {
	name   string
	mux    *peer.Mux
	node   *node.Node
	stop   context.CancelFunc
	cut    bool
	owned  map[string]node.Owned
	bytes  int
	calls  int
	leaves bool
}

// cluster is a data centre of nodes with a simulated network.
type cluster struct {
	mu         sync.Mutex
	ctx        context.Context
	wg         sync.WaitGroup
	random     *rand.Rand
	instances  []*instance
	keepers    map[string]netip.AddrPort
	loss       float64
	delay      time.Duration
	wallOffset time.Duration
	opts       []node.Option
}

func newCluster(ctx context.Context, random *rand.Rand, instances, keepers int, opts ...node.Option) *cluster {
	c := &cluster{ctx: ctx, random: random, delay: time.Millisecond, keepers: map[string]netip.AddrPort{}}
	c.opts = append([]node.Option{node.WithTiming(node.TimingFor(instances))}, opts...)
	for i := range keepers {
		c.keepers[fmt.Sprint("i", i)] = address(i)
	}
	for i := range instances {
		c.instances = append(c.instances, &instance{name: fmt.Sprint("i", i), mux: peer.NewMux()})
	}
	for i := range instances {
		c.start(i)
	}
	return c
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(7000+i))
}

// start starts a new incarnation of an instance, without any state of the previous one.
func (c *cluster) start(i int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.instances[i]
	in := &instance{name: old.name, mux: peer.NewMux(), cut: old.cut, owned: map[string]node.Owned{}}
	set := func(o node.Owned) {
		c.mu.Lock()
		defer c.mu.Unlock()
		in.owned[o.Name] = o
	}
	drop := func(o node.Owned) {
		c.mu.Lock()
		delete(in.owned, o.Name)
		c.mu.Unlock()
		in.node.Stopped(o.Name, o.Fence)
	}
	wall := c.wallOffset
	opts := append([]node.Option{
		node.WithName(in.name), node.WithDataCentre("suva-a"), node.WithAddress(address(i)), node.WithKeepers(c.keepers),
		node.WithMux(in.mux), node.WithLogger(slog.New(slog.DiscardHandler)),
		node.WithClocks(time.Now, func() time.Time { return time.Now().Add(wall) }),
		node.WithRandom(func() float64 {
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.random.Float64()
		}),
		node.WithCaller(func(ctx context.Context, to, method string, params, result any) error {
			return c.call(ctx, in, to, method, params, result)
		}),
		node.WithCallbacks(node.Callbacks{Acquired: set, Renewed: set, Leaving: set, Drain: drop, Released: drop}),
	}, c.opts...)
	in.node = node.New(opts...)
	ctx, cancel := context.WithCancel(c.ctx)
	in.stop = cancel
	c.instances[i] = in
	c.wg.Go(func() { in.node.Run(ctx) })
}

func (c *cluster) crash(i int) {
	c.instances[i].stop()
	synctest.Wait()
	c.start(i)
}

// call sends one call over the simulated network. An instance that is cut off or crashed does not answer.
func (c *cluster) call(ctx context.Context, from *instance, to, method string, params, result any) error {
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	if err := c.transmit(ctx, from, to); err != nil {
		return err
	}
	target := c.find(to)
	answer, err := target.mux.Serve(ctx, from.name, method, raw)
	if err != nil {
		return err
	}
	back, err := json.Marshal(answer)
	if err != nil {
		return err
	}
	if from != target {
		c.count(len(raw)+len(back)+len(method)+frameOverhead, from, target)
	}
	if err := c.transmit(ctx, from, to); err != nil {
		return err
	}
	return json.Unmarshal(back, result)
}

func (c *cluster) count(n int, ends ...*instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, in := range ends {
		in.bytes += n
		in.calls++
	}
}

func (c *cluster) transmit(ctx context.Context, from *instance, to string) error {
	target := c.find(to)
	if target == from {
		return nil
	}
	c.mu.Lock()
	delay := time.Duration(c.random.Int64N(int64(c.delay))) + 1
	lost := c.random.Float64() < c.loss
	c.mu.Unlock()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(delay):
	}
	c.mu.Lock()
	lost = lost || from.cut || target.cut
	c.mu.Unlock()
	if lost {
		<-ctx.Done()
		return errUnreachable
	}
	return nil
}

func (c *cluster) find(name string) *instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, in := range c.instances {
		if in.name == name {
			return in
		}
	}
	panic("unknown instance " + name)
}

func endpoint(i int) directory.Announcement {
	return directory.Announcement{
		Name: fmt.Sprintf("quill-%04d", i), DataCentre: "suva-a", Address: address(1000 + i), Incarnation: 1, Kind: directory.Engine,
		Service: "quill", Model: "quill", Slots: 8, BatchSize: 32, ChecksFencing: i%2 == 0,
	}
}

// announce sends the announcements of all endpoints, each to its own instance or, while that is cut off, to the
// next one.
func (c *cluster) announce(endpoints int) {
	for i := range endpoints {
		in := c.instances[i%len(c.instances)]
		for j := i; in.cut; j++ {
			in = c.instances[j%len(c.instances)]
		}
		in.node.Announce(c.ctx, endpoint(i))
	}
}

// run advances virtual time; the endpoints announce themselves every 3 s.
func (c *cluster) run(d time.Duration, endpoints int) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		c.announce(endpoints)
		time.Sleep(3 * time.Second)
		synctest.Wait()
	}
}

func (c *cluster) ownedCounts() (owned []int) {
	for _, in := range c.instances {
		owned = append(owned, len(in.node.Owned()))
	}
	return owned
}

// runCluster runs f with a new cluster in virtual time.
func runCluster(t *testing.T, instances, keepers int, f func(c *cluster), opts ...node.Option) {
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := newCluster(ctx, rand.New(rand.NewPCG(1, 1)), instances, keepers, opts...)
		defer c.wg.Wait()
		defer cancel()
		f(c)
	})
}

// Guards against a data centre that does not assign its endpoints, and against instances with different views.
func TestAssignmentAndViewDistribution(t *testing.T) {
	runCluster(t, 3, 3, func(c *cluster) {
		check := quicktest.New(t)
		c.run(40*time.Second, 9)
		check.Assert(c.ownedCounts(), quicktest.DeepEquals, []int{3, 3, 3})
		first := c.instances[0].node.View()
		check.Assert(first.Endpoints, quicktest.HasLen, 9)
		check.Assert(first.Instances, quicktest.HasLen, 3)
		for _, in := range c.instances {
			v := in.node.View()
			check.Check(v.ID, quicktest.Equals, first.ID)
			for _, e := range v.Endpoints {
				check.Check(e.OwnerAddress, quicktest.Equals, c.keepers[e.Owner])
				_, owns := c.find(e.Owner).owned[e.Name]
				check.Check(owns, quicktest.IsTrue)
			}
		}
	})
}
