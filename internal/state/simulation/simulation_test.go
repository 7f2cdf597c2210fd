package simulation_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime/debug"
	"slices"
	"strings"
	"testing"
	"time"

	"lycheevale/internal/base/seeded"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"

	"lycheevale/internal/state/claims"
	"lycheevale/internal/state/registry"
	"lycheevale/internal/state/revoke"
	"lycheevale/internal/state/voter"
)

func TestMain(m *testing.M) {
	// The schedules allocate much short-lived memory, so a higher GC percentage saves time.
	debug.SetGCPercent(800)
	seeded.Main(m, "20261204", 1000)
}

// history records the commands that clients sent and the results that they received.
type history struct {
	sent                  [][]byte
	results               map[string]string // first result of each change
	models                map[string]uint64 // revision of each accepted model
	acceptedByExpectation map[uint64]string // accepted change by its expected revision
	revoked               map[string]uint64 // revision by which each key was withdrawn
	granted               map[claims.Key]string
	released              map[string]bool // attempts that released their claim
}

func newHistory() history {
	return history{
		results: map[string]string{}, models: map[string]uint64{}, acceptedByExpectation: map[uint64]string{},
		revoked: map[string]uint64{}, granted: map[claims.Key]string{}, released: map[string]bool{},
	}
}

// change sends a change (a new model, a key or a withdrawal, sometimes with an expected revision) or resends an earlier
// one.
func (w *cluster) change() {
	if n := len(w.history.sent); n > 0 && w.draw(3) == 0 {
		w.sendCommand(w.history.sent[w.draw(n)])
		return
	}
	id := fmt.Sprint(len(w.history.sent))
	h := w.hosts[voterNames[w.draw(3)]]
	c := registry.Command{RequestID: id, At: w.now.Add(h.clockSkew)}
	if w.draw(2) == 0 {
		c.ExpectedRevision = h.registry.Revision()
	}
	key := registry.Object{Kind: registry.KindKey, Name: fmt.Sprint("k", w.draw(3))}
	switch w.draw(5) {
	case 0:
		key.Deleted = true
		c.Changes = []registry.Object{key}
	case 1, 2:
		key.Key = &registry.Key{Customer: "c", Hash: strings.Repeat("00", 32), Withdrawn: w.draw(3) == 0}
		customer := registry.Object{Kind: registry.KindCustomer, Name: "c", Customer: &registry.Customer{Rate: 1, Burst: 1}}
		c.Changes = []registry.Object{customer, key}
	default:
		c.Changes = []registry.Object{{Kind: registry.KindModel, Name: "m" + id, Model: &registry.Model{}}}
	}
	data, _ := json.Marshal(c)
	w.history.sent = append(w.history.sent, data)
	w.sendCommand(data)
}

func (w *cluster) sendCommand(data []byte) {
	w.propose(append([]byte{'r'}, data...), func(raw []byte) {
		var c registry.Command
		var result registry.Result
		_, _ = json.Unmarshal(data, &c), json.Unmarshal(raw, &result)
		w.recordChange(c, result)
	})
}

func (w *cluster) recordChange(c registry.Command, result registry.Result) {
	text := fmt.Sprint(result)
	if first, told := w.history.results[c.RequestID]; told && first != text {
		w.fail("resend of change %s got %s, first was %s", c.RequestID, text, first)
	}
	w.history.results[c.RequestID] = text
	if result.Err() != nil {
		return
	}
	if first, won := w.history.acceptedByExpectation[c.ExpectedRevision]; won && first != c.RequestID && c.ExpectedRevision != 0 {
		w.fail("changes %s and %s were both accepted with expected revision %d", first, c.RequestID, c.ExpectedRevision)
	}
	w.history.acceptedByExpectation[c.ExpectedRevision] = c.RequestID
	for _, o := range c.Changes {
		switch {
		case o.Kind == registry.KindModel:
			w.history.models[o.Name] = result.Revision
		case o.Kind == registry.KindKey && (o.Deleted || o.Key.Withdrawn) && w.history.revoked[o.Name] == 0:
			w.history.revoked[o.Name] = result.Revision
		}
	}
}

// changeClaim sends a command that claims, finishes or releases one of a few identifiers.
func (w *cluster) changeClaim() {
	key := claims.Key{Customer: "c", Identifier: fmt.Sprint(w.draw(3))}
	attempt := fmt.Sprint("a", w.draw(6))
	op := []claims.Op{claims.OpClaim, claims.OpClaim, claims.OpFinish, claims.OpRelease}[w.draw(4)]
	holds := w.history.granted[key] == attempt
	switch {
	case op == claims.OpRelease && holds && w.draw(2) == 0, op == claims.OpFinish && !holds:
		op = claims.OpClaim
	case op == claims.OpRelease:
		// An attempt that released its claim never sends its request, even if the grant arrives later.
		w.history.released[attempt+key.Identifier] = true
	}
	c := claims.Command{Op: op, Key: key, Attempt: attempt, Fingerprint: "f", At: w.now, Response: &claims.Response{}}
	data, _ := json.Marshal(c)
	w.propose(append([]byte{'c'}, data...), func(raw []byte) {
		var result claims.Result
		_ = json.Unmarshal(raw, &result)
		if op != claims.OpClaim || result.Outcome != claims.Granted || w.history.released[attempt+key.Identifier] {
			return
		}
		holder, taken := w.history.granted[key]
		if taken && holder != attempt && !w.history.released[holder+key.Identifier] {
			w.fail("identifier %s was granted to attempts %s and %s", key.Identifier, holder, attempt)
		}
		w.history.granted[key] = attempt
	})
}

// step performs one random action.
func (w *cluster) step() {
	h := w.hosts[allNames[w.draw(len(allNames))]]
	v := w.hosts[voterNames[w.draw(3)]]
	kind := w.draw(66)
	if focus := w.mutation.focus; len(focus) > 0 && w.draw(2) == 0 {
		kind = focus[w.draw(len(focus))]
	}
	switch {
	case kind < 28 && len(w.network) > 0:
		w.deliver(w.draw(min(len(w.network), 6)))
	case kind < 36:
		w.tick(v, time.Duration(w.draw(250))*time.Millisecond)
		if w.draw(2) == 0 {
			w.finishSnapshot(v)
		}
	case kind < 42:
		w.change()
	case kind < 46:
		w.changeClaim()
	case kind < 49:
		w.reconcileMembers()
	case kind < 52:
		h.feed.Poll(ctx)
	case kind < 54:
		for _, push := range h.feed.Pushes(ctx) {
			push()
		}
	case kind < 56 && len(w.delayedCalls) > 0:
		i := w.draw(len(w.delayedCalls)) // often an old call, after many newer ones
		_, _ = w.hosts[w.delayedCalls[i].to].mux.Serve(ctx, w.delayedCalls[i].from, w.delayedCalls[i].method, w.delayedCalls[i].params)
	case kind < 58:
		h.revoke.Compare(ctx)
		w.checkReady(h)
	case kind == 58 && w.draw(3) == 0:
		h.revoke.Withdraw(ctx, fmt.Sprint("r", w.draw(4)))
	case kind == 59:
		h.partitioned = !h.partitioned && w.draw(2) == 0
	case kind == 60:
		h.clockSkew += time.Duration(w.draw(7_200)-3_600) * time.Second
	case kind == 61:
		w.crash(h)
	case kind != 63 && w.allDisksIntact(): // 62, 64 and 65
		v.disk = newDisk()
		w.start(v.name)
	case kind == 63 && w.draw(4) == 0:
		for _, name := range voterNames { // power loss of all voters
			w.crash(w.hosts[name])
		}
	}
}

func (w *cluster) crash(h *host) {
	if h.disk != nil {
		h.disk.crash(w.draw)
	}
	w.start(h.name)
}

// checkInvariants compares the state of every instance with the results that clients received.
func (w *cluster) checkInvariants() {
	for _, name := range allNames {
		h := w.hosts[name]
		revision := h.registry.Revision()
		if revision < h.revision && h.disk == nil {
			w.fail("the revision of %s went from %d to %d", name, h.revision, revision)
		}
		h.revision = revision
		for model, at := range w.history.models {
			o, ok := h.registry.Get(registry.KindModel, model)
			if revision >= at && (!ok || o.Revision != at) {
				w.fail("%s at revision %d lacks %s, accepted at revision %d", name, revision, model, at)
			}
		}
		for key, at := range w.history.revoked {
			if revision >= at && !h.registry.Withdrawn(key) {
				w.fail("%s at revision %d accepts key %s, withdrawn at revision %d", name, revision, key, at)
			}
		}
		for _, key := range []string{"k0", "k1", "k2", "r0", "r1", "r2", "r3"} {
			withdrawn := h.revoke.Withdrawn(key)
			if h.withdrawnKeys[key] && !withdrawn {
				w.fail("withdrawn key %s became valid again on %s", key, name)
			}
			h.withdrawnKeys[key] = withdrawn
		}
	}
}

// checkReady checks that an instance that becomes ready has every withdrawn key that all others have.
func (w *cluster) checkReady(h *host) {
	if h.ready || !h.revoke.Ready() {
		return
	}
	h.ready = true
	for _, key := range []string{"r0", "r1", "r2", "r3"} {
		known := 0
		for _, name := range allNames {
			if other := w.hosts[name]; other != nil && other != h && other.revoke != nil && other.revoke.Withdrawn(key) {
				known++
			}
		}
		if known == len(allNames)-1 && !h.revoke.Withdrawn(key) {
			w.fail("%s is ready but lacks the withdrawal of key %s", h.name, key)
		}
	}
}

func (w *cluster) run(steps int) error {
	w.settle(15)
	w.lossy = true
	for range steps {
		if w.fault == nil {
			w.step()
			w.checkInvariants()
		}
	}
	return w.fault
}

// settle ticks all voters and delivers all messages, in order and without loss.
func (w *cluster) settle(rounds int) {
	w.lossy = false
	for range rounds {
		for _, name := range voterNames {
			w.tick(w.hosts[name], 35*time.Millisecond)
			w.finishSnapshot(w.hosts[name])
		}
		for n := 0; len(w.network) > 0 && n < 200 && w.fault == nil; n++ {
			w.deliver(0)
		}
	}
}

// converge ends all faults and checks that every accepted change has reached every instance and that a new change
// succeeds.
func (w *cluster) converge() error {
	for _, name := range allNames {
		w.hosts[name].partitioned = false
	}
	w.settle(25)
	for range 6 {
		w.reconcileMembers()
		w.settle(5)
	}
	var last registry.Result
	id := fmt.Sprint(len(w.history.sent))
	c := registry.Command{RequestID: id, At: w.now, Changes: []registry.Object{
		{Kind: registry.KindModel, Name: "m" + id, Model: &registry.Model{}},
	}}
	data, _ := json.Marshal(c)
	w.propose(append([]byte{'r'}, data...), func(raw []byte) { _ = json.Unmarshal(raw, &last) })
	w.settle(10)
	for range 2 {
		for _, name := range allNames {
			w.hosts[name].feed.Poll(ctx)
			w.hosts[name].revoke.Compare(ctx)
			w.hosts[name].revoke.Compare(ctx)
		}
	}
	w.checkInvariants()
	for _, name := range allNames {
		h := w.hosts[name]
		if last.Revision == 0 || h.registry.Revision() != last.Revision {
			w.fail("%s is at revision %d after the faults ended, want %d", name, h.registry.Revision(), last.Revision)
		}
		if d := h.revoke.Digest(); d != w.hosts["v0"].revoke.Digest() {
			w.fail("%s has other withdrawn keys than v0 after the faults ended", name)
		}
	}
	return w.fault
}

const shards = 8 // run in parallel

// Guards against losing or reverting an accepted change, a withdrawn key that becomes valid again, an identifier granted
// twice and a revision that decreases, under message loss, delay, duplication and reordering, partitions, crashes with
// and without loss of the disk, and clock steps.
func TestSchedules(t *testing.T) {
	for shard := range uint64(shards) {
		t.Run(fmt.Sprint(shard), func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(t *rapid.T) {
				seed := xxhash.Sum64(rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, "seed"))
				w := newCluster(rand.New(rand.NewPCG(seed, shard)).IntN, mutation{})
				if err := w.run(55); err != nil {
					t.Fatal(err)
				}
				// converge takes as long as the schedule itself, so only every fourth schedule runs it.
				if seed%4 != 0 {
					return
				}
				if err := w.converge(); err != nil {
					t.Fatal(err)
				}
			})
		})
	}
}

// Guards against schedules that cannot detect a fault: with a rule disabled, some schedule must show a violation.
func TestMutationsAreDetected(t *testing.T) {
	mutations := map[string]mutation{
		"SyncFirst":        {replica: func(o *voter.ReplicaOptions) { o.SyncFirst = false }},
		"RememberResults":  {registry: func(r *registry.Rules) { r.RememberResults = false }},
		"ExpectedRevision": {registry: func(r *registry.Rules) { r.ExpectedRevision = false }},
		"KeepWithdrawn":    {registry: func(r *registry.Rules) { r.KeepWithdrawn = false }},
		"ForwardOnly":      {focus: []int{36, 49, 52, 55}, registry: func(r *registry.Rules) { r.ForwardOnly = false }},
		"OneAttempt":       {claims: func(r *claims.Rules) { r.OneAttempt = false }},
		"ReleaseOwn":       {claims: func(r *claims.Rules) { r.ReleaseOwn = false }},
		"CompareFirst":     {revoke: func(o *revoke.Options) { o.CompareFirst = false }},
	}
	names := make([]string, 0, len(mutations))
	for name := range mutations {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(3000) {
				if err := newCluster(rand.New(rand.NewPCG(seed, 99)).IntN, mutations[name]).run(400); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Fatal("no schedule shows a violation although the rule is disabled")
		})
	}
}

// runWithLostDisk makes a voter lose its disk while it is one of only two that store a change and the other one is
// partitioned.
func runWithLostDisk(m mutation) error {
	w := newCluster(rand.New(rand.NewPCG(1, 1)).IntN, m)
	w.settle(15)
	leader := w.leader().name
	rest := slices.DeleteFunc(slices.Clone(voterNames), func(name string) bool { return name == leader })
	w.hosts[rest[1]].partitioned = true
	model := func(name string) {
		data, _ := json.Marshal(registry.Command{RequestID: name, Changes: []registry.Object{
			{Kind: registry.KindModel, Name: name, Model: &registry.Model{}},
		}})
		w.sendCommand(data)
		w.settle(5)
	}
	model("stored")
	w.hosts[rest[1]].partitioned, w.hosts[leader].partitioned = false, true
	w.hosts[rest[0]].disk = newDisk()
	w.start(rest[0])
	w.settle(40)
	model("second")
	w.checkInvariants()
	return w.fault
}

// Guards against a voter that votes with its old identity after the loss of its disk, which loses accepted changes.
func TestVoterWithLostDiskDoesNotVote(t *testing.T) {
	if err := runWithLostDisk(mutation{}); err != nil {
		t.Fatal(err)
	}
	err := runWithLostDisk(mutation{replica: func(o *voter.ReplicaOptions) {
		fresh := o.NewIdentity
		o.NewIdentity = func() string { return strings.Split(fresh(), ".")[0] + ".old" }
	}})
	if err == nil {
		t.Fatal("no violation although the voter keeps its identity")
	}
	t.Log(err)
}
