package voter_test

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/zeebo/errs"

	"lycheevale/internal/base/virtualtime"
	"lycheevale/internal/state/record"
	"lycheevale/internal/state/voter"
)

// failSegments returns a fault that fails one operation on segment files; half of a failed write reaches the file.
func failSegments(op string, err error) func(op, file string) error {
	return func(o, file string) error {
		if o == op && strings.HasSuffix(file, ".segment") {
			return err
		}
		return nil
	}
}

var diskFaults = map[string]func(op, file string) error{
	"failed write":  failSegments("write", syscall.EIO),
	"full disk":     failSegments("write", syscall.ENOSPC),
	"failed sync":   failSegments("sync", syscall.EIO),
	"failed create": failSegments("create", syscall.ENOSPC),
}

// followers returns the names of the voters that are not the leader.
func (c *cluster) followers() []string {
	leader := c.leader()
	return slices.DeleteFunc(slices.Clone(c.names), func(name string) bool { return name == leader })
}

// stoppedByDisk reports whether a voter has stopped with an error of its disk.
func (c *cluster) stoppedByDisk(name string) bool {
	return errs.Is(c.node(name).voter.Status().Err, record.ErrFailed)
}

// recoverVoters clears all faults, restarts the stopped voters and checks that all agree on a change.
func (c *cluster) recoverVoters(t *testing.T, id int) {
	for _, name := range c.names {
		c.setFault(name, nil)
		if c.node(name).voter.Status().Err != nil {
			c.kill(name)
			c.start(name)
		}
	}
	time.Sleep(10 * time.Second)
	revision := c.change("a", id).Revision
	time.Sleep(time.Second)
	for _, name := range c.names {
		qt.Assert(t, c.node(name).registry.Revision(), qt.Equals, revision, qt.Commentf("voter %s", name))
	}
}

// Guards against a leader that accepts a change or keeps running after its disk has failed, and against a delayed change
// at the remaining voters.
func TestLeaderDiskFailure(t *testing.T) {
	for name, fault := range diskFaults {
		t.Run(name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				c := newCluster(t, 30*time.Millisecond)
				defer c.stopAll()
				c.allowErrors = true
				leader := c.leader()
				c.setFault(leader, fault)
				id := 0
				for ; !c.stoppedByDisk(leader) && id < 100; id++ {
					ctx, cancel := context.WithTimeout(context.Background(), time.Second)
					params, _ := json.Marshal(map[string][]byte{"Data": modelCommand(id)})
					answer, _ := c.node(leader).mux.Serve(ctx, "client", voter.ProposeMethod("Config"), params)
					cancel()
					encoded, _ := json.Marshal(answer)
					// With a failed create, changes succeed until the last segment is full.
					if name != "failed create" || c.stoppedByDisk(leader) {
						qt.Assert(t, string(encoded), qt.Not(qt.Contains), `"Done"`)
					}
				}
				qt.Assert(t, c.stoppedByDisk(leader), qt.IsTrue)
				start := time.Now()
				c.change(c.names[(slices.Index(c.names, leader)+1)%3], id)
				qt.Assert(t, time.Since(start) < changeTarget, qt.IsTrue)
				c.recoverVoters(t, id+1)
			})
		})
	}
}

// Guards against followers that acknowledge entries that their disks did not store, which the leader would then commit.
func TestFollowerDiskFailure(t *testing.T) {
	for _, name := range []string{"failed write", "full disk", "failed sync"} {
		t.Run(name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				c := newCluster(t, 30*time.Millisecond)
				defer c.stopAll()
				c.allowErrors = true
				leader, followers := c.leader(), c.followers()
				before := c.node(leader).voter.Status().Commit
				for _, f := range followers {
					c.setFault(f, diskFaults[name])
				}
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				defer cancel()
				_, err := c.node(leader).voter.Propose(ctx, modelCommand(0))
				qt.Assert(t, err, qt.ErrorIs, voter.ErrOutcomeUnknown)
				qt.Assert(t, c.node(leader).voter.Status().Commit, qt.Equals, before)
				for _, f := range followers {
					qt.Assert(t, c.stoppedByDisk(f), qt.IsTrue)
				}
				c.recoverVoters(t, 1)
			})
		})
	}
}

// Guards against an election or a delayed change when the disk of one follower takes 3 s for each sync.
func TestSlowSyncOfFollower(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		c := newCluster(t, 30*time.Millisecond)
		defer c.stopAll()
		leader := c.leader()
		term := c.node(leader).voter.Status().Term
		c.setFault(c.followers()[0], func(op, _ string) error {
			if op == "sync" {
				time.Sleep(3 * time.Second)
			}
			return nil
		})
		for id := range 20 {
			start := time.Now()
			c.change(leader, id)
			qt.Assert(t, time.Since(start) < changeTarget, qt.IsTrue)
			time.Sleep(200 * time.Millisecond)
		}
		c.recoverVoters(t, 20)
		qt.Assert(t, c.node(c.leader()).voter.Status().Term, qt.Equals, term)
	})
}

// segment returns the oldest or the newest segment file of a voter's log.
func (c *cluster) segment(t *testing.T, name string, newest bool) string {
	names, err := filepath.Glob(filepath.Join(c.dir, name, "Config", "*.segment"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(names) > 0, qt.IsTrue)
	if newest {
		return names[len(names)-1]
	}
	return names[0]
}

// Guards against a voter that does not repair a torn tail, that opens a log with damage in the middle, or that cannot
// rejoin after its data directory was moved away as described for operators in docs/state.md.
func TestDamagedLog(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		c := newCluster(t, 30*time.Millisecond)
		defer c.stopAll()
		id := 0
		for ; id < 35; id++ {
			c.change("a", id)
		}
		damaged := c.followers()[0]
		c.kill(damaged)
		tail := c.segment(t, damaged, true)
		b, err := os.ReadFile(tail)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, os.WriteFile(tail, b[:len(b)-10], 0o600), qt.IsNil)
		c.start(damaged)
		time.Sleep(time.Second)
		qt.Assert(t, c.node(damaged).voter.Status().TruncatedTails, qt.HasLen, 1)
		c.recoverVoters(t, id)

		c.kill(damaged)
		c.allowErrors = true
		middle := c.segment(t, damaged, false)
		b, err = os.ReadFile(middle)
		qt.Assert(t, err, qt.IsNil)
		b[len(b)/2] ^= 1
		qt.Assert(t, os.WriteFile(middle, b, 0o600), qt.IsNil)
		c.start(damaged)
		time.Sleep(time.Second)
		var corruption *record.CorruptionError
		qt.Assert(t, c.node(damaged).voter.Status().Err, qt.ErrorAs, &corruption)
		qt.Assert(t, corruption.File, qt.Equals, filepath.Base(middle))
		c.change(c.leader(), id+1)
		qt.Assert(t, os.Rename(filepath.Join(c.dir, damaged), filepath.Join(c.dir, "moved")), qt.IsNil)
		c.recoverVoters(t, id+2)
		qt.Assert(t, c.voters(), qt.HasLen, 3)
	})
}

// The disks of all voters are full for some seconds, one after the other, while changes arrive and each voter is started again and again. Guards against a
// voter that stays out once its disk has room: the last full disk would then leave no majority.
func TestDisksFullInTurn(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		c := newCluster(t, 30*time.Millisecond)
		defer c.stopAll()
		c.allowErrors = true
		id := 0
		for _, full := range append(slices.Clone(c.names), c.names...) {
			c.setFault(full, diskFaults["full disk"])
			other := c.names[(slices.Index(c.names, full)+1)%len(c.names)]
			for until := time.Now().Add(4 * time.Second); time.Now().Before(until); id++ {
				c.change(other, id)
				time.Sleep(500 * time.Millisecond)
				if c.stoppedByDisk(full) {
					c.kill(full)
					c.start(full)
				}
			}
			c.setFault(full, nil)
			if c.node(full).voter.Status().Err != nil {
				c.kill(full)
				c.start(full)
			}
			time.Sleep(2 * time.Second)
		}
		c.recoverVoters(t, id)
	})
}
