package revoke_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"github.com/zeebo/errs"

	qt "github.com/frankban/quicktest"

	"lycheevale/internal/state/registry"
	"lycheevale/internal/state/revoke"
	"lycheevale/internal/wire/peer"
)

// testNetwork connects nodes without delay and counts the bytes of their calls.
type testNetwork struct {
	muxes map[string]*peer.Mux
	down  map[string]bool
	bytes int
}

func (m *testNetwork) caller(from string) peer.Caller {
	return func(ctx context.Context, to, method string, params, result any) error {
		if m.down[from] || m.down[to] {
			return errs.New("unreachable")
		}
		raw, _ := json.Marshal(params)
		m.bytes += len(raw)
		answer, err := m.muxes[to].Serve(ctx, from, method, raw)
		if err != nil || result == nil {
			return err
		}
		raw, _ = json.Marshal(answer)
		m.bytes += len(raw)
		return json.Unmarshal(raw, result)
	}
}

func (m *testNetwork) add(name string, local, remote []string) *revoke.Node {
	n := revoke.New(revoke.WithName(name), revoke.WithCaller(m.caller(name)), revoke.WithLogger(nil),
		revoke.WithPeers(func() []string { return local }, func() []string { return remote }))
	mux := peer.NewMux()
	n.Register(mux)
	m.muxes[name] = mux
	return n
}

// A withdrawal has to reach every instance, also after a lost push, a partition or a restart.
func TestWithdrawalReachesAllInstances(t *testing.T) {
	ctx := context.Background()
	m := &testNetwork{muxes: map[string]*peer.Mux{}, down: map[string]bool{}}
	a := m.add("a", []string{"b"}, []string{"c"})
	b := m.add("b", []string{"a"}, nil)
	c := m.add("c", []string{"d"}, []string{"a"})
	d := m.add("d", []string{"c"}, nil)
	qt.Assert(t, a.Withdraw(ctx, "k1").NotReached, qt.HasLen, 0)
	for _, n := range []*revoke.Node{a, b, c, d} {
		qt.Assert(t, n.Withdrawn("k1"), qt.IsTrue)
	}
	m.down["a"] = true
	qt.Assert(t, a.Withdraw(ctx, "k2").NotReached, qt.DeepEquals, []string{"b", "c"})
	qt.Assert(t, a.Withdrawn("k2"), qt.IsTrue)
	m.down["a"] = false
	qt.Assert(t, b.Compare(ctx), qt.IsTrue)
	qt.Assert(t, b.Withdrawn("k2"), qt.IsTrue)

	restarted := m.add("b", []string{"a"}, nil)
	qt.Assert(t, restarted.Ready(), qt.IsFalse)
	qt.Assert(t, restarted.Compare(ctx), qt.IsTrue)
	qt.Assert(t, restarted.Ready(), qt.IsTrue)
	qt.Assert(t, restarted.Withdrawn("k1") && restarted.Withdrawn("k2"), qt.IsTrue)
	qt.Assert(t, restarted.Digest(), qt.Equals, a.Digest())
}

// Withdrawals that only the configuration log contains have to enter the set.
func TestObserve(t *testing.T) {
	n := revoke.New(revoke.WithLogger(nil))
	n.Observe(registry.Delta{Objects: []registry.Object{
		{Kind: registry.KindKey, Name: "gone", Deleted: true},
		{Kind: registry.KindKey, Name: "withdrawn", Key: &registry.Key{Withdrawn: true}},
		{Kind: registry.KindKey, Name: "valid", Key: &registry.Key{}},
		{Kind: registry.KindModel, Name: "model", Deleted: true},
	}})
	got := []bool{n.Withdrawn("gone"), n.Withdrawn("withdrawn"), n.Withdrawn("valid"), n.Withdrawn("model")}
	qt.Assert(t, got, qt.DeepEquals, []bool{true, true, false, false})
}

// The volume of a comparison must not grow with the set: the budget of an instance is 12 KB per second (design 1.7).
func TestComparisonTrafficIsBounded(t *testing.T) {
	ctx := context.Background()
	m := &testNetwork{muxes: map[string]*peer.Mux{}, down: map[string]bool{}}
	a, b := m.add("a", []string{"b"}, nil), m.add("b", []string{"a"}, nil)
	var keys []registry.Object
	for i := range 100_000 {
		keys = append(keys, registry.Object{Kind: registry.KindKey, Name: fmt.Sprint("key-", i), Deleted: true})
	}
	a.Observe(registry.Delta{Objects: keys})
	b.Observe(registry.Delta{Objects: slices.Concat(keys[1:], []registry.Object{
		{Kind: registry.KindKey, Name: "only-b", Deleted: true},
	})})
	qt.Assert(t, a.Compare(ctx), qt.IsTrue)
	qt.Assert(t, a.Digest(), qt.Equals, b.Digest())
	different := m.bytes
	a.Compare(ctx)
	t.Logf("100,000 keys: %d bytes with two differences, %d bytes when equal", different, m.bytes-different)
	qt.Assert(t, different < 12_000, qt.IsTrue)
}

func ExampleNode_Withdraw() {
	n := revoke.New(revoke.WithLogger(nil))
	n.Withdraw(context.Background(), "k1")
	fmt.Println(n.Withdrawn("k1"), n.Withdrawn("k2"))
	// Output: true false
}
