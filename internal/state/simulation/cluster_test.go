package simulation_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"lycheevale/internal/state/claims"
	"lycheevale/internal/state/consensus"
	"lycheevale/internal/state/feed"
	"lycheevale/internal/state/record"
	"lycheevale/internal/state/registry"
	"lycheevale/internal/state/revoke"
	"lycheevale/internal/state/voter"
	"lycheevale/internal/wire/peer"
)

// mutation disables safety rules.
type mutation struct {
	replica  func(*voter.ReplicaOptions)
	registry func(*registry.Rules)
	claims   func(*claims.Rules)
	revoke   revoke.Option
	focus    []int // kinds of steps that exercise the rule, chosen more often
}

var (
	ctx           = context.Background()
	voterNames    = []string{"v0", "v1", "v2"}
	disklessNames = []string{"i0", "i1"}
	allNames      = slices.Concat(voterNames, disklessNames)
	epoch         = time.Unix(1_800_000_000, 0)
)

// cluster simulates a data centre of three voters and two instances without disks, in virtual time.
type cluster struct {
	draw         func(n int) int
	mutation     mutation
	now          time.Time
	hosts        map[string]*host
	network      []queuedMessage
	delayedCalls []call // calls of feed and revoke that are delivered again later
	lossy        bool
	fault        error
	history      history
	identity     int
}

// host is one simulated instance.
type host struct {
	name          string
	clockSkew     time.Duration // offset of the host's clock
	partitioned   bool
	disk          *memoryDisk
	replica       *voter.Replica // nil on instances without a disk
	registry      *registry.Registry
	claims        *claims.Claims
	feed          *feed.Node
	revoke        *revoke.Node
	mux           *peer.Mux
	revision      uint64          // last one checked since the start
	withdrawnKeys map[string]bool // keys seen as withdrawn since the start
	ready         bool
	waiting       map[uint64]proposal
	snapshot      *voter.SnapshotJob // due, but not yet written
}

type proposal struct {
	term uint64
	done func(result []byte)
}

type queuedMessage struct {
	to      string
	message consensus.Message
}

type call struct {
	from, to, method string
	params           json.RawMessage
}

func newCluster(draw func(int) int, m mutation) *cluster {
	w := &cluster{draw: draw, mutation: m, now: epoch, hosts: map[string]*host{}, history: newHistory()}
	for _, name := range allNames {
		h := &host{name: name, withdrawnKeys: map[string]bool{}}
		if slices.Contains(voterNames, name) {
			h.disk = newDisk()
		}
		w.hosts[name] = h
		w.start(name)
	}
	var config consensus.Config
	for _, name := range voterNames {
		config.Members = append(config.Members, consensus.Member{ID: w.hosts[name].replica.ID(), Name: name})
	}
	if err := w.hosts["v0"].replica.Bootstrap(w.now, config); err != nil {
		w.fail("bootstrap: %v", err)
	}
	return w
}

func (w *cluster) fail(format string, args ...any) {
	if w.fault == nil {
		w.fault = fmt.Errorf(format, args...)
	}
}

// start starts an instance from the content of its disk; instances without disks start empty.
func (w *cluster) start(name string) {
	h := w.hosts[name]
	rules := func(o *registry.Options) {
		if w.mutation.registry != nil {
			w.mutation.registry(&o.Rules)
		}
	}
	h.registry = registry.New(registry.WithMaxHistory(2), rules)
	h.claims = claims.New(func(o *claims.Options) {
		if w.mutation.claims != nil {
			w.mutation.claims(&o.Rules)
		}
	})
	h.revision, h.withdrawnKeys, h.ready, h.waiting = 0, map[string]bool{}, false, map[uint64]proposal{}
	h.snapshot = nil
	h.mux = peer.NewMux()
	others := slices.DeleteFunc(slices.Clone(allNames), func(n string) bool { return n == name })
	revokeOptions := []revoke.Option{
		revoke.WithName(name), revoke.WithCaller(w.caller(name)), revoke.WithLogger(nil),
		revoke.WithParallel(1),
		revoke.WithPeers(func() []string { return others }, func() []string { return nil }),
	}
	if w.mutation.revoke != nil {
		revokeOptions = append(revokeOptions, w.mutation.revoke)
	}
	h.revoke = revoke.New(revokeOptions...)
	feedOptions := []feed.Option{
		feed.WithName(name, "suva-a"), feed.WithRegistry(h.registry), feed.WithCaller(w.caller(name)),
		feed.WithLogger(nil), feed.WithInstalled(h.revoke.Observe),
		feed.WithNow(func() time.Time { return w.now.Add(h.clockSkew) }),
	}
	if h.disk != nil {
		feedOptions = append(feedOptions, feed.WithAge(func() time.Duration { return 0 }))
		w.openReplica(h)
	} else {
		feedOptions = append(feedOptions, feed.WithSources(func() []string { return others }))
	}
	h.feed = feed.New(feedOptions...)
	h.feed.Register(h.mux)
	h.revoke.Register(h.mux)
	w.checkReady(h)
}

func (w *cluster) openReplica(h *host) {
	store, err := record.Open("data", record.WithDisk(h.disk.operations()), record.WithSegmentBytes(600))
	if err != nil {
		w.fail("%s cannot open its record store: %v", h.name, err)
		return
	}
	w.identity++
	o := voter.ReplicaOptions{
		SnapshotEvery: 8, KeepEntries: 2, SyncFirst: true,
		NewIdentity: func() string { return fmt.Sprint(h.name, ".", w.identity) },
		Consensus:   []consensus.Option{consensus.WithSeed(uint64(w.identity))},
	}
	if w.mutation.replica != nil {
		w.mutation.replica(&o)
	}
	h.replica, err = voter.OpenReplica(w.now, store, h.machine(), o)
	if err != nil {
		w.fail("%s cannot open its replica: %v", h.name, err)
	}
}

// machine combines both state machines in one log, so that a schedule exercises them together.
func (h *host) machine() voter.StateMachine {
	type combinedSnapshot struct{ Registry, Claims []byte }
	return voter.StateMachine{
		Apply: func(data []byte) []byte {
			if data[0] == 'c' {
				return h.claims.ApplyEntry(data[1:])
			}
			before := h.registry.Revision()
			result := h.registry.ApplyEntry(data[1:])
			if h.revoke != nil && h.registry.Revision() > before {
				h.revoke.Observe(h.registry.DeltaSince(before))
			}
			return result
		},
		View: func() func() ([]byte, error) {
			encodeRegistry, encodeClaims := h.registry.View(), h.claims.View()
			return func() ([]byte, error) {
				r, err := encodeRegistry()
				c, claimsErr := encodeClaims()
				b, _ := json.Marshal(combinedSnapshot{r, c})
				return b, errs.Combine(err, claimsErr)
			}
		},
		Restore: func(data []byte) error {
			var b combinedSnapshot
			if err := json.Unmarshal(data, &b); err != nil {
				return err
			}
			err := errs.Combine(h.registry.Restore(b.Registry), h.claims.Restore(b.Claims))
			for _, o := range h.registry.DeltaSince(0).Objects {
				h.revoke.Observe(registry.Delta{Objects: []registry.Object{o}})
			}
			return err
		},
	}
}

func (w *cluster) reachable(from, to string) bool {
	return !w.hosts[from].partitioned && !w.hosts[to].partitioned && (!w.lossy || w.draw(8) > 0)
}

// caller returns a function that delivers a call immediately or loses it, and sometimes delivers a duplicate after newer
// calls.
func (w *cluster) caller(from string) peer.Caller {
	return func(_ context.Context, to, method string, params, result any) error {
		raw, _ := json.Marshal(params)
		if !w.reachable(from, to) {
			return errLost
		}
		if w.lossy && w.draw(4) == 0 && (strings.HasSuffix(method, ".Push") || strings.HasSuffix(method, ".Ack")) {
			w.delayedCalls = append(w.delayedCalls, call{from, to, method, raw})
		}
		answer, err := w.hosts[to].mux.Serve(ctx, from, method, raw)
		if err != nil {
			return err
		}
		if w.lossy && w.draw(10) == 0 {
			return errLost // the reply is lost
		}
		if result == nil {
			return nil
		}
		raw, _ = json.Marshal(answer)
		return json.Unmarshal(raw, result)
	}
}

// flush flushes the replica of a voter, queues its messages and delivers the results of its proposals.
func (w *cluster) flush(h *host) {
	effects, err := h.replica.Flush()
	if err != nil {
		w.fail("%s: %v", h.name, err)
		return
	}
	if effects.Snapshot != nil {
		h.snapshot = effects.Snapshot
	}
	for _, m := range effects.Messages {
		to := strings.Split(m.To, ".")[0]
		if m, err = h.replica.Fill(m); err == nil && w.hosts[to] != nil && w.hosts[to].replica != nil {
			w.network = append(w.network, queuedMessage{to, m})
		}
	}
	for _, a := range effects.Applied {
		if p, ok := h.waiting[a.Index]; ok && p.term == a.Term {
			p.done(a.Result)
		}
		delete(h.waiting, a.Index)
	}
}

func (w *cluster) deliver(i int) {
	e := w.network[i]
	if w.draw(8) > 0 {
		w.network = slices.Delete(w.network, i, i+1)
	}
	h := w.hosts[e.to]
	from := strings.Split(e.message.From, ".")[0]
	if !w.reachable(from, e.to) {
		if e.message.Kind == consensus.InstallSnapshot {
			w.hosts[from].replica.SnapshotFailed(e.message.To) // the runtime sees the failed call
		}
		return
	}
	h.replica.Step(w.now.Add(h.clockSkew), e.message)
	w.flush(h)
}

// finishSnapshot writes and installs a due snapshot; the schedule decides how many entries and faults occur before that.
func (w *cluster) finishSnapshot(h *host) {
	if h.snapshot == nil {
		return
	}
	job := h.snapshot
	h.snapshot = nil
	written := job.Write()
	if w.lossy && w.draw(4) == 0 {
		w.crash(h) // between writing and installing
		return
	}
	h.replica.FinishSnapshot(job, written)
	w.flush(h)
}

func (w *cluster) tick(h *host, d time.Duration) {
	w.now = w.now.Add(d)
	h.replica.Tick(w.now.Add(h.clockSkew))
	w.flush(h)
}

func (w *cluster) leader() *host {
	var leader *host
	for _, name := range voterNames {
		h := w.hosts[name]
		if s := h.replica.Status(); s.Role == consensus.Leader && (leader == nil || s.Term > leader.replica.Status().Term) {
			leader = h
		}
	}
	return leader
}

// propose proposes data at the leader with the highest term.
func (w *cluster) propose(data []byte, done func([]byte)) {
	h := w.leader()
	if h == nil {
		return
	}
	index, err := h.replica.Propose(w.now.Add(h.clockSkew), data)
	if err == nil {
		h.waiting[index] = proposal{h.replica.Status().Term, done}
	}
	w.flush(h)
}

// reconcileMembers adds voters that lost their disks again, as the runtime does.
func (w *cluster) reconcileMembers() {
	h := w.leader()
	if h == nil {
		return
	}
	s := h.replica.Status()
	change, needed := voter.NextChange(s, voterNames)
	for _, name := range voterNames {
		id := w.hosts[name].replica.ID()
		known := slices.ContainsFunc(s.Config.Members, func(m consensus.Member) bool { return m.ID == id })
		if !known && !needed && w.reachable(name, h.name) {
			change, needed = consensus.Change{Kind: consensus.AddLearner, Member: consensus.Member{ID: id, Name: name}}, true
		}
	}
	if needed {
		_ = h.replica.ChangeMember(w.now.Add(h.clockSkew), change)
		w.flush(h)
	}
}

// allDisksIntact reports whether every voter of the committed configuration still has its disk, so that one may lose it.
func (w *cluster) allDisksIntact() bool {
	h := w.leader()
	if h == nil || h.partitioned {
		return false
	}
	s := h.replica.Status()
	if len(s.Config.Members) != len(voterNames) || s.Commit < s.Last {
		return false
	}
	for _, m := range s.Config.Members {
		if m.Learner || w.hosts[m.Name].replica.ID() != m.ID {
			return false
		}
	}
	return true
}
