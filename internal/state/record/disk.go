package record

import (
	"os"
)

// File is an open file for appending; its operations are fields so that tests can inject failures.
type File struct {
	Write func(p []byte) (int, error)
	Sync  func() error
	Close func() error
}

// Disk is the set of disk operations that a Store uses.
type Disk struct {
	MkdirAll func(dir string) error
	// Create opens a new file and fails if it exists.
	Create func(name string) (File, error)
	// Append opens an existing file for writing at its end.
	Append   func(name string) (File, error)
	ReadFile func(name string) ([]byte, error)
	ReadDir  func(dir string) ([]string, error)
	Rename   func(from, to string) error
	Remove   func(name string) error
	// Truncate shortens the file to size and syncs it.
	Truncate func(name string, size int64) error
	// SyncDir makes created, renamed and removed directory entries durable.
	SyncDir func(dir string) error
}

const (
	dirMode  = 0o700
	fileMode = 0o600
)

// OSDisk returns the operations of the operating system's file system.
func OSDisk() Disk {
	return Disk{
		MkdirAll: func(dir string) error { return os.MkdirAll(dir, dirMode) },
		Create: func(name string) (File, error) {
			return openFile(name, os.O_WRONLY|os.O_CREATE|os.O_EXCL)
		},
		Append: func(name string) (File, error) {
			return openFile(name, os.O_WRONLY|os.O_APPEND)
		},
		ReadFile: os.ReadFile,
		ReadDir:  readDir,
		Rename:   os.Rename,
		Remove:   os.Remove,
		Truncate: truncate,
		SyncDir:  syncDir,
	}
}

func openFile(name string, flags int) (File, error) {
	f, err := os.OpenFile(name, flags, fileMode)
	if err != nil {
		return File{}, err
	}
	return File{Write: f.Write, Sync: f.Sync, Close: f.Close}, nil
}

func readDir(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		if !e.IsDir() {
			names = append(names, e.Name())
		}
	}
	return names, nil
}

func truncate(name string, size int64) (err error) {
	f, err := os.OpenFile(name, os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	defer func() {
		if closeErr := f.Close(); err == nil {
			err = closeErr
		}
	}()
	if err := f.Truncate(size); err != nil {
		return err
	}
	return f.Sync()
}

func syncDir(dir string) (err error) {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer func() {
		if closeErr := d.Close(); err == nil {
			err = closeErr
		}
	}()
	return d.Sync()
}
