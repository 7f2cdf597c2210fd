// Package record stores checksummed records in append-only segment files, together with snapshots, in one data directory.
package record

import (
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"strings"
)

// Store is one open data directory; it is not safe for concurrent use.
type Store struct {
	options        Options
	dir            string
	identity       string
	snapshotName   string
	snapshotIndex  uint64
	segments       []segment
	file           File
	size           int64
	batch          uint64 // number of the next batch
	pending        []Record
	state          *Record // latest KindState record
	recovered      []Record
	truncatedTails []TruncatedTail
	failed         error
}

type segment struct {
	name       string
	number     uint64
	maxIndex   uint64
	firstBatch uint64 // batch number of the first frame
}

// Open reads the directory and truncates an incomplete tail. It returns a *CorruptionError for damage anywhere else.
func Open(dir string, opts ...Option) (s *Store, err error) {
	defer func() { err = Error.Wrap(err) }()
	o := Options{Disk: OSDisk(), SegmentBytes: defaultSegmentBytes}
	for _, opt := range opts {
		opt(&o)
	}
	s = &Store{options: o, dir: dir, batch: 1}
	if err := o.Disk.MkdirAll(dir); err != nil {
		return nil, err
	}
	names, err := o.Disk.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	slices.Sort(names)
	if err := s.load(names); err != nil {
		return nil, err
	}
	if s.identity == "" && (len(s.segments) > 0 || s.snapshotName != "") {
		return nil, ErrIdentityMissing
	}
	return s, nil
}

func (s *Store) load(names []string) error {
	var obsolete []string // snapshots whose removal was interrupted by a crash
	for _, name := range names {
		var number uint64
		switch {
		case name == identityName:
			b, err := s.options.Disk.ReadFile(filepath.Join(s.dir, name))
			if err != nil {
				return err
			}
			_, data, err := decodeSealed(name, b)
			if err != nil {
				return err
			}
			s.identity = string(data)
		case strings.HasSuffix(name, ".snapshot") && parseName(name, snapshotFormat, &number):
			if s.snapshotName != "" {
				obsolete = append(obsolete, s.snapshotName)
			}
			s.snapshotName, s.snapshotIndex = name, number
		case strings.HasSuffix(name, ".segment") && parseName(name, segmentFormat, &number):
			s.segments = append(s.segments, segment{name: name, number: number})
		}
	}
	if _, _, err := s.LoadSnapshot(); err != nil {
		return err
	}
	for _, name := range obsolete {
		if err := s.remove(name); err != nil {
			return err
		}
	}
	return s.loadSegments()
}

func parseName(name, format string, number *uint64) bool {
	n, err := fmt.Sscanf(name, format, number)
	return err == nil && n == 1 && fmt.Sprintf(format, *number) == name
}

func (s *Store) loadSegments() error {
	for i := range s.segments {
		last := i == len(s.segments)-1
		if i > 0 && s.segments[i].number != s.segments[i-1].number+1 {
			return &CorruptionError{File: s.segments[i].name, Reason: "the preceding segment is missing"}
		}
		if err := s.loadSegment(&s.segments[i], i == 0, last); err != nil {
			return err
		}
	}
	if len(s.segments) == 0 {
		return nil
	}
	file, err := s.options.Disk.Append(s.path(s.segments[len(s.segments)-1].name))
	if err != nil {
		return err
	}
	s.file = file
	return nil
}

func (s *Store) loadSegment(seg *segment, first, last bool) error {
	b, err := s.options.Disk.ReadFile(s.path(seg.name))
	if err != nil {
		return err
	}
	if first {
		// The batch number at which the oldest remaining segment starts is recorded only in its first frame.
		if f, ok := decodeFrame(b, seg.number, 0); ok {
			s.batch = f.batch
		}
	}
	seg.firstBatch = s.batch
	d := decodeSegment(b, seg.number, s.batch)
	removed := int64(len(b)) - d.validBytes
	if removed > 0 && (d.hasLaterBatch || !last) {
		return &CorruptionError{File: seg.name, Offset: d.validBytes, Reason: "invalid record outside the tail of the last segment"}
	}
	if removed > 0 {
		if err := s.options.Disk.Truncate(s.path(seg.name), d.validBytes); err != nil {
			return err
		}
		s.truncatedTails = append(s.truncatedTails, TruncatedTail{File: seg.name, Offset: d.validBytes, Bytes: removed})
	}
	for _, f := range d.frames {
		s.track(seg, f.Record)
		s.recovered = append(s.recovered, f.Record)
		// The next batch gets a new number even if the last batch is incomplete.
		s.batch = f.batch + 1
	}
	if n := len(d.frames); last && n > 0 && !d.frames[n-1].end {
		return s.endBatch(seg, d)
	}
	s.size = d.validBytes
	return nil
}

// endBatch marks the last remaining frame of a truncated batch as its end, so that batch numbers stay consecutive.
func (s *Store) endBatch(seg *segment, d decodedSegment) error {
	f := d.frames[len(d.frames)-1]
	at := d.validBytes - int64(f.size)
	f.end = true
	file, err := s.options.Disk.Append(s.path(seg.name))
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	if err := s.options.Disk.Truncate(s.path(seg.name), at); err != nil {
		return err
	}
	s.size = d.validBytes
	return writeSynced(file, appendFrame(nil, seg.number, at, f))
}

func (s *Store) track(seg *segment, r Record) {
	if r.Kind == KindState {
		s.state = &r
		return
	}
	seg.maxIndex = max(seg.maxIndex, r.Index)
}

func (s *Store) path(name string) string { return filepath.Join(s.dir, name) }

// Recovered returns the records found by Open in the order in which they were appended, and releases them; a second call
// returns none.
func (s *Store) Recovered() []Record {
	records := s.recovered
	s.recovered = nil
	return records
}

// TruncatedTails returns the incomplete tails that Open removed.
func (s *Store) TruncatedTails() []TruncatedTail { return s.truncatedTails }

// Append adds a record to the next batch; it is durable only after Sync.
func (s *Store) Append(r Record) error {
	if s.failed != nil {
		return Error.Wrap(s.failed)
	}
	if len(r.Data) > MaxDataBytes {
		return Error.New("record of %d bytes exceeds the limit of %d bytes", len(r.Data), MaxDataBytes)
	}
	s.pending = append(s.pending, r)
	return nil
}

// Sync writes the appended records as one batch and syncs it. After an error the store rejects all further writes.
func (s *Store) Sync() (err error) {
	defer func() { err = Error.Wrap(err) }()
	if s.failed != nil {
		return s.failed
	}
	if len(s.pending) == 0 {
		return nil
	}
	if len(s.segments) == 0 || s.size >= s.options.SegmentBytes {
		if err := s.startSegment(); err != nil {
			return s.fail(err)
		}
	}
	if s.size == 0 && s.state != nil {
		// The state is repeated, because Truncate may now remove the segment that holds it.
		s.pending = slices.Insert(s.pending, 0, *s.state)
	}
	seg := &s.segments[len(s.segments)-1]
	var b []byte
	for i, r := range s.pending {
		f := frame{Record: r, batch: s.batch, end: i == len(s.pending)-1}
		b = appendFrame(b, seg.number, s.size+int64(len(b)), f)
	}
	if err := writeSynced(s.file, b); err != nil {
		return s.fail(err)
	}
	for _, r := range s.pending {
		s.track(seg, r)
	}
	s.pending = nil
	s.size += int64(len(b))
	s.batch++
	return nil
}

// startSegment creates the next segment. The previous one is complete and synced, so only the last segment can have a
// torn tail.
func (s *Store) startSegment() error {
	next := segment{number: 1, firstBatch: s.batch}
	if n := len(s.segments); n > 0 {
		next.number = s.segments[n-1].number + 1
		if err := s.file.Close(); err != nil {
			return err
		}
	}
	next.name = fmt.Sprintf(segmentFormat, next.number)
	file, err := s.options.Disk.Create(s.path(next.name))
	if err != nil {
		return err
	}
	if err := s.options.Disk.SyncDir(s.dir); err != nil {
		return err
	}
	s.file, s.size = file, 0
	s.segments = append(s.segments, next)
	return nil
}

// Truncate removes the oldest segments whose records all have at most the given index.
func (s *Store) Truncate(index uint64) (err error) {
	defer func() { err = Error.Wrap(err) }()
	if s.failed != nil {
		return s.failed
	}
	for len(s.segments) > 1 && s.segments[0].maxIndex <= index {
		if err := s.remove(s.segments[0].name); err != nil {
			return err
		}
		s.segments = s.segments[1:]
	}
	return nil
}

func (s *Store) remove(name string) error {
	if err := s.options.Disk.Remove(s.path(name)); err != nil {
		return s.fail(err)
	}
	if err := s.options.Disk.SyncDir(s.dir); err != nil {
		return s.fail(err)
	}
	return nil
}

// Close closes the open segment without syncing pending records.
func (s *Store) Close() error {
	if s.file.Close == nil {
		return nil
	}
	return Error.Wrap(s.file.Close())
}

func (s *Store) fail(err error) error {
	s.failed = fmt.Errorf("%w: %w", ErrFailed, err)
	return s.failed
}

func writeSynced(f File, b []byte) error {
	n, err := f.Write(b)
	if err != nil {
		return err
	}
	if n < len(b) {
		return io.ErrShortWrite
	}
	return f.Sync()
}
