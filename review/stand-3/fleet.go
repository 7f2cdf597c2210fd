package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"
)

// zones has one control instance and one entry each; each zone is a region of its own, like in the deployments of the users.
var zones = []string{"east-a", "north-a", "west-a"}

// oneWay is the latency between two regions of the users' deployments.
const oneWay = 30 * time.Millisecond

// Ports of all instances, which are free when the run begins.
var callerPort, readyPort, controlPort, peerPort, metricsPort, workerPort uint16

// choosePorts asks the system for free ports.
func choosePorts() (err error) {
	var taken []net.Listener
	for _, port := range []*uint16{&callerPort, &readyPort, &controlPort, &peerPort, &metricsPort, &workerPort} {
		l, failed := net.Listen("tcp", "127.0.0.1:0")
		if failed != nil {
			err = errs.Combine(err, failed)
			continue
		}
		*port = l.Addr().(*net.TCPAddr).AddrPort().Port()
		taken = append(taken, l)
	}
	for _, l := range taken {
		err = errs.Combine(err, l.Close())
	}
	return err
}

// fleet is a small deployment.
type fleet struct {
	folder  string
	binary  string
	trouble bool
	entries int
	octet   byte // second octet of the addresses of this run
	started time.Time
	ctx     context.Context
	cancel  context.CancelFunc
	group   errgroup.Group
	client  *http.Client

	reserved net.Listener

	mu      sync.Mutex
	out     io.Writer
	running map[string]*exec.Cmd
}

// reservedPort is the same for all runs.
const reservedPort = 47600

// firstOctet to lastOctet are tried as the second octet until the addresses are free.
const (
	firstOctet = 150
	lastOctet  = 199
)

func newFleet(folder, binary string, out io.Writer, trouble bool) (f *fleet, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	f = &fleet{
		folder: folder, binary: binary, trouble: trouble, started: time.Now(), ctx: ctx, cancel: cancel, out: out, running: map[string]*exec.Cmd{},
		client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	if err := choosePorts(); err != nil {
		return nil, err
	}
	for f.octet = firstOctet; f.octet <= lastOctet; f.octet++ {
		// The listener keeps the addresses from other runs until this one ends.
		if f.reserved, err = net.Listen("tcp", netip.AddrPortFrom(f.ip(len(zones), 0, 1), reservedPort).String()); err == nil {
			f.log("addresses 127.%d.0.0, ports %d (callers) and %d (control), trouble %v", f.octet, callerPort, controlPort, trouble)
			return f, nil
		}
	}
	return nil, errs.New("no free addresses")
}

// log adds a line to the record.
func (f *fleet) log(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fmt.Fprintf(f.out, "%8.3f %s\n", time.Since(f.started).Seconds(), fmt.Sprintf(format, args...))
}

func (f *fleet) ip(zone int, group, n byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, f.octet, 10*byte(zone+1) + group, n})
}

func (f *fleet) controlIP(zone int) netip.Addr { return f.ip(zone, 0, 1) }

// entryIP returns the address of an entry; the zones have entries in turn.
func (f *fleet) entryIP(n int) netip.Addr { return f.ip(n%len(zones), 1, byte(n/len(zones)+1)) }

func (f *fleet) workerAddress(zone, n int) netip.AddrPort {
	return netip.AddrPortFrom(f.ip(zone, 2, byte(n+1)), workerPort)
}

// zoneOf returns the zone of a control instance with a name or an address.
func (f *fleet) zoneOf(name string) int {
	for zone := range zones {
		if strings.HasPrefix(name, f.controlIP(zone).String()) {
			return zone
		}
	}
	return -1
}

// startPrograms starts three control instances and some entries.
func (f *fleet) startPrograms(entries int) error {
	f.entries = entries
	for zone := range zones {
		if err := f.start("control", zone, true); err != nil {
			return err
		}
	}
	for n := range entries {
		if err := f.start("entry", n, true); err != nil {
			return err
		}
	}
	return nil
}

// start writes a settings file with the bounds of the users' small deployments, and starts a program with it.
func (f *fleet) start(role string, n int, bootstrap bool) (err error) {
	zone := n % len(zones)
	address := f.controlIP(zone)
	listen := fmt.Sprintf("  Control: %s:%d\n", address, controlPort)
	if role == "entry" {
		address = f.entryIP(n)
		listen = fmt.Sprintf("  Callers: %s:%d\n  Ready: %s:%d\n", address, callerPort, address, readyPort)
	}
	var seeds, regions []string
	for z, name := range zones {
		seeds = append(seeds, fmt.Sprintf("%q", netip.AddrPortFrom(f.controlIP(z), controlPort)))
		regions = append(regions, fmt.Sprintf("  %q: %q\n", name, "region-"+name))
	}
	name := fmt.Sprintf("%s-%d", role, n)
	text := fmt.Sprintf("Name: %q\nAddress: %s\nDataCentre: %q\nRegions:\n%sListen:\n%s  Peers: %s:%d\n  Metrics: %s:%d\nSeeds: [%s]\nBootstrap: %v\n",
		address, address, zones[zone], strings.Join(regions, ""), listen, address, peerPort, address, metricsPort, strings.Join(seeds, ","), bootstrap)
	if role == "control" {
		text += fmt.Sprintf("DataFolder: %q\n", filepath.Join(f.folder, name))
	}
	text += "MemoryMB: 284\nFiles: 4100\nLosses: 1\nShutdownMillis: 8000\nRetry:\n  Ratio: 0.2\n  WindowSeconds: 10\n  Slack: 58\n" +
		"Rates:\n  WindowSeconds: 8\n  Overage: 0.1\n  Slack: 17000\nOrderLeaseMillis: 3000\nHeartbeatMillis: 1200\nEndpointsFence: true\n"
	path := filepath.Join(f.folder, name+".yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(f.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { err = errs.Combine(err, out.Close()) }() // the process has a descriptor of its own
	cmd := exec.Command(f.binary, role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "LYCHEEVALE_NODE_FILE=" + path}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	f.mu.Lock()
	f.running[name] = cmd
	f.mu.Unlock()
	f.log("%s started, process %d", name, cmd.Process.Pid)
	return nil
}

// signal sends a signal to a program.
func (f *fleet) signal(name string, s syscall.Signal) {
	f.mu.Lock()
	cmd := f.running[name]
	f.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Signal(s) // fails if the process has ended
	}
	f.log("%s gets %v", name, s)
}

// kill ends a program with SIGKILL.
func (f *fleet) kill(name string) {
	f.mu.Lock()
	cmd := f.running[name]
	delete(f.running, name)
	f.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGKILL) // fails if the process has ended
	_ = cmd.Wait()                          // the exit status of a killed process is expected
	f.log("%s killed", name)
}

// killAll ends all programs.
func (f *fleet) killAll() (names []string) {
	f.mu.Lock()
	for name := range f.running {
		names = append(names, name)
	}
	f.mu.Unlock()
	for _, name := range names {
		f.kill(name)
	}
	return names
}

// stop ends everything that this run has started.
func (f *fleet) stop() {
	names := f.killAll()
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, name := range names {
			if content, err := os.ReadFile(filepath.Join(f.folder, name+".log")); err == nil {
				_ = os.WriteFile(filepath.Join(keep, name+".log"), content, 0o600) // only for diagnosis
			}
		}
	}
	f.cancel()
	_ = f.reserved.Close() // it has accepted nothing
	_ = f.group.Wait()     // its functions return no errors
}

// post sends a call to a control instance.
func (f *fleet) post(ctx context.Context, to, path string, body any) (status int, content []byte, err error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, nil, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to+path, bytes.NewReader(data))
	if err != nil {
		return 0, nil, err
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := f.client.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	content, err = io.ReadAll(response.Body)
	return response.StatusCode, content, err
}

// configure sends a configuration until it is acknowledged.
func (f *fleet) configure(config map[string]any) error {
	for attempt := range 40 {
		to := netip.AddrPortFrom(f.controlIP(attempt%len(zones)), controlPort).String()
		status, content, err := f.post(f.ctx, to, "/v1/configuration/replace", config)
		if err == nil && status == http.StatusOK {
			f.log("configuration %v acknowledged", config["version"])
			return nil
		}
		if err == nil && status < http.StatusInternalServerError {
			return errs.New("configuration refused with %d: %s", status, content)
		}
		time.Sleep(250 * time.Millisecond)
	}
	return errs.New("the configuration was not acknowledged")
}

// awaitReady waits until all entries say that they are ready.
func (f *fleet) awaitReady() error {
	for n := range f.entries {
		url := fmt.Sprintf("http://%s:%d/v1/readyz", f.entryIP(n), readyPort)
		for attempt := 0; ; attempt++ {
			response, err := f.client.Get(url)
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if attempt == 60 {
				return errs.New("entry %d is not ready", n)
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	f.log("entries are ready")
	return nil
}

// sleep waits until a time after the start of the run, or until the run ends.
func (f *fleet) sleep(d time.Duration) {
	select {
	case <-f.ctx.Done():
	case <-time.After(d):
	}
}
