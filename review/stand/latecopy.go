package main

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Largest doses of garble with extra answers on the sheets: share 0.6 of the workers, 0.03 of their answers, for 5 s.
const (
	extraShare = 0.03
	extraTime  = 5 * time.Second
)

// lateCopy makes one of three model workers send a second copy of its answer to an order, late, where the answer to the next order is expected.
func lateCopy(s *site, trouble bool) int {
	var once sync.Once
	for zone := range zones {
		w := s.newWorker(zone, "llm", zones[zone][0], "base", 64)
		if zone == 0 && trouble {
			w.extra = func(w *worker, c *workerConn, operation, _ string, inUse bool) (b []byte) {
				if operation != "unload" || !inUse || c.status != http.StatusOK || 1 > extraShare*float64(w.answersSince(extraTime)) {
					return nil
				}
				once.Do(func() { b = bytes.Clone(c.last) })
				return b
			}
		}
		s.newWorker(len(zones)+zone, "desk", zones[zone][0], "", 6)
	}
	s.startAll()
	time.Sleep(2 * time.Second)
	if !s.replace(s.config(1)) || !s.awaitReady() {
		return failed
	}
	time.Sleep(2 * contactTime)
	stop := make(chan struct{})
	var users sync.WaitGroup
	for zone := range zones {
		users.Add(1)
		go func() {
			defer users.Done()
			s.chat(zone, stop)
		}()
	}
	time.Sleep(extraTime)
	for round := range 6 {
		if s.round(round); s.overloaded() {
			break
		}
	}
	close(stop)
	users.Wait()
	for _, w := range s.workers {
		if w.overload != "" {
			s.note("LIMIT broken: %s was ordered to load %s beyond its places", w.id, w.overload)
			return broken
		}
	}
	s.note("LIMIT held")
	return held
}

func (s *site) overloaded() bool {
	for _, w := range s.workers {
		w.mu.Lock()
		over := w.overload != ""
		w.mu.Unlock()
		if over {
			return true
		}
	}
	return false
}

// chat sends short requests to the base model, which need no adapter.
func (s *site) chat(zone int, stop chan struct{}) {
	var group sync.WaitGroup
	defer group.Wait()
	for {
		select {
		case <-stop:
			return
		case <-time.After(90 * time.Millisecond):
		}
		group.Add(1)
		go func() {
			defer group.Done()
			s.send(request{zone: zone, method: http.MethodPost, path: "/guide/x", model: "base", tokens: "60,4", timeout: 5 * time.Second})
		}()
	}
}

// round asks for adapters that are new to the worker of the first zone. Three that have been used are followed by two new ones and, at the same time,
// one of the three again; then by three more.
func (s *site) round(round int) {
	name := func(n int) string { return fmt.Sprintf("base/a%d", 100*(round+1)+n) }
	ask := func(group *sync.WaitGroup, n, tokens int) {
		group.Add(1)
		go func() {
			defer group.Done()
			s.send(request{zone: 0, method: http.MethodPost, path: "/fold/x", model: name(n), tokens: fmt.Sprintf("60,%d", tokens), timeout: 15 * time.Second})
		}()
	}
	s.note("round %d", round)
	var short, long sync.WaitGroup
	for n := range 3 {
		for range n + 1 {
			ask(&short, n, 4)
			short.Wait()
		}
		s.useLocal(n)
	}
	time.Sleep(1600 * time.Millisecond)
	ask(&long, 3, 200)
	ask(&long, 4, 200)
	ask(&long, 1, 200)
	time.Sleep(700 * time.Millisecond)
	for n := 5; n < 9; n++ {
		ask(&long, n, 200)
	}
	long.Wait()
	time.Sleep(2 * time.Second)
}

// useLocal asks for an adapter in each of the other zones, whose users have adapters of their own.
func (s *site) useLocal(n int) {
	for zone := 1; zone < len(zones); zone++ {
		model := fmt.Sprintf("base/a%d", 10*zone+n)
		s.send(request{zone: zone, method: http.MethodPost, path: "/fold/x", model: model, tokens: "60,4", timeout: 15 * time.Second})
	}
}
