package record

import (
	"fmt"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("record")

// ErrFailed is returned after a failed write or sync. It is unknown what reached the disk, so the store must be reopened.
var ErrFailed = errs.New("store stopped after a failed disk operation")

// ErrIdentityMissing is returned when a directory holds records but no identity file.
var ErrIdentityMissing = errs.New("directory holds records but no identity file")

// CorruptionError reports damage to data that had been synced; Open fails with it.
type CorruptionError struct {
	File   string
	Offset int64
	Reason string
}

// Error implements error.
func (e *CorruptionError) Error() string {
	return fmt.Sprintf("%s is corrupted at offset %d: %s", e.File, e.Offset, e.Reason)
}

// TruncatedTail reports an incomplete or corrupted tail that was removed when the store was opened.
type TruncatedTail struct {
	File   string
	Offset int64 // length of the file after the removal
	Bytes  int64 // number of bytes removed
}
