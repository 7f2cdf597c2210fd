package guard_test

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"github.com/frankban/quicktest"

	"lycheevale/internal/base/guard"
)

// Guards against a process that ends because one background task met an unexpected value.
func TestPanicIsLogged(t *testing.T) {
	var lines bytes.Buffer
	var list []int
	guard.Run(t.Context(), slog.New(slog.NewTextHandler(&lines, nil)), "place", func() { _ = list[3] })
	quicktest.Check(t, strings.Contains(lines.String(), "Task=place"), quicktest.IsTrue, quicktest.Commentf("%s", lines.String()))
	quicktest.Check(t, strings.Contains(lines.String(), "index out of range"), quicktest.IsTrue)
}
