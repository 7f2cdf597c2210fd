package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// One request, which comes again and again at all entries in turn, makes the machine of each endpoint that begins to run it go dark for some seconds.
const (
	deadlyPath  = "/lookup/deadly"
	darkAfter   = 50 * time.Millisecond // of its begin
	darkPeriod  = 3 * time.Second
	deadlyTime  = 70 * time.Second
	deadlyPause = time.Second // between an answer and the next time
	lookupTime  = 3 * time.Second
	soundPause  = 50 * time.Millisecond
)

// contact is the time after which machines are in touch again, and retriesAllowed how often the request may reach endpoints that long after the third crash.
const (
	contact        = 4 * time.Second
	retriesAllowed = 3
	crashesToLearn = 3
)

// plainEndpoint is an endpoint of a plain service on a machine that can go dark: it answers neither requests nor connections, and resets none.
type plainEndpoint struct {
	fleet   *fleet
	id      string
	zone    int
	address string
	run     func(e *plainEndpoint, attempt, target string) (goesDark bool)

	mu       sync.Mutex
	born     int64
	dark     bool
	listener *net.TCPListener
	fillers  []net.Conn
}

func (e *plainEndpoint) start() error {
	if err := e.listen(); err != nil {
		return err
	}
	e.fleet.group.Go(func() error {
		e.announce()
		return nil
	})
	e.fleet.group.Go(func() error {
		<-e.fleet.ctx.Done()
		e.mu.Lock()
		defer e.mu.Unlock()
		_ = e.listener.Close() // the run ends
		for _, c := range e.fillers {
			_ = c.Close()
		}
		return nil
	})
	return nil
}

func (e *plainEndpoint) listen() error {
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.listener, e.born, e.dark = l.(*net.TCPListener), time.Now().UnixMilli(), false
	born := e.born
	e.fleet.group.Go(func() error {
		e.accept(l.(*net.TCPListener), born)
		return nil
	})
	return nil
}

func (e *plainEndpoint) accept(l *net.TCPListener, born int64) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		e.fleet.group.Go(func() error {
			e.serve(c, born)
			return nil
		})
	}
}

// lives reports whether an incarnation serves.
func (e *plainEndpoint) lives(born int64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.born == born && !e.dark
}

// reset ends a connection on which bytes have arrived since the machine went dark: once it is back, the system resets what it does not know.
func (e *plainEndpoint) reset(c *net.TCPConn) {
	for e.isDark() && e.fleet.ctx.Err() == nil {
		e.fleet.sleep(darkAfter)
	}
	_ = c.SetLinger(0) // fails only on a closed connection
}

func (e *plainEndpoint) isDark() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dark
}

// serve answers the requests on a connection. Once the machine is dark, requests that it has read stay without an answer.
func (e *plainEndpoint) serve(c net.Conn, born int64) {
	defer func() { _ = c.Close() }()
	stop := context.AfterFunc(e.fleet.ctx, func() { _ = c.Close() })
	defer stop()
	r := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(r)
		if err == nil {
			_, err = io.Copy(io.Discard, q.Body)
		}
		if !e.lives(born) {
			e.reset(c.(*net.TCPConn))
			return
		}
		if err != nil {
			return
		}
		attempt := q.Header.Get("X-Attempt-Id")
		if expected := q.Header.Get("X-Expect-Instance"); expected != "" && expected != e.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", attempt)
			continue
		}
		if e.run(e, attempt, q.URL.Path) {
			e.fleet.sleep(darkAfter)
			if e.goDark(born) {
				<-e.fleet.ctx.Done()
				return
			}
		}
		if !e.lives(born) {
			<-e.fleet.ctx.Done()
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: seal-%s\r\nContent-Length: 2\r\n\r\nok", attempt, e.id)
	}
}

// errBacklog states that connections are still accepted although nothing accepts them.
var errBacklog = errors.New("the queue of new connections is not full")

// goDark lets the machine answer nothing, and brings it back after some seconds with a new endpoint.
func (e *plainEndpoint) goDark(born int64) bool {
	e.mu.Lock()
	if e.born != born || e.dark {
		e.mu.Unlock()
		return true
	}
	e.dark = true
	l := e.listener
	e.mu.Unlock()
	_ = l.SetDeadline(time.Now()) // nothing accepts any more
	if err := e.fillBacklog(l); err != nil {
		e.fleet.log("%s: %v", e.id, err)
	}
	e.fleet.log("%s goes dark", e.id)
	e.fleet.group.Go(func() error {
		e.fleet.sleep(darkPeriod)
		e.mu.Lock()
		for _, c := range e.fillers {
			_ = c.Close()
		}
		e.fillers = nil
		_ = l.Close() // those that wait have never been accepted
		e.mu.Unlock()
		if e.fleet.ctx.Err() == nil {
			e.fleet.log("%s is back, error %v", e.id, e.listen())
		}
		return nil
	})
	return true
}

// fillBacklog fills the queue of new connections, so that the system drops the first packet of each further one, as if nothing were there.
func (e *plainEndpoint) fillBacklog(l *net.TCPListener) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	err = raw.Control(func(fd uintptr) { failed = syscall.Listen(int(fd), 0) })
	if err = errors.Join(err, failed); err != nil {
		return err
	}
	const most = 8
	for range most {
		if !e.fill() {
			return nil
		}
	}
	return errBacklog
}

// fill adds a connection to the queue, and reports whether it was not full.
func (e *plainEndpoint) fill() bool {
	c, err := net.DialTimeout("tcp", e.address, 30*time.Millisecond)
	if err != nil {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fillers = append(e.fillers, c)
	return true
}

func (e *plainEndpoint) announce() {
	sequence := 0
	var last int64
	for e.fleet.ctx.Err() == nil {
		e.mu.Lock()
		born, dark := e.born, e.dark
		e.mu.Unlock()
		if born != last {
			sequence, last = 0, born
		}
		wait := heartbeatTime / 10
		if !dark {
			sequence++
			body := map[string]any{
				"service": "plain", "address": e.address, "zone": zones[e.zone], "version": "v1", "slots": 6, "state": "ready", "coldLeftMs": 0, "sequence": sequence, "born": born,
			}
			to := fmt.Sprintf("%s:%d", e.fleet.controlIP(sequence%len(zones)), controlPort)
			if status, _, err := e.fleet.post(e.fleet.ctx, to, "/v1/instances/"+e.id+"/heartbeat", body); err == nil && status == http.StatusOK {
				wait = heartbeatTime
			}
		}
		for waited := time.Duration(0); waited < wait; waited += heartbeatTime / 10 {
			e.fleet.sleep(heartbeatTime / 10)
			e.mu.Lock()
			changed := e.born != born
			e.mu.Unlock()
			if changed {
				break
			}
		}
	}
}

// deadly counts what the request has done.
type deadly struct {
	mu      sync.Mutex
	crashes []time.Time
	sent    map[string]time.Time // by attempt
	reached map[string]int
}

func playDark(f *fleet) (broken string, err error) {
	d := &deadly{sent: map[string]time.Time{}, reached: map[string]int{}}
	if err := f.startPrograms(len(zones)); err != nil {
		return "", err
	}
	for zone := range zones {
		e := &plainEndpoint{fleet: f, id: fmt.Sprintf("p-%d", zone), zone: zone, address: f.workerAddress(zone, 0).String()}
		e.run = func(e *plainEndpoint, attempt, target string) bool {
			if target != deadlyPath {
				return false
			}
			d.mu.Lock()
			defer d.mu.Unlock()
			d.reached[attempt]++
			f.log("%s begins to run attempt %s of the request", e.id, attempt)
			if f.trouble {
				d.crashes = append(d.crashes, time.Now())
			}
			return f.trouble
		}
		if err := e.start(); err != nil {
			return "", err
		}
	}
	f.sleep(3 * time.Second)
	if err := f.configure(plainConfig()); err != nil {
		return "", err
	}
	if err := f.awaitReady(); err != nil {
		return "", err
	}
	f.sleep(6 * time.Second)
	ctx, stop := context.WithTimeout(f.ctx, deadlyTime)
	defer stop()
	sound := map[int]int{}
	for zone := range zones {
		f.group.Go(func() error {
			for n := 0; ctx.Err() == nil; n++ {
				path := fmt.Sprintf("/lookup/%d-%d", zone, n)
				status := f.lookUp(zone, path, fmt.Sprintf("%08x%08x", zone, n))
				f.log("entry %d, %s: %d", zone, path, status)
				d.mu.Lock()
				sound[status]++
				d.mu.Unlock()
				f.sleep(soundPause)
			}
			return nil
		})
	}
	for n := 0; ctx.Err() == nil; n++ {
		attempt := fmt.Sprintf("%08x%08x", 99, n)
		d.mu.Lock()
		d.sent[attempt] = time.Now()
		d.mu.Unlock()
		status := f.lookUp(n%len(zones), deadlyPath, attempt)
		f.log("attempt %s of the request at entry %d: %d", attempt, n%len(zones), status)
		f.sleep(deadlyPause)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	f.log("sound requests by status: %v", sound)
	return d.check(f), nil
}

// check counts the attempts that reached an endpoint although they were sent long after the third crash.
func (d *deadly) check(f *fleet) (broken string) {
	if len(d.crashes) < crashesToLearn {
		f.log("%d crashes", len(d.crashes))
		return ""
	}
	from, late, reached := d.crashes[crashesToLearn-1].Add(contact), 0, 0
	for attempt, at := range d.sent {
		if d.reached[attempt] > 0 && at.After(from) {
			late++
			reached += d.reached[attempt]
		}
	}
	text := fmt.Sprintf("%d crashes; %d attempts that were sent later than %v after the third reached endpoints, %d times; %d are allowed", len(d.crashes), late, contact, reached, retriesAllowed)
	f.log("%s", text)
	if late > retriesAllowed {
		return "BUDGET: " + text
	}
	return ""
}

// lookUp sends a request and returns the status of its answer, 0 if there is none.
func (f *fleet) lookUp(entry int, path, attempt string) int {
	ctx, cancel := context.WithTimeout(f.ctx, lookupTime+time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d%s", f.entryIP(entry), callerPort, path), strings.NewReader(""))
	if err != nil {
		return 0
	}
	r.Host = "site.example"
	r.Header.Set("Authorization", "Bearer key-1")
	r.Header.Set("X-Attempt-Id", attempt)
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(lookupTime.Milliseconds(), 10))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// plainConfig returns a configuration with one plain service.
func plainConfig() map[string]any {
	config := engineConfig(modelSlots, "m0")
	config["services"] = []any{map[string]any{"name": "plain", "healthPath": "/healthz", "maxConns": 110, "protocol": "h1", "tls": false}}
	config["routes"] = []any{map[string]any{
		"name": "r-lookup", "host": "site.example", "pathPrefix": "/lookup/", "routeKind": "idempotent", "timeoutMs": lookupTime.Milliseconds(), "sloMs": 400, "priority": 2,
		"service": "plain", "maxAttempts": 2, "public": false, "sticky": false, "resumable": false, "gapSloMs": 0,
	}}
	return config
}
