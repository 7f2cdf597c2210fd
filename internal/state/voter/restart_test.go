package voter_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheevale/internal/state/consensus"
	"lycheevale/internal/state/record"
	"lycheevale/internal/state/registry"
	"lycheevale/internal/state/voter"
)

// memoryTarget is the control overhead of a node (design 1.7).
const memoryTarget = 256 << 20

// snapshotEvery is the default distance of snapshots, which bounds the entries that a restart applies.
const snapshotEvery = 10_000

type alone struct {
	dir      string
	store    *record.Store
	replica  *voter.Replica
	registry *registry.Registry
	applied  int
	now      time.Time
}

func (a *alone) open(t testing.TB) {
	disk := record.OSDisk()
	disk.SyncDir = func(string) error { return nil }
	unsynced := func(open func(string) (record.File, error)) func(string) (record.File, error) {
		return func(name string) (record.File, error) {
			f, err := open(name)
			f.Sync = func() error { return nil }
			return f, err
		}
	}
	disk.Create, disk.Append = unsynced(disk.Create), unsynced(disk.Append)
	var err error
	a.store, err = record.Open(a.dir, record.WithDisk(disk))
	qt.Assert(t, err, qt.IsNil)
	a.registry, a.applied = registry.New(), 0
	apply := func(data []byte) []byte {
		a.applied++
		return a.registry.ApplyEntry(data)
	}
	a.replica, err = voter.OpenReplica(a.now, a.store,
		voter.StateMachine{Apply: apply, View: a.registry.View, Restore: a.registry.Restore},
		voter.ReplicaOptions{
			SnapshotEvery: snapshotEvery, KeepEntries: 1000, SyncFirst: true, NewIdentity: func() string { return "only" },
		})
	qt.Assert(t, err, qt.IsNil)
	if a.replica.Status().Last == 0 {
		config := consensus.Config{Members: []consensus.Member{{ID: "only", Name: "only"}}}
		qt.Assert(t, a.replica.Bootstrap(a.now, config), qt.IsNil)
	}
	a.now = a.now.Add(10 * time.Second)
	a.replica.Tick(a.now)
	_, err = a.replica.Flush()
	qt.Assert(t, err, qt.IsNil)
}

// change proposes n changes in batches of 100, as group commit does under load.
func (a *alone) change(t testing.TB, n int) {
	var batch [][]byte
	for i := range n {
		data, _ := json.Marshal(registry.Command{RequestID: fmt.Sprint("request-", i), At: a.now, Changes: []registry.Object{
			{Kind: registry.KindModel, Name: fmt.Sprint("m", i%5000), Model: &registry.Model{}},
		}})
		if batch = append(batch, data); len(batch) == 100 {
			_, err := a.replica.Propose(a.now, batch...)
			qt.Assert(t, err, qt.IsNil)
			effects, err := a.replica.Flush()
			qt.Assert(t, err, qt.IsNil)
			if job := effects.Snapshot; job != nil {
				a.replica.FinishSnapshot(job, job.Write())
			}
			batch = nil
		}
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// restart makes n changes, restarts and checks that work and memory stay bounded.
func restart(t testing.TB, n int) (took time.Duration, applied int, used uint64) {
	before := heap()
	a := &alone{dir: t.TempDir(), now: time.Unix(1_800_000_000, 0)}
	a.open(t)
	a.change(t, n)
	revision := a.registry.Revision()
	qt.Assert(t, a.store.Close(), qt.IsNil)
	start := time.Now()
	a.open(t)
	took = time.Since(start)
	used = heap() - before
	qt.Assert(t, a.registry.Revision(), qt.Equals, revision)
	qt.Assert(t, a.applied <= snapshotEvery, qt.IsTrue)
	qt.Assert(t, used < memoryTarget, qt.IsTrue)
	return took, a.applied, used
}

// Guards against a restart that loses changes, or whose work or memory grows with all changes ever made.
func TestRestartAfterManyChanges(t *testing.T) {
	for _, n := range []int{1_000, 25_000} {
		restart(t, n)
	}
}

// BenchmarkRestart reports the time to open the log, the entries applied by it and the heap in use.
func BenchmarkRestart(b *testing.B) {
	for _, n := range []int{1_000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				took, applied, used := restart(b, n)
				b.ReportMetric(float64(took.Milliseconds()), "restart-ms")
				b.ReportMetric(float64(applied), "entries")
				b.ReportMetric(float64(used>>10), "heap-KiB")
			}
		})
	}
}
