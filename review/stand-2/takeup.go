package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	// takenUp is the number of streams at the entry that is frozen.
	takenUp = 40
	// freezeTime is the time for which the entry is frozen.
	freezeTime = 3500 * time.Millisecond
	// newerAfter is the time from the beginning of the freeze to the start of the worker with a newer software version.
	newerAfter = time.Second
	// longestGap is the time without an event after which clients abandon a stream: four times the objective, and eight times the pause.
	longestGap = 2400 * time.Millisecond
	// fewestTakenUp is the number of streams from which the rule judges.
	fewestTakenUp = 12
)

// takeUp is what a client has seen of a stream that it has abandoned and taken up at another entry.
type takeUp struct {
	attempt       string
	before        int // events of the first attempt
	status        int // of the second attempt
	after         int // events of the second attempt
	software      string
	softwareAfter string
}

// streamsTakenUp starts a worker with a newer software version while streams run. With the disruption, the entry of these streams is frozen meanwhile, so
// that the clients abandon them after the longest gap; without it, they abandon them at the same moment. They take the streams up at the other entries.
func streamsTakenUp(ctx context.Context, s *stand) (v verdict, err error) {
	d, err := newDeployment(s, -1)
	if err != nil {
		return v, err
	}
	defer d.stopAll()
	workers := d.modelWorkers()
	newer := workers[len(workers)-1]
	for _, w := range workers[:len(workers)-1] {
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
	list := make([]takeUp, takenUp)
	abandoned, abandon := context.WithCancel(ctx)
	defer abandon()
	var clients sync.WaitGroup
	for i := range list {
		clients.Add(1)
		go func() {
			defer clients.Done()
			list[i] = d.takeUpStream(ctx, abandoned, i)
		}()
	}
	pause(ctx, 5*time.Second) // all machines are in touch then
	frozenAt := time.Now()
	if s.trouble {
		d.signal(machineName("entry", 0), syscall.SIGSTOP)
	}
	pause(ctx, newerAfter)
	newer.fromDisk = 1300 * time.Millisecond // it has no copy yet
	if err := newer.start("v2", false); err != nil {
		return v, err
	}
	defer newer.crash()
	pause(ctx, time.Until(frozenAt.Add(longestGap)))
	s.log("the clients abandon the streams at entry-0")
	abandon()
	clients.Add(1)
	go func() {
		defer clients.Done()
		pause(ctx, time.Until(frozenAt.Add(freezeTime)))
		if s.trouble {
			d.signal(machineName("entry", 0), syscall.SIGCONT)
		}
	}()
	begun, asked := d.beginStreams(ctx)
	clients.Wait()
	return judgeTakenUp(s, list, begun, asked), nil
}

// takeUpStream reads a stream at the first entry until its client abandons it, and takes it up at another one.
func (d *deployment) takeUpStream(ctx, abandoned context.Context, i int) (t takeUp) {
	t.attempt = fmt.Sprintf("stream-%02d", i)
	first, err := d.request(abandoned, 0, t.attempt, streamEvents*4)
	if err != nil {
		return t
	}
	last, software, status := d.readEvents(first)
	t.before, t.software = last, software
	if status != http.StatusOK || last == 0 {
		return t
	}
	second, err := d.request(ctx, 1+i%(entriesInAll-1), t.attempt+"-again", last+20)
	if err != nil {
		return t
	}
	second.URL.Path = first.URL.Path
	second.Header.Set("Last-Event-Id", strconv.Itoa(last))
	second.Header.Set("Resumes", t.attempt)
	reached, software, status := d.readEvents(second)
	t.status, t.softwareAfter = status, software
	t.after = max(reached-last, 0)
	return t
}

// readEvents sends a request and returns the identifier of the last event, the software version that wrote it, and the status.
func (d *deployment) readEvents(request *http.Request) (last int, software string, status int) {
	response, err := d.callers.Do(request)
	if err != nil {
		return 0, "", 0
	}
	defer func() { _ = response.Body.Close() }()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		var id string
		_, _ = fmt.Sscanf(lines.Text(), "data: software %s worker %s event %d", &software, &id, &last) // other lines are no data
	}
	return last, software, response.StatusCode
}

// beginStreams sends new streams at the other entries, and returns how many begin.
func (d *deployment) beginStreams(ctx context.Context) (begun, asked int) {
	for i := range takenUp {
		request, err := d.request(ctx, 1+i%(entriesInAll-1), fmt.Sprintf("new-%02d", i), 2)
		if err != nil {
			return begun, asked
		}
		asked++
		if last, _, status := d.readEvents(request); status == http.StatusOK && last > 0 {
			begun++
		}
	}
	return begun, asked
}

func judgeTakenUp(s *stand, list []takeUp, begun, asked int) verdict {
	tried, goesOn := 0, 0
	statuses := map[int]int{}
	for _, t := range list {
		s.log("%s: %d events of %s, then status %d and %d events of %s", t.attempt, t.before, t.software, t.status, t.after, t.softwareAfter)
		if t.before == 0 || t.status == 0 {
			continue
		}
		tried++
		statuses[t.status]++
		if t.status == http.StatusOK && t.after > 0 {
			goesOn++
		}
	}
	share := float64(goesOn) / float64(max(tried, 1))
	usual := float64(begun) / float64(max(asked, 1))
	mixed := slices.ContainsFunc(list, func(t takeUp) bool { return t.after > 0 && t.software != t.softwareAfter })
	return verdict{
		broken: tried >= fewestTakenUp && share < usual/2,
		reason: fmt.Sprintf("%d of %d streams that were taken up go on, statuses %v; %d of %d new streams begin; a stream of two versions: %v",
			goesOn, tried, statuses, begun, asked, mixed),
	}
}
