package forward

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/zeebo/errs"

	"lycheevale/internal/place/pick"
	"lycheevale/internal/wire/upstream"
)

// eventEnd separates the events of a stream.
var eventEnd = []byte("\n\n")

// streamBuffer is the size of a read in bytes; it holds several events.
const streamBuffer = 4 << 10

// awaitStream waits for the first complete events of a stream.
func (h *Handler) awaitStream(x *exchange, s *attempt) (attemptResult, string) {
	s.firstEvents, s.firstErr = h.nextEvents(x, s)
	if len(s.firstEvents) == 0 {
		if v, reason := h.streamEnded(x, s, s.firstErr); v != answered {
			return v, reason
		}
	}
	return begun, ""
}

// stream relays complete events as they arrive. If the connection breaks, another endpoint can resume the stream after the
// last event that the caller received.
func (h *Handler) stream(x *exchange, s *attempt) (attemptResult, string) {
	if !x.headSent {
		copyHeader(x.Header(), s.answer.Header)
		x.WriteHeader(s.answer.Status)
		x.headSent = true
	}
	controller := http.NewResponseController(x.ResponseWriter)
	events, err := s.firstEvents, s.firstErr
	for {
		if len(events) > 0 {
			if x.firstByteAt.IsZero() {
				x.firstByteAt = h.options.Now()
			}
			if !h.writeEvents(x, s, controller, events) || (err == nil && x.ctx.Err() != nil) {
				return mayHaveRun, reasonStopped // an attempt that goes on without its caller does so until it has begun
			}
		}
		if err != nil {
			return h.streamEnded(x, s, err)
		}
		events, err = h.nextEvents(x, s)
	}
}

// nextEvents waits for the next complete events of a stream, or for its end, which is io.EOF unless the stream broke off. The events are valid until the
// next call.
func (h *Handler) nextEvents(x *exchange, s *attempt) (events []byte, err error) {
	s.pending.drop(s.returned)
	s.returned = 0
	for {
		p := h.nextPart(x, s)
		events = s.pending.add(p.content, p.err == io.EOF && !s.answer.Unframed)
		switch {
		case len(events) > 0:
			if err := h.checkResumed(x, s, events); err != nil {
				return nil, err
			}
			if !s.inFlight.begun {
				if err := h.identifyEndpoint(x, s); err != nil {
					return nil, err
				}
			}
			h.cancelSearch(x, s)
			h.recordEvents(x, s)
			s.returned = len(events)
			return events, p.err
		case p.err != nil:
			return nil, p.err
		case s.pending.len() > maxEvent:
			return nil, errs.Combine(upstream.ErrMalformed, errs.New("event is larger than %d bytes", maxEvent))
		}
	}
}

// streamEnded returns what the end of a stream means.
func (h *Handler) streamEnded(x *exchange, s *attempt, err error) (attemptResult, string) {
	switch {
	case err != io.EOF:
		return mayHaveRun, h.connectionBroken(x, s, err)
	case s.answer.Unframed && (s.pending.endsInside(s.returned) || !s.inFlight.begun):
		return mayHaveRun, h.connectionBroken(x, s, io.ErrUnexpectedEOF)
	case s.resumes && !s.inFlight.begun:
		return mayHaveRun, reasonError // an endpoint that sends nothing more does not show that the stream was complete
	}
	return answered, ""
}

// maxEvent is the maximum size of an event in bytes, far above that of a few tokens.
const maxEvent = 64 << 10

// eventBuffer collects the bytes of a stream until events are complete.
type eventBuffer struct {
	content  []byte
	searched int // bytes in which no further end of an event begins
}

// add appends bytes and returns the complete events; at the end of the stream it returns everything. Empty lines alone are no event.
func (b *eventBuffer) add(content []byte, end bool) (events []byte) {
	b.content = append(b.content, content...)
	if end {
		return b.content
	}
	b.searched = max(b.searched, b.emptyLines(0))
	last := bytes.LastIndex(b.content[b.searched:], eventEnd)
	if last < 0 {
		b.searched = max(len(b.content)-len(eventEnd)+1, 0)
		return nil
	}
	return b.content[:b.searched+last+len(eventEnd)]
}

// drop removes events that add has returned.
func (b *eventBuffer) drop(n int) {
	b.content = append(b.content[:0], b.content[n:]...)
	b.searched = 0
}

// emptyLines returns the number of line feeds from a position on.
func (b *eventBuffer) emptyLines(from int) int {
	return len(b.content) - from - len(bytes.TrimLeft(b.content[from:], "\n"))
}

// endsInside reports whether the content from a position on is the beginning of an event.
func (b *eventBuffer) endsInside(from int) bool { return from+b.emptyLines(from) < len(b.content) }

func (b *eventBuffer) len() int { return len(b.content) }

// checkResumed returns an error if the first events of an attempt do not continue those that were delivered before.
func (h *Handler) checkResumed(x *exchange, s *attempt, events []byte) error {
	if s.inFlight.begun || !x.delivered {
		return nil
	}
	first, _, _ := bytes.Cut(events, eventEnd)
	if id := h.options.Codec.EventID(first); !follows(id, x.request.LastEvent) {
		return errs.Combine(upstream.ErrMalformed, errs.New("resumed stream begins with event %.40q, event %.40q was delivered", id, x.request.LastEvent))
	}
	return nil
}

// follows reports whether an event belongs behind another one: identifiers are increasing numbers.
func follows(id, before string) bool {
	n, err := strconv.ParseUint(id, 10, 64)
	last, errBefore := strconv.ParseUint(before, 10, 64)
	return err == nil && errBefore == nil && n > last
}

// writeEvents writes events to the caller and records the last identifier among them. Without one that is a number, no other endpoint can resume the stream.
func (h *Handler) writeEvents(x *exchange, s *attempt, controller *http.ResponseController, events []byte) bool {
	h.recordOrigin(x, s)
	x.delivered = true
	if id := h.lastID(events); id != "" {
		_, err := strconv.ParseUint(id, 10, 64)
		x.request.LastEvent, x.identified = id, err == nil
	}
	h.recordUnresumable(x, s.inFlight, !x.identified || x.software == nil)
	defer h.awaitCaller(s.inFlight)()
	if _, err := x.Write(events); err != nil {
		return false
	}
	return controller.Flush() == nil
}

// lastID returns the identifier of the last event that has one.
func (h *Handler) lastID(events []byte) string {
	rest := bytes.TrimRight(events, "\n")
	for {
		end := bytes.LastIndex(rest, eventEnd)
		if id := h.options.Codec.EventID(rest[end+1:]); id != "" || end < 0 {
			return id
		}
		rest = rest[:end]
	}
}

// minDelay is the least delay that is recorded for an endpoint, apart from the time to read prompts.
const minDelay = 5 * time.Millisecond

// recordEvents records that complete events of a stream arrived; the first ones count as the endpoint's answer. Bytes of an event that
// stays incomplete are no progress.
func (h *Handler) recordEvents(x *exchange, s *attempt) {
	now := h.options.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.silence.RecordEvents(now, s.ID)
	f := s.inFlight
	wasSilent := f.silent
	if f.begun && !wasSilent {
		h.silence.RecordPause(now.Sub(f.progressAt))
	}
	f.progressAt, f.silent = now, false
	f.stay()
	if f.begun {
		return
	}
	f.begun = true
	h.tracker.Begun(now, f.service, x.signatures)
	if u := h.uses[[2]string{s.ID, f.adapter.Name}]; u != nil {
		u.answered++
	}
	h.promptRead(f)
	if wasSilent {
		return // its delay does not show how long other prompts take
	}
	delay := now.Sub(s.started)
	h.reading.Observe(f.waiting, delay-f.ahead)
	h.picker.Observe(now, s.ID, pick.Served, max(delay-f.ahead-h.reading.Delay(f.waiting), minDelay))
	h.silence.RecordFirstEvent(delay)
}
