package engine

import (
	"bufio"
	"bytes"
	"io"
	"iter"
	"strconv"
)

// eventBufferBytes is the initial size of the line buffer of a stream; it grows up to Options.MaxEventSize.
const eventBufferBytes = 2 << 10

// Events yields the events of the answer up to the end marker, which is not yielded. A stream that ends
// without it, or with one that does not follow the last event, yields an error of class Truncated, an event of
// another attempt one of class WrongAttempt. If beforeWait is not nil, it is called when all received events have
// been yielded, before waiting for more.
func (a *Answer) Events(beforeWait func()) iter.Seq2[Event, error] {
	return func(yield func(Event, error) bool) {
		r := newEventReader(a, beforeWait)
		last := a.after
		for r.next() {
			event, err := r.event()
			if err != nil {
				yield(Event{}, err)
				return
			}
			if string(event.Data) == DoneMarker {
				// A marker without an identifier has that of the last event.
				if event.Seq != last && event.Seq != last+1 {
					yield(Event{}, Truncated.New("end marker %d follows event %d", event.Seq, last))
				}
				return
			}
			last = max(last, event.Seq)
			if !yield(event, nil) {
				return
			}
		}
		if r.rules.NeedMarker {
			yield(Event{}, r.end())
		}
	}
}

// eventReader reads server-sent events without allocating for each of them.
type eventReader struct {
	rules   Rules
	attempt string
	limit   int // bytes of one event
	lines   *bufio.Scanner
	afterCR bool   // the last line ended with a carriage return; a following line feed belongs to it
	id      []byte // ID of the last event that had one
	data    []byte
	filled  bool // the current event has a field
	size    int  // bytes since the last event, with comments and empty lines
	total   int  // bytes of the stream
}

// maxStream is the maximum size of a stream in bytes, far above that of the longest completion. Without it, an engine that sends events without end
// would keep a core busy until the request's deadline.
const maxStream = 64 << 20

func newEventReader(a *Answer, beforeWait func()) *eventReader {
	o := a.client.options
	r := &eventReader{rules: o.Rules, attempt: a.Attempt, limit: o.MaxEventSize}
	r.lines = bufio.NewScanner(waitReader{a.body, beforeWait})
	r.lines.Buffer(make([]byte, eventBufferBytes), r.limit)
	r.lines.Split(r.splitLine)
	return r
}

// waitReader calls before ahead of each read; the scanner reads only when it has no complete line buffered.
type waitReader struct {
	io.Reader
	before func()
}

func (w waitReader) Read(p []byte) (int, error) {
	if w.before != nil {
		w.before()
	}
	return w.Reader.Read(p)
}

// splitLine splits at a line feed, a carriage return or both. A last line without an end is dropped.
func (r *eventReader) splitLine(data []byte, _ bool) (advance int, line []byte, err error) {
	begin := 0
	if r.afterCR && len(data) > 0 {
		r.afterCR = false
		if data[0] == '\n' {
			begin = 1
		}
	}
	end := bytes.IndexByte(data[begin:], '\n')
	if end < 0 {
		end = len(data) - begin
	}
	if cr := bytes.IndexByte(data[begin:begin+end], '\r'); cr >= 0 {
		r.afterCR = true
		end = cr
	}
	if begin+end == len(data) {
		return begin, nil, nil
	}
	return begin + end + 1, data[begin : begin+end], nil
}

// next reads up to the end of the next event.
func (r *eventReader) next() bool {
	r.data, r.filled, r.size = r.data[:0], false, 0
	for r.lines.Scan() {
		line := r.lines.Bytes()
		r.size += len(line) + 1
		r.total += len(line) + 1
		if r.size > r.limit || r.total > maxStream {
			return false
		}
		if len(line) == 0 && r.filled {
			r.data = bytes.TrimSuffix(r.data, []byte("\n"))
			return true
		}
		r.field(line)
	}
	return false
}

func (r *eventReader) field(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(bytes.TrimPrefix(name, []byte("\ufeff"))) {
	case "data":
		r.data = append(append(r.data, value...), '\n')
	case "id":
		if bytes.IndexByte(value, 0) >= 0 {
			return
		}
		r.id = append(r.id[:0], value...)
	case "event":
	default:
		return
	}
	r.filled = true
}

// event checks the identifier, which is the attempt and the sequence number joined by a slash.
func (r *eventReader) event() (Event, error) {
	attempt, number, found := bytes.Cut(r.id, []byte("/"))
	if !found || string(attempt) != r.attempt && r.rules.CheckAttempt {
		return Event{}, WrongAttempt.New("event %q in the stream of attempt %s", r.id, r.attempt)
	}
	seq, err := strconv.ParseUint(string(number), 10, 64)
	if err != nil {
		return Event{}, WrongAttempt.Wrap(err)
	}
	return Event{Seq: seq, Data: r.data}, nil
}

func (r *eventReader) end() error {
	switch {
	case r.lines.Err() != nil:
		return Truncated.Wrap(r.lines.Err())
	case r.size > r.limit:
		return Truncated.New("event is larger than %d bytes", r.limit)
	case r.total > maxStream:
		return Truncated.New("stream is larger than %d bytes", maxStream)
	}
	return Truncated.New("end of stream")
}

// AppendEvent appends the event with its identifier as a server-sent event.
func AppendEvent(dst []byte, attempt string, e Event) []byte {
	dst = append(append(append(dst, "id: "...), attempt...), '/')
	dst = strconv.AppendUint(dst, e.Seq, 10)
	return AppendData(append(dst, '\n'), e.Data)
}

// AppendData appends data as a server-sent event without an identifier; each of its lines becomes a data line of the
// event.
func AppendData(dst, data []byte) []byte {
	for line := range bytes.SplitSeq(data, []byte("\n")) {
		dst = append(append(append(dst, "data: "...), line...), '\n')
	}
	return append(dst, '\n')
}
