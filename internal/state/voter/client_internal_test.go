package voter

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
)

// An instance was replaced as a voter while it was suspended, and its own voter knows no leader. Guards against asking all instances in turn in place
// of the leader that the first one names.
func TestRedirectIsFollowedWithoutOwnLeader(t *testing.T) {
	var asked []string
	call := func(_ context.Context, to, _ string, _, result any) error {
		asked = append(asked, to)
		answer := result.(*proposalResult)
		if *answer = (proposalResult{Outcome: outcomeNotLeader, Leader: "f"}); to == "f" {
			*answer = proposalResult{Outcome: outcomeDone}
		}
		return nil
	}
	c := NewClient(call, "Config", func() []string { return []string{"a", "b", "c", "d", "e", "f"} })
	for range 2 {
		_, err := c.Propose(context.Background(), []byte("x"))
		qt.Assert(t, err, qt.IsNil)
	}
	qt.Check(t, asked, qt.DeepEquals, []string{"a", "f", "f"})
}
