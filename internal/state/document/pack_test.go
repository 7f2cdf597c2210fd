package document_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/frankban/quicktest"

	"lycheevale/internal/state/document"
)

// Guards against a configuration of 2000 routes that delays reports: on a large deployment, sending the document took most
// of the time of a report on an entry's link of 10 Mbit/s, and handling it at the leader took the rest.
func TestLargeDocumentFitsSlowLink(t *testing.T) {
	c := quicktest.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	var content bytes.Buffer
	for range 2000 {
		fmt.Fprintf(&content, `{"name":"r-%08x","host":"huka18.example","pathPrefix":"/%08x/","routeKind":"streaming","timeoutMs":15000,`+
			`"sloMs":600,"priority":1,"service":"puny27a","maxAttempts":2,"public":false,"sticky":true,"resumable":true,"gapSloMs":300},`,
			random.Uint32(), random.Uint32())
	}
	packed, err := document.Pack(content.Bytes())
	c.Assert(err, quicktest.IsNil)
	const maxPackedBytes = 10_000_000 / 8 / 10 // a tenth of a second on a link of 10 Mbit/s
	c.Check(len(packed) < maxPackedBytes, quicktest.IsTrue, quicktest.Commentf("%d of %d bytes", len(packed), content.Len()))
	unpacked, err := document.Unpack(packed)
	c.Assert(err, quicktest.IsNil)
	c.Check(bytes.Equal(unpacked, content.Bytes()), quicktest.IsTrue)
}

// Guards against a compressed message that exhausts the memory of an entry.
func TestUnpackIsBounded(t *testing.T) {
	c := quicktest.New(t)
	packed, err := document.Pack(make([]byte, 17<<20))
	c.Assert(err, quicktest.IsNil)
	_, err = document.Unpack(packed)
	c.Check(err, quicktest.ErrorMatches, ".*exceeds.*")
	_, err = document.Unpack([]byte("torn"))
	c.Check(err, quicktest.IsNotNil)
}
