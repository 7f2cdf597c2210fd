package instance

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"lycheevale/internal/state/registry"
)

// Guards against a change that a voter of an earlier release would refuse, and against a voter that is lost later and prevents all decisions.
func TestQuarantineWaitsForOldVoters(t *testing.T) {
	stores, lost := map[string]bool{"b": true}, map[string]bool{}
	v := &voterCheck{
		self: "a", voters: func() []string { return []string{"a", "b", "c"} }, registry: registry.New(), checked: map[string]bool{},
		call: func(_ context.Context, to, _ string, _, result any) error {
			if lost[to] {
				return Error.New("lost")
			}
			*result.(*Description) = Description{Name: to, StoresQuarantine: stores[to]}
			return nil
		},
	}
	ask := func() {
		for _, name := range v.unchecked() {
			v.ask(t.Context(), name)
		}
	}
	qt.Check(t, v.supported(), qt.ErrorMatches, `.*\[b c\].*`)
	ask()
	qt.Check(t, v.supported(), qt.ErrorMatches, `.*\[c\].*`)
	stores["c"] = true
	ask()
	lost["b"] = true
	qt.Check(t, v.supported(), qt.IsNil)
}
