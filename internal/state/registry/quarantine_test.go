package registry_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"lycheevale/internal/state/registry"
)

func quarantined(service, signature string) registry.Object {
	q := registry.Quarantine{Service: service, Signature: signature}
	return registry.Object{Kind: registry.KindQuarantine, Name: registry.QuarantineName(q), Quarantine: &q}
}

// Guards against a quarantined signature that is lost with a snapshot, that cannot be released, or that is stored under two names.
func TestQuarantineIsStored(t *testing.T) {
	r := registry.New()
	o := quarantined("quill", "request:1")
	qt.Assert(t, apply(r, o).Err(), qt.IsNil)
	misnamed := quarantined("quill", "request:2")
	misnamed.Name = o.Name
	qt.Check(t, apply(r, misnamed).Code, qt.Equals, registry.CodeInvalid)
	qt.Check(t, apply(r, quarantined("quill", "")).Code, qt.Equals, registry.CodeInvalid)
	data, err := r.Snapshot()
	qt.Assert(t, err, qt.IsNil)
	restored := registry.New()
	qt.Assert(t, restored.Restore(data), qt.IsNil)
	qt.Check(t, restored.List(registry.KindQuarantine), qt.HasLen, 1)
	qt.Check(t, *restored.List(registry.KindQuarantine)[0].Quarantine, qt.Equals, *o.Quarantine)
	qt.Assert(t, apply(restored, registry.Object{Kind: registry.KindQuarantine, Name: o.Name, Deleted: true}).Err(), qt.IsNil)
	qt.Check(t, restored.List(registry.KindQuarantine), qt.HasLen, 0)
}

// Guards against an instance of an earlier release that stops following the configuration at an object of a kind that it does not know.
func TestObjectsOfLaterKindsArePassedOver(t *testing.T) {
	later := registry.Object{Kind: "Later", Name: "x"}
	for _, d := range []registry.Delta{
		{From: 0, To: 1, Objects: []registry.Object{later, model("quill")}},
		{To: 1, Snapshot: true, Objects: []registry.Object{later, model("quill")}},
	} {
		r := registry.New()
		qt.Assert(t, r.Install(d), qt.IsNil)
		qt.Check(t, r.Revision(), qt.Equals, uint64(1))
		qt.Check(t, r.Size(), qt.Equals, 1)
	}
}
