package network

import (
	"io"
	"os"
	"sync"
	"time"
)

// maxBuffered is the number of bytes that one direction buffers before a writer blocks.
const maxBuffered = 256 << 10

// half is one direction of a connection.
type half struct {
	mu            sync.Mutex
	queue         []segment
	size          int
	silent        bool // drops what is written, as a device that has lost its connection state does
	lost          int  // bytes dropped while cut; TCP would retransmit them, so later bytes must not arrive before them
	err           error
	readDeadline  time.Time
	writeDeadline time.Time
	changed       chan struct{} // closed and replaced at each change
}

type segment struct {
	data []byte
	due  time.Time
}

func newHalf() *half { return &half{changed: make(chan struct{})} }

func (h *half) notify() {
	close(h.changed)
	h.changed = make(chan struct{})
}

func (h *half) silence() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.silent = true
}

func (h *half) close(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	lost := h.silent && err == io.EOF
	if h.err == nil && !lost {
		h.err = err
		h.notify()
	}
}

func (h *half) setReadDeadline(t time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.readDeadline = t
	h.notify()
}

func (h *half) setWriteDeadline(t time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.writeDeadline = t
	h.notify()
}

// wait blocks until the next change or the given time. It must be called with the lock held and returns with it held.
func (h *half) wait(until time.Time) {
	changed := h.changed
	h.mu.Unlock()
	defer h.mu.Lock()
	if until.IsZero() {
		<-changed
		return
	}
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	}
}

func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

func (h *half) read(p []byte) (int, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for {
		now := time.Now()
		switch {
		case !h.readDeadline.IsZero() && !now.Before(h.readDeadline):
			return 0, os.ErrDeadlineExceeded
		case len(h.queue) > 0 && !now.Before(h.queue[0].due):
			return h.take(p), nil
		case h.err != nil && (h.err != io.EOF || len(h.queue) == 0):
			return 0, h.err
		}
		until := h.readDeadline
		if len(h.queue) > 0 {
			until = earlier(until, h.queue[0].due)
		}
		h.wait(until)
	}
}

func (h *half) openAndUnread() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.err == nil && (len(h.queue) == 0 || time.Now().Before(h.queue[0].due))
}

func (h *half) take(p []byte) int {
	n := copy(p, h.queue[0].data)
	h.size -= n
	if n == len(h.queue[0].data) {
		h.queue = h.queue[1:]
	} else {
		h.queue[0].data = h.queue[0].data[n:]
	}
	h.notify()
	return n
}

func (h *half) write(p []byte, due time.Time, lost bool) (int, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for {
		now := time.Now()
		switch {
		case h.err != nil:
			return 0, io.ErrClosedPipe
		case !h.writeDeadline.IsZero() && !now.Before(h.writeDeadline):
			return 0, os.ErrDeadlineExceeded
		case lost || h.silent || h.lost > 0:
			// A connection that has lost bytes stays silent, because the fake does not retransmit.
			h.lost += len(p)
			return len(p), nil
		case h.size < maxBuffered:
			h.queue = append(h.queue, segment{append([]byte(nil), p...), due})
			h.size += len(p)
			h.notify()
			return len(p), nil
		}
		h.wait(h.writeDeadline)
	}
}
