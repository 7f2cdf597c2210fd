package engine

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"
	"github.com/tmaxmax/go-sse"
)

func newTestReader(body io.Reader, beforeWait func()) *eventReader {
	client := &Client{options: Options{MaxEventSize: defaultMaxEventSize}}
	return newEventReader(&Answer{Attempt: "a", body: io.NopCloser(body), client: client}, beforeWait)
}

// Guards against events that are lost, split or altered, depending on line endings, fields and where reads end. The
// library go-sse provides the expected events.
func FuzzEvents(f *testing.F) {
	for _, seed := range []string{
		"id: a/1\ndata: x\n\nid: a/2\ndata: y\n\n", "id: a/1\r\ndata: x\r\n\r\n", "id:a/1\rdata:x\rdata:y\r\rdata\r\r",
		": comment\n\nevent: e\ndata\n\n", "id: a/1\ndata: cut", "data: {\ndata:  }\nretry: 5\n\n", "id\n\nid: b\x00\n\n",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		if strings.Contains(text, "\ufeff") {
			t.Skip("the byte order mark is removed from every line")
		}
		var want []string
		for e, err := range sse.Read(strings.NewReader(text), nil) {
			qt.Assert(t, err, qt.IsNil)
			want = append(want, e.LastEventID+" "+e.Data)
		}
		for _, body := range []io.Reader{strings.NewReader(text), iotest.OneByteReader(strings.NewReader(text))} {
			var got []string
			for r := newTestReader(body, nil); r.next(); {
				got = append(got, string(r.id)+" "+string(r.data))
			}
			qt.Assert(t, got, qt.DeepEquals, want)
		}
	})
}

// Guards against a flush for each event when several were received together, and against waiting without a flush.
func TestEventsThatArrivedTogether(t *testing.T) {
	var seen strings.Builder
	body := io.MultiReader(strings.NewReader("id: a/1\ndata: 1\n\nid: a/2\ndata: 2\n\nid: a/3\nda"), strings.NewReader("ta: 3\n\n"))
	r := newTestReader(body, func() { seen.WriteString("wait ") })
	for r.next() {
		seen.Write(append(bytes.Clone(r.data), ' '))
	}
	qt.Check(t, seen.String(), qt.Equals, "wait 1 2 wait 3 wait ")
}
