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

// memoryTarget is the limit on a node's memory for control (design 1.7).
const memoryTarget = 256 << 20

// snapshotEvery is the default number of entries between snapshots, which bounds the entries that a restart applies.
const snapshotEvery = 10_000

// singleVoter is a replica with a registry in a group of one, on a disk without syncs.
type singleVoter struct {
	dir      string
	store    *record.Store
	replica  *voter.Replica
	registry *registry.Registry
	applied  int
	now      time.Time
}

// open opens the store and the replica, and advances the time until the only voter leads.
func (v *singleVoter) open(t testing.TB) {
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
	v.store, err = record.Open(v.dir, record.WithDisk(disk))
	qt.Assert(t, err, qt.IsNil)
	v.registry, v.applied = registry.New(), 0
	apply := func(data []byte) []byte {
		v.applied++
		return v.registry.ApplyEntry(data)
	}
	v.replica, err = voter.OpenReplica(v.now, v.store,
		voter.StateMachine{Apply: apply, View: v.registry.View, Restore: v.registry.Restore},
		voter.ReplicaOptions{
			SnapshotEvery: snapshotEvery, KeepEntries: 1000, SyncFirst: true, NewIdentity: func() string { return "only" },
		})
	qt.Assert(t, err, qt.IsNil)
	if v.replica.Status().Last == 0 {
		config := consensus.Config{Members: []consensus.Member{{ID: "only", Name: "only"}}}
		qt.Assert(t, v.replica.Bootstrap(v.now, config), qt.IsNil)
	}
	v.now = v.now.Add(10 * time.Second)
	v.replica.Tick(v.now)
	_, err = v.replica.Flush()
	qt.Assert(t, err, qt.IsNil)
}

// proposeChanges proposes n changes in batches of 100, as batching does under load.
func (v *singleVoter) proposeChanges(t testing.TB, n int) {
	var batch [][]byte
	for i := range n {
		data, _ := json.Marshal(registry.Command{RequestID: fmt.Sprint("request-", i), At: v.now, Changes: []registry.Object{
			{Kind: registry.KindModel, Name: fmt.Sprint("m", i%5000), Model: &registry.Model{}},
		}})
		if batch = append(batch, data); len(batch) == 100 {
			_, err := v.replica.Propose(v.now, batch...)
			qt.Assert(t, err, qt.IsNil)
			effects, err := v.replica.Flush()
			qt.Assert(t, err, qt.IsNil)
			if job := effects.Snapshot; job != nil {
				v.replica.FinishSnapshot(job, job.Write())
			}
			batch = nil
		}
	}
}

func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// checkRestart makes n changes, restarts the voter and checks that applied entries and memory stay bounded.
func checkRestart(t testing.TB, n int) (took time.Duration, applied int, heap uint64) {
	before := heapInUse()
	v := &singleVoter{dir: t.TempDir(), now: time.Unix(1_800_000_000, 0)}
	v.open(t)
	v.proposeChanges(t, n)
	revision := v.registry.Revision()
	qt.Assert(t, v.store.Close(), qt.IsNil)
	start := time.Now()
	v.open(t)
	took = time.Since(start)
	heap = heapInUse() - before
	qt.Assert(t, v.registry.Revision(), qt.Equals, revision)
	qt.Assert(t, v.applied <= snapshotEvery, qt.IsTrue)
	qt.Assert(t, heap < memoryTarget, qt.IsTrue)
	return took, v.applied, heap
}

// Guards against a restart that loses changes, or whose work or memory grows with the total number of changes.
func TestRestartAfterManyChanges(t *testing.T) {
	for _, n := range []int{1_000, 25_000} {
		checkRestart(t, n)
	}
}

// BenchmarkRestart reports the time to open the log, the entries applied and the heap in use.
func BenchmarkRestart(b *testing.B) {
	for _, n := range []int{1_000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				took, applied, heap := checkRestart(b, n)
				b.ReportMetric(float64(took.Milliseconds()), "restart-ms")
				b.ReportMetric(float64(applied), "entries")
				b.ReportMetric(float64(heap>>10), "heap-KiB")
			}
		})
	}
}
