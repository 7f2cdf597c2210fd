package control

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"lycheevale/internal/base/virtualtime"
	"lycheevale/internal/fake/network"
)

// One of three control instances is lost at the first start of a deployment, before the log exists. Guards against a deployment that never starts: the others
// wait for it, it comes back without its disk and may not create the log, or it never comes back and another one takes its place.
func TestInstanceLostAtFirstStart(t *testing.T) {
	for lost := range 3 {
		for name, ranFor := range map[string]time.Duration{"never started": 0, "started": 10 * time.Millisecond, "started, and reached the others": 200 * time.Millisecond} {
			for returns, number := range map[string]int{"at its address": lost, "at another address": 5} {
				t.Run(fmt.Sprint(lost, " ", name, ", ", returns), func(t *testing.T) {
					folder := t.TempDir()
					virtualtime.Test(t, func(t *testing.T) {
						s := &site{C: quicktest.New(t), network: network.New(), seeds: 3}
						s.network.Latency = func(netip.Addr, netip.Addr) time.Duration { return 30 * time.Millisecond }
						s.checkLostAtFirstStart(t, folder, lost, number, ranFor)
					})
				})
			}
		}
	}
}

func (s *site) checkLostAtFirstStart(t *testing.T, folder string, lost, replacement int, ranFor time.Duration) {
	ctx, cancel := context.WithCancel(t.Context())
	lostCtx, lose := context.WithCancel(ctx)
	var group, lostGroup errgroup.Group
	defer func() {
		cancel()
		s.Check(group.Wait(), quicktest.IsNil)
		s.network.Close()
	}()
	path := func(n int) string { return filepath.Join(folder, fmt.Sprint(n)) }
	for n := range s.seeds {
		c := s.newInstance(n, path(n))
		if n != lost {
			s.instances = append(s.instances, c)
			group.Go(func() error { return c.Run(ctx) })
		} else if ranFor > 0 {
			lostGroup.Go(func() error { return c.Run(lostCtx) })
		}
	}
	time.Sleep(ranFor)
	lose()
	s.Check(lostGroup.Wait(), quicktest.IsNil)
	s.Assert(os.RemoveAll(path(lost)), quicktest.IsNil)

	time.Sleep(4 * time.Second)
	s.Assert(s.leader(), quicktest.IsNotNil, quicktest.Commentf("no leader without the lost instance"))
	s.checkChange(1)

	c := s.newInstance(replacement, path(replacement)+"-new")
	c.options.Settings.Bootstrap = false
	s.instances = append(s.instances, c)
	group.Go(func() error { return c.Run(ctx) })
	time.Sleep(8 * time.Second)
	s.Assert(s.leader(), quicktest.IsNotNil)
	s.Check(s.votes(c), quicktest.IsTrue, quicktest.Commentf("the instance that returned does not vote"))
	s.checkChange(2)

	other := s.instances[0]
	s.cut(other, true)
	time.Sleep(4 * time.Second)
	s.instances = s.instances[1:]
	s.checkChange(3)
}

// checkChange checks that each instance acknowledges a change and reads it.
func (s *site) checkChange(version uint64) {
	s.Helper()
	for _, c := range s.instances {
		s.Check(c.Replace(context.Background(), version, fmt.Appendf(nil, `{"version":%d}`, version)), quicktest.IsNil)
		content, err := c.Read(context.Background())
		s.Check(err, quicktest.IsNil)
		s.Check(string(content), quicktest.Equals, fmt.Sprintf(`{"version":%d}`, version))
	}
}
