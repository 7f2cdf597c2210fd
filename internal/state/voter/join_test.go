package voter_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"lycheevale/internal/base/virtualtime"
	"lycheevale/internal/state/voter"
)

// A voter without a log asks the others to let it join, and one of them never answers. Guards against asking the rest only after that call has used up the time
// for all of them, so that the leader is never asked.
func TestSilentPeerDoesNotKeepVoterFromJoining(t *testing.T) {
	folder := t.TempDir()
	virtualtime.Test(t, func(t *testing.T) {
		var asked atomic.Int32
		v := voter.New(
			voter.WithGroup("g"), voter.WithName("c"), voter.WithDir(folder), voter.WithPeers(func() []string { return []string{"a", "b", "c"} }),
			voter.WithMachine(voter.StateMachine{
				Apply: func([]byte) []byte { return nil }, Restore: func([]byte) error { return nil },
				View: func() func() ([]byte, error) { return func() ([]byte, error) { return nil, nil } },
			}),
			voter.WithCaller(func(ctx context.Context, to, _ string, _, _ any) error {
				if to == "a" {
					<-ctx.Done()
				} else if ctx.Err() == nil {
					asked.Add(1)
				}
				return ctx.Err()
			}),
		)
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		group.Go(func() error { return v.Run(ctx) })
		time.Sleep(10 * time.Second)
		cancel()
		quicktest.Check(t, group.Wait(), quicktest.IsNil)
		quicktest.Check(t, asked.Load() > 0, quicktest.IsTrue)
	})
}
