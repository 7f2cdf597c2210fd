package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds as the sheet of spw-repair sets them.
const (
	contactTime = 4 * time.Second
	heartbeat   = 1200 * time.Millisecond
)

// zones and their regions, as on the sheet of spw-repair.
var zones = [][2]string{{"bkk-a", "bangkok"}, {"cnx-a", "chiang-mai"}, {"hdy-a", "hat-yai"}}

// site is a small deployment: a control instance and an entry in each zone, as processes.
type site struct {
	binary   string
	folder   string
	octet    int // second octet of all loopback addresses of this run
	port     int // first port of this run
	started  time.Time
	unfenced bool // workers do not check fencing tokens
	places   int  // for adapters at a worker
	store    store

	recordMu sync.Mutex
	record   *os.File

	mu        sync.Mutex
	processes map[string]*exec.Cmd
	workers   []*worker
}

func newSite(record string) (s *site, err error) {
	s = &site{binary: "target/lycheevale", started: time.Now(), processes: map[string]*exec.Cmd{}, places: adapterSlots}
	if _, err := os.Stat(s.binary); err != nil {
		return nil, err
	}
	if s.record, err = os.Create(record); err != nil {
		return nil, err
	}
	if s.folder, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	for range 50 {
		s.octet, s.port = 100+rand.IntN(120), 21000+10*rand.IntN(900)
		if s.portsFree() {
			return s, nil
		}
	}
	return nil, errors.New("no free ports")
}

func (s *site) portsFree() bool {
	for zone := range zones {
		for _, host := range []string{s.controlHost(zone), s.entryHost(zone)} {
			for n := range 5 {
				l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", host, s.port+n))
				if err != nil {
					return false
				}
				_ = l.Close()
			}
		}
	}
	return true
}

func (s *site) controlHost(zone int) string { return fmt.Sprintf("127.%d.1.%d", s.octet, zone+1) }
func (s *site) entryHost(zone int) string   { return fmt.Sprintf("127.%d.2.%d", s.octet, zone+1) }
func (s *site) workerAddress(n int) string {
	return fmt.Sprintf("127.%d.3.%d:%d", s.octet, n+1, s.port)
}
func (s *site) controlAddress(zone int) string {
	return fmt.Sprintf("%s:%d", s.controlHost(zone), s.port+2)
}
func (s *site) entryAddress(zone int) string {
	return fmt.Sprintf("%s:%d", s.entryHost(zone), s.port)
}

// note writes a line to the record.
func (s *site) note(format string, args ...any) {
	s.recordMu.Lock()
	defer s.recordMu.Unlock()
	fmt.Fprintf(s.record, "%8.3f %s\n", time.Since(s.started).Seconds(), fmt.Sprintf(format, args...))
}

// settings renders what deploy/settings.yaml.tmpl yields for a machine.
func (s *site) settings(role string, zone int, bootstrap bool) string {
	host := s.controlHost(zone)
	listen := fmt.Sprintf("  Control: %s\n", s.controlAddress(zone))
	data := fmt.Sprintf("DataFolder: %q\n", filepath.Join(s.folder, fmt.Sprint("data", zone)))
	if role == "entry" {
		host = s.entryHost(zone)
		listen = fmt.Sprintf("  Callers: %s\n  Ready: %s:%d\n", s.entryAddress(zone), host, s.port+1)
		data = ""
	}
	var seeds, regions strings.Builder
	for z := range zones {
		fmt.Fprintf(&regions, "  %q: %q\n", zones[z][0], zones[z][1])
		fmt.Fprintf(&seeds, ",%q", s.controlAddress(z))
	}
	return fmt.Sprintf("Name: %q\nAddress: %s\nDataCentre: %q\nRegions:\n%sListen:\n%s  Peers: %s:%d\n  Metrics: %s:%d\nSeeds: [%s]\nBootstrap: %v\n%s"+
		"MemoryMB: 284\nLosses: 1\nShutdownMillis: 8000\nRetry:\n  Ratio: 0.2\n  WindowSeconds: 10\n  Slack: 58\n"+
		"Rates:\n  WindowSeconds: 8\n  Overage: 0.1\n  Slack: 17000\nOrderLeaseMillis: 3000\nHeartbeatMillis: 1200\nEndpointsFence: %v\n",
		fmt.Sprint(role, "-", zones[zone][0]), host, zones[zone][0], regions.String(), listen, host, s.port+3, host, s.port+4, seeds.String()[1:], bootstrap, data, !s.unfenced)
}

// start starts a program as the deploy file does.
func (s *site) start(role string, zone int, bootstrap bool) {
	name := fmt.Sprint(role, zone)
	path := filepath.Join(s.folder, name+".yaml")
	must(os.WriteFile(path, []byte(s.settings(role, zone, bootstrap)), 0o600))
	out, err := os.OpenFile(filepath.Join(s.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	cmd := exec.Command(s.binary, role)
	cmd.Env = append(os.Environ(), "LYCHEEVALE_NODE_FILE="+path)
	cmd.Stdout, cmd.Stderr = out, out
	must(cmd.Start())
	_ = out.Close()
	s.mu.Lock()
	s.processes[name] = cmd
	s.mu.Unlock()
	s.note("start %s", name)
}

// signal sends a signal to a process of this run.
func (s *site) signal(name string, sig syscall.Signal) {
	s.mu.Lock()
	cmd := s.processes[name]
	s.mu.Unlock()
	s.note("%v to %s", sig, name)
	must(cmd.Process.Signal(sig))
}

func (s *site) startAll() {
	for zone := range zones {
		s.start("control", zone, true)
		s.start("entry", zone, true)
	}
}

// close ends all processes and removes the folder of this run.
func (s *site) close() {
	s.mu.Lock()
	for name, cmd := range s.processes {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		delete(s.processes, name)
	}
	s.mu.Unlock()
	for _, w := range s.workers {
		w.stop()
	}
	if keep := os.Getenv("KEEP"); keep == "" {
		_ = os.RemoveAll(s.folder)
	} else {
		fmt.Fprintln(os.Stderr, s.folder)
	}
	_ = s.record.Close()
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// call sends a call to the control interface of a zone; a status of 0 means no answer within a second.
func (s *site) call(method string, zone int, path string, body any) (status int, content []byte) {
	return call(method, "http://"+s.controlAddress(zone)+path, body)
}

var controlClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func call(method, url string, body any) (status int, content []byte) {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		must(err)
		reader = bytes.NewReader(data)
	}
	q, err := http.NewRequest(method, url, reader)
	must(err)
	q.Header.Set("Content-Type", "application/json")
	a, err := controlClient.Do(q)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = a.Body.Close() }()
	content, err = io.ReadAll(a.Body)
	if err != nil {
		return 0, nil
	}
	return a.StatusCode, content
}

// replace sends a configuration to one control instance after the other until it is acknowledged.
func (s *site) replace(config map[string]any) bool {
	for n := range 60 {
		status, _ := s.call(http.MethodPost, n%len(zones), "/v1/configuration/replace", config)
		if status == http.StatusOK {
			s.note("configuration %v acknowledged", config["version"])
			return true
		}
		time.Sleep(150 * time.Millisecond)
	}
	return false
}

// awaitReady waits until all entries are ready.
func (s *site) awaitReady() bool {
	for range 100 {
		ready := 0
		for zone := range zones {
			if status, _ := call(http.MethodGet, fmt.Sprintf("http://%s:%d/v1/readyz", s.entryHost(zone), s.port+1), nil); status == http.StatusOK {
				ready++
			}
		}
		if ready == len(zones) {
			s.note("all entries are ready")
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// config is a configuration like those of the site, with one model service and one plain service.
func (s *site) config(version int) map[string]any {
	route := func(name, prefix, kind, service string, timeout, attempts int, resumable bool) map[string]any {
		objective := 1000
		if service == "desk" {
			objective = 200
		}
		return map[string]any{
			"name": name, "host": "desk.example", "pathPrefix": prefix, "routeKind": kind, "timeoutMs": timeout, "sloMs": objective, "priority": 0,
			"service": service, "maxAttempts": attempts, "public": false, "sticky": kind == "streaming", "resumable": resumable, "gapSloMs": 400,
		}
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("guide", "/guide/", "streaming", "llm", 15000, 2, true), route("fold", "/fold/", "streaming", "llm", 15000, 1, false),
			route("part", "/part/", "non_idempotent", "desk", 3000, 1, false), route("lookup", "/lookup/", "idempotent", "desk", 3000, 2, false),
		},
		"services": []any{
			map[string]any{"name": "llm", "healthPath": "/healthz", "maxConns": 370, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 64, "kvCapacity": 122202, "weightsMb": 66000, "adapterSlots": s.places, "loadsPerS": 2.1, "stride": 2,
				"models": []any{map[string]any{"name": "base", "weightsMb": 65100, "loadS": 3.9, "adapters": 3000, "adapterMb": 40}},
			}},
			map[string]any{"name": "desk", "healthPath": "/healthz", "maxConns": 110, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "stand", "apiKeys": []any{"key-1"}, "priority": 0, "unit": "tokens", "uncachedTokens": 200, "ratePerS": 200000, "burst": 200000}},
	}
}

// adapterSlots is the number of places for adapters of a worker, as on the sheet of spw-repair.
const adapterSlots = 5
