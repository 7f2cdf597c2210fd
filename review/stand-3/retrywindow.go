package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Streams of the case: 25 a second of 120 events, for at most 18 s, at four engines.
const (
	streamRate    = 25
	streamEngines = 4
	streamEvents  = 120
	eventPause    = 100 * time.Millisecond
	streamTime    = 18 * time.Second
	streamSlots   = 128
)

// The retry budget of the users' small deployments.
const (
	budgetRatio  = 0.2
	budgetSlack  = 58
	budgetWindow = 10 * time.Second
)

// One endpoint after the other crashes, each within a window of the one before.
const (
	warmUp       = 14 * time.Second
	crashes      = 3
	betweenCrash = 9800 * time.Millisecond
)

// traffic records when streams were sent and when they reached endpoints.
type traffic struct {
	mu      sync.Mutex
	sent    []time.Time
	arrived map[string]int
	repeats []time.Time
}

func (t *traffic) arrive(attempt string) (n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.arrived[attempt]++; t.arrived[attempt] > 1 {
		t.repeats = append(t.repeats, time.Now())
	}
	return t.arrived[attempt]
}

func playRetryWindow(f *fleet) (broken string, err error) {
	t := &traffic{arrived: map[string]int{}}
	store := newStore(f)
	if err := f.startPrograms(len(zones)); err != nil {
		return "", err
	}
	var engines []*engine
	for n := range streamEngines {
		zone := n % len(zones)
		e := &engine{
			fleet: f, store: store, id: fmt.Sprintf("i-%02d", n), zone: zone, address: f.workerAddress(zone, n).String(), sizes: map[string]float64{"m0": modelMB},
			memory: engineMB, slots: streamSlots, loadTime: modelLoadTime, held: []string{"m0"}, exceeded: func(*engine, string) {},
		}
		e.serveRequest = t.serve(e)
		if err := e.run(); err != nil {
			return "", err
		}
		engines = append(engines, e)
	}
	f.sleep(3 * time.Second)
	if err := f.configure(engineConfig(streamSlots, "m0")); err != nil {
		return "", err
	}
	if err := f.awaitReady(); err != nil {
		return "", err
	}
	f.sleep(2 * time.Second)
	ctx, stop := context.WithCancel(f.ctx)
	f.group.Go(func() error {
		t.send(ctx, f)
		return nil
	})
	f.sleep(warmUp)
	for range crashes {
		if f.trouble {
			busiest(engines).crashLogged()
		}
		f.sleep(betweenCrash)
	}
	f.sleep(time.Second)
	stop()
	return t.check(f), nil
}

func busiest(engines []*engine) (most *engine) {
	for _, e := range engines {
		if most == nil || e.active.Load() > most.active.Load() {
			most = e
		}
	}
	return most
}

func (e *engine) crashLogged() {
	e.fleet.log("%s crashes with %d streams", e.id, e.active.Load())
	e.crash()
}

// serve answers with a stream, from the event behind Last-Event-Id on.
func (t *traffic) serve(e *engine) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // a caller that has left is noticed below
		attempt := r.Header.Get("X-Attempt-Id")
		from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // absent means from the first
		e.fleet.log("%s: arrival %d of %s, behind event %d", e.id, t.arrive(attempt), attempt, from)
		e.active.Add(1)
		defer e.active.Add(-1)
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("X-Server-Seal", "seal-"+e.id)
		w.Header().Set("X-Weight-Versions", "1")
		for n := from + 1; n <= streamEvents; n++ {
			select {
			case <-r.Context().Done():
				return
			case <-time.After(eventPause):
			}
			if _, err := fmt.Fprintf(w, "id: %d\ndata: word %d\n\n", n, n); err != nil {
				return
			}
			_ = http.NewResponseController(w).Flush() // a broken connection ends the request
		}
	}
}

// send sends streams at a constant rate to the entries in turn.
func (t *traffic) send(ctx context.Context, f *fleet) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	ticker := time.NewTicker(time.Second / streamRate)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		f.group.Go(func() error {
			t.request(f, client, n)
			return nil
		})
	}
}

func (t *traffic) request(f *fleet, client *http.Client, n int) {
	ctx, cancel := context.WithTimeout(f.ctx, streamTime)
	defer cancel()
	url := fmt.Sprintf("http://%s:%d/draft/x%d", f.entryIP(n%len(zones)), callerPort, n)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(fmt.Sprintf("prompt %d", n)))
	if err != nil {
		return
	}
	attempt := fmt.Sprintf("%016x", n+1)
	r.Host = "site.example"
	r.Header.Set("Authorization", "Bearer key-1")
	r.Header.Set("X-Attempt-Id", attempt)
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(streamTime.Milliseconds(), 10))
	r.Header.Set("X-Model", "m0")
	r.Header.Set("X-Token-Count", "40,400")
	r.Header.Set("X-Prompt-Prefix", fmt.Sprintf("%x:40", n))
	t.mu.Lock()
	t.sent = append(t.sent, time.Now())
	t.mu.Unlock()
	f.log("%s: sent to entry %d", attempt, n%len(zones))
	response, err := client.Do(r)
	if err != nil {
		f.log("%s: no answer: %v", attempt, err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	last := ""
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if id, found := strings.CutPrefix(lines.Text(), "id: "); found {
			last = id
		}
	}
	f.log("%s: %d, last event %q, error %v", attempt, response.StatusCode, last, lines.Err())
}

// check compares the repeats of each window with what its requests allow.
func (t *traffic) check(f *fleet) (broken string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	worst := 0.0
	for _, from := range t.repeats {
		repeats := within(t.repeats, from)
		requests := max(within(t.sent, from), within(t.sent, from.Add(-budgetWindow)), within(t.sent, from.Add(-budgetWindow/2)))
		allowed := budgetRatio*float64(requests) + budgetSlack
		if over := float64(repeats) - allowed; over > worst {
			worst = over
			broken = fmt.Sprintf("BUDGET: %d repeats in 10 s from %.3f s on, %d requests allow %.1f", repeats, from.Sub(f.started).Seconds(), requests, allowed)
		}
	}
	f.log("%d streams sent, %d repeats arrived", len(t.sent), len(t.repeats))
	return broken
}

func within(list []time.Time, from time.Time) (n int) {
	for _, at := range list {
		if !at.Before(from) && at.Before(from.Add(budgetWindow)) {
			n++
		}
	}
	return n
}
