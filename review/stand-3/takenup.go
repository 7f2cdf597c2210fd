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
	"syscall"
	"time"
)

// A deployment as large as that of inkrow: nine entries, and nine engines of two software versions.
const (
	manyEntries = 9
	oldEngines  = 5
	newEngines  = 4
)

// Streams of the case: 40 at one entry, of 120 events of 100 ms. Their route has an objective of 1,000 ms and a pause of 400 ms, so that clients abandon a
// stream after a gap of 4 s.
const (
	heldStreams = 40
	longEvents  = 120
	abandonGap  = 4 * time.Second
)

// Both machines are dark for darkTime, the entry a moment later.
const (
	darkTime   = 5 * time.Second
	darkOffset = 300 * time.Millisecond
)

// lookups counts streams that were taken up and those that went on.
type lookups struct {
	mu                          sync.Mutex
	taken, wentOn, fresh, begun int
}

func playTakenUp(f *fleet) (broken string, err error) {
	if err := f.startPrograms(manyEntries); err != nil {
		return "", err
	}
	store := newStore(f)
	var first *engine
	for n := range oldEngines + newEngines {
		e := &engine{
			fleet: f, store: store, id: fmt.Sprintf("i-%02d", n), software: "v1", zone: n % len(zones), address: f.workerAddress(n%len(zones), n).String(),
			sizes: map[string]float64{"m0": modelMB}, memory: engineMB, slots: modelSlots, loadTime: modelLoadTime, held: []string{"m0"}, exceeded: func(*engine, string) {},
		}
		if n >= oldEngines {
			e.software = "v2"
		}
		e.serveRequest = serveLongStream(e)
		if err := e.run(); err != nil {
			return "", err
		}
		if n == 0 {
			first = e
		}
	}
	f.sleep(3 * time.Second)
	if err := f.configure(engineConfig(modelSlots, "m0")); err != nil {
		return "", err
	}
	if err := f.awaitReady(); err != nil {
		return "", err
	}
	f.sleep(8 * time.Second)

	l := &lookups{}
	leader := first.leader()
	const entry = manyEntries - 1
	abandon := make(chan struct{}) // without the disruption, clients abandon their streams at the same time
	for n := range heldStreams {
		f.group.Go(func() error {
			l.hold(f, entry, fmt.Sprintf("%08x%08x", entry, n), abandon)
			return nil
		})
	}
	f.sleep(3 * time.Second)
	if f.trouble {
		f.signal(fmt.Sprintf("control-%d", leader), syscall.SIGSTOP)
	}
	f.sleep(darkOffset)
	if f.trouble {
		f.signal(fmt.Sprintf("entry-%d", entry), syscall.SIGSTOP)
	}
	f.sleep(abandonGap + 100*time.Millisecond)
	if !f.trouble {
		close(abandon)
	}
	for n := range heldStreams {
		f.group.Go(func() error {
			l.begin(f, n%entry, fmt.Sprintf("%08x%08x", 100, n))
			return nil
		})
	}
	f.sleep(darkTime - abandonGap - 100*time.Millisecond)
	if f.trouble {
		// Both have lost their power, and what they held in memory with it.
		for _, name := range []string{fmt.Sprintf("control-%d", leader), fmt.Sprintf("entry-%d", entry)} {
			f.kill(name)
		}
		if err := f.start("control", leader, false); err != nil {
			return "", err
		}
		if err := f.start("entry", entry, false); err != nil {
			return "", err
		}
	}
	f.sleep(6 * time.Second)
	l.mu.Lock()
	defer l.mu.Unlock()
	text := fmt.Sprintf("%d of %d streams that clients took up went on, %d of %d new ones began", l.wentOn, l.taken, l.begun, l.fresh)
	f.log("%s", text)
	if l.taken >= 12 && 2*l.wentOn*l.fresh < l.begun*l.taken {
		return "LOST: " + text, nil
	}
	return "", nil
}

// serveLongStream answers with a stream, from the event behind Last-Event-Id on, whose events name the software version.
func serveLongStream(e *engine) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // a caller that has left is noticed below
		from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		e.fleet.log("%s %s runs %s behind event %d", e.id, e.software, r.Header.Get("X-Attempt-Id"), from)
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("X-Server-Seal", "seal-"+e.id)
		for n := from + 1; n <= longEvents; n++ {
			select {
			case <-r.Context().Done():
				return
			case <-time.After(eventPause):
			}
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, e.software); err != nil {
				return
			}
			_ = http.NewResponseController(w).Flush() // a broken connection ends the request
		}
	}
}

// openStream sends a request for a stream; resumes and last are empty for a new one.
func (f *fleet) openStream(ctx context.Context, entry int, attempt, resumes, last string) (*http.Response, error) {
	url := fmt.Sprintf("http://%s:%d/draft/x", f.entryIP(entry), callerPort)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("prompt"))
	if err != nil {
		return nil, err
	}
	r.Host = "site.example"
	r.Header.Set("Authorization", "Bearer key-1")
	r.Header.Set("X-Attempt-Id", attempt)
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(streamTime.Milliseconds(), 10))
	r.Header.Set("X-Model", "m0")
	r.Header.Set("X-Token-Count", "40,600")
	r.Header.Set("X-Prompt-Prefix", attempt[8:]+":40")
	if resumes != "" {
		r.Header.Set("Resumes", resumes)
		r.Header.Set("Last-Event-Id", last)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	return client.Do(r)
}

// hold reads a stream until a gap, or until it is to be abandoned, and takes it up at another entry.
func (l *lookups) hold(f *fleet, entry int, attempt string, abandon <-chan struct{}) {
	ctx, cancel := context.WithTimeout(f.ctx, streamTime)
	defer cancel()
	f.log("%s: sent to entry %d", attempt, entry)
	response, err := f.openStream(ctx, entry, attempt, "", "")
	if err != nil {
		f.log("%s: no answer: %v", attempt, err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	ids := make(chan string, longEvents)
	f.group.Go(func() error {
		defer close(ids)
		lines := bufio.NewScanner(response.Body)
		for lines.Scan() {
			if id, found := strings.CutPrefix(lines.Text(), "id: "); found {
				ids <- id
			}
		}
		return nil
	})
	last := ""
	for {
		select {
		case id, open := <-ids:
			if !open {
				f.log("%s: %d, ended behind event %q", attempt, response.StatusCode, last)
				return
			}
			last = id
			continue
		case <-time.After(abandonGap):
		case <-abandon:
		}
		break
	}
	cancel()
	if last == "" {
		return
	}
	f.log("%s: abandoned behind event %s", attempt, last)
	l.takeUp(f, attempt, last)
}

// takeUp sends the rest of a stream to other entries, at most twice.
func (l *lookups) takeUp(f *fleet, attempt, last string) {
	number, _ := strconv.ParseInt(attempt[8:], 16, 64) // it has been formatted as such
	goesOn := false
	for try := range 2 {
		ctx, cancel := context.WithTimeout(f.ctx, streamTime)
		id := fmt.Sprintf("%08x%s", 200+try, attempt[8:])
		entry := (int(number) + try) % (manyEntries - 1)
		response, err := f.openStream(ctx, entry, id, attempt, last)
		if err != nil {
			f.log("%s takes up %s: %v", id, attempt, err)
			cancel()
			continue
		}
		goesOn = response.StatusCode == http.StatusOK && firstEvent(response.Body) != ""
		f.log("%s takes up %s at entry %d: %d, goes on: %v", id, attempt, entry, response.StatusCode, goesOn)
		wait, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64) // absent means at once
		_ = response.Body.Close()
		cancel()
		if goesOn {
			break
		}
		f.sleep(time.Duration(wait * float64(time.Second)))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.taken++
	if goesOn {
		l.wentOn++
	}
}

// begin sends a new stream.
func (l *lookups) begin(f *fleet, entry int, attempt string) {
	ctx, cancel := context.WithTimeout(f.ctx, streamTime)
	defer cancel()
	response, err := f.openStream(ctx, entry, attempt, "", "")
	begun := false
	if err == nil {
		begun = response.StatusCode == http.StatusOK && firstEvent(response.Body) != ""
		_ = response.Body.Close()
	}
	f.log("%s begins at entry %d: %v", attempt, entry, begun)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fresh++
	if begun {
		l.begun++
	}
}

func firstEvent(body io.Reader) string {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		if id, found := strings.CutPrefix(lines.Text(), "id: "); found {
			return id
		}
	}
	return ""
}
