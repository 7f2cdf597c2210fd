package council_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"lycheevale/internal/member/council"
)

var now = time.Unix(1_800_000_000, 0)

func instance(name string, voter bool, silent time.Duration) council.Instance {
	return council.Instance{Name: name, Voter: voter, HeardAt: now.Add(-silent)}
}

var options = council.Options{Size: council.Size(1), LostWait: 2 * time.Second}

func TestWanted(t *testing.T) {
	for _, test := range []struct {
		name      string
		instances []council.Instance
		want      []string
	}{
		{"all well", []council.Instance{instance("a", true, 0), instance("b", true, 0), instance("c", true, 0)}, []string{"a", "b", "c"}},
		{"a spare stands by", []council.Instance{
			instance("a", true, 0), instance("b", true, 0), instance("c", true, 0), instance("d", false, 0),
		}, []string{"a", "b", "c"}},
		{"a lost voter is replaced", []council.Instance{
			instance("a", true, 0), instance("b", true, time.Minute), instance("c", true, 0), instance("d", false, 0),
		}, []string{"a", "c", "d"}},
		{"a lost voter without a spare stays", []council.Instance{
			instance("a", true, 0), instance("b", true, time.Minute), instance("c", true, 0),
		}, []string{"a", "b", "c"}},
		{"a silent spare replaces nobody", []council.Instance{
			instance("a", true, 0), instance("b", true, time.Minute), instance("c", true, 0), instance("d", false, time.Minute),
		}, []string{"a", "b", "c"}},
		{"a short silence is borne", []council.Instance{
			instance("a", true, 0), instance("b", true, time.Second), instance("c", true, 0), instance("d", false, 0),
		}, []string{"a", "b", "c"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			quicktest.New(t).Check(council.Wanted(now, test.instances, options), quicktest.DeepEquals, test.want)
		})
	}
}
