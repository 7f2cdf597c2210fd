// Package service is a fake plain service that counts how often each order ran.
package service

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// Service implements http.Handler; the function fields inject faults.
type Service struct {
	Name    string
	Inspect func(r *http.Request, body []byte) // called with every request and its body
	Before  func(r *http.Request)              // runs before the order
	After   func(r *http.Request)              // runs after the order and before the answer
	mu      sync.Mutex
	runs    map[string]int
	started time.Time
}

// New returns a service with the given name.
func New(name string) *Service {
	return &Service{Name: name, runs: map[string]int{}, started: time.Now()}
}

// Runs returns how often the order with the reference ran.
func (s *Service) Runs(reference string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[reference]
}

// Restart gives the service a new incarnation, as a restart of its process would. What has run is remembered.
func (s *Service) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started = time.Now()
}

// Incarnation returns the incarnation to announce.
func (s *Service) Incarnation() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return uint64(s.started.UnixNano())
}

type order struct {
	Reference string `json:"reference"`
}

// ServeHTTP runs the order in the body of a POST request; other methods are lookups, which run nothing.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if s.Inspect != nil {
		s.Inspect(r, body)
	}
	if s.Before != nil {
		s.Before(r)
	}
	var o order
	_ = json.Unmarshal(body, &o)
	count := 0
	if r.Method == http.MethodPost {
		s.mu.Lock()
		s.runs[o.Reference]++
		count = s.runs[o.Reference]
		s.mu.Unlock()
	}
	if s.After != nil {
		s.After(r)
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, "{\"service\":%q,\"path\":%q,\"reference\":%q,\"runs\":%d}\n", s.Name, r.URL.Path, o.Reference, count)
}
