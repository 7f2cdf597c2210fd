package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// giveUpAfter is within half of the objective of orders, within which clients leave (give_up).
const giveUpAfter = 5 * time.Millisecond

// orderlyLeave lets a fifth of the clients leave before their answer: they end their side of the connection and read what still comes.
func orderlyLeave(s *site, trouble bool) int {
	for zone := range zones {
		s.newWorker(zone, "llm", zones[zone][0], "base", 64)
		w := s.newWorker(len(zones)+zone, "desk", zones[zone][0], "", 6)
		w.pause = 15 * time.Millisecond // the work of an order on the sheet
	}
	s.startAll()
	time.Sleep(2 * time.Second)
	if !s.replace(s.config(1)) || !s.awaitReady() {
		return failed
	}
	time.Sleep(2 * contactTime)
	var group sync.WaitGroup
	var mu sync.Mutex
	wrong := 0
	for n := range 50 {
		group.Add(1)
		go func() {
			defer group.Done()
			if !s.leave(n%len(zones), trouble && n%5 == 0) {
				mu.Lock()
				wrong++
				mu.Unlock()
			}
		}()
		time.Sleep(100 * time.Millisecond)
	}
	group.Wait()
	if wrong > 0 {
		s.note("MIXED broken: %d clients got a success without a seal", wrong)
		return broken
	}
	s.note("MIXED held")
	return held
}

// leave sends an order on a connection of its own and reports whether the answer is allowed.
func (s *site) leave(zone int, leaves bool) (allowed bool) {
	id := fmt.Sprintf("c%06d", attempts.Add(1))
	c, err := net.Dial("tcp", s.entryAddress(zone))
	must(err)
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	s.note("sent %s POST /part/x to entry %d", id, zone)
	_, err = fmt.Fprintf(c, "POST /part/x HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 1200\r\nAuthorization: Bearer key-1\r\nContent-Length: 4\r\n\r\npart", id)
	must(err)
	if leaves {
		time.Sleep(giveUpAfter)
		s.note("%s leaves: it closes its side of the connection", id)
		must(c.(*net.TCPConn).CloseWrite())
	}
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		s.note("answered %s: no answer, %v", id, err)
		return true
	}
	defer func() { _ = a.Body.Close() }()
	body, err := io.ReadAll(a.Body)
	seal := a.Header.Get("X-Server-Seal")
	s.note("answered %s: %d, seal %q, %d bytes, complete: %v", id, a.StatusCode, seal, len(body), err == nil)
	return a.StatusCode >= http.StatusMultipleChoices || (seal != "" && string(body) == "answer to "+id+"\n")
}
