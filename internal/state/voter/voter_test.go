package voter_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"lycheevale/internal/base/virtualtime"
	"lycheevale/internal/state/consensus"
	"lycheevale/internal/state/record"
	"lycheevale/internal/state/registry"
	"lycheevale/internal/state/voter"
	"lycheevale/internal/wire/peer"
)

// changeTarget is the design's target for the time until an accepted change takes effect (P12).
const changeTarget = 2 * time.Second

// cluster runs voters over a network with a one-way delay, in virtual time.
type cluster struct {
	t     *testing.T
	dir   string
	delay time.Duration
	names []string
	logs  []string
	mu    sync.Mutex
	nodes map[string]*node
	bytes map[string]int // of the messages that each voter sent and received
	calls map[string]int
	// silent makes calls to stopped voters block until their context ends instead of failing immediately.
	silent bool
	lost   func() bool // decides for each request and each answer whether it is lost
	// encodeTime is the time to encode a snapshot, in nanoseconds.
	encodeTime  atomic.Int64
	padding     int           // bytes added to a snapshot
	chunkDelay  time.Duration // added to the delay of each chunk of a snapshot
	faults      map[string]func(op, file string) error
	allowErrors bool // voters may stop with an error
}

// maybeLose blocks until the call's context ends if the message is lost.
func (c *cluster) maybeLose(ctx context.Context) {
	c.mu.Lock()
	lost := c.lost != nil && c.lost()
	c.mu.Unlock()
	if lost {
		<-ctx.Done()
	}
}

// count adds a message to the totals of sender and receiver.
func (c *cluster) count(from, to string, bytes, calls int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range []string{from, to} {
		c.bytes[name] += bytes
		c.calls[name] += calls
	}
}

type node struct {
	voter    *voter.Voter // of the first log
	voters   map[string]*voter.Voter
	registry *registry.Registry
	mux      *peer.Mux
	stop     context.CancelFunc
	done     chan struct{}
}

func (c *cluster) node(name string) *node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[name]
}

// caller returns a function that delivers calls as JSON, like the links between instances.
func (c *cluster) caller(from string) peer.Caller {
	return func(ctx context.Context, to, method string, params, result any) error {
		raw, err := json.Marshal(params)
		if err != nil {
			return err
		}
		time.Sleep(c.delay)
		if method == "Consensus.Snapshot" {
			time.Sleep(c.chunkDelay)
		}
		if c.maybeLose(ctx); ctx.Err() != nil {
			return ctx.Err()
		}
		n := c.node(to)
		if n == nil && c.silent {
			<-ctx.Done()
		}
		if n == nil || c.node(from) == nil {
			return fmt.Errorf("%s is unreachable", to)
		}
		c.count(from, to, len(raw), 1)
		answer, err := n.mux.Serve(ctx, from, method, raw)
		time.Sleep(c.delay)
		if c.maybeLose(ctx); ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil || result == nil {
			return err
		}
		raw, _ = json.Marshal(answer)
		c.count(to, from, len(raw), 0)
		return json.Unmarshal(raw, result)
	}
}

// disk returns a disk with the current faults of a voter.
func (c *cluster) disk(name string) record.Disk {
	return faultyDisk(func(op, file string) error {
		c.mu.Lock()
		fault := c.faults[name]
		c.mu.Unlock()
		if fault == nil {
			return nil
		}
		return fault(op, file)
	})
}

// setFault sets the fault of a voter's disk, or clears it if f is nil.
func (c *cluster) setFault(name string, f func(op, file string) error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults[name] = f
}

func (c *cluster) start(name string) {
	n := &node{voters: map[string]*voter.Voter{}, mux: peer.NewMux(), done: make(chan struct{})}
	router := voter.NewRouter(n.mux)
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	running := errgroup.Group{}
	for _, log := range c.logs {
		r := registry.New()
		v := voter.New(
			voter.WithGroup(log), voter.WithName(name), voter.WithDir(filepath.Join(c.dir, name, log)),
			voter.WithRecords(record.WithDisk(c.disk(name)), record.WithSegmentBytes(4096)),
			voter.WithMachine(c.delaySnapshots(voter.StateMachine{Apply: r.ApplyEntry, View: r.View, Restore: r.Restore})),
			voter.WithCaller(c.caller(name)), voter.WithPeers(func() []string { return c.names }),
			voter.WithSnapshotEvery(20, 5), voter.WithLogger(slog.New(slog.NewTextHandler(io.Discard, nil))),
		)
		router.Add(n.mux, v)
		if n.voters[log] = v; n.voter == nil {
			n.voter, n.registry = v, r
		}
		running.Go(func() error {
			err := v.Run(ctx)
			if err != nil && !c.allowErrors {
				c.t.Errorf("voter %s: %v", name, err)
			}
			return err
		})
	}
	group := errgroup.Group{}
	group.Go(func() error {
		defer close(n.done)
		return running.Wait()
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes[name] = n
}

func (c *cluster) kill(name string) {
	n := c.node(name)
	c.mu.Lock()
	delete(c.nodes, name)
	c.mu.Unlock()
	n.stop()
	<-n.done
}

// modelCommand returns a command that creates the model with the given number.
func modelCommand(id int) []byte {
	command := registry.Command{RequestID: fmt.Sprint(id), At: time.Now(), Changes: []registry.Object{
		{Kind: registry.KindModel, Name: fmt.Sprint("m", id), Model: &registry.Model{}},
	}}
	data, _ := json.Marshal(command)
	return data
}

func (c *cluster) change(from string, id int) registry.Result {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	raw, err := c.node(from).voter.Propose(ctx, modelCommand(id))
	qt.Assert(c.t, err, qt.IsNil)
	var result registry.Result
	qt.Assert(c.t, json.Unmarshal(raw, &result), qt.IsNil)
	return result
}

func (c *cluster) leader() string {
	for _, name := range c.names {
		if n := c.node(name); n != nil && n.voter.Status().Role == consensus.Leader {
			return name
		}
	}
	return ""
}

func (c *cluster) voters() (ids []string) {
	return c.node(c.leader()).voter.Status().Config.Voters()
}

func newCluster(t *testing.T, delay time.Duration, logs ...string) *cluster {
	if len(logs) == 0 {
		logs = []string{"Config"}
	}
	c := &cluster{t: t, dir: t.TempDir(), delay: delay, logs: logs, names: []string{"a", "b", "c"}, nodes: map[string]*node{},
		faults: map[string]func(op, file string) error{}, bytes: map[string]int{}, calls: map[string]int{}}
	for _, name := range c.names {
		c.start(name)
	}
	time.Sleep(10 * time.Second)
	qt.Assert(t, c.leader(), qt.Not(qt.Equals), "")
	return c
}

func (c *cluster) stopAll() {
	for _, name := range c.names {
		if c.node(name) != nil {
			c.kill(name)
		}
	}
}

// Guards against changes that take longer than their target, over links inside a region and between regions.
func TestChangeMeetsTarget(t *testing.T) {
	for _, delay := range []time.Duration{time.Millisecond, 30 * time.Millisecond} {
		virtualtime.Test(t, func(t *testing.T) {
			c := newCluster(t, delay)
			defer c.stopAll()
			var slowest time.Duration
			var mu sync.Mutex
			group := errgroup.Group{}
			for i := range 60 {
				group.Go(func() error {
					start := time.Now()
					c.change(c.names[i%3], i)
					mu.Lock()
					defer mu.Unlock()
					slowest = max(slowest, time.Since(start))
					return nil
				})
				time.Sleep(7 * time.Millisecond)
			}
			_ = group.Wait()
			t.Logf("one-way delay %v: slowest of 60 changes took %v of virtual time", delay, slowest)
			qt.Assert(t, slowest < changeTarget, qt.IsTrue)
		})
	}
}

// Guards against losing changes or the quorum when two voters lose their disks in direct succession.
func TestVotersLoseDisks(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		c := newCluster(t, 30*time.Millisecond)
		defer c.stopAll()
		first := c.voters()
		id := 0
		for ; id < 50; id++ {
			c.change("a", id)
		}
		for _, name := range []string{"b", "a"} {
			c.kill(name)
			qt.Assert(t, os.RemoveAll(filepath.Join(c.dir, name)), qt.IsNil)
			c.change("c", id)
			id++
			c.start(name)
			time.Sleep(15 * time.Second)
		}
		qt.Assert(t, c.voters(), qt.HasLen, 3)
		kept := 0
		for _, identity := range c.voters() {
			if slices.Contains(first, identity) {
				kept++
			}
		}
		qt.Assert(t, kept, qt.Equals, 1)
		before := c.change("a", id).Revision
		c.kill("c")
		c.start("c") // restarts from its disk
		time.Sleep(10 * time.Second)
		qt.Assert(t, c.change("b", 3).Revision, qt.Equals, uint64(4)) // a resend of change 3
		for _, name := range c.names {
			qt.Assert(t, c.node(name).registry.Revision(), qt.Equals, before, qt.Commentf("voter %s", name))
			qt.Assert(t, c.node(name).voter.Age() < time.Second, qt.IsTrue, qt.Commentf("voter %s", name))
		}
		c.kill("a")
		c.kill("b")
		time.Sleep(10 * time.Second)
		qt.Assert(t, c.node("c").voter.Age() > 5*time.Second, qt.IsTrue) // it must not report its state as current
	})
}
