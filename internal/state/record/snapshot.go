package record

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"path/filepath"
)

// Snapshot is the state up to and including Index.
type Snapshot struct {
	Index uint64
	Data  []byte
}

// A sealed file is: magic, checksum, index, data. It is written completely under a temporary name and then renamed.
const (
	sealMagic      = uint32(0x4c56_5353)
	sealHeader     = 4 + 4 + 8
	identityName   = "identity"
	temporaryName  = "temporary"
	preparedName   = "snapshot.temporary"
	snapshotFormat = "%016x.snapshot"
	segmentFormat  = "%016x.segment"
)

func encodeSealed(index uint64, data []byte) []byte {
	b := make([]byte, 0, sealHeader+len(data))
	b = binary.LittleEndian.AppendUint32(b, sealMagic)
	b = binary.LittleEndian.AppendUint32(b, 0)
	b = binary.LittleEndian.AppendUint64(b, index)
	b = append(b, data...)
	binary.LittleEndian.PutUint32(b[4:], crc32.Checksum(b[8:], castagnoli))
	return b
}

// decodeSealed tolerates no incomplete tail: a sealed file is synced before it is renamed, so any damage is corruption.
func decodeSealed(file string, b []byte) (index uint64, data []byte, err error) {
	if len(b) < sealHeader || binary.LittleEndian.Uint32(b) != sealMagic {
		return 0, nil, &CorruptionError{File: file, Reason: "no valid header"}
	}
	if crc32.Checksum(b[8:], castagnoli) != binary.LittleEndian.Uint32(b[4:]) {
		return 0, nil, &CorruptionError{File: file, Offset: sealHeader, Reason: "checksum mismatch"}
	}
	return binary.LittleEndian.Uint64(b[8:]), b[sealHeader:], nil
}

// writeSealed replaces a file atomically: after a crash it has either its old or its new content.
func (s *Store) writeSealed(name string, index uint64, data []byte) error {
	if err := s.writeTemporary(temporaryName, index, data); err != nil {
		return err
	}
	return s.rename(temporaryName, name)
}

// writeTemporary writes and syncs a file that Open ignores.
func (s *Store) writeTemporary(name string, index uint64, data []byte) error {
	disk := s.options.Disk
	_ = disk.Remove(s.path(name))
	f, err := disk.Create(s.path(name))
	if err != nil {
		return err
	}
	if err := writeSynced(f, encodeSealed(index, data)); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}

func (s *Store) rename(from, to string) error {
	if err := s.options.Disk.Rename(s.path(from), s.path(to)); err != nil {
		return err
	}
	return s.options.Disk.SyncDir(s.dir)
}

// PrepareSnapshot writes and syncs a snapshot under a temporary name for InstallSnapshot. It may run concurrently with
// other methods, but not with itself. A failure leaves the store unchanged and releases the disk space.
func (s *Store) PrepareSnapshot(snapshot Snapshot) (err error) {
	err = s.writeTemporary(preparedName, snapshot.Index, snapshot.Data)
	if err != nil {
		s.DiscardSnapshot()
	}
	return Error.Wrap(err)
}

// DiscardSnapshot removes a prepared snapshot. If that fails, the next prepared snapshot overwrites it.
func (s *Store) DiscardSnapshot() { _ = s.options.Disk.Remove(s.path(preparedName)) }

// InstallSnapshot makes the prepared snapshot with the given index durable under its final name and removes older ones.
func (s *Store) InstallSnapshot(index uint64) (err error) {
	defer func() { err = Error.Wrap(err) }()
	if err := s.checkNotOlder(index); err != nil {
		return err
	}
	return s.replaceSnapshot(index, s.rename(preparedName, fmt.Sprintf(snapshotFormat, index)))
}

// SaveSnapshot writes the snapshot durably and removes older ones.
func (s *Store) SaveSnapshot(snapshot Snapshot) (err error) {
	defer func() { err = Error.Wrap(err) }()
	if err := s.checkNotOlder(snapshot.Index); err != nil {
		return err
	}
	name := fmt.Sprintf(snapshotFormat, snapshot.Index)
	return s.replaceSnapshot(snapshot.Index, s.writeSealed(name, snapshot.Index, snapshot.Data))
}

func (s *Store) checkNotOlder(index uint64) error {
	if s.failed == nil && index < s.snapshotIndex {
		return fmt.Errorf("snapshot %d is older than the stored snapshot %d", index, s.snapshotIndex)
	}
	return s.failed
}

// replaceSnapshot records the newly stored snapshot and removes the previous one; err is the result of storing it.
func (s *Store) replaceSnapshot(index uint64, err error) error {
	if err != nil {
		return s.fail(err)
	}
	name, old := fmt.Sprintf(snapshotFormat, index), s.snapshotName
	s.snapshotIndex, s.snapshotName = index, name
	if old != "" && old != name {
		return s.remove(old)
	}
	return nil
}

// LoadSnapshot reads the latest snapshot; ok is false if there is none.
func (s *Store) LoadSnapshot() (snapshot Snapshot, ok bool, err error) {
	defer func() { err = Error.Wrap(err) }()
	if s.snapshotName == "" {
		return Snapshot{}, false, nil
	}
	b, err := s.options.Disk.ReadFile(filepath.Join(s.dir, s.snapshotName))
	if err != nil {
		return Snapshot{}, false, err
	}
	index, data, err := decodeSealed(s.snapshotName, b)
	if err != nil {
		return Snapshot{}, false, err
	}
	if index != s.snapshotIndex {
		return Snapshot{}, false, &CorruptionError{File: s.snapshotName, Reason: "index differs from the file name"}
	}
	return Snapshot{Index: index, Data: data}, true, nil
}

// Identity returns the identity stored in the directory, or "" for a new directory.
func (s *Store) Identity() string { return s.identity }

// SetIdentity stores the identity of a new directory; an existing identity never changes.
func (s *Store) SetIdentity(identity string) (err error) {
	defer func() { err = Error.Wrap(err) }()
	if s.failed != nil {
		return s.failed
	}
	if s.identity != "" {
		return fmt.Errorf("directory already has identity %s", s.identity)
	}
	if err := s.writeSealed(identityName, 0, []byte(identity)); err != nil {
		return s.fail(err)
	}
	s.identity = identity
	return nil
}
