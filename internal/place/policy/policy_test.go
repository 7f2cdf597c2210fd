package policy_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"lycheevale/internal/place/policy"
)

// Guards against checked-in policies that no longer parse, and against unknown or invalid settings that are ignored.
func TestCheckedInPolicies(t *testing.T) {
	for _, name := range []string{"banksia", "koro"} {
		_, err := policy.Load("../../../configs/policy-" + name + ".yaml")
		qt.Check(t, err, qt.IsNil)
	}
	_, err := policy.Parse([]byte("Scheduler:\n  Halflife: 3m\n"))
	qt.Check(t, err, qt.ErrorMatches, "(?s)policy: .*unknown field.*")
	_, err = policy.Parse([]byte("Scheduler:\n  OpenShare: 1\n"))
	qt.Check(t, err, qt.ErrorMatches, "policy: OpenShare .*")
}

// Fields that a file omits keep their defaults.
func Example() {
	p, err := policy.Parse([]byte("Scheduler:\n  TurnGap: 20s\n"))
	fmt.Println(p.Scheduler.TurnGap, p.Scheduler.MaxLoads, err)
	// Output: 20s 8 <nil>
}
