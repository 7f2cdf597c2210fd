package registry_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"lycheevale/internal/state/registry"
)

// A configuration that is streamed while it changes has to equal its source at one revision once it is loaded, and must
// not make a withdrawn key valid again.
func TestStreamWhileChanging(t *testing.T) {
	source := newRegistryOfSize(t, 2500)
	qt.Assert(t, apply(source, key("first", "banksia", false), key("second", "banksia", false)).Err(), qt.IsNil)
	changes := [][]registry.Object{
		{adapter("a0", "banksia", "")}, // already yielded
		{{Kind: registry.KindVersion, Name: "a0@v1", Deleted: true}, {Kind: registry.KindAdapter, Name: "a0", Deleted: true}},
		{adapter("a00", "banksia", "v1"), version("a00", "v1"), customer("banksia", 700)},
		{{Kind: registry.KindKey, Name: "first", Deleted: true}, key("second", "banksia", true), plainService("ledger", "/orders")},
	}
	restarted := registry.New()
	qt.Assert(t, restarted.Install(registry.Delta{To: 1, Snapshot: true, Objects: []registry.Object{
		model("old"), {Kind: registry.KindKey, Name: "gone", Deleted: true},
	}}), qt.IsNil)
	loader := restarted.Load()
	revision, err := source.Stream(func(page []registry.Object) error {
		for _, o := range page {
			loader.Add(o)
		}
		if len(changes) > 0 {
			qt.Assert(t, apply(source, changes[0]...).Err(), qt.IsNil)
			changes = changes[1:]
		}
		return nil
	})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, changes, qt.HasLen, 0)
	_, early := restarted.Get(registry.KindCustomer, "banksia")
	qt.Assert(t, early, qt.IsFalse)
	qt.Assert(t, loader.Install(revision), qt.IsNil)
	qt.Assert(t, restarted.Revision(), qt.Equals, source.Revision())
	for _, kind := range []registry.Kind{
		registry.KindCustomer, registry.KindKey, registry.KindModel, registry.KindAdapter, registry.KindVersion, registry.KindService,
	} {
		qt.Assert(t, restarted.List(kind), qt.DeepEquals, source.List(kind))
	}
	for _, gone := range []string{"first", "second", "gone"} {
		qt.Assert(t, restarted.Withdrawn(gone), qt.IsTrue, qt.Commentf("key %s", gone))
	}
	qt.Assert(t, restarted.Load().Install(revision), qt.Equals, registry.ErrStale)

	// The next change is a delta.
	qt.Assert(t, apply(source, model("new")).Err(), qt.IsNil)
	qt.Assert(t, restarted.Install(source.DeltaSince(revision)), qt.IsNil)

	snapshot, err := source.Snapshot()
	qt.Assert(t, err, qt.IsNil)
	old := newRegistryOfSize(t, 1)
	_, err = old.Stream(func([]registry.Object) error { return old.Restore(snapshot) })
	qt.Assert(t, err, qt.ErrorMatches, ".*replaced while it was read")
}
