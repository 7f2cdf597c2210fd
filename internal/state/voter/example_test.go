package voter_test

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/zeebo/errs"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"lycheevale/internal/state/voter"
)

func ExampleVoter_Propose() {
	dir, _ := os.MkdirTemp("", "voter")
	defer os.RemoveAll(dir)
	total := 0
	v := voter.New(voter.WithGroup("Count"), voter.WithName("only"), voter.WithDir(dir), voter.WithLogger(nil),
		voter.WithMachine(voter.StateMachine{
			Apply: func(data []byte) []byte {
				total += len(data)
				return fmt.Append(nil, total)
			},
			View: func() func() ([]byte, error) {
				data := fmt.Append(nil, total)
				return func() ([]byte, error) { return data, nil }
			},
			Restore: func(data []byte) error { _, err := fmt.Sscan(string(data), &total); return err },
		}))
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return v.Run(ctx) })
	result, err := v.Propose(ctx, []byte("five!"))
	fmt.Println(string(result), err)
	cancel()
	_ = group.Wait()
	// Output: 5 <nil>
}

// Guards against an unknown outcome that a caller can mistake for a proposal that was never made.
func TestUnknownOutcomeIsNotNoLeader(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	lost := false
	call := func(_ context.Context, _, _ string, _, _ any) error {
		if lost {
			return voter.ErrNoLeader
		}
		lost = true
		return errs.New("connection lost after the request")
	}
	c := voter.NewClient(call, "Config", func() []string { return []string{"a"} })
	_, err := c.Propose(ctx, nil)
	qt.Assert(t, err, qt.ErrorIs, voter.ErrOutcomeUnknown)
	qt.Assert(t, errs.Is(err, voter.ErrNoLeader), qt.IsFalse)
}
