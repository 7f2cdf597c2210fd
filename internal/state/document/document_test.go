package document_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

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
		{"unknown service", func(d *document.Document) { d.Routes[0].Targets[0].Service = "x" }, `document: route "a" names unknown service "x"`},
		{"same place", func(d *document.Document) { d.Routes[1].Prefix = "/" }, `document: routes "a" and "b" have the same host and prefix`},
		{"no weight", func(d *document.Document) { d.Routes[0].Targets[0].Weight = 0 }, `document: weights of route "a" add up to 0`},
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

// Guards against a shorter prefix that hides a longer one.
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

// Guards against a configuration that goes back: an older number, or other content under the same number.
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

// Guards against versions of adapters that are lost with a snapshot or go back.
func TestAdapterVersionsSurviveSnapshot(t *testing.T) {
	c := quicktest.New(t)
	m := document.NewMachine()
	set := func(m *document.Machine, name string, version int) bool {
		return apply(c, m, document.Command{Action: document.SetAdapter, Adapter: document.AdapterVersion{Model: "m", Adapter: name, Version: version}}).Stored
	}
	c.Check(set(m, "a", 2), quicktest.IsTrue)
	c.Check(set(m, "b", 3), quicktest.IsTrue)
	held := m.Stored()
	c.Check(set(m, "a", 4), quicktest.IsTrue)
	c.Check(held.Adapters[0].Version, quicktest.Equals, 2) // a reader's state does not change under it
	data, err := m.View()()
	c.Assert(err, quicktest.IsNil)
	restored := document.NewMachine()
	c.Assert(restored.Restore(data), quicktest.IsNil)
	c.Check(restored.Stored(), quicktest.DeepEquals, m.Stored())
	c.Check(set(restored, "a", 3), quicktest.IsFalse)
}

// Guards against a record that cannot be read and stops or changes the state machine.
func TestUnreadableCommandChangesNothing(t *testing.T) {
	c := quicktest.New(t)
	m := document.NewMachine()
	m.Apply([]byte("{"))
	c.Check(m.Stored(), quicktest.DeepEquals, document.Stored{})
}
