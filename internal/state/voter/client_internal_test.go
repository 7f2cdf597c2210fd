package voter

import (
	"context"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheevale/internal/base/virtualtime"
	"lycheevale/internal/wire/peer"
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

// The link to the leader breaks and is dialled again, while this instance goes on hearing the leader. Guards against avoiding the leader for longer
// than the caller waits, and against sending the change to instances that do not lead.
func TestBrokenLinkDoesNotAvoidFollowedLeader(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		var asked []string
		dialled := time.Now().Add(100 * time.Millisecond)
		call := func(_ context.Context, to, _ string, _, result any) error {
			asked = append(asked, to)
			if to == "c" && time.Now().Before(dialled) {
				return &peer.UnreachableError{Instance: to}
			}
			answer := result.(*proposalResult)
			if *answer = (proposalResult{Outcome: outcomeNotLeader, Leader: "c"}); to == "c" {
				*answer = proposalResult{Outcome: outcomeDone}
			}
			return nil
		}
		c := NewClient(call, "Config", func() []string { return []string{"a", "b", "c"} })
		c.followed = func() string { return "c" }
		ctx, cancel := context.WithTimeout(context.Background(), 900*time.Millisecond)
		defer cancel()
		_, err := c.Propose(ctx, []byte("x"))
		qt.Check(t, err, qt.IsNil)
		slices.Sort(asked)
		qt.Check(t, slices.Compact(asked), qt.DeepEquals, []string{"c"})
	})
}

// The followed leader has just been replaced, and states that. Guards against asking it again and again in place of the leader that it names.
func TestRedirectGoesBeforeFollowedLeader(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		var asked []string
		call := func(_ context.Context, to, _ string, _, result any) error {
			asked = append(asked, to)
			answer := result.(*proposalResult)
			if *answer = (proposalResult{Outcome: outcomeNotLeader, Leader: "b"}); to == "b" {
				*answer = proposalResult{Outcome: outcomeDone}
			}
			return nil
		}
		c := NewClient(call, "Config", func() []string { return []string{"a", "b", "c"} })
		c.followed = func() string { return "c" }
		ctx, cancel := context.WithTimeout(context.Background(), 900*time.Millisecond)
		defer cancel()
		_, err := c.Propose(ctx, []byte("x"))
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, asked, qt.DeepEquals, []string{"c", "b"})
	})
}
