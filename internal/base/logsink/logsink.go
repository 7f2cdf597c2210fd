// Package logsink prevents logging from slowing down a process: lines with the same message beyond a rate are dropped and
// counted, and a reader that has stopped reading does not block the process.
package logsink

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// Sink is a writer with a bounded queue.
type Sink struct {
	lines  chan []byte
	out    io.Writer
	mu     sync.Mutex
	lost   int64
	closed bool
	group  errgroup.Group
}

// queueLines holds a few seconds of output of a busy process.
const queueLines = 2048

// New returns a sink that writes to out until Close.
func New(out io.Writer) *Sink {
	s := &Sink{lines: make(chan []byte, queueLines), out: out}
	s.group.Go(s.run)
	return s
}

func (s *Sink) run() error {
	for line := range s.lines {
		// A failure to write the log cannot be reported anywhere.
		_, _ = s.out.Write(line)
	}
	return nil
}

// Write queues a copy of the line, or counts it as lost if the queue is full.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return len(line), nil
	}
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.lost++
	}
	return len(line), nil
}

// Lost returns the number of lines dropped because the queue was full.
func (s *Sink) Lost() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lost
}

// Close stops accepting lines and waits until the queued lines are written, at most until the deadline.
func (s *Sink) Close(deadline time.Time) {
	s.mu.Lock()
	s.closed = true
	close(s.lines)
	s.mu.Unlock()
	done := make(chan struct{})
	var waiter errgroup.Group
	waiter.Go(func() error {
		defer close(done)
		return s.group.Wait()
	})
	select {
	case <-done:
	case <-time.After(time.Until(deadline)):
	}
}

// Limiter is a handler that passes a bounded number of lines a second for each message. Lines above the level Warn are
// never dropped.
type Limiter struct {
	slog.Handler
	state *limits
}

type limits struct {
	mu        sync.Mutex
	second    int64
	passed    map[string]int
	dropped   map[string]int
	perSecond int
}

// NewLimiter returns a limiter that passes perSecond lines a second for each message.
func NewLimiter(h slog.Handler, perSecond int) *Limiter {
	return &Limiter{Handler: h, state: &limits{passed: map[string]int{}, dropped: map[string]int{}, perSecond: perSecond}}
}

// Handle implements slog.Handler. The next line of a message carries the number of lines dropped before it.
func (l *Limiter) Handle(ctx context.Context, r slog.Record) error {
	s := l.state
	s.mu.Lock()
	if second := r.Time.Unix(); second != s.second {
		s.second = second
		clear(s.passed)
	}
	if s.passed[r.Message] >= s.perSecond && r.Level <= slog.LevelWarn {
		s.dropped[r.Message]++
		s.mu.Unlock()
		return nil
	}
	s.passed[r.Message]++
	lost := s.dropped[r.Message]
	delete(s.dropped, r.Message)
	s.mu.Unlock()
	if lost > 0 {
		r.AddAttrs(slog.Int("LeftOut", lost))
	}
	return l.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (l *Limiter) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Limiter{Handler: l.Handler.WithAttrs(attrs), state: l.state}
}

// WithGroup implements slog.Handler.
func (l *Limiter) WithGroup(name string) slog.Handler {
	return &Limiter{Handler: l.Handler.WithGroup(name), state: l.state}
}
