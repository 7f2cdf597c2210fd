package simulation_test

import (
	"io/fs"
	"path/filepath"
	"slices"

	"github.com/zeebo/errs"

	"lycheevale/internal/state/record"
)

// memoryDisk is an in-memory disk that loses unsynced data at a crash.
type memoryDisk struct {
	files map[string]*fileContent
	lost  bool
}

type fileContent struct {
	synced  []byte
	pending []byte
}

var errLost = errs.New("lost disk")

func newDisk() *memoryDisk { return &memoryDisk{files: map[string]*fileContent{}} }

// crash keeps the synced data of each file and a random prefix of its unsynced data.
func (d *memoryDisk) crash(draw func(int) int) {
	names := make([]string, 0, len(d.files))
	for name := range d.files {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		f := d.files[name]
		f.synced = append(f.synced, f.pending[:draw(len(f.pending)+1)]...)
		f.pending = nil
	}
}

func (d *memoryDisk) open(f *fileContent) record.File {
	return record.File{
		Write: func(p []byte) (int, error) {
			if d.lost {
				return 0, errLost
			}
			f.pending = append(f.pending, p...)
			return len(p), nil
		},
		Sync: func() error {
			if d.lost {
				return errLost
			}
			f.synced, f.pending = append(f.synced, f.pending...), nil
			return nil
		},
		Close: func() error { return nil },
	}
}

func (d *memoryDisk) operations() record.Disk {
	return record.Disk{
		MkdirAll: func(string) error { return nil },
		Create: func(name string) (record.File, error) {
			if d.files[name] != nil {
				return record.File{}, fs.ErrExist
			}
			d.files[name] = &fileContent{}
			return d.open(d.files[name]), nil
		},
		Append: func(name string) (record.File, error) { return d.open(d.files[name]), nil },
		ReadFile: func(name string) ([]byte, error) {
			if d.files[name] == nil {
				return nil, fs.ErrNotExist
			}
			return slices.Concat(d.files[name].synced, d.files[name].pending), nil
		},
		ReadDir: func(dir string) (names []string, err error) {
			for name := range d.files {
				names = append(names, filepath.Base(name))
			}
			return names, nil
		},
		Rename: func(from, to string) error {
			d.files[to] = d.files[from]
			delete(d.files, from)
			return nil
		},
		Remove: func(name string) error {
			delete(d.files, name)
			return nil
		},
		Truncate: func(name string, size int64) error {
			f := d.files[name]
			f.synced, f.pending = slices.Concat(f.synced, f.pending)[:size], nil
			return nil
		},
		SyncDir: func(string) error { return nil },
	}
}
