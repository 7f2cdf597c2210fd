package transcript_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"lycheevale/internal/tool/transcript"
)

// Guards against commands that are run with other words than a shell would pass.
func TestSplit(t *testing.T) {
	lookup := func(name string) string { return "<" + name + ">" }
	got := transcript.Split("curl -H \"Key: $KEY\" \\\n  -d '{\"a\": \"$b\"}' http://$ADDRESS/v1", lookup)
	qt.Assert(t, got, qt.DeepEquals, []string{"curl", "-H", "Key: <KEY>", "-d", `{"a": "$b"}`, "http://<ADDRESS>/v1"})
}

// Guards against a refresh that loses text or keeps an old output.
func TestRefresh(t *testing.T) {
	page := "text\n```console\n$ cat > a <<'END'\n1\nEND\n$ show \\\n  b\nold\n```\n$ not a command\n"
	got := transcript.Refresh(page, func(string) string { return "" }, func(c transcript.Command) string {
		if c.Document != "" {
			qt.Check(t, c.Document, qt.Equals, "1\n")
			return ""
		}
		qt.Check(t, c, qt.DeepEquals, transcript.Command{Words: []string{"show", "b"}, Output: "old\n"})
		return "new\n"
	})
	qt.Assert(t, got, qt.Equals, "text\n```console\n$ cat > a <<'END'\n1\nEND\n$ show \\\n  b\nnew\n```\n$ not a command\n")
}

// Guards against outputs that differ between runs only by the width of a value.
func TestStableAlignsAgain(t *testing.T) {
	one := transcript.Stable("NAME  ADDRESS       REVISION  KEYS\na     127.1.1.1:80  9         x\n")
	two := transcript.Stable("NAME  ADDRESS          REVISION  KEYS\na     127.1.1.1:10800  1234      x\n")
	qt.Assert(t, one, qt.Equals, two)
	qt.Assert(t, one, qt.Equals, "NAME  ADDRESS    REVISION    KEYS\na     <address>  <revision>  x\n")
}
