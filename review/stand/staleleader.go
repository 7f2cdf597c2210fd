package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// freezeTime is within the longest freeze of a core machine on the sheet.
	freezeTime = 6 * time.Second
	// thawTime is thawMs, for which orders of a thawed machine do not count.
	thawTime = 300 * time.Millisecond
)

// orderLog judges the orders to all workers by rule ONE, for workers that do not check fencing tokens.
type orderLog struct {
	site    *site
	mu      sync.Mutex
	highest map[string]uint64 // fencing token by worker
	holder  string            // of the last order
	thawed  string            // holder that was frozen
	at      time.Time         // when it was thawed
	stale   int
}

func (l *orderLog) ordered(w *worker, holder string, fence uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if before := l.highest[w.id]; fence < before {
		excused := holder == l.thawed && time.Since(l.at) < thawTime
		l.site.note("%s: token %d of %s after token %d, %v after the thaw, excused: %v", w.id, fence, holder, before, time.Since(l.at).Round(time.Millisecond), excused)
		if !excused {
			l.stale++
		}
		return
	}
	l.highest[w.id], l.holder = fence, holder
}

// staleLeader freezes the leader while many new adapters are asked for, as when rare models are asked for at once.
func staleLeader(s *site, trouble bool) int {
	zones = [][2]string{{"suva-a", "viti-levu"}, {"labasa-a", "vanua-levu"}, {"vunisea-a", "kadavu"}}
	s.unfenced, s.places = true, 36
	l := &orderLog{site: s, highest: map[string]uint64{}}
	for n := range 2 {
		w := s.newWorker(n, "llm", zones[0][0], "base", 128)
		w.pause, w.ordered = 20*time.Millisecond, l.ordered
	}
	s.startAll()
	time.Sleep(2 * time.Second)
	if !s.replace(s.config(1)) || !s.awaitReady() {
		return failed
	}
	time.Sleep(contactTime)
	stop := make(chan struct{})
	var users sync.WaitGroup
	for zone := range zones {
		users.Add(1)
		go func() {
			defer users.Done()
			s.askRare(zone, stop)
		}()
	}
	for n := 0; n < 3 && !l.broken(); n++ {
		time.Sleep(2 * contactTime)
		if !trouble {
			time.Sleep(freezeTime)
		} else if !l.freezeLeader() {
			return failed
		}
		time.Sleep(contactTime)
	}
	close(stop)
	users.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stale > 0 {
		s.note("ONE broken: %d orders with a lower fencing token after a higher one", l.stale)
		return broken
	}
	s.note("ONE held")
	return held
}

// askRare sends requests for adapters that are seldom used.
func (s *site) askRare(zone int, stop chan struct{}) {
	var group sync.WaitGroup
	defer group.Wait()
	for {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		group.Add(1)
		go func() {
			defer group.Done()
			model := fmt.Sprintf("base/a%d", 1+rand.IntN(3000))
			s.send(request{zone: zone, method: http.MethodPost, path: "/guide/x", model: model, tokens: "60,4", timeout: 5 * time.Second})
		}()
	}
}

func (l *orderLog) broken() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stale > 0
}

// freezeLeader stops the control instance that gave the last order, and continues it.
func (l *orderLog) freezeLeader() bool {
	l.mu.Lock()
	holder := l.holder
	l.mu.Unlock()
	for zone := range zones {
		if !strings.HasSuffix(holder, zones[zone][0]) {
			continue
		}
		name := fmt.Sprint("control", zone)
		l.site.signal(name, syscall.SIGSTOP)
		time.Sleep(freezeTime)
		l.mu.Lock()
		l.thawed, l.at = holder, time.Now()
		l.mu.Unlock()
		l.site.signal(name, syscall.SIGCONT)
		return true
	}
	return false
}
