package forward

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"lycheevale/internal/place/pick"
	"lycheevale/internal/wire/upstream"
)

// eventEnd separates the events of a stream.
var eventEnd = []byte("\n\n")

// streamBuffer is the size of a read in bytes; it holds several events.
const streamBuffer = 4 << 10

// stream relays complete events as they arrive. If the connection breaks, another endpoint can resume the stream after the
// last event that the caller received.
func (h *Handler) stream(x *exchange, s attempt, a *upstream.Answer) (attemptResult, string) {
	if !x.headSent {
		copyHeader(x.Header(), a.Header)
		x.WriteHeader(a.Status)
		x.headSent = true
	}
	controller := http.NewResponseController(x.ResponseWriter)
	var pending []byte
	buffer := make([]byte, streamBuffer)
	for {
		n, err := a.Body.Read(buffer)
		if n > 0 {
			if x.firstByteAt.IsZero() {
				x.firstByteAt = h.options.Now()
			}
			h.recordStreamBytes(s)
			pending = append(pending, buffer[:n]...)
		}
		complete := bytes.LastIndex(pending, eventEnd) + len(eventEnd)
		if err == io.EOF {
			complete = len(pending)
		}
		if complete >= len(eventEnd) && len(pending) > 0 {
			if !h.writeEvents(x, controller, pending[:complete]) {
				return mayHaveRun, reasonStopped
			}
			pending = append(pending[:0], pending[complete:]...)
		}
		switch {
		case err == io.EOF:
			return answered, ""
		case err != nil:
			return mayHaveRun, h.connectionBroken(x, s)
		}
	}
}

// writeEvents writes events to the caller and records the identifier of the last one.
func (h *Handler) writeEvents(x *exchange, controller *http.ResponseController, events []byte) bool {
	if _, err := x.Write(events); err != nil {
		return false
	}
	if err := controller.Flush(); err != nil {
		return false
	}
	complete := bytes.TrimRight(events, "\n")
	last := complete[bytes.LastIndex(complete, eventEnd)+1:]
	if id := h.options.Codec.EventID(last); id != "" {
		x.request.LastEvent = id
	}
	return true
}

// minDelay is the least delay that is recorded for an endpoint, apart from the time to read prompts.
const minDelay = 5 * time.Millisecond

// recordStreamBytes records that bytes of a stream arrived; the first ones count as the endpoint's answer.
func (h *Handler) recordStreamBytes(s attempt) {
	now := h.options.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.silence.RecordBytes(now, s.ID)
	s.inFlight.lastByteAt = now
	if !s.inFlight.begun {
		s.inFlight.begun = true
		if u := h.uses[[2]string{s.ID, s.inFlight.adapter.Name}]; u != nil {
			u.answered++
		}
		h.promptRead(s.inFlight)
		delay := now.Sub(s.started)
		h.reading.Observe(s.inFlight.waiting, delay-s.inFlight.ahead)
		h.picker.Observe(now, s.ID, pick.Served, max(delay-s.inFlight.ahead-h.reading.Delay(s.inFlight.waiting), minDelay))
		h.silence.RecordFirstEvent(now.Sub(s.started))
	}
}
