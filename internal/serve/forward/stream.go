package forward

import (
	"bytes"
	"io"
	"net/http"

	"lycheevale/internal/place/pick"
	"lycheevale/internal/wire/upstream"
)

// eventEnd separates the events of a stream.
var eventEnd = []byte("\n\n")

// streamBuffer holds several events, in bytes.
const streamBuffer = 4 << 10

// stream passes complete events on as they arrive. A stream that breaks off can go on at another endpoint behind the last
// event that the caller has.
func (h *Handler) stream(x *exchange, s sending, a *upstream.Answer) (verdict, string) {
	if !x.begun {
		copyHeader(x.Header(), a.Header)
		x.WriteHeader(a.Status)
		x.begun = true
	}
	controller := http.NewResponseController(x.ResponseWriter)
	var pending []byte
	buffer := make([]byte, streamBuffer)
	for {
		n, err := a.Body.Read(buffer)
		if n > 0 {
			if x.first.IsZero() {
				x.first = h.options.Now()
			}
			h.hearFirst(s)
			pending = append(pending, buffer[:n]...)
		}
		complete := bytes.LastIndex(pending, eventEnd) + len(eventEnd)
		if err == io.EOF {
			complete = len(pending)
		}
		if complete >= len(eventEnd) && len(pending) > 0 {
			if !h.pass(x, controller, pending[:complete]) {
				return mayRun, reasonStopped
			}
			pending = append(pending[:0], pending[complete:]...)
		}
		switch {
		case err == io.EOF:
			return answered, ""
		case err != nil:
			return mayRun, h.broken(x, s)
		}
	}
}

// pass writes events and remembers the last one.
func (h *Handler) pass(x *exchange, controller *http.ResponseController, events []byte) bool {
	if _, err := x.Write(events); err != nil {
		return false
	}
	if err := controller.Flush(); err != nil {
		return false
	}
	whole := bytes.TrimRight(events, "\n")
	last := whole[bytes.LastIndex(whole, eventEnd)+1:]
	if id := h.options.Codec.EventID(last); id != "" {
		x.request.LastEvent = id
	}
	return true
}

// hearFirst observes the first bytes of a stream, and notes all others.
func (h *Handler) hearFirst(s sending) {
	now := h.options.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.silence.Heard(now, s.ID)
	s.flight.heardAt = now
	if !s.flight.begun {
		s.flight.begun = true
		h.picker.Observe(now, s.ID, pick.Served, now.Sub(s.started))
		h.silence.Began(now.Sub(s.started))
	}
}
