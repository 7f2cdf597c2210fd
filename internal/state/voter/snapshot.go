package voter

import (
	"lycheevale/internal/state/consensus"
	"lycheevale/internal/state/record"
)

// SnapshotJob is a snapshot that is due. Write does the slow part, encoding and writing, while the log continues.
type SnapshotJob struct {
	position consensus.Snapshot
	encode   func() ([]byte, error)
	store    *record.Store
}

// startSnapshot captures position and state if a snapshot is due. If the previous one is still in progress, the first
// Flush after its end starts the next one.
func (r *Replica) startSnapshot() *SnapshotJob {
	every := r.options.SnapshotEvery
	if every == 0 || r.snapshotInProgress || r.applied < r.startedSnapshot+every {
		return nil
	}
	r.snapshotInProgress, r.startedSnapshot = true, r.applied
	return &SnapshotJob{position: r.core.SnapshotHeader(r.applied), encode: r.machine.View(), store: r.store}
}

// Write encodes, writes and syncs the snapshot under a temporary name. It may run concurrently with the Replica.
func (j *SnapshotJob) Write() (err error) {
	defer func() { err = Error.Wrap(err) }()
	snapshot, encode := j.position, j.encode
	j.encode = nil // releases the view, which is as large as the encoded state
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
// Write. If the snapshot could not be written, for example on a full disk, the log only grows longer: the next one is
// due after another SnapshotEvery entries. A failure to install stops the Replica at its next Flush.
func (r *Replica) FinishSnapshot(j *SnapshotJob, written error) {
	r.snapshotInProgress = false
	if written != nil || r.failure != nil {
		return
	}
	if j.position.Index <= r.storedSnapshot {
		// A snapshot that was received in the meantime has replaced the log.
		j.store.DiscardSnapshot()
		return
	}
	r.failure = r.installWritten(j.position.Index)
}

func (r *Replica) installWritten(index uint64) (err error) {
	defer func() { err = Error.Wrap(err) }()
	if err := r.store.InstallSnapshot(index); err != nil {
		return err
	}
	r.storedSnapshot = index
	if index > r.options.KeepEntries {
		r.core.Compact(index - r.options.KeepEntries)
	}
	return r.store.Truncate(index)
}
