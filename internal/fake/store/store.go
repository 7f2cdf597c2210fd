// Package store is a fake weight store.
package store

import (
	"context"
	"sync"
	"time"
)

// Performance of the weight store as specified by the platform.
const (
	LoadTime     = 250 * time.Millisecond // one load while at most FullSpeed are in transit
	FullSpeed    = 8                      // transfers in transit at full speed
	LoadsPerSec  = 4.0
	minimumDelay = time.Millisecond
)

// Store serves loads at a bounded rate; the function fields inject faults.
type Store struct {
	LoadTime time.Duration             // time of one load at full speed
	Interval time.Duration             // minimum time between the starts of two loads
	Before   func(source string)       // called when a transfer starts
	Fail     func(source string) error // non-nil error fails the load
	mu       sync.Mutex
	transit  int
	next     time.Time
	loads    int
}

// New returns a store with the performance specified by the platform.
func New() *Store {
	return &Store{LoadTime: LoadTime, Interval: time.Duration(float64(time.Second) / LoadsPerSec)}
}

// Loads returns the number of successful loads.
func (s *Store) Loads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loads
}

// Fetch waits until the weights have been transferred, or returns an error.
func (s *Store) Fetch(ctx context.Context, source string) error {
	if s.Before != nil {
		s.Before(source)
	}
	delay := s.start()
	defer s.end()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(delay):
	}
	if s.Fail != nil {
		if err := s.Fail(source); err != nil {
			return err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loads++
	return nil
}

func (s *Store) start() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.transit++
	now := time.Now()
	begin := now
	if s.next.After(now) {
		begin = s.next
	}
	s.next = begin.Add(s.Interval)
	slowdown := max(1, float64(s.transit)/FullSpeed)
	return max(minimumDelay, begin.Sub(now)+time.Duration(float64(s.LoadTime)*slowdown))
}

func (s *Store) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.transit--
}
