package document

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/zeebo/errs"
)

// maxDocument bounds a configuration that is unpacked, in bytes; operators may send 8 MiB.
const maxDocument = 16 << 20

// Pack compresses a configuration for its way between instances: with two thousand routes it takes most of a second on a link of
// 10 Mbit/s, or between regions, and what comes after it on the link waits.
func Pack(content []byte) (packed []byte, err error) {
	defer func() { err = Error.Wrap(err) }()
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(content); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// Unpack returns what was packed.
func Unpack(packed []byte) (content []byte, err error) {
	defer func() { err = Error.Wrap(err) }()
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, err
	}
	content, err = io.ReadAll(io.LimitReader(r, maxDocument+1))
	if err == nil && len(content) > maxDocument {
		return nil, errs.New("a document exceeds %d bytes", maxDocument)
	}
	return content, err
}
