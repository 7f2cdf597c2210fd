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

// A sealed file is: magic, checksum, index, data; it is written whole under a temporary name and then renamed.
const (
	sealMagic      = uint32(0x4c56_5353)
	sealHeader     = 4 + 4 + 8
	identityName   = "identity"
	temporaryName  = "temporary"
	snapshotFormat = "%016x.snapshot"
	segmentFormat  = "%016x.segment"
)

func sealed(index uint64, data []byte) []byte {
	b := make([]byte, 0, sealHeader+len(data))
	b = binary.LittleEndian.AppendUint32(b, sealMagic)
	b = binary.LittleEndian.AppendUint32(b, 0)
	b = binary.LittleEndian.AppendUint64(b, index)
	b = append(b, data...)
	binary.LittleEndian.PutUint32(b[4:], crc32.Checksum(b[8:], castagnoli))
	return b
}

// unseal never cuts: a sealed file was synced before it got its name, so any damage is corruption.
func unseal(file string, b []byte) (index uint64, data []byte, err error) {
	if len(b) < sealHeader || binary.LittleEndian.Uint32(b) != sealMagic {
		return 0, nil, &CorruptionError{File: file, Reason: "no valid header"}
	}
	if crc32.Checksum(b[8:], castagnoli) != binary.LittleEndian.Uint32(b[4:]) {
		return 0, nil, &CorruptionError{File: file, Offset: sealHeader, Reason: "checksum mismatch"}
	}
	return binary.LittleEndian.Uint64(b[8:]), b[sealHeader:], nil
}

// writeSealed writes a file atomically: after a crash it has either its old or its new content.
func (s *Store) writeSealed(name string, index uint64, data []byte) error {
	disk := s.options.Disk
	temporary := filepath.Join(s.dir, temporaryName)
	_ = disk.Remove(temporary)
	f, err := disk.Create(temporary)
	if err != nil {
		return err
	}
	if err := writeSynced(f, sealed(index, data)); err != nil {
		_ = f.Close()
		return err
	}
	if err := f.Close(); err != nil {
		return err
	}
	if err := disk.Rename(temporary, filepath.Join(s.dir, name)); err != nil {
		return err
	}
	return disk.SyncDir(s.dir)
}

// SaveSnapshot makes the snapshot durable and removes older ones.
func (s *Store) SaveSnapshot(snapshot Snapshot) (err error) {
	defer func() { err = Error.Wrap(err) }()
	if s.failed != nil {
		return s.failed
	}
	if snapshot.Index < s.snapshotIndex {
		return fmt.Errorf("snapshot %d is older than the stored snapshot %d", snapshot.Index, s.snapshotIndex)
	}
	name := fmt.Sprintf(snapshotFormat, snapshot.Index)
	if err := s.writeSealed(name, snapshot.Index, snapshot.Data); err != nil {
		return s.fail(err)
	}
	old := s.snapshotName
	s.snapshotIndex, s.snapshotName = snapshot.Index, name
	if old != "" && old != name {
		return s.remove(old)
	}
	return nil
}

// LoadSnapshot reads the latest snapshot; ok is false when there is none.
func (s *Store) LoadSnapshot() (snapshot Snapshot, ok bool, err error) {
	defer func() { err = Error.Wrap(err) }()
	if s.snapshotName == "" {
		return Snapshot{}, false, nil
	}
	b, err := s.options.Disk.ReadFile(filepath.Join(s.dir, s.snapshotName))
	if err != nil {
		return Snapshot{}, false, err
	}
	index, data, err := unseal(s.snapshotName, b)
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
