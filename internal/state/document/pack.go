package document

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/zeebo/errs"
)

// maxDocumentBytes limits the size of a decompressed configuration; operators may send 8 MiB.
const maxDocumentBytes = 16 << 20

// Pack compresses a configuration for transfers between instances. Without compression, a configuration with 2000 routes
// occupies a link of 10 Mbit/s, or a link between regions, for most of a second and delays all later messages.
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

// Unpack decompresses a configuration compressed by Pack.
func Unpack(packed []byte) (content []byte, err error) {
	defer func() { err = Error.Wrap(err) }()
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, err
	}
	content, err = io.ReadAll(io.LimitReader(r, maxDocumentBytes+1))
	if err == nil && len(content) > maxDocumentBytes {
		return nil, errs.New("the decompressed document exceeds %d bytes", maxDocumentBytes)
	}
	return content, err
}
