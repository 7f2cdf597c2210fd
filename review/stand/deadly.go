package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	deadlyPath   = "/lookup/claims"
	deadlyPart   = "/part/claims"
	restartTime  = 3 * time.Second // a crashed worker is back after some seconds
	maxRetries   = 3               // of rule BUDGET
	deadlyEvery  = 2500 * time.Millisecond
	deadlyRounds = 24
)

// deadlyLog counts the runs of the request that crashes workers.
type deadlyLog struct {
	site    *site
	mu      sync.Mutex
	crashes int
	third   time.Time // when the third worker crashed
	late    int       // runs later than contactMs after that
}

// crashes reports whether a worker crashes, and ends it.
func (l *deadlyLog) crash(w *worker, q *http.Request) bool {
	if q.URL.Path != deadlyPath && q.URL.Path != deadlyPart {
		return false
	}
	l.mu.Lock()
	l.crashes++
	n := l.crashes
	if n == maxRetries {
		l.third = time.Now()
	}
	if n > maxRetries && time.Since(l.third) > contactTime {
		l.late++
	}
	l.mu.Unlock()
	time.Sleep(w.pause) // it has begun to run it
	l.site.note("%s: %s %s: crash %d", w.id, q.Header.Get("X-Attempt-Id"), q.URL.RequestURI(), n)
	w.crash()
	time.AfterFunc(restartTime, func() {
		select {
		case <-w.quit:
		default:
			w.boot()
		}
	})
	return true
}

// deadlyQuery repeats a request that crashes each worker which begins to run it, with the same path, caller and body, and another query each time.
func deadlyQuery(s *site, trouble bool) int {
	l := &deadlyLog{site: s}
	for zone := range zones {
		s.newWorker(zone, "llm", zones[zone][0], "base", 64)
		w := s.newWorker(len(zones)+zone, "desk", zones[zone][0], "", 6)
		if trouble {
			w.deadly = l.crash
		}
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
			s.lookUp(zone, stop)
		}()
	}
	for n := range deadlyRounds {
		path := fmt.Sprintf("%s?_=%d", deadlyPath, time.Now().UnixMilli())
		if !varyQuery {
			path = deadlyPath
		}
		users.Add(1)
		go func() {
			defer users.Done()
			s.send(request{zone: n % len(zones), method: http.MethodGet, path: path, timeout: 1200 * time.Millisecond})
		}()
		time.Sleep(deadlyEvery)
	}
	close(stop)
	users.Wait()
	return l.judge()
}

// lookUp sends sound requests.
func (s *site) lookUp(zone int, stop chan struct{}) {
	var group sync.WaitGroup
	defer group.Wait()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(300 * time.Millisecond):
		}
		group.Add(1)
		go func() {
			defer group.Done()
			s.send(request{zone: zone, method: http.MethodGet, path: fmt.Sprintf("/lookup/w%d%s", n, strings.Repeat("0", zone)), timeout: 1200 * time.Millisecond})
		}()
	}
}

// varyQuery is off with QUERY=same.
var varyQuery = os.Getenv("QUERY") != "same"

const (
	copiesEvery  = 9 * time.Second
	copiesRounds = 5
)

// deadlyCopies sends three copies of a request that crashes workers at once, one to each entry, and repeats that.
func deadlyCopies(s *site, trouble bool) int {
	l := &deadlyLog{site: s}
	for zone := range zones {
		s.newWorker(zone, "llm", zones[zone][0], "base", 64)
		w := s.newWorker(len(zones)+zone, "desk", zones[zone][0], "", 6)
		if trouble {
			w.deadly = l.crash
		}
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
			s.lookUp(zone, stop)
		}()
	}
	time.Sleep(contactTime)
	for range copiesRounds {
		for zone := range copiesAtOnce {
			users.Add(1)
			go func() {
				defer users.Done()
				s.send(request{zone: zone, method: http.MethodPost, path: deadlyPart, body: "claim 17", timeout: 1200 * time.Millisecond})
			}()
		}
		time.Sleep(copiesEvery)
	}
	close(stop)
	users.Wait()
	return l.judge()
}

// copiesAtOnce is 1 with COPIES=1.
var copiesAtOnce = map[bool]int{false: len(zones), true: 1}[os.Getenv("COPIES") == "1"]

func (l *deadlyLog) judge() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.site.note("%d crashes, %d later than %v after the third", l.crashes, l.late, contactTime)
	if l.late > maxRetries {
		l.site.note("BUDGET broken")
		return broken
	}
	l.site.note("BUDGET held")
	return held
}
