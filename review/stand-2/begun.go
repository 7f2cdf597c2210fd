package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// beginsThenCrashes is the time from the first event of the deadly stream to the crash.
const beginsThenCrashes = 30 * time.Millisecond

// deadlyStream lets a request for a stream come again that crashes the workers which begin to run it. With the disruption, they crash after its first event;
// without it, before.
func deadlyStream(ctx context.Context, s *stand) (v verdict, err error) {
	d, err := newDeployment(s, -1)
	if err != nil {
		return v, err
	}
	defer d.stopAll()
	book := &deadlyBook{sent: map[string]time.Time{}}
	for _, w := range d.modelWorkers() {
		w.answer = func(rw http.ResponseWriter, r *http.Request) { book.serveStream(w, rw, r) }
		if err := w.start("v1", true); err != nil {
			return v, err
		}
		defer w.crash()
	}
	if err := d.startAll(ctx, []byte(configuration)); err != nil {
		return v, err
	}
	if err := d.awaitService(ctx); err != nil {
		return v, err
	}
	playing, end := context.WithTimeout(ctx, playTime)
	defer end()
	var clients sync.WaitGroup
	sound := map[int]int{}
	var mu sync.Mutex
	for e := range entriesInAll {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for i := 0; pause(playing, 100*time.Millisecond); i++ {
				request, err := d.request(ctx, e, fmt.Sprintf("sound-%d-%d", e, i), shortEvents)
				if err != nil {
					return
				}
				_, _, status := d.readEvents(request)
				mu.Lock()
				sound[status]++
				mu.Unlock()
			}
		}()
	}
	for i := 0; pause(playing, deadlyEvery); i++ {
		clients.Add(1)
		go func() {
			defer clients.Done()
			attempt := fmt.Sprintf("deadly-%d", i)
			request, err := d.request(ctx, rand.IntN(entriesInAll), deadlyName, streamEvents)
			if err != nil {
				return
			}
			request.Header.Set("X-Attempt-Id", attempt)
			book.mu.Lock()
			book.sent[attempt] = time.Now()
			book.mu.Unlock()
			last, _, status := d.readEvents(request)
			s.log("%s: status %d, %d events", attempt, status, last)
		}()
	}
	clients.Wait()
	return book.judge(s, sound), nil
}

// deadlyName ends the path of the deadly stream.
const deadlyName = "quote-4711"

// serveStream answers sound streams, and ends the worker as it begins to run the deadly one.
func (b *deadlyBook) serveStream(w *worker, rw http.ResponseWriter, r *http.Request) {
	if !strings.HasSuffix(r.URL.Path, deadlyName) {
		w.stream(rw, r, "v1")
		return
	}
	x := reached{attempt: r.Header.Get("X-Attempt-Id"), worker: w.id, at: time.Now()}
	rw.Header().Set("Content-Type", "text/event-stream")
	if w.stand.trouble {
		last := 0
		_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &last) // absent at the first run
		fmt.Fprintf(rw, "id: %d\ndata: software v1 worker %s event %d\n\n", last+1, w.id, last+1)
	}
	_ = http.NewResponseController(rw).Flush() // the worker crashes in any case
	time.Sleep(beginsThenCrashes)
	x.crashedAt = time.Now()
	b.mu.Lock()
	b.list = append(b.list, x)
	b.mu.Unlock()
	if w.crash() {
		time.AfterFunc(backAfter, func() {
			if err := w.start("v1", false); err != nil {
				w.stand.log("worker %s does not start again: %v", w.id, err)
			}
		})
	}
	panic(http.ErrAbortHandler)
}
