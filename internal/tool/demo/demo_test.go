package demo_test

import (
	"bytes"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"lycheevale/internal/tool/demo"
)

// Guards against a break anywhere on the path from a caller to an engine and back.
func TestRunServesEveryRequest(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	err := demo.Run(t.Context(), demo.WithOut(&out), demo.WithRequests(6))
	c.Assert(err, qt.IsNil)
	c.Assert(strings.Count(out.String(), "@v1:6"), qt.Equals, 6)
	c.Assert(out.String(), qt.Contains, `"runs":1`)
}
