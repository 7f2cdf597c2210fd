package control

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"lycheevale/internal/base/deployment"
	"lycheevale/internal/base/virtualtime"
	"lycheevale/internal/fake/network"
	"lycheevale/internal/member/report"
	"lycheevale/internal/member/roster"
	"lycheevale/internal/state/consensus"
	"lycheevale/internal/state/document"
	"lycheevale/internal/state/voter"
	"lycheevale/internal/wire/peer"
)

// site holds control instances that run in virtual time over an in-memory network with a one-way delay of 30 ms.
type site struct {
	*quicktest.C
	network   *network.Network
	instances []*Control
	seeds     int // instances that create the log
	start     func(c *Control)
}

const siteVoters = 5

func siteAddress(n int) netip.Addr { return netip.AddrFrom4([4]byte{127, 90, 0, byte(n + 1)}) }

// runSite starts the instances, the first five of which create the log, and runs f once a leader is known.
func runSite(t *testing.T, instances int, f func(s *site)) {
	t.Helper()
	folder := t.TempDir()
	virtualtime.Test(t, func(t *testing.T) {
		s := &site{C: quicktest.New(t), network: network.New(), seeds: siteVoters}
		s.network.Latency = func(netip.Addr, netip.Addr) time.Duration { return 30 * time.Millisecond }
		ctx, cancel := context.WithCancel(t.Context())
		group := errgroup.Group{}
		s.start = func(c *Control) { group.Go(func() error { return c.Run(ctx) }) }
		for n := range instances {
			c := s.newInstance(n, filepath.Join(folder, fmt.Sprint(n)))
			s.instances = append(s.instances, c)
			s.start(c)
		}
		time.Sleep(6 * time.Second)
		s.Assert(s.leader(), quicktest.IsNotNil)
		f(s)
		cancel()
		s.Check(group.Wait(), quicktest.IsNil)
		s.network.Close()
	})
}

func (s *site) newInstance(n int, folder string) *Control {
	address := siteAddress(n)
	settings := deployment.Settings{
		Name: address.String(), Address: address, Losses: s.seeds / 2, Heartbeat: 1200, Fencing: true, DataFolder: folder, Bootstrap: n < s.seeds,
	}
	settings.Listen.Peers = netip.AddrPortFrom(address, 7600)
	settings.Listen.Control = netip.AddrPortFrom(address, 8229)
	for seed := range s.seeds {
		settings.Seeds = append(settings.Seeds, netip.AddrPortFrom(siteAddress(seed), 8229))
	}
	dial := s.network.Dialer(address)
	return New(WithSettings(settings), WithLogger(slog.New(slog.DiscardHandler)), WithNow(time.Now), WithPeer(
		peer.WithListenTCP(s.network.Listen),
		peer.WithDial(func(ctx context.Context, to netip.AddrPort) (net.Conn, error) { return dial(ctx, "tcp", to.String()) }),
	))
}

// leader returns the instance that leads with contact to a majority, or nil.
func (s *site) leader() *Control {
	for _, c := range s.instances {
		c.mu.Lock()
		leads := c.state != nil && c.actingTerm() != 0
		c.mu.Unlock()
		if leads {
			return c
		}
	}
	return nil
}

func status(c *Control) voter.Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.voter.Status()
}

// votes reports whether an instance votes, according to the leader.
func (s *site) votes(c *Control) bool {
	for _, m := range status(s.leader()).Config.Members {
		if m.Name == c.name {
			return !m.Learner
		}
	}
	return false
}

// cut drops all messages to and from an instance, or ends that.
func (s *site) cut(c *Control, cut bool) {
	for _, other := range s.instances {
		switch {
		case other == c:
		case cut:
			s.network.Cut(c.options.Settings.Address, other.options.Settings.Address)
		default:
			s.network.Heal(c.options.Settings.Address, other.options.Settings.Address)
		}
	}
}

// checkServes checks that an instance forwards announcements, reads and changes, and names the leader to entries.
func (s *site) checkServes(c *Control, version uint64) {
	s.Helper()
	ctx := context.Background()
	endpoint := knownEndpoints("x")[0].Endpoint
	_, err := c.Announce(ctx, roster.Announcement{
		ID: endpoint.ID, Service: endpoint.Service, Address: endpoint.Address, Slots: 4, Born: 5, Sequence: version,
	})
	s.Check(err, quicktest.IsNil, quicktest.Commentf("announcement"))
	s.Check(c.Replace(ctx, version, fmt.Appendf(nil, `{"version":%d}`, version)), quicktest.IsNil, quicktest.Commentf("configuration"))
	content, err := c.Read(ctx)
	s.Check(err, quicktest.IsNil, quicktest.Commentf("read"))
	s.Check(string(content), quicktest.Equals, fmt.Sprintf(`{"version":%d}`, version))
	update, err := c.handleSync(ctx, "", report.Entry{Name: "entry"})
	s.Check(err, quicktest.IsNil)
	s.Check(update.Leader, quicktest.Equals, s.leader().name, quicktest.Commentf("report of an entry"))
}

// Guards against an instance outside the log, here the sixth of six with five voters, that never knows the leader and refuses announcements,
// reads and reports.
func TestInstanceOutsideLogKnowsLeader(t *testing.T) {
	runSite(t, 6, func(s *site) {
		outside := s.instances[5]
		s.Assert(s.votes(outside), quicktest.IsFalse)
		s.checkServes(outside, 1)
	})
}

// The disk of an instance fails, and its voter stops. Guards against refusing announcements, reads and changes until the disk works again.
func TestInstanceWithoutDiskKnowsLeader(t *testing.T) {
	file := filepath.Join(t.TempDir(), "file")
	quicktest.Assert(t, os.WriteFile(file, nil, 0o600), quicktest.IsNil)
	runSite(t, 5, func(s *site) {
		failed := s.newInstance(5, filepath.Join(file, "folder"))
		s.start(failed)
		time.Sleep(2 * time.Second)
		s.Assert(status(failed).Err, quicktest.IsNotNil)
		s.checkServes(failed, 1)
	})
}

// A voter is replaced while it does not answer. Guards against one that counts itself as a voter from then on: it campaigned without end, knew
// no leader and refused announcements, reads and reports, and could not vote again.
func TestReplacedVoterKnowsLeader(t *testing.T) {
	for _, led := range []bool{false, true} {
		t.Run(fmt.Sprint("led=", led), func(t *testing.T) {
			runSite(t, 6, func(s *site) {
				replaced := s.leader()
				for _, c := range s.instances {
					if !led && c != s.leader() && s.votes(c) {
						replaced = c
						break
					}
				}
				s.cut(replaced, true)
				time.Sleep(8 * time.Second)
				s.cut(replaced, false)
				s.Assert(s.leader(), quicktest.Not(quicktest.Equals), replaced)
				s.Assert(s.votes(replaced), quicktest.IsFalse)
				time.Sleep(2 * time.Second)
				s.checkServes(replaced, 1)
				s.Check(status(replaced).Role, quicktest.Equals, consensus.Follower)

				// The instance takes the place of the next one that is lost.
				lost := s.leader()
				s.cut(lost, true)
				time.Sleep(8 * time.Second)
				s.Check(s.votes(replaced), quicktest.IsTrue)
				s.Check(replaced.Replace(context.Background(), 2, []byte(`{"version":2}`)), quicktest.IsNil)
				time.Sleep(time.Second)
				s.Check(replaced.machine.Stored().Version, quicktest.Equals, uint64(2))
				s.cut(lost, false)
			})
		})
	}
}

// Guards against instances that go on naming a silent leader to entries and calling it because others have heard its last messages, too.
func TestSilentLeaderIsNotNamed(t *testing.T) {
	runSite(t, 6, func(s *site) {
		lost := s.leader()
		s.cut(lost, true)
		time.Sleep(leaderTimeout + heartbeatInterval)
		for n, c := range s.instances[:siteVoters] {
			if c != lost {
				s.Check(c.knownLeader(), quicktest.Not(quicktest.Equals), lost.name, quicktest.Commentf("voter %d", n))
			}
		}
		time.Sleep(2 * heartbeatInterval)
		s.Check(s.instances[5].knownLeader(), quicktest.Not(quicktest.Equals), lost.name, quicktest.Commentf("outside the log"))
		s.cut(lost, false)
	})
}

// A voter and the leader cannot reach each other. Guards against telling entries, which may reach both, that no leader is known.
func TestLeaderOfOthersIsNamed(t *testing.T) {
	runSite(t, 5, func(s *site) {
		leader, apart := s.instances[0], s.instances[1]
		if s.leader() != leader {
			leader, apart = s.leader(), leader
		}
		s.network.Cut(leader.options.Settings.Address, apart.options.Settings.Address)
		time.Sleep(3 * time.Second)
		s.Assert(s.leader(), quicktest.Equals, leader)
		for range 20 {
			s.Check(apart.knownLeader(), quicktest.Equals, leader.name)
			time.Sleep(90 * time.Millisecond)
		}
		s.cut(apart, false)
	})
}

// Guards against naming a leader of whom nothing new is reported, and against taking it from others that this instance leads.
func TestReportedLeaderExpires(t *testing.T) {
	c := quicktest.New(t)
	now := time.Unix(1_800_000_000, 0)
	control := New(WithSettings(deployment.Settings{}), WithNow(func() time.Time { return now }))
	control.recordGossip("b", gossip{Leader: "a", Term: 3, AgeMillis: 100})
	c.Check(control.knownLeader(), quicktest.Equals, "a")
	now = now.Add(reportTimeout)
	c.Check(control.knownLeader(), quicktest.Equals, "")
	control.recordGossip("c", gossip{Leader: control.name, Term: 4})
	c.Check(control.knownLeader(), quicktest.Equals, "")
}

// The leader falls silent, and operators send changes shortly before another one is elected. Guards against instances, of which the first five vote, that
// wait for the silent leader as long as the operator waits, or send it their first change after it was replaced.
func TestChangesLeaveSilentLeader(t *testing.T) {
	for _, after := range []time.Duration{600 * time.Millisecond, 1200 * time.Millisecond, 2500 * time.Millisecond} {
		t.Run(fmt.Sprint("after=", after), func(t *testing.T) {
			runSite(t, 6, func(s *site) {
				for n, c := range s.instances {
					s.Assert(c.Replace(context.Background(), uint64(n+1), []byte(`{}`)), quicktest.IsNil)
				}
				lost := s.leader()
				s.cut(lost, true)
				time.Sleep(after)
				group := errgroup.Group{}
				for n, c := range s.instances {
					if c == lost {
						continue
					}
					group.Go(func() error {
						err := c.Replace(context.Background(), uint64(n+11), []byte(`{}`))
						s.Check(err, quicktest.IsNil, quicktest.Commentf("instance %d", n))
						return nil
					})
				}
				_ = group.Wait()
				s.cut(lost, false)
			})
		})
	}
}

// The acknowledgement of a change is lost, and its sender repeats it at each instance in turn while there is no leader. Guards against refusing
// changes that are stored already.
func TestStoredChangeNeedsNoLeader(t *testing.T) {
	runSite(t, 5, func(s *site) {
		ctx := context.Background()
		version := document.AdapterVersion{Model: "m", Adapter: "a", Version: 2}
		s.Assert(s.instances[0].Replace(ctx, 5, []byte(`{}`)), quicktest.IsNil)
		s.Assert(s.instances[0].SetAdapter(ctx, version), quicktest.IsNil)
		time.Sleep(time.Second)
		for _, c := range s.instances {
			s.cut(c, true)
		}
		time.Sleep(3 * time.Second)
		s.Assert(s.leader(), quicktest.IsNil)
		for _, c := range s.instances {
			s.Check(c.Replace(ctx, 5, []byte(`{}`)), quicktest.IsNil)
			s.Check(c.SetAdapter(ctx, version), quicktest.IsNil)
			s.Check(c.Replace(ctx, 6, []byte(`{}`)), quicktest.IsNotNil)
			version.Version = 3
			s.Check(c.SetAdapter(ctx, version), quicktest.IsNotNil)
			version.Version = 2
		}
	})
}
