package document_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"lycheevale/internal/member/report"
	"lycheevale/internal/place/origin"
	"lycheevale/internal/place/quarantine"
	"lycheevale/internal/state/document"
)

func route(name, host, prefix, service string) document.Route {
	return document.Route{
		Name: name, Host: host, Prefix: prefix, Timeout: time.Second, Targets: []document.Target{{Service: service, Weight: 1}},
	}
}

func valid() document.Document {
	return document.Document{
		Version: 1, Services: []document.Service{{Name: "s"}, {Name: "t"}},
		Routes:    []document.Route{route("a", "h", "/", "s"), route("b", "h", "/long/", "t")},
		Customers: []document.Customer{{Name: "c", Keys: []string{"k"}}, {Name: "d", Keys: []string{"l"}}},
	}
}

func TestCheck(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(d *document.Document)
		want   string
	}{
		{"valid", func(*document.Document) {}, ""},
		{"unknown service", func(d *document.Document) { d.Routes[0].Targets[0].Service = "x" }, `document: route "a" has unknown service "x" as a target`},
		{"same host and prefix", func(d *document.Document) { d.Routes[1].Prefix = "/" }, `document: routes "a" and "b" have the same host and prefix`},
		{"no weight", func(d *document.Document) { d.Routes[0].Targets[0].Weight = 0 }, `document: the target weights of route "a" add up to 0`},
		{"no timeout", func(d *document.Document) { d.Routes[0].Timeout = 0 }, `document: route "a" has no timeout`},
		{"shared key", func(d *document.Document) { d.Customers[1].Keys = []string{"k"} }, `document: customers "c" and "d" share a key`},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := valid()
			test.change(&d)
			err := d.Check()
			if test.want == "" {
				quicktest.New(t).Check(err, quicktest.IsNil)
				return
			}
			quicktest.New(t).Check(err, quicktest.ErrorMatches, test.want)
		})
	}
}

// Guards against a shorter prefix that shadows a longer one.
func TestLongestPrefixWins(t *testing.T) {
	c := quicktest.New(t)
	x := document.NewIndex(valid())
	c.Check(x.Route("h", "/long/x").Name, quicktest.Equals, "b")
	c.Check(x.Route("h", "/longer").Name, quicktest.Equals, "a")
	c.Check(x.Route("other", "/"), quicktest.IsNil)
}

func apply(c *quicktest.C, m *document.Machine, command document.Command) (r document.Result) {
	data, err := json.Marshal(command)
	c.Assert(err, quicktest.IsNil)
	c.Assert(json.Unmarshal(m.Apply(data), &r), quicktest.IsNil)
	return r
}

// Guards against replacing the configuration with an older version, or with other content of the same version.
func TestHighestVersionWins(t *testing.T) {
	c := quicktest.New(t)
	m := document.NewMachine()
	for _, step := range []struct {
		version uint64
		stored  bool
	}{{5, true}, {5, false}, {3, false}, {9, true}} {
		r := apply(c, m, document.Command{
			Action: document.Replace, Version: step.version, Content: json.RawMessage(fmt.Sprintf(`{"n":%d,"stored":%v}`, step.version, step.stored)),
		})
		c.Check(r.Stored, quicktest.Equals, step.stored)
	}
	c.Check(string(m.Stored().Content), quicktest.Equals, `{"n":9,"stored":true}`)
}

// Guards against adapter versions that are lost with a snapshot or decrease.
func TestAdapterVersionsSurviveSnapshot(t *testing.T) {
	c := quicktest.New(t)
	m := document.NewMachine()
	set := func(m *document.Machine, name string, version int) bool {
		return apply(c, m, document.Command{Action: document.SetAdapter, Adapter: document.AdapterVersion{Model: "m", Adapter: name, Version: version}}).Stored
	}
	c.Check(set(m, "a", 2), quicktest.IsTrue)
	c.Check(set(m, "b", 3), quicktest.IsTrue)
	earlier := m.Stored()
	c.Check(set(m, "a", 4), quicktest.IsTrue)
	c.Check(earlier.Adapters[0].Version, quicktest.Equals, 2) // a state returned to a reader does not change
	data, err := m.View()()
	c.Assert(err, quicktest.IsNil)
	restored := document.NewMachine()
	c.Assert(restored.Restore(data), quicktest.IsNil)
	c.Check(restored.Stored(), quicktest.DeepEquals, m.Stored())
	c.Check(set(restored, "a", 3), quicktest.IsFalse)
}

// Guards against a command that cannot be decoded and stops or changes the state machine.
func TestInvalidCommandChangesNothing(t *testing.T) {
	c := quicktest.New(t)
	m := document.NewMachine()
	m.Apply([]byte("{"))
	c.Check(m.Stored(), quicktest.DeepEquals, document.Stored{})
}

// Guards against a replaced leader that still appoints deputies, and against a new voter without the entries that may
// hold shares.
func TestAppointmentOfLatestTermWins(t *testing.T) {
	c := quicktest.New(t)
	m := document.NewMachine()
	appoint := func(term uint64, names ...string) {
		data, err := json.Marshal(document.Command{Action: document.Appoint, Appoint: document.Appointment{Term: term, Deputies: names}})
		c.Assert(err, quicktest.IsNil)
		m.Apply(data)
	}
	appoint(3, "a", "b")
	appoint(2, "c")
	c.Check(m.Stored().Appoint.Deputies, quicktest.DeepEquals, []string{"a", "b"})
	appoint(3, "a", "d")
	data, err := m.View()()
	c.Assert(err, quicktest.IsNil)
	restored := document.NewMachine()
	c.Assert(restored.Restore(data), quicktest.IsNil)
	c.Check(restored.Stored().Appoint, quicktest.DeepEquals, document.Appointment{Term: 3, Deputies: []string{"a", "d"}})
}

// Guards against heartbeats delayed by a large configuration: on a deployment with 1,750 routes whose operator sent the
// configuration repeatedly, the leader lost its term three times in three seconds. A command must fit into a TCP window
// without scaling, 64 KiB.
func TestLargeConfigurationIsCompressedInLog(t *testing.T) {
	c := quicktest.New(t)
	var content bytes.Buffer
	fmt.Fprint(&content, `{"version":7,"routes":[`)
	for i := range 1750 {
		fmt.Fprintf(&content, `{"name":"r-%x","host":"huka18.example","pathPrefix":"/x%x/","routeKind":"idempotent","timeoutMs":3000,`+
			`"sloMs":400,"priority":2,"service":"ledger","maxAttempts":2},`, i*7919, i*104729)
	}
	fmt.Fprint(&content, `{}]}`)
	m := document.NewMachine()
	command, err := m.Stored().ReplaceCommand(7, content.Bytes())
	c.Assert(err, quicktest.IsNil)
	data, err := json.Marshal(command)
	c.Assert(err, quicktest.IsNil)
	c.Check(len(data) <= 64<<10, quicktest.IsTrue, quicktest.Commentf("%d bytes for %d", len(data), content.Len()))
	m.Apply(data)
	c.Check(string(m.Stored().Content), quicktest.Equals, content.String())
	snapshot, err := m.View()()
	c.Assert(err, quicktest.IsNil)
	restored := document.NewMachine()
	c.Assert(restored.Restore(snapshot), quicktest.IsNil)
	for _, s := range []document.Stored{m.Stored(), restored.Stored()} {
		unpacked, err := document.Unpack(s.Packed)
		c.Assert(err, quicktest.IsNil)
		c.Check(string(unpacked), quicktest.Equals, content.String())
	}

	again, err := m.Stored().ReplaceCommand(7, content.Bytes())
	c.Assert(err, quicktest.IsNil)
	c.Check(again, quicktest.DeepEquals, document.Command{Action: document.Barrier})
}

// Guards against quarantined parts of prompts that a restart, a new voter or a second leader forgets or doubles.
func TestQuarantineSurvivesSnapshot(t *testing.T) {
	c := quicktest.New(t)
	m := document.NewMachine()
	a, b := quarantine.Signature{Service: "s", ID: "a"}, quarantine.Signature{Service: "s", ID: "b"}
	change := func(m *document.Machine, added, released []quarantine.Signature) bool {
		return apply(c, m, document.Command{Action: document.Quarantine, Quarantine: added, Release: released}).Stored
	}
	c.Check(change(m, []quarantine.Signature{a}, nil), quicktest.IsTrue)
	earlier := m.Stored()
	c.Check(change(m, []quarantine.Signature{a}, nil), quicktest.IsFalse)
	c.Check(change(m, []quarantine.Signature{b}, []quarantine.Signature{a}), quicktest.IsTrue)
	c.Check(earlier.Quarantine, quicktest.DeepEquals, []quarantine.Signature{a}) // a state returned to a reader does not change
	data, err := m.View()()
	c.Assert(err, quicktest.IsNil)
	restored := document.NewMachine()
	c.Assert(restored.Restore(data), quicktest.IsNil)
	c.Check(restored.Stored().Quarantine, quicktest.DeepEquals, []quarantine.Signature{b})
	c.Check(restored.Stored().QuarantineRevision, quicktest.Equals, uint64(2))
	c.Check(change(restored, nil, []quarantine.Signature{b}), quicktest.IsTrue)
	c.Check(restored.Stored().Quarantine, quicktest.HasLen, 0)
}

// Guards against a list of quarantined parts, stored by the release before signatures of several kinds, that this one cannot read.
func TestEarlierQuarantineIsRead(t *testing.T) {
	c := quicktest.New(t)
	m := document.NewMachine()
	c.Assert(m.Restore([]byte(`{"Version":0,"Changes":0,"Quarantine":[{"Service":"s","ID":"5c1e"}],"QuarantineRevision":1}`)), quicktest.IsNil)
	m.Apply([]byte(`{"Action":"Quarantine","Quarantine":[{"Service":"s","ID":"91bd"}],"Release":[{"Service":"s","ID":"5c1e"}]}`))
	c.Check(m.Stored().Quarantine, quicktest.DeepEquals, []quarantine.Signature{{Service: "s", ID: "91bd"}})
	c.Check(m.Stored().QuarantineRevision, quicktest.Equals, uint64(2))
}

// Guards against departures of endpoints that a restart forgets, and against an earlier departure that replaces a later one.
func TestDeparturesSurviveSnapshot(t *testing.T) {
	c := quicktest.New(t)
	m := document.NewMachine()
	depart := func(m *document.Machine, d report.Departure, forget ...string) bool {
		return apply(c, m, document.Command{Action: document.Depart, Depart: []report.Departure{d}, Forget: forget}).Stored
	}
	leaving, gone := report.Departure{ID: "a", Born: 5}, report.Departure{ID: "a", Born: 5, Gone: true}
	c.Check(depart(m, leaving), quicktest.IsTrue)
	earlier := m.Stored()
	c.Check(depart(m, gone), quicktest.IsTrue)
	c.Check(depart(m, leaving), quicktest.IsFalse)
	c.Check(depart(m, report.Departure{ID: "a", Born: 4, Gone: true}), quicktest.IsFalse)
	c.Check(earlier.Departures, quicktest.DeepEquals, []report.Departure{leaving}) // a state returned to a reader does not change
	data, err := m.View()()
	c.Assert(err, quicktest.IsNil)
	restored := document.NewMachine()
	c.Assert(restored.Restore(data), quicktest.IsNil)
	c.Check(restored.Stored(), quicktest.DeepEquals, m.Stored())
	other := report.Departure{ID: "b", Born: 6}
	c.Check(depart(restored, other, "a"), quicktest.IsTrue)
	c.Check(restored.Stored().Departures, quicktest.DeepEquals, []report.Departure{other})
}

// Guards against software versions that a restart forgets: streams of a version that has just left would go on at another one.
func TestSoftwareSurvivesSnapshot(t *testing.T) {
	c := quicktest.New(t)
	m := document.NewMachine()
	former, newer := origin.Software{Service: "s", Version: "v1"}, origin.Software{Service: "s", Version: "v2"}
	change := func(added, removed []origin.Software) bool {
		return apply(c, m, document.Command{Action: document.Software, Introduce: added, Retire: removed}).Stored
	}
	c.Check(change([]origin.Software{former}, nil), quicktest.IsTrue)
	earlier := m.Stored()
	c.Check(change([]origin.Software{former, newer}, nil), quicktest.IsTrue)
	c.Check(change([]origin.Software{newer}, nil), quicktest.IsFalse)
	c.Check(earlier.Software, quicktest.DeepEquals, []origin.Software{former}) // a state returned to a reader does not change
	data, err := m.View()()
	c.Assert(err, quicktest.IsNil)
	restored := document.NewMachine()
	c.Assert(restored.Restore(data), quicktest.IsNil)
	c.Check(restored.Stored(), quicktest.DeepEquals, m.Stored())
	c.Check(change(nil, []origin.Software{former}), quicktest.IsTrue)
	c.Check(m.Stored().Software, quicktest.DeepEquals, []origin.Software{newer})
	c.Check(m.Stored().SoftwareRevision, quicktest.Equals, uint64(3))
}
