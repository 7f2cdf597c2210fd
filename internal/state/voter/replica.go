package voter

import (
	"encoding/binary"
	"encoding/json"
	"time"

	"lycheevale/internal/state/consensus"
	"lycheevale/internal/state/record"
)

// StateMachine applies the committed entries of a log. Apply must be deterministic: its result and the new state depend
// only on the current state and the data.
type StateMachine struct {
	Apply func(data []byte) (result []byte)
	// View captures the current state and returns a function that encodes it, possibly concurrently with Apply.
	View    func() (encode func() ([]byte, error))
	Restore func(data []byte) error
}

// Kinds of records besides record.KindState.
const (
	kindEntry byte = 1 // term, kind and data of the entry at Index
	kindReset byte = 2 // a received snapshot up to Index replaced the log
)

const entryHeader = 8 + 1

// Replica connects the consensus core, the record store and the state machine of one log. It starts no goroutines; a
// Voter or a test drives it. Inputs are collected until Flush, so that any number of them needs one sync. It is not safe
// for concurrent use.
type Replica struct {
	options            ReplicaOptions
	core               *consensus.Core
	store              *record.Store
	machine            StateMachine
	id                 string
	pending            consensus.Output
	receivedSnapshots  []consensus.Snapshot // received since the last Flush
	applied            uint64
	storedSnapshot     uint64 // index of the stored snapshot
	startedSnapshot    uint64 // index of the last snapshot that was started
	snapshotInProgress bool   // it has not ended
	failure            error
}

// ReplicaOptions are the settings of a Replica.
type ReplicaOptions struct {
	SnapshotEvery uint64 // entries between two snapshots
	KeepEntries   uint64 // entries before a snapshot that are kept in memory for lagging voters
	NewIdentity   func() string
	Consensus     []consensus.Option
	// SyncFirst is the safety rule that nothing is sent or applied before it is synced; only mutation tests disable it.
	SyncFirst bool
}

// Applied is the result of one committed entry.
type Applied struct {
	Index  uint64
	Term   uint64
	Result []byte
}

// Effects lists what the caller must do after a Flush.
type Effects struct {
	Messages  []consensus.Message
	Applied   []Applied
	Installed bool // a received snapshot replaced the state; the results of entries that it covers are unknown
	// Snapshot must be written, concurrently with other calls of the Replica, and passed to FinishSnapshot; nil if none
	// is due.
	Snapshot *SnapshotJob
}

// OpenReplica restores a replica from the store. A new directory gets a new identity, so that a voter whose disk was
// lost can never vote under its old one.
func OpenReplica(now time.Time, store *record.Store, machine StateMachine, o ReplicaOptions) (r *Replica, err error) {
	defer func() { err = Error.Wrap(err) }()
	if store.Identity() == "" {
		if err := store.SetIdentity(o.NewIdentity()); err != nil {
			return nil, err
		}
	}
	r = &Replica{options: o, store: store, machine: machine, id: store.Identity()}
	snapshot, err := r.loadSnapshot()
	if err != nil {
		return nil, err
	}
	state, entries, err := replay(store.Recovered(), snapshot)
	if err != nil {
		return nil, err
	}
	if snapshot.Index > 0 && state.Term == 0 {
		return nil, &record.CorruptionError{File: "segments", Reason: "a snapshot exists without any state record"}
	}
	if snapshot.Index > 0 {
		if err := machine.Restore(snapshot.Data); err != nil {
			return nil, err
		}
	}
	r.applied, r.storedSnapshot, r.startedSnapshot = snapshot.Index, snapshot.Index, snapshot.Index
	opts := append([]consensus.Option{consensus.WithID(r.id)}, o.Consensus...)
	r.core, err = consensus.New(now, state, snapshot, entries, opts...)
	return r, err
}

// replay rebuilds state and entries from records; an entry record replaces earlier entries with its index or a higher one.
func replay(records []record.Record, s consensus.Snapshot) (state consensus.State, list []consensus.Entry, err error) {
	for _, rec := range records {
		switch rec.Kind {
		case record.KindState:
			if err := json.Unmarshal(rec.Data, &state); err != nil {
				return state, nil, Error.New("state record: %v", err)
			}
		case kindReset:
			list = nil
		case kindEntry:
			if len(rec.Data) < entryHeader {
				return state, nil, Error.New("entry record %d is too short", rec.Index)
			}
			if n := len(list); n > 0 && rec.Index <= list[n-1].Index {
				keep := max(rec.Index, list[0].Index) - list[0].Index
				list = list[:keep]
			}
			if n := len(list); n > 0 && rec.Index != list[n-1].Index+1 {
				return state, nil, Error.New("entry record %d follows entry %d", rec.Index, list[n-1].Index)
			}
			list = append(list, consensus.Entry{
				Index: rec.Index, Term: binary.LittleEndian.Uint64(rec.Data),
				Kind: consensus.EntryKind(rec.Data[8]), Data: rec.Data[entryHeader:],
			})
		}
	}
	list, err = afterSnapshot(list, s)
	return state, list, err
}

// afterSnapshot drops entries that the snapshot covers. Entries that do not continue from the snapshot's last entry
// belong to a log that a received snapshot has replaced, and are dropped as well.
func afterSnapshot(list []consensus.Entry, s consensus.Snapshot) ([]consensus.Entry, error) {
	if len(list) == 0 || list[0].Index == s.Index+1 {
		return list, nil
	}
	if list[0].Index > s.Index {
		return nil, Error.New("entries from %d to %d are missing", s.Index+1, list[0].Index-1)
	}
	at := s.Index - list[0].Index
	if at >= uint64(len(list)) || list[at].Term != s.Term {
		return nil, nil
	}
	return list[at+1:], nil
}

// Bootstrap creates a new log with the given voters; it fails if this replica already has a log.
func (r *Replica) Bootstrap(now time.Time, config consensus.Config) (err error) {
	defer func() { err = Error.Wrap(err) }()
	status := r.core.Status()
	if status.Last > 0 {
		return Error.New("the log exists already")
	}
	data, err := r.machine.View()()
	if err != nil {
		return err
	}
	// A vote may have been given in the current term.
	state := consensus.State{Term: status.Term + 1}
	if err := r.appendState(state); err != nil {
		return err
	}
	snapshot := consensus.Snapshot{Index: 1, Term: 1, Config: config, Data: data}
	if err := r.saveSnapshot(snapshot); err != nil {
		return err
	}
	r.applied = 1
	opts := append([]consensus.Option{consensus.WithID(r.id)}, r.options.Consensus...)
	r.core, err = consensus.New(now, state, snapshot, nil, opts...)
	return err
}

// ID returns the voter identity that is stored on the disk.
func (r *Replica) ID() string { return r.id }

// Status returns the state of the core.
func (r *Replica) Status() consensus.Status { return r.core.Status() }

// ActingTerm returns the term in which this voter may act as the leader; see consensus.Core.
func (r *Replica) ActingTerm() (term uint64, checkedAt time.Time) { return r.core.ActingTerm() }

// Applied returns the index of the last applied entry.
func (r *Replica) Applied() uint64 { return r.applied }

// Late reports whether the core has not run for so long that a leader steps down when it does.
func (r *Replica) Late(now time.Time) bool { return r.core.Late(now) }

// Tick advances the core's clock.
func (r *Replica) Tick(now time.Time) { r.collect(r.core.Tick(now)) }

// Step handles one received message.
func (r *Replica) Step(now time.Time, m consensus.Message) { r.collect(r.core.Step(now, m)) }

// Propose appends data at the leader and returns the index of the first new entry.
func (r *Replica) Propose(now time.Time, data ...[]byte) (first uint64, err error) {
	first, out, err := r.core.Propose(now, data...)
	r.collect(out)
	return first, err
}

// ChangeMember proposes a membership change at the leader.
func (r *Replica) ChangeMember(now time.Time, change consensus.Change) error {
	_, out, err := r.core.ChangeMember(now, change)
	r.collect(out)
	return err
}

// SnapshotFailed reports that a snapshot did not reach the member.
func (r *Replica) SnapshotFailed(id string) { r.core.SnapshotFailed(id) }

// collect merges outputs in order; a received snapshot makes entries collected before it obsolete.
func (r *Replica) collect(out consensus.Output) {
	if out.State != nil {
		r.pending.State = out.State
	}
	if out.Snapshot != nil {
		r.receivedSnapshots = append(r.receivedSnapshots, *out.Snapshot)
		r.pending.Entries, r.pending.Committed = nil, nil
	}
	r.pending.Entries = append(r.pending.Entries, out.Entries...)
	r.pending.Messages = append(r.pending.Messages, out.Messages...)
	r.pending.Committed = append(r.pending.Committed, out.Committed...)
}

// Flush stores the outputs of all inputs since the last Flush, applies committed entries and returns the remaining
// effects. After an error the replica must not be used again; none of the failed inputs has been acknowledged.
func (r *Replica) Flush() (e Effects, err error) {
	defer func() { err = Error.Wrap(err) }()
	if r.failure != nil {
		return Effects{}, r.failure
	}
	out, received := r.pending, r.receivedSnapshots
	r.pending, r.receivedSnapshots = consensus.Output{}, nil
	if err := r.persist(out, received); err != nil {
		r.failure = err
		return Effects{}, err
	}
	e.Messages = out.Messages
	e.Installed = len(received) > 0
	for _, entry := range out.Committed {
		applied := Applied{Index: entry.Index, Term: entry.Term}
		if entry.Kind == consensus.EntryData {
			applied.Result = r.machine.Apply(entry.Data)
		}
		r.applied = entry.Index
		e.Applied = append(e.Applied, applied)
	}
	e.Snapshot = r.startSnapshot()
	return e, nil
}

func (r *Replica) persist(out consensus.Output, received []consensus.Snapshot) error {
	if out.State != nil {
		if err := r.appendState(*out.State); err != nil {
			return err
		}
	}
	if n := len(received); n > 0 {
		if err := r.install(received[n-1]); err != nil {
			return err
		}
	}
	for _, e := range out.Entries {
		data := binary.LittleEndian.AppendUint64(make([]byte, 0, entryHeader+len(e.Data)), e.Term)
		data = append(append(data, byte(e.Kind)), e.Data...)
		if err := r.store.Append(record.Record{Kind: kindEntry, Index: e.Index, Data: data}); err != nil {
			return err
		}
	}
	if !r.options.SyncFirst {
		return nil
	}
	return r.store.Sync()
}

// appendState stores term and vote before the entries of the same batch, because a torn write keeps the beginning of a
// batch.
func (r *Replica) appendState(state consensus.State) error {
	data, err := json.Marshal(state)
	if err != nil {
		return err
	}
	return r.store.Append(record.Record{Kind: record.KindState, Data: data})
}

// install replaces the log with a received snapshot. A crash before the reset record is written leaves the old entries,
// which afterSnapshot detects.
func (r *Replica) install(snapshot consensus.Snapshot) error {
	if err := r.saveSnapshot(snapshot); err != nil {
		return err
	}
	if err := r.store.Append(record.Record{Kind: kindReset, Index: snapshot.Index}); err != nil {
		return err
	}
	r.applied = snapshot.Index
	return r.machine.Restore(snapshot.Data)
}

// saveSnapshot syncs the state record first, so that a snapshot never exists without one.
func (r *Replica) saveSnapshot(snapshot consensus.Snapshot) error {
	if err := r.store.Sync(); err != nil {
		return err
	}
	encoded, err := encodeSnapshot(snapshot)
	if err != nil {
		return err
	}
	if err := r.store.SaveSnapshot(encoded); err != nil {
		return err
	}
	r.storedSnapshot, r.startedSnapshot = snapshot.Index, max(r.startedSnapshot, snapshot.Index)
	return nil
}

// encodeSnapshot encodes a length-prefixed header with the snapshot's position, followed by the data.
func encodeSnapshot(snapshot consensus.Snapshot) (s record.Snapshot, err error) {
	data := snapshot.Data
	snapshot.Data = nil
	header, err := json.Marshal(snapshot)
	if err != nil {
		return s, err
	}
	b := binary.LittleEndian.AppendUint32(make([]byte, 0, 4+len(header)+len(data)), uint32(len(header)))
	return record.Snapshot{Index: snapshot.Index, Data: append(append(b, header...), data...)}, nil
}

// loadSnapshot returns the stored snapshot, or an empty one.
func (r *Replica) loadSnapshot() (snapshot consensus.Snapshot, err error) {
	s, ok, err := r.store.LoadSnapshot()
	if err != nil || !ok {
		return snapshot, err
	}
	if len(s.Data) < 4 || uint64(len(s.Data)) < 4+uint64(binary.LittleEndian.Uint32(s.Data)) {
		return snapshot, Error.New("snapshot %d has no header", s.Index)
	}
	end := 4 + binary.LittleEndian.Uint32(s.Data)
	if err := json.Unmarshal(s.Data[4:end], &snapshot); err != nil {
		return snapshot, err
	}
	snapshot.Data = s.Data[end:]
	return snapshot, nil
}

// Fill adds the stored snapshot to an InstallSnapshot message.
func (r *Replica) Fill(m consensus.Message) (consensus.Message, error) {
	if m.Kind != consensus.InstallSnapshot {
		return m, nil
	}
	snapshot, err := r.loadSnapshot()
	m.Snapshot = &snapshot
	return m, Error.Wrap(err)
}
