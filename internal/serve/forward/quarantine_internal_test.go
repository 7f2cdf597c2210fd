package forward

import (
	"fmt"
	"strings"
	"testing"

	"github.com/frankban/quicktest"
)

// A caller names thousands of parts of its prompt, or very long ones. Guards against reports of a crash that grow with them, and keep the leader busy for
// seconds.
func TestComparedPartsAreBounded(t *testing.T) {
	c := quicktest.New(t)
	x := &exchange{}
	for n := range 9000 {
		x.request.SharedParts = append(x.request.SharedParts, fmt.Sprint(n%20), strings.Repeat("x", 60_000))
	}
	c.Assert(New().sign(x) == nil, quicktest.IsTrue)
	c.Check(x.signatures, quicktest.HasLen, 1+maxComparedParts/2)
	for _, id := range x.signatures {
		c.Check(len(id) <= maxPartBytes, quicktest.IsTrue, quicktest.Commentf("%d bytes", len(id)))
	}
}
