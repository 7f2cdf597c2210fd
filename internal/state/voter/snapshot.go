package voter

import (
	"lycheevale/internal/state/consensus"
	"lycheevale/internal/state/record"
)

// SnapshotJob is a snapshot that is due. Write does the long part, encoding and writing, while the log goes on.
type SnapshotJob struct {
	position consensus.Snapshot
	encode   func() ([]byte, error)
	store    *record.Store
}

// startSnapshot fixes position and state of a snapshot that is due. One that is due before the last one has ended is
// started by the first Flush after it.
func (r *Replica) startSnapshot() *SnapshotJob {
	every := r.options.SnapshotEvery
	if every == 0 || r.writing || r.applied < r.started+every {
		return nil
	}
	r.writing, r.started = true, r.applied
	return &SnapshotJob{position: r.core.Position(r.applied), encode: r.machine.View(), store: r.store}
}

// Write encodes, writes and syncs the snapshot without giving it its name; it needs no lock on the Replica.
func (j *SnapshotJob) Write() (err error) {
	defer func() { err = Error.Wrap(err) }()
	snapshot, encode := j.position, j.encode
	j.encode = nil // the view is as large as the encoded state and not needed any more
	if snapshot.Data, err = encode(); err != nil {
		return err
	}
	encoded, err := encodeSnapshot(snapshot)
	if err != nil {
		return err
	}
	return j.store.PrepareSnapshot(encoded)
}

// FinishSnapshot installs a written snapshot and drops entries and segments that it covers; written is the result of
// Write. A snapshot that could not be written, for example on a full disk, costs nothing but a longer log: the next one
// is due after as many entries again. A failure to install stops the Replica at its next Flush.
func (r *Replica) FinishSnapshot(j *SnapshotJob, written error) {
	r.writing = false
	if written != nil || r.failed != nil {
		return
	}
	if j.position.Index <= r.stored {
		// A snapshot received meanwhile has replaced the log.
		j.store.DiscardSnapshot()
		return
	}
	r.failed = r.installWritten(j.position.Index)
}

func (r *Replica) installWritten(index uint64) (err error) {
	defer func() { err = Error.Wrap(err) }()
	if err := r.store.InstallSnapshot(index); err != nil {
		return err
	}
	r.stored = index
	if index > r.options.KeepEntries {
		r.core.Compact(index - r.options.KeepEntries)
	}
	return r.store.Truncate(index)
}
