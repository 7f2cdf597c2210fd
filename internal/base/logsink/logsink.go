// Package logsink keeps logging from slowing a process down: lines of one event beyond a rate are left out and counted,
// and a reader that has stopped reading delays nobody.
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
	lines chan []byte
	out   io.Writer
	mu    sync.Mutex
	lost  int64
	ended bool
	group errgroup.Group
}

// queueLines is a few seconds of lines of a busy process.
const queueLines = 2048

// New returns a sink that writes to out until Close.
func New(out io.Writer) *Sink {
	s := &Sink{lines: make(chan []byte, queueLines), out: out}
	s.group.Go(s.run)
	return s
}

func (s *Sink) run() error {
	for line := range s.lines {
		// There is nowhere to report a failure of the log itself.
		_, _ = s.out.Write(line)
	}
	return nil
}

// Write queues a copy of the line, or counts it as lost if the queue is full.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return len(line), nil
	}
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.lost++
	}
	return len(line), nil
}

// Lost returns the number of lines that found the queue full.
func (s *Sink) Lost() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lost
}

// Close writes what is queued, for as long as a reader takes it and at most until the deadline.
func (s *Sink) Close(deadline time.Time) {
	s.mu.Lock()
	s.ended = true
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

// Limiter is a handler that passes on a bounded number of lines a second for each message. Lines above the level Warn are
// never left out.
type Limiter struct {
	slog.Handler
	state *limits
}

type limits struct {
	mu     sync.Mutex
	second int64
	passed map[string]int
	lost   map[string]int
	most   int
}

// NewLimiter returns a limiter with the number of lines a second for each message.
func NewLimiter(h slog.Handler, perSecond int) *Limiter {
	return &Limiter{Handler: h, state: &limits{passed: map[string]int{}, lost: map[string]int{}, most: perSecond}}
}

// Handle implements slog.Handler. The first line of a message after some were left out tells how many.
func (l *Limiter) Handle(ctx context.Context, r slog.Record) error {
	s := l.state
	s.mu.Lock()
	if second := r.Time.Unix(); second != s.second {
		s.second = second
		clear(s.passed)
	}
	if s.passed[r.Message] >= s.most && r.Level <= slog.LevelWarn {
		s.lost[r.Message]++
		s.mu.Unlock()
		return nil
	}
	s.passed[r.Message]++
	lost := s.lost[r.Message]
	delete(s.lost, r.Message)
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
