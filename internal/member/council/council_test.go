package council_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"lycheevale/internal/member/council"
)

var now = time.Unix(1_800_000_000, 0)

func instance(name string, voter bool, silent time.Duration) council.Instance {
	return council.Instance{Name: name, Voter: voter, LastContact: now.Add(-silent)}
}

var options = council.Options{Voters: council.VotersFor(1), ReplaceAfter: 2 * time.Second}

func TestWanted(t *testing.T) {
	for _, test := range []struct {
		name      string
		instances []council.Instance
		want      []string
	}{
		{"all voters live", []council.Instance{instance("a", true, 0), instance("b", true, 0), instance("c", true, 0)}, []string{"a", "b", "c"}},
		{"a spare is not used without need", []council.Instance{
			instance("a", true, 0), instance("b", true, 0), instance("c", true, 0), instance("d", false, 0),
		}, []string{"a", "b", "c"}},
		{"a lost voter is replaced", []council.Instance{
			instance("a", true, 0), instance("b", true, time.Minute), instance("c", true, 0), instance("d", false, 0),
		}, []string{"a", "c", "d"}},
		{"a lost voter without a spare stays", []council.Instance{
			instance("a", true, 0), instance("b", true, time.Minute), instance("c", true, 0),
		}, []string{"a", "b", "c"}},
		{"a silent spare does not replace a voter", []council.Instance{
			instance("a", true, 0), instance("b", true, time.Minute), instance("c", true, 0), instance("d", false, time.Minute),
		}, []string{"a", "b", "c"}},
		{"a short silence is tolerated", []council.Instance{
			instance("a", true, 0), instance("b", true, time.Second), instance("c", true, 0), instance("d", false, 0),
		}, []string{"a", "b", "c"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			quicktest.New(t).Check(council.SelectVoters(now, test.instances, options), quicktest.DeepEquals, test.want)
		})
	}
}

// Guards against a leader that drops all endpoints, adapters and shares each time its voter runs late. This happened eight
// times in 11 s on the enlarged deployment, on a core machine with little processor time under load.
func TestLateVoterKeepsState(t *testing.T) {
	c := quicktest.New(t)
	late := council.Leadership{Leads: true, Term: 3, CheckedAt: now.Add(-time.Second)}
	c.Check(late.MayAct(now, 300*time.Millisecond), quicktest.IsFalse)
	c.Check(late.KeepsState(3), quicktest.IsTrue)
	c.Check(late.KeepsState(2), quicktest.IsFalse)
	c.Check(council.Leadership{Term: 3, CheckedAt: now}.KeepsState(3), quicktest.IsFalse)
	c.Check(council.Leadership{Leads: true, Term: 3, CheckedAt: now}.MayAct(now, 300*time.Millisecond), quicktest.IsTrue)
}

// Guards against following a leader that is replaced or long silent, as told by instances that do not know better.
func TestNewestContactIsKept(t *testing.T) {
	const maxAge = time.Second
	heard := func(leader string, term uint64, ago time.Duration) council.Contact {
		return council.Contact{Leader: leader, Term: term, HeardAt: now.Add(-ago)}
	}
	known := heard("a", 2, 300*time.Millisecond)
	for _, test := range []struct {
		name            string
		known, reported council.Contact
		want            string
	}{
		{"first report", council.Contact{}, heard("a", 2, 0), "a"},
		{"later term", known, heard("b", 3, 400*time.Millisecond), "b"},
		{"earlier term", known, heard("b", 1, 0), "a"},
		{"earlier term, but the known leader is silent", heard("a", 2, maxAge+1), heard("b", 1, 0), "b"},
		{"later term, but silent", known, heard("b", 3, maxAge+1), "a"},
		{"no leader, or an instance of an earlier release", known, heard("", 0, 0), "a"},
	} {
		c := quicktest.New(t)
		c.Check(test.known.Merge(now, maxAge, test.reported).Leader, quicktest.Equals, test.want, quicktest.Commentf("%s", test.name))
	}
	c := quicktest.New(t)
	c.Check(known.Merge(now, maxAge, heard("a", 2, 0)).HeardAt, quicktest.Equals, now)
	c.Check(known.Merge(now, maxAge, heard("a", 2, time.Second)).HeardAt, quicktest.Equals, known.HeardAt)
}
