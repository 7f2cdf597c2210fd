package record_test

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/zeebo/errs"

	"lycheevale/internal/base/chain"

	qt "github.com/frankban/quicktest"

	"lycheevale/internal/state/record"
)

const entryKind byte = 1

func open(t testing.TB, dir string, opts ...record.Option) *record.Store {
	s, err := record.Open(dir, append([]record.Option{record.WithSegmentBytes(200)}, opts...)...)
	qt.Assert(t, err, qt.IsNil)
	if s.Identity() == "" {
		qt.Assert(t, s.SetIdentity("one"), qt.IsNil)
	}
	return s
}

func appendSynced(t testing.TB, s *record.Store, from, to uint64) {
	for i := from; i <= to; i++ {
		qt.Assert(t, s.Append(record.Record{Kind: entryKind, Index: i, Data: fmt.Appendf(nil, "data %d", i)}), qt.IsNil)
	}
	qt.Assert(t, s.Sync(), qt.IsNil)
}

func indexes(s *record.Store) (list []uint64) {
	for _, r := range s.Recovered() {
		if r.Kind == entryKind {
			list = append(list, r.Index)
		}
	}
	return list
}

// Guards against a restart that loses synced records, the state record of a removed segment, or the snapshot.
func TestReopenAfterTruncation(t *testing.T) {
	dir := t.TempDir()
	s := open(t, dir)
	qt.Assert(t, s.Append(record.Record{Kind: record.KindState, Data: []byte("term 7")}), qt.IsNil)
	for i := uint64(1); i <= 20; i++ {
		appendSynced(t, s, i, i)
	}
	qt.Assert(t, s.SaveSnapshot(record.Snapshot{Index: 5, Data: []byte("old")}), qt.IsNil)
	qt.Assert(t, s.SaveSnapshot(record.Snapshot{Index: 15, Data: []byte("new")}), qt.IsNil)
	qt.Assert(t, s.Truncate(15), qt.IsNil)
	qt.Assert(t, s.Close(), qt.IsNil)

	s = open(t, dir)
	snapshot, ok, err := s.LoadSnapshot()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, string(snapshot.Data), qt.Equals, "new")
	records := s.Recovered()
	qt.Assert(t, records[0].Kind, qt.Equals, record.KindState)
	qt.Assert(t, string(records[0].Data), qt.Equals, "term 7")
	qt.Assert(t, records[len(records)-1].Index, qt.Equals, uint64(20))
	qt.Assert(t, records[1].Index > 1, qt.IsTrue)
}

// Guards against a directory that cannot be opened after a torn write: Open must accept every prefix of the last batch.
func TestTornTailIsTruncated(t *testing.T) {
	dir := t.TempDir()
	s := open(t, dir, record.WithSegmentBytes(1<<20))
	appendSynced(t, s, 1, 2)
	file := filepath.Join(dir, "0000000000000001.segment")
	before, _ := os.ReadFile(file)
	appendSynced(t, s, 3, 5)
	whole, _ := os.ReadFile(file)
	for size := len(before); size < len(whole); size++ {
		qt.Assert(t, os.WriteFile(file, whole[:size], 0o600), qt.IsNil)
		s := open(t, dir)
		got := indexes(s)
		qt.Assert(t, len(got) >= 2, qt.IsTrue)
		qt.Assert(t, len(s.TruncatedTails()) == 0, qt.Equals, size == len(before) || (size-len(before))%36 == 0, qt.Commentf("file of %d bytes", size))
		appendSynced(t, s, 9, 9)
		qt.Assert(t, s.Close(), qt.IsNil)
		s = open(t, dir)
		qt.Assert(t, indexes(s), qt.DeepEquals, append(got, 9))
		qt.Assert(t, s.Close(), qt.IsNil)
	}
}

// Guards against silently dropping synced records: Open must fail if damage precedes a later batch.
func TestCorruptionInTheMiddleIsRefused(t *testing.T) {
	dir := t.TempDir()
	s := open(t, dir, record.WithSegmentBytes(1<<20))
	appendSynced(t, s, 1, 1)
	appendSynced(t, s, 2, 2)
	appendSynced(t, s, 3, 3)
	file := filepath.Join(dir, "0000000000000001.segment")
	whole, _ := os.ReadFile(file)
	size := len(whole) / 3
	for at := range 2 * size {
		damaged := append([]byte{}, whole...)
		damaged[at] ^= 0x10
		qt.Assert(t, os.WriteFile(file, damaged, 0o600), qt.IsNil)
		_, err := record.Open(dir)
		var corruption *record.CorruptionError
		qt.Assert(t, chain.As(err, &corruption), qt.IsTrue, qt.Commentf("offset %d: %v", at, err))
		qt.Assert(t, corruption.File, qt.Equals, filepath.Base(file))
		qt.Assert(t, corruption.Offset, qt.Equals, int64(at/size*size))
	}
}

// Guards against a failure to open after a crash that wrote the later pages of an unsynced batch but not the first.
func TestReorderedUnsyncedBatchIsTruncated(t *testing.T) {
	dir := t.TempDir()
	s := open(t, dir, record.WithSegmentBytes(1<<20))
	appendSynced(t, s, 1, 1)
	appendSynced(t, s, 2, 4)
	file := filepath.Join(dir, "0000000000000001.segment")
	whole, _ := os.ReadFile(file)
	clear(whole[40:60])
	qt.Assert(t, os.WriteFile(file, whole, 0o600), qt.IsNil)
	s = open(t, dir)
	qt.Assert(t, indexes(s), qt.DeepEquals, []uint64{1})
	qt.Assert(t, s.TruncatedTails(), qt.HasLen, 1)
}

// Guards against a change or loss of the identity next to existing records, and against damaged sealed files.
func TestSealedFiles(t *testing.T) {
	dir := t.TempDir()
	s := open(t, dir)
	appendSynced(t, s, 1, 1)
	qt.Assert(t, s.SaveSnapshot(record.Snapshot{Index: 1, Data: []byte("state")}), qt.IsNil)
	qt.Assert(t, s.SetIdentity("two"), qt.IsNotNil)
	name := filepath.Join(dir, "0000000000000001.snapshot")
	b, _ := os.ReadFile(name)
	b[len(b)-1]++
	qt.Assert(t, os.WriteFile(name, b, 0o600), qt.IsNil)
	_, err := record.Open(dir)
	var corruption *record.CorruptionError
	qt.Assert(t, chain.As(err, &corruption), qt.IsTrue)
	qt.Assert(t, os.Remove(name), qt.IsNil)
	qt.Assert(t, os.Remove(filepath.Join(dir, "identity")), qt.IsNil)
	_, err = record.Open(dir)
	qt.Assert(t, errs.Is(err, record.ErrIdentityMissing), qt.IsTrue)
}

// Guards against acknowledging records after a failed disk operation, for each operation of the write path.
func TestDiskFailureStopsTheStore(t *testing.T) {
	errDisk := errs.New("disk failed")
	faults := map[string]func(*record.File){
		"short write": func(f *record.File) {
			write := f.Write
			f.Write = func(p []byte) (int, error) { return write(p[:len(p)/2]) }
		},
		"failed write": func(f *record.File) { f.Write = func([]byte) (int, error) { return 0, errDisk } },
		"failed sync":  func(f *record.File) { f.Sync = func() error { return errDisk } },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			dir, disk := t.TempDir(), record.OSDisk()
			open(t, dir)
			disk.Create = func(name string) (record.File, error) {
				f, err := record.OSDisk().Create(name)
				fault(&f)
				return f, err
			}
			s := open(t, dir, record.WithDisk(disk))
			qt.Assert(t, s.Append(record.Record{Kind: entryKind, Index: 1, Data: make([]byte, 100)}), qt.IsNil)
			qt.Assert(t, s.Sync(), qt.ErrorIs, record.ErrFailed)
			qt.Assert(t, s.Sync(), qt.ErrorIs, record.ErrFailed)
			qt.Assert(t, s.SaveSnapshot(record.Snapshot{}), qt.ErrorIs, record.ErrFailed)
			_, err := record.Open(dir)
			qt.Assert(t, err, qt.IsNil)
		})
	}
}

// FuzzOpen guards against a panic, an endless loop or an unstable result on arbitrary segment content.
func FuzzOpen(f *testing.F) {
	dir := f.TempDir()
	s := open(f, dir, record.WithSegmentBytes(1<<20))
	appendSynced(f, s, 1, 3)
	valid, _ := os.ReadFile(filepath.Join(dir, "0000000000000001.segment"))
	identity, _ := os.ReadFile(filepath.Join(dir, "identity"))
	f.Add(valid)
	f.Add(valid[:len(valid)-5])
	disk := record.OSDisk()
	disk.SyncDir = func(string) error { return nil }
	disk.Truncate = os.Truncate
	f.Fuzz(func(t *testing.T, content []byte) {
		dir := t.TempDir()
		qt.Assert(t, os.WriteFile(filepath.Join(dir, "identity"), identity, 0o600), qt.IsNil)
		qt.Assert(t, os.WriteFile(filepath.Join(dir, "0000000000000001.segment"), content, 0o600), qt.IsNil)
		first, err := record.Open(dir, record.WithDisk(disk))
		if err != nil {
			return
		}
		again, err := record.Open(dir, record.WithDisk(disk))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, again.TruncatedTails(), qt.HasLen, 0)
		qt.Assert(t, again.Recovered(), qt.DeepEquals, first.Recovered())
	})
}

func ExampleOpen() {
	dir, _ := os.MkdirTemp("", "record")
	defer os.RemoveAll(dir)
	s, _ := record.Open(dir)
	_ = s.SetIdentity("4f1c")
	_ = s.Append(record.Record{Kind: entryKind, Index: 1, Data: []byte("first")})
	fmt.Println(s.Sync())
	_ = s.Close()

	s, _ = record.Open(dir)
	fmt.Println(s.Identity(), string(s.Recovered()[0].Data))
	// Output:
	// <nil>
	// 4f1c first
}
