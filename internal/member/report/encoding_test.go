package report_test

import (
	"encoding/json"
	"net/netip"
	"testing"

	"github.com/frankban/quicktest"
	"github.com/google/go-cmp/cmp"

	"lycheevale/internal/limit/quota"
	"lycheevale/internal/member/report"
	"lycheevale/internal/place/quarantine"
	"lycheevale/internal/place/residency"
)

var (
	suspect = quarantine.Part{Service: "s", ID: "91bd"}
	holding = residency.Holding{Adapter: residency.Adapter{Model: "m", Name: "a7"}, Version: 3}
	entry   = report.Entry{
		Name: "edge-1", Address: netip.MustParseAddr("10.0.0.9"), DataCentre: "east", Deputies: 2, Term: 4, Directory: 6, Placement: 9, Active: map[string]int{"i-1": 2},
		Uses:      []residency.Use{{Endpoint: "i-1", Adapter: holding.Adapter, Count: 3, Active: 2}},
		Customers: map[string]quota.Use{"c": {Demand: 120, Held: 30, Extra: 400, Missing: 1000, Request: 700}},
		Crashes: []quarantine.Crash{{
			Incarnation: quarantine.Incarnation{Endpoint: "i-1", Born: 5}, Service: "s", AgoMillis: 80,
			Exposed: []quarantine.Exposure{{ID: "5c1e", WaitedMillis: 300, Acknowledged: true}},
		}},
		Begins: []quarantine.Begin{{Part: suspect, AgoMillis: 20}}, Suspects: 3, Quarantine: 2,
		Refused: map[string]quarantine.Refusals{"5c1e": {Total: 2, Alone: 1}},
	}
	update = report.Update{
		Leading: true, Term: 4, Document: 7, Content: []byte("packed"), Directory: 6, Running: []int{2, 0},
		Endpoints: []report.Endpoint{{
			ID: "i-1", Service: "s", DataCentre: "east", Address: netip.MustParseAddrPort("10.0.0.1:80"), Slots: 4, Models: []string{"m"},
		}},
		Events:       []residency.Event{{Endpoint: "i-1", Holding: holding, Removed: true}},
		Grants:       map[string]quota.Grant{"c": {Share: 30, Extra: 1000}},
		DeputyChange: 2, Deputies: []report.Deputy{{Address: netip.MustParseAddr("10.0.0.9"), DataCentre: "east"}},
		SuspectRevision: 3, Suspects: []quarantine.Part{suspect}, QuarantineRevision: 2, Quarantine: []quarantine.Part{suspect}, Trials: []string{"5c1e"},
	}
)

// Guards against a field that encoding and decoding lose.
func TestEncoding(t *testing.T) {
	c := quicktest.New(t)
	data, err := json.Marshal(entry)
	c.Assert(err, quicktest.IsNil)
	var e report.Entry
	c.Assert(json.Unmarshal(data, &e), quicktest.IsNil)
	same := cmp.Comparer(func(a, b netip.Addr) bool { return a == b })
	c.Check(e, quicktest.CmpEquals(same), entry)
	data, err = json.Marshal(update)
	c.Assert(err, quicktest.IsNil)
	var u report.Update
	c.Assert(json.Unmarshal(data, &u), quicktest.IsNil)
	c.Check(u, quicktest.CmpEquals(same, cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })), update)
}

// Guards against a message that makes the decoder panic.
func FuzzDecode(f *testing.F) {
	for _, v := range []any{entry, update} {
		data, err := json.Marshal(v)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		var e report.Entry
		var u report.Update
		_ = json.Unmarshal(data, &e)
		_ = json.Unmarshal(data, &u)
	})
}

// A caller names an adapter, or an endpoint itself, in bytes that are no UTF-8. Guards against a report or an update that can't be decoded for one such
// name, so that the entry would stop following the leader.
func TestNamesThatAreNoText(t *testing.T) {
	c := quicktest.New(t)
	const odd = "a\xff"
	data, err := json.Marshal(report.Entry{
		Name: "edge-1", Active: map[string]int{odd: 1}, Refused: map[string]quarantine.Refusals{odd: {Total: 1}},
		Uses: []residency.Use{{Endpoint: "i-1", Adapter: residency.Adapter{Model: "m", Name: odd}, Count: 1}},
	})
	c.Assert(err, quicktest.IsNil)
	var e report.Entry
	c.Assert(json.Unmarshal(data, &e), quicktest.IsNil)
	c.Check(e.Name, quicktest.Equals, "edge-1")
	c.Check(e.Uses, quicktest.HasLen, 1)
	data, err = json.Marshal(report.Update{Leading: true, Term: 4, Endpoints: []report.Endpoint{{ID: odd, Service: "s"}, {ID: "i-1", Service: "s"}}})
	c.Assert(err, quicktest.IsNil)
	var u report.Update
	c.Assert(json.Unmarshal(data, &u), quicktest.IsNil)
	c.Check(u.Endpoints, quicktest.HasLen, 2)
}

// Five thousand engines hold forty adapters each, or fewer name thousands. Guards against an update whose list is too long for the decoder, so that no
// entry could follow a new leader.
func TestLongListIsDecoded(t *testing.T) {
	c := quicktest.New(t)
	const length = 5_000 * 40
	data, err := json.Marshal(report.Update{Leading: true, Reset: true, Events: make([]residency.Event, length)})
	c.Assert(err, quicktest.IsNil)
	const largestMessage = 16 << 20
	c.Assert(len(data) < largestMessage, quicktest.IsTrue)
	var u report.Update
	c.Assert(json.Unmarshal(data, &u), quicktest.IsNil)
	c.Check(u.Events, quicktest.HasLen, length)
}
