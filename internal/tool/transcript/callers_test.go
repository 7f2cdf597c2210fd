package transcript_test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"lycheevale/internal/base/refusal"
	"lycheevale/internal/fake/deployment"
	"lycheevale/internal/tool/demo"
	"lycheevale/internal/tool/transcript"
)

// curlPattern finds a block with a curl command and the status written after it.
var curlPattern = regexp.MustCompile("(?s)```sh\n(.*?)\n```\n\nStatus: (\\d+)")

func callersPage(c *qt.C) string {
	page, err := os.ReadFile(filepath.Join(docs, "callers.md"))
	c.Assert(err, qt.IsNil)
	return string(page)
}

// Guards against examples for callers that the system answers with another status than the page says.
func TestCallersExamples(t *testing.T) {
	c := qt.New(t)
	page := callersPage(c)
	blocks := curlPattern.FindAllStringSubmatch(page, -1)
	c.Assert(blocks, qt.HasLen, strings.Count(page, "```sh\n"), qt.Commentf("a block has no status"))
	d, err := deployment.Start(context.WithoutCancel(t.Context()), deployment.With(func(o *deployment.Options) {
		o.DataFolder, o.Objects = t.TempDir(), demo.Changes()
	}))
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { c.Check(d.Stop(), qt.IsNil) })
	c.Assert(d.WaitReady(t.Context()), qt.IsNil)
	variables := map[string]string{"ADDRESS": d.Instances[0].Address().String(), "KEY": demo.Key(0)}
	for _, block := range blocks {
		words := transcript.Split(block[1], func(name string) string { return variables[name] })
		a, err := transcript.Curl(t.Context(), words)
		c.Assert(err, qt.IsNil)
		c.Check(strconv.Itoa(a.Status), qt.Equals, block[2], qt.Commentf("%s\n%s", block[1], a.Body))
		if a.Status == http.StatusOK && strings.Contains(block[1], `"stream": true`) {
			c.Check(a.Body, qt.Contains, "data: [DONE]")
		}
	}
}

// Guards against a code, or its status, that callers meet and cannot look up.
func TestCallersCodes(t *testing.T) {
	c := qt.New(t)
	page := callersPage(c)
	for _, code := range refusal.Codes() {
		row := fmt.Sprintf("| `%s` | %d |", code, refusal.New(code, "").Status)
		c.Check(page, qt.Contains, row)
	}
}
