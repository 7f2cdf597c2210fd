package control

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// checkApart checks that no stream of a model holds events of two software versions.
func (m *softwareModel) checkApart(c *quicktest.C) {
	c.Helper()
	c.Check(m.broken, quicktest.IsNil, quicktest.Commentf("%q", m.trace))
}

// An endpoint restarts under its identity with a new software version, and announces itself to a leader that has just been elected. Guards against
// entries that go on using it as one of its former version, which the partial list of the leader left them.
func TestEndpointRestartedBesideNewLeaderHasNotItsFormerVersion(t *testing.T) {
	c := quicktest.New(t)
	m := newSoftwareModel("v1")
	m.begin(m.entries[0], 1)
	m.replaceLeader(false, true)
	m.restart(m.endpoints[0], "v2")
	for range 50 {
		m.wait(modelSlice)
		m.takeUp(m.streams[0], m.entries[0], 0)
	}
	m.checkApart(c)
	c.Check(m.streams[0].versions, quicktest.DeepEquals, []string{"v1"})
}

// release adds an endpoint of a new software version and begins streams at all endpoints that an entry lists after some time.
func (m *softwareModel) release(e *modelEntry, after time.Duration) {
	m.join("v2")
	m.wait(after)
	for n := range e.view.Endpoints(modelService) {
		m.begin(e, n)
	}
}

func (m *softwareModel) takeUpAll(e *modelEntry) {
	for _, s := range m.streams {
		m.takeUp(s, e, 0)
	}
}

// An entry is out of step while an endpoint of a new software version joins. Guards against streams of that endpoint which the entry continues at its
// former version, as it does without the rule that is named.
func TestEntryOutOfStepKeepsVersionsApart(t *testing.T) {
	for _, test := range []struct {
		name string
		rule modelGuard
		run  func(m *softwareModel, e, other *modelEntry)
	}{
		{"suspended", lease, func(m *softwareModel, e, other *modelEntry) {
			m.suspend(e, false)
			m.release(other, 4*time.Second)
			m.wake(e, false)
			m.takeUpAll(e)
		}},
		{"cut off from the leader", lease, func(m *softwareModel, e, other *modelEntry) {
			e.reach = reachFormer
			m.release(other, 4*time.Second)
			m.takeUpAll(e)
		}},
		{"cut off from all instances", lease, func(m *softwareModel, e, other *modelEntry) {
			e.reach = reachNone
			m.release(other, 4*time.Second)
			m.takeUpAll(e)
		}},
		{"wakes with an old answer", sentTime, func(m *softwareModel, e, other *modelEntry) {
			m.suspend(e, true)
			m.release(other, 4*time.Second)
			m.wake(e, true)
			m.takeUpAll(e)
		}},
		{"continues an answer", sameVersion, func(m *softwareModel, e, _ *modelEntry) {
			m.release(e, time.Second)
			for n, s := range m.streams {
				m.continueWithin(s, n+1)
			}
		}},
		{"follows a leader that was replaced", formerLeader, func(m *softwareModel, e, other *modelEntry) {
			e.reach = reachFormer
			m.replaceLeader(false, true)
			m.release(other, 5*time.Second)
			m.takeUpAll(e)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			m := newSoftwareModel("v1")
			test.run(m, m.entries[0], m.entries[1])
			m.checkApart(c)
			c.Check(m.streams, quicktest.HasLen, 3)
			m = newSoftwareModel("v1", test.rule)
			test.run(m, m.entries[0], m.entries[1])
			c.Check(m.broken, quicktest.IsNotNil, quicktest.Commentf("%q", m.trace))
		})
	}
}

// A leader ends after it has stored a new software version and before it has listed an endpoint with it. Guards against a successor that lists the endpoint
// at once, while an entry that is cut off still relies on a list without the version; and against one that waits although entries knew it.
func TestStoredVersionWaitsForEntriesAtNewLeader(t *testing.T) {
	c := quicktest.New(t)
	m := newSoftwareModel("v1")
	e, other := m.entries[0], m.entries[1]
	e.reach = reachNone
	m.release(other, 300*time.Millisecond)
	c.Assert(m.leaders[0].control.machine.Stored().Software, quicktest.HasLen, 2)
	m.replaceLeader(false, false)
	for range 60 {
		m.wait(modelSlice)
		for n := range other.view.Endpoints(modelService) {
			m.begin(other, n)
			m.takeUp(m.streams[len(m.streams)-1], e, 0)
		}
	}
	m.checkApart(c)
	c.Check(other.view.Endpoints(modelService), quicktest.HasLen, 3)
	m.replaceLeader(false, false)
	m.join("v2")
	m.wait(700 * time.Millisecond)
	c.Check(other.view.Endpoints(modelService), quicktest.HasLen, 4)
}

// An entry stays in touch with a leader that is cut off from the others, and which answers it beside its successor. Guards against a successor that lists an
// endpoint of a new software version while the entry relies on the last list of the former leader.
func TestNewVersionWaitsForListsOfFormerLeader(t *testing.T) {
	c := quicktest.New(t)
	m := newSoftwareModel("v1")
	e, other := m.entries[0], m.entries[1]
	e.reach = reachFormer
	m.replaceLeader(true, false)
	m.release(other, time.Second)
	for range 60 {
		m.wait(modelSlice)
		for n := range other.view.Endpoints(modelService) {
			m.begin(other, n)
			m.takeUp(m.streams[len(m.streams)-1], e, 0)
		}
	}
	m.checkApart(c)
	c.Check(other.view.Endpoints(modelService), quicktest.HasLen, 3)
}

// All endpoints of a service name no software version, which is not stored, and the first one with a version announces itself to a new leader. Guards
// against a leader that takes that version for the only one.
func TestFirstNamedVersionWaitsAtNewLeader(t *testing.T) {
	c := quicktest.New(t)
	m := newSoftwareModel("")
	e, other := m.entries[0], m.entries[1]
	e.reach = reachNone
	for n := range other.view.Endpoints(modelService) {
		m.begin(other, n)
	}
	m.replaceLeader(false, false)
	for n := range 2 {
		m.endpoints[n].silent = true
		m.entries[n+1].reach = reachNone
	}
	m.join("v2")
	m.wait(400 * time.Millisecond)
	for n := range 2 {
		m.endpoints[n].silent = false
		m.entries[n+1].reach = reachAll
	}
	for range 60 {
		m.takeUpAll(e)
		m.takeUpAll(m.entries[2])
		m.wait(modelSlice)
		for n := range other.view.Endpoints(modelService) {
			m.begin(other, n)
		}
	}
	m.checkApart(c)
	c.Check(other.view.Endpoints(modelService), quicktest.HasLen, 3)
}

// An endpoint of a new software version joins, and streams that begin there are taken up at an entry that has been out of step for less than the time for
// which it relies on its list. Guards against a leader that lists the endpoint once the entries in step know of the version.
func TestNewVersionWaitsForEntryOutOfStep(t *testing.T) {
	for _, test := range []struct {
		name         string
		begin, reach func(m *softwareModel, e *modelEntry) // of the time out of step, and of a request in it
		leader       bool                                  // replaced meanwhile
	}{
		{name: "suspended", begin: func(m *softwareModel, e *modelEntry) { m.suspend(e, false) }, reach: func(m *softwareModel, e *modelEntry) { m.wake(e, false) }},
		{name: "cut off from the leader", begin: func(_ *softwareModel, e *modelEntry) { e.reach = reachFormer }},
		{name: "cut off from all instances", begin: func(_ *softwareModel, e *modelEntry) { e.reach = reachNone }},
		{
			name: "suspended, leader replaced", leader: true,
			begin: func(m *softwareModel, e *modelEntry) { m.suspend(e, false) }, reach: func(m *softwareModel, e *modelEntry) { m.wake(e, false) },
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			for tenths := range 40 { // from the release until streams are taken up
				m := newSoftwareModel("v1")
				e, other := m.entries[0], m.entries[1]
				test.begin(m, e)
				m.join("v2")
				m.wait(modelSlice * time.Duration(tenths/2))
				if test.leader {
					m.replaceLeader(false, true)
				}
				m.wait(modelSlice * time.Duration(tenths-tenths/2))
				for n := range other.view.Endpoints(modelService) {
					m.begin(other, n)
				}
				if test.reach != nil {
					test.reach(m, e)
				}
				m.takeUpAll(e)
				m.checkApart(c)
			}
		})
	}
}

// Streams run at an entry that falls silent, an endpoint of a new software version announces itself, and callers take the streams up at another entry. Guards
// against refusing them because of a version that has begun no stream yet.
func TestStreamsOfSilentEntryGoOnBesideNewVersion(t *testing.T) {
	for _, test := range []struct {
		name    string
		silence func(m *softwareModel, e *modelEntry)
		from    int // tenths of a second from the announcement
		to      int
	}{
		{"suspended", func(m *softwareModel, e *modelEntry) { m.suspend(e, false) }, 0, 80},
		{"cut off", func(_ *softwareModel, e *modelEntry) { e.reach = reachNone }, 0, 80},
		{"two entries", func(m *softwareModel, e *modelEntry) {
			m.suspend(e, false)
			m.suspend(m.entries[2], false)
		}, 0, 80},
		{"leader replaced", func(m *softwareModel, e *modelEntry) {
			m.suspend(e, false)
			m.replaceLeader(false, true)
		}, 0, 40},
		{"second new version", func(m *softwareModel, e *modelEntry) {
			m.suspend(e, false)
			m.join("v3")
		}, 0, 80},
		{"version leaves again", func(m *softwareModel, e *modelEntry) {
			m.suspend(e, false)
			m.join("v3").silent = true
			m.announce(m.endpoints[len(m.endpoints)-1], m.newest())
			m.wait(time.Second)
		}, 0, 80},
	} {
		t.Run(test.name, func(t *testing.T) {
			for tenths := test.from; tenths <= test.to; tenths++ {
				c := quicktest.New(t)
				m := newSoftwareModel("v1")
				e, other := m.entries[0], m.entries[1]
				m.begin(e, 0)
				m.begin(e, 1)
				m.wait(time.Second)
				test.silence(m, e)
				m.join("v2")
				m.wait(time.Duration(tenths) * modelSlice)
				m.takeUpAll(other)
				m.wait(2 * time.Second)
				for _, s := range m.streams {
					c.Check(s.at, quicktest.Equals, other, quicktest.Commentf("after %d tenths of a second: %q", tenths, m.trace))
				}
				m.checkApart(c)
			}
		})
	}
}
