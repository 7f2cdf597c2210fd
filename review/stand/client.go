package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// request of a client; empty fields are not sent.
type request struct {
	zone     int
	method   string
	path     string
	model    string
	tokens   string // of the prompt and at most of the answer
	timeout  time.Duration
	body     string
	attempt  string // set by send
	lastSeen string // Last-Event-Id
}

// reply to a client. Complete is false if it was cut off.
type reply struct {
	status   int
	header   http.Header
	body     string
	complete bool
	events   int
}

var attempts atomic.Int64

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}

// send sends a request to the entry of a zone and notes both in the record.
func (s *site) send(q request) (a reply) {
	q.attempt = fmt.Sprintf("c%06d", attempts.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), q.timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+s.entryAddress(q.zone)+q.path, strings.NewReader(q.body))
	must(err)
	r.Host = "desk.example"
	r.Header.Set("X-Attempt-Id", q.attempt)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(q.timeout.Milliseconds()))
	r.Header.Set("Authorization", "Bearer key-1")
	if q.model != "" {
		r.Header.Set("X-Model", q.model)
		r.Header.Set("X-Token-Count", q.tokens)
		r.Header.Set("X-Prompt-Prefix", fmt.Sprintf("aa%x:50", len(q.model)))
	}
	if q.lastSeen != "" {
		r.Header.Set("Last-Event-Id", q.lastSeen)
	}
	s.note("sent %s %s %s %s to entry %d", q.attempt, q.method, q.path, q.model, q.zone)
	answer, err := client.Do(r)
	if err != nil {
		s.note("answered %s: no answer", q.attempt)
		return a
	}
	defer func() { _ = answer.Body.Close() }()
	a.status, a.header = answer.StatusCode, answer.Header
	reader := bufio.NewReader(answer.Body)
	var text strings.Builder
	_, err = io.Copy(&text, reader)
	a.body, a.complete = text.String(), err == nil
	a.events = strings.Count(a.body, "\n\n")
	s.note("answered %s: %d, %d bytes, %d events, complete: %v", q.attempt, a.status, len(a.body), a.events, a.complete)
	return a
}
