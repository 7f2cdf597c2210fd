package voter_test

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/zeebo/errs"

	"lycheevale/internal/state/consensus"
	"lycheevale/internal/state/record"
	"lycheevale/internal/state/voter"
)

var errCrash = errs.New("crash")

// faultyDisk calls before ahead of each operation that modifies the disk. An error from before replaces the operation;
// half of a failed write reaches the file. Real syncs are omitted, because their duration is not virtual time.
func faultyDisk(before func(op, name string) error) record.Disk {
	disk := record.OSDisk()
	file := func(open func(string) (record.File, error), op string) func(string) (record.File, error) {
		return func(name string) (record.File, error) {
			if err := before(op, name); err != nil {
				return record.File{}, err
			}
			f, err := open(name)
			write := f.Write
			f.Write = func(p []byte) (int, error) {
				if err := before("write", name); err != nil {
					n, _ := write(p[:len(p)/2])
					return n, err
				}
				return write(p)
			}
			f.Sync = func() error { return before("sync", name) }
			return f, err
		}
	}
	disk.Create, disk.Append = file(disk.Create, "create"), file(disk.Append, "append")
	rename, remove := disk.Rename, disk.Remove
	disk.Rename = func(from, to string) error {
		if err := before("rename", to); err != nil {
			return err
		}
		return rename(from, to)
	}
	disk.Remove = func(name string) error {
		if err := before("remove", name); err != nil {
			return err
		}
		return remove(name)
	}
	disk.SyncDir = func(dir string) error { return before("syncdir", dir) }
	return disk
}

// listMachine is a state machine that records its entries.
type listMachine struct{ entries []string }

func (l *listMachine) machine() voter.StateMachine {
	return voter.StateMachine{
		Apply: func(data []byte) []byte {
			l.entries = append(l.entries, string(data))
			return data
		},
		View: func() func() ([]byte, error) {
			entries := slices.Clone(l.entries)
			return func() ([]byte, error) { return json.Marshal(entries) }
		},
		Restore: func(data []byte) error { return json.Unmarshal(data, &l.entries) },
	}
}

const (
	crashEntries  = 24
	crashEvery    = 8 // entries between two snapshots
	crashSegments = 200
)

var crashTime = time.Unix(1_800_000_000, 0)

// openSingle opens the single voter of a log as its leader.
func openSingle(dir string, disk record.Disk, l *listMachine) (r *voter.Replica, store *record.Store, err error) {
	store, err = record.Open(dir, record.WithDisk(disk), record.WithSegmentBytes(crashSegments))
	if err != nil {
		return nil, nil, err
	}
	before := crashTime.Add(-time.Minute)
	r, err = voter.OpenReplica(before, store, l.machine(), voter.ReplicaOptions{
		SnapshotEvery: crashEvery, KeepEntries: 2, SyncFirst: true, NewIdentity: func() string { return "only" },
	})
	if err != nil {
		return nil, store, err
	}
	if r.Status().Last == 0 {
		config := consensus.Config{Members: []consensus.Member{{ID: "only", Name: "only"}}}
		if err := r.Bootstrap(before, config); err != nil {
			return nil, store, err
		}
	}
	r.Tick(crashTime)
	return r, store, nil
}

var errConcurrentSnapshots = errs.New("a snapshot became due while another was in progress")

// proposeAll proposes entries until one fails and returns the number of accepted entries. A snapshot is written hold/2
// entries after it became due and installed hold entries after it became due.
func proposeAll(dir string, disk record.Disk, from, hold int) (l *listMachine, accepted int, err error) {
	l = &listMachine{}
	r, store, err := openSingle(dir, disk, l)
	if store != nil {
		defer func() { _ = store.Close() }()
	}
	if err != nil {
		return l, 0, err
	}
	var job *voter.SnapshotJob
	var written error
	due := 0
	for i := from; ; i++ {
		e, err := r.Flush()
		if err != nil {
			return l, accepted, err
		}
		accepted = i
		if e.Snapshot != nil && job != nil {
			return l, accepted, errConcurrentSnapshots
		}
		if e.Snapshot != nil {
			job, due = e.Snapshot, i
		}
		if job != nil && i == due+hold/2 {
			written = job.Write()
		}
		if job != nil && i == due+hold {
			r.FinishSnapshot(job, written)
			job = nil
		}
		if i == crashEntries {
			return l, accepted, nil
		}
		if _, err := r.Propose(crashTime, fmt.Append(nil, i)); err != nil {
			return l, accepted, err
		}
	}
}

// Guards against a log that loses accepted entries or cannot be opened after a crash before any disk operation: while a
// snapshot is written, before and after it is renamed, and before and between the removals of old segments.
func TestCrashAtEveryDiskOperation(t *testing.T) {
	crashed := map[string]int{}
	// With the longer hold, another snapshot becomes due while one is in progress.
	for _, hold := range []int{4, crashEvery + 3} {
		for at := 0; crashAt(t, at, hold, crashed); at++ {
		}
	}
	t.Log(crashed)
	for _, point := range []string{"write.temporary", "sync.temporary", "rename.snapshot", "remove.snapshot", "remove.segment"} {
		qt.Assert(t, crashed[point] > 0, qt.IsTrue, qt.Commentf(point))
	}
}

// crashAt crashes before the disk operation with the given number; it returns false if there are fewer operations.
func crashAt(t *testing.T, at, hold int, crashed map[string]int) bool {
	dir, n, point := t.TempDir(), 0, ""
	disk := faultyDisk(func(op, name string) error {
		if n++; n <= at {
			return nil
		}
		if point == "" {
			point = op + filepath.Ext(name)
		}
		return errCrash
	})
	_, accepted, err := proposeAll(dir, disk, 0, hold)
	if point == "" {
		qt.Assert(t, err, qt.IsNil)
		return false
	}
	crashed[point]++
	comment := qt.Commentf("crash at %d, %s", at, point)
	l, _, err := proposeAll(dir, faultyDisk(func(string, string) error { return nil }), accepted, hold)
	qt.Assert(t, err, qt.IsNil, comment)
	// The entry proposed at the crash may be stored although it was not accepted, and is then proposed again.
	got := slices.Compact(l.entries)
	qt.Assert(t, got, qt.HasLen, crashEntries, comment)
	for i, e := range got {
		qt.Assert(t, e, qt.Equals, fmt.Sprint(i), comment)
	}
	return true
}

// Guards against a full disk that stops the voter or permanently prevents snapshots.
func TestSnapshotOnFullDisk(t *testing.T) {
	full, writes := true, 0
	disk := faultyDisk(func(op, name string) error {
		if op == "write" && strings.HasSuffix(name, "snapshot.temporary") {
			if writes++; full {
				full = false
				return syscall.ENOSPC
			}
		}
		return nil
	})
	dir := t.TempDir()
	_, accepted, err := proposeAll(dir, disk, 0, 4)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, accepted, qt.Equals, crashEntries)
	qt.Assert(t, writes > 1, qt.IsTrue)
	names, err := disk.ReadDir(dir)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, slices.Contains(names, "snapshot.temporary"), qt.IsFalse) // the disk space is released
}

// Guards against a locally written snapshot that replaces a newer one received from the leader in the meantime.
func TestReceivedSnapshotSupersedesWritten(t *testing.T) {
	l := &listMachine{}
	r, store, err := openSingle(t.TempDir(), faultyDisk(func(string, string) error { return nil }), l)
	qt.Assert(t, err, qt.IsNil)
	for range crashEvery {
		_, err = r.Propose(crashTime, []byte("own"))
		qt.Assert(t, err, qt.IsNil)
	}
	e, err := r.Flush()
	qt.Assert(t, err, qt.IsNil)
	written := e.Snapshot.Write()
	r.Step(crashTime, consensus.Message{
		Kind: consensus.InstallSnapshot, From: "other", To: "only", Term: 9,
		Snapshot: &consensus.Snapshot{Index: 100, Term: 8, Data: []byte(`["received"]`)},
	})
	_, err = r.Flush()
	qt.Assert(t, err, qt.IsNil)
	r.FinishSnapshot(e.Snapshot, written)
	_, err = r.Flush()
	qt.Assert(t, err, qt.IsNil)
	snapshot, _, err := store.LoadSnapshot()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, snapshot.Index, qt.Equals, uint64(100))
	qt.Assert(t, l.entries, qt.DeepEquals, []string{"received"})
	qt.Assert(t, store.Close(), qt.IsNil)
}
