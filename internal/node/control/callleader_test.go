package control

import (
	"context"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"lycheevale/internal/member/report"
)

// The leader falls silent, and another one is elected while calls to it wait. Guards against an announcement or a read that goes on waiting for the silent one,
// and is refused although this instance knows the new leader.
func TestCallLeavesSilentLeader(t *testing.T) {
	// A call that begins once the new leader is known shows when that one answers. Others may just have been refused by it, and take two round trips to be answered.
	const bound = leaderRetry + 2*2*30*time.Millisecond
	runSite(t, 5, func(s *site) {
		lost := s.leader()
		caller := s.instances[0]
		if caller == lost {
			caller = s.instances[1]
		}
		s.Assert(caller.Replace(context.Background(), 1, []byte(`{"version":1}`)), quicktest.IsNil)
		s.cut(lost, true)
		var learned time.Time
		var calls errgroup.Group
		ended := map[time.Duration]time.Time{}
		for wait := time.Duration(0); learned.IsZero(); wait += 10 * time.Millisecond {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			calls.Go(func() error {
				defer cancel()
				var answer readReply
				err := caller.callLeader(ctx, report.ReadMethod, empty{}, &answer, func() bool { return answer.Leading })
				caller.mu.Lock()
				defer caller.mu.Unlock()
				ended[wait] = time.Now()
				return err
			})
			time.Sleep(10 * time.Millisecond)
			if name := caller.knownLeader(); name != "" && name != lost.name {
				learned = time.Now()
			}
		}
		var answer readReply
		s.Check(caller.callLeader(context.Background(), report.ReadMethod, empty{}, &answer, func() bool { return answer.Leading }), quicktest.IsNil)
		answered := time.Now()
		s.Check(calls.Wait(), quicktest.IsNil)
		s.Check(len(ended) > 30, quicktest.IsTrue, quicktest.Commentf("%d calls", len(ended)))
		for wait, at := range ended {
			s.Check(at.Sub(answered) <= bound, quicktest.IsTrue, quicktest.Commentf("call %v after the cut ended %v after one that began with the new leader known", wait, at.Sub(answered)))
		}
		s.cut(lost, false)
	})
}
