package report_test

import (
	"encoding/json"
	"net/netip"
	"testing"

	"github.com/frankban/quicktest"
	"github.com/google/go-cmp/cmp"

	"lycheevale/internal/limit/quota"
	"lycheevale/internal/member/report"
	"lycheevale/internal/place/origin"
	"lycheevale/internal/place/quarantine"
	"lycheevale/internal/place/residency"
)

var (
	suspect = quarantine.Signature{Service: "s", ID: "91bd"}
	holding = residency.Holding{Adapter: residency.Adapter{Model: "m", Name: "a7"}, Version: 3}
	entry   = report.Entry{
		Name: "edge-1", Address: netip.MustParseAddr("10.0.0.9"), DataCentre: "east", Deputies: 2, Term: 4, Directory: 6, Placement: 9, Active: map[string]int{"i-1": 2},
		Uses:      []residency.Use{{Endpoint: "i-1", Adapter: holding.Adapter, Count: 3, Active: 2}},
		Customers: map[string]quota.Use{"c": {Demand: 120, Held: 30, Extra: 400, Missing: 1000, Request: 700}},
		Crashes: []quarantine.Crash{{
			Incarnation: quarantine.Incarnation{Endpoint: "i-1", Born: 5}, Service: "s", AgoMillis: 80,
			Exposed: []quarantine.Exposure{{ID: "5c1e", WaitedMillis: 300, Acknowledged: true}},
		}},
		Begins: []quarantine.Begin{{Signature: suspect, AgoMillis: 20}}, Suspects: 3, Quarantine: 2,
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
		SuspectRevision: 3, Suspects: []quarantine.Signature{suspect}, QuarantineRevision: 2, Quarantine: []quarantine.Signature{suspect}, Trials: []string{"5c1e"},
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

// Guards against streams and software versions that encoding and decoding lose.
func TestSoftwareIsEncoded(t *testing.T) {
	c := quicktest.New(t)
	software := origin.Software{Service: "s", Version: "v2"}
	data, err := json.Marshal(report.Entry{
		Streams: []origin.Stream{{Attempt: "9c41", Software: software}}, Known: []report.KnownEndpoint{{Endpoint: report.Endpoint{ID: "i-1"}, Software: "v2"}},
	})
	c.Assert(err, quicktest.IsNil)
	var e report.Entry
	c.Assert(json.Unmarshal(data, &e), quicktest.IsNil)
	c.Check(e.Streams, quicktest.DeepEquals, []origin.Stream{{Attempt: "9c41", Software: software}})
	c.Check(e.Known[0].Software, quicktest.Equals, "v2")
	data, err = json.Marshal(report.Update{Software: []string{"v1", "v2"}, Versions: map[string][]string{"s": {"v1", "v2"}}})
	c.Assert(err, quicktest.IsNil)
	var u report.Update
	c.Assert(json.Unmarshal(data, &u), quicktest.IsNil)
	c.Check(u.Software, quicktest.DeepEquals, []string{"v1", "v2"})
	c.Check(u.Versions, quicktest.DeepEquals, map[string][]string{"s": {"v1", "v2"}})
	data, err = json.Marshal(report.OriginReply{Known: true, Software: &software})
	c.Assert(err, quicktest.IsNil)
	var o report.OriginReply
	c.Assert(json.Unmarshal(data, &o), quicktest.IsNil)
	c.Check(*o.Software, quicktest.Equals, software)
}

// Guards against held requests and turns that encoding and decoding lose.
func TestTurnsAreEncoded(t *testing.T) {
	c := quicktest.New(t)
	data, err := json.Marshal(report.Entry{Waiting: []string{"request:1"}})
	c.Assert(err, quicktest.IsNil)
	var e report.Entry
	c.Assert(json.Unmarshal(data, &e), quicktest.IsNil)
	c.Check(e.Waiting, quicktest.DeepEquals, []string{"request:1"})
	data, err = json.Marshal(report.Update{Held: []string{"request:1", "request:2"}, Turns: []string{"request:1"}})
	c.Assert(err, quicktest.IsNil)
	var u report.Update
	c.Assert(json.Unmarshal(data, &u), quicktest.IsNil)
	c.Check(u.Held, quicktest.DeepEquals, []string{"request:1", "request:2"})
	c.Check(u.Turns, quicktest.DeepEquals, []string{"request:1"})
}

// Messages as the release before signatures of several kinds encoded them.
const (
	earlierEntry  = `"r2ROYW1lZmVkZ2UtMWdBZGRyZXNzRAoAAAlqRGF0YUNlbnRyZWRlYXN0aERlcHV0aWVzAmRUZXJtBGlEaXJlY3RvcnkGaVBsYWNlbWVudAlmQWN0aXZloWNpLTECZFVzZXOBhGNpLTGiZU1vZGVsYW1kTmFtZWJhNwMCaUN1c3RvbWVyc6FhY4X7QF4AAAAAAAD7QD4AAAAAAAD7QHkAAAAAAAD7QI9AAAAAAAD7QIXgAAAAAABnQ3Jhc2hlc4GEgmNpLTEFYXMYUIGDZDVjMWUZASz1ZkJlZ2luc4GCgmFzZDkxYmQUaFN1c3BlY3RzA2pRdWFyYW50aW5lAmdSZWZ1c2VkoWQ1YzFlggIB"`
	earlierUpdate = `"sGdMZWFkaW5n9WRUZXJtBGhEb2N1bWVudAdnQ29udGVudEZwYWNrZWRpRGlyZWN0b3J5BmlFbmRwb2ludHOBiGNpLTFhc2RlYXN0RgoAAAFQAAQA9IFhbWZFdmVudHOBg2NpLTGDYW1iYTcD9WdSdW5uaW5nggIAZkdyYW50c6FhY4L7QD4AAAAAAAD7QI9AAAAAAABsRGVwdXR5Q2hhbmdlAmhEZXB1dGllc4GCRAoAAAlkZWFzdG9TdXNwZWN0UmV2aXNpb24DaFN1c3BlY3RzgYJhc2Q5MWJkclF1YXJhbnRpbmVSZXZpc2lvbgJqUXVhcmFudGluZYGCYXNkOTFiZGZUcmlhbHOBZDVjMWU="`
)

// Guards against a change that instances of the release before cannot read, or whose messages this one cannot read.
func TestEarlierEncoding(t *testing.T) {
	c := quicktest.New(t)
	data, err := json.Marshal(entry)
	c.Assert(err, quicktest.IsNil)
	c.Check(string(data), quicktest.Equals, earlierEntry)
	data, err = json.Marshal(update)
	c.Assert(err, quicktest.IsNil)
	c.Check(string(data), quicktest.Equals, earlierUpdate)
	var e report.Entry
	c.Assert(json.Unmarshal([]byte(earlierEntry), &e), quicktest.IsNil)
	c.Check(e.Crashes, quicktest.DeepEquals, entry.Crashes)
	c.Check(e.Begins, quicktest.DeepEquals, entry.Begins)
	c.Check(e.Refused, quicktest.DeepEquals, entry.Refused)
	var u report.Update
	c.Assert(json.Unmarshal([]byte(earlierUpdate), &u), quicktest.IsNil)
	c.Check(u.Quarantine, quicktest.DeepEquals, update.Quarantine)
	c.Check(u.Suspects, quicktest.DeepEquals, update.Suspects)
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
