package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Ports of every machine, as the platform's settings name them.
const (
	callerPort  = 8221
	readyPort   = 8224
	controlPort = 8229
	peerPort    = 7600
	metricsPort = 7601
	// linkPort is used in place of peerPort by a machine whose links to others can be cut: its links go through links of the stand.
	linkPort   = 7602
	workerPort = 8080
	// corePort plus the zone is the port of a control instance for links to others; they go through links of the stand.
	corePort = 7610
)

// memoryMB is the memory of a machine.
const memoryMB = 284

var zones = []string{"suva-a", "labasa-a", "vunisea-a"}

// entriesInAll is the number of entries, in all zones in turn.
const entriesInAll = 8

// network is a block of loopback addresses that nothing else uses.
type network struct {
	octet    int
	reserved net.Listener // keeps other runs from using the block
}

// freeNetwork reserves a block in which the ports of the first machine are free.
func freeNetwork() (network, error) {
	for range 50 {
		octet := 100 + rand.IntN(100)
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.1:%d", octet, controlPort))
		if err != nil {
			continue
		}
		n := network{octet, l}
		if n.isFree() {
			return n, nil
		}
		_ = l.Close()
	}
	return network{}, errors.New("no free block of loopback addresses")
}

func (n network) isFree() bool {
	for _, port := range []int{callerPort, readyPort, controlPort, peerPort, metricsPort, linkPort} {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", n.control(0), port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

func (n network) control(zone int) string { return fmt.Sprintf("127.%d.%d.1", n.octet, zone) }
func (n network) hidden(zone int) string  { return fmt.Sprintf("127.%d.%d.101", n.octet, zone) }
func (n network) entry(i int) string {
	return fmt.Sprintf("127.%d.%d.%d", n.octet, i%len(zones), 2+i/len(zones))
}
func (n network) worker(zone, i int) string { return fmt.Sprintf("127.%d.%d.%d", n.octet, zone, 10+i) }

// machine is a process of one of the project's programs.
type machine struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
}

// deployment is a small deployment: a control instance in each zone, and several entries.
type deployment struct {
	*stand
	network
	program  string
	callers  *http.Client // of the entries; records what is sent and answered
	running  map[string]*machine
	cuttable int  // entry whose links can be cut, -1 for none
	cutCore  bool // links between control instances can be cut
	fencing  bool // workers check fencing tokens
}

func newDeployment(s *stand, cuttable int) (*deployment, error) {
	n, err := freeNetwork()
	if err != nil {
		return nil, err
	}
	program, err := filepath.Abs("target/lycheevale")
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	callers := &http.Client{Transport: recordedTransport{s, plainClient.Transport}}
	return &deployment{stand: s, network: n, program: program, callers: callers, running: map[string]*machine{}, cuttable: cuttable, fencing: true}, nil
}

// settings returns what deploy/settings.yaml.tmpl makes of the settings of a machine.
func (d *deployment) settings(role string, i int, bootstrap bool) string {
	zone := i % len(zones)
	var b strings.Builder
	address := d.control(zone)
	if role == "entry" {
		address = d.entry(i)
	}
	fmt.Fprintf(&b, "Name: \"%s-%s-%d\"\nAddress: %s\nDataCentre: %q\nRegions:\n", role, zones[zone], 1+i/len(zones), address, zones[zone])
	for _, z := range zones {
		fmt.Fprintf(&b, "  %q: \"fiji\"\n", z)
	}
	fmt.Fprintf(&b, "Listen:\n")
	peers := peerPort
	if role == "entry" {
		fmt.Fprintf(&b, "  Callers: %s:%d\n  Ready: %s:%d\n", address, callerPort, address, readyPort)
		if i == d.cuttable {
			peers = linkPort
		}
	} else {
		fmt.Fprintf(&b, "  Control: %s:%d\n", address, controlPort)
	}
	listen := address
	if role == "control" && d.cutCore {
		listen, peers = d.hidden(zone), corePort+zone
	}
	fmt.Fprintf(&b, "  Peers: %s:%d\n  Metrics: %s:%d\n", listen, peers, address, metricsPort)
	var seeds []string
	for z := range zones {
		seeds = append(seeds, fmt.Sprintf("\"%s:%d\"", d.control(z), controlPort))
	}
	fmt.Fprintf(&b, "Seeds: [%s]\nBootstrap: %v\n", strings.Join(seeds, ","), bootstrap)
	if role == "control" {
		fmt.Fprintf(&b, "DataFolder: %q\n", d.dataFolder(zone))
	}
	fmt.Fprintf(&b, "MemoryMB: %d\nLosses: 1\nShutdownMillis: 8000\nRetry:\n  Ratio: 0.2\n  WindowSeconds: 10\n  Slack: 56\n", memoryMB)
	fmt.Fprintf(&b, "Rates:\n  WindowSeconds: 8\n  Overage: 0.1\n  Slack: 17000\nOrderLeaseMillis: 3000\nHeartbeatMillis: 1200\nEndpointsFence: %v\n", d.fencing)
	return b.String()
}

func (d *deployment) dataFolder(zone int) string {
	return filepath.Join(d.folder, fmt.Sprintf("data-%d", zone))
}

func machineName(role string, i int) string { return fmt.Sprintf("%s-%d", role, i) }

// start starts a program with the command of the deploy file.
func (d *deployment) start(role string, i int, bootstrap bool) error {
	name := machineName(role, i)
	path := filepath.Join(d.folder, name+".yaml")
	if err := os.WriteFile(path, []byte(d.settings(role, i, bootstrap)), 0o600); err != nil {
		return err
	}
	if role == "control" {
		if err := os.MkdirAll(d.dataFolder(i), 0o700); err != nil {
			return err
		}
	}
	out, err := os.OpenFile(filepath.Join(d.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(d.program, role)
	cmd.Env = append(os.Environ(), "LYCHEEVALE_NODE_FILE="+path)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it does not outlive the stand
	if err := cmd.Start(); err != nil {
		return err
	}
	m := &machine{name: name, cmd: cmd, done: make(chan struct{})}
	d.running[name] = m
	go func() {
		_ = cmd.Wait() // processes are killed at the end
		close(m.done)
	}()
	d.log("%s started, process %d", name, cmd.Process.Pid)
	return nil
}

// startAll starts all machines, and waits until all entries are ready.
func (d *deployment) startAll(ctx context.Context, configuration []byte) error {
	for z := range zones {
		if err := d.start("control", z, true); err != nil {
			return err
		}
	}
	for i := range entriesInAll {
		if err := d.start("entry", i, true); err != nil {
			return err
		}
	}
	if err := d.configure(ctx, configuration); err != nil {
		return err
	}
	for i := range entriesInAll {
		if err := d.awaitReady(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) signal(name string, signal syscall.Signal) {
	if m := d.running[name]; m != nil {
		_ = m.cmd.Process.Signal(signal) // fails if the process has ended
		d.log("%s: signal %v", name, signal)
	}
}

// stopAll kills all processes of this run, and waits for their end.
func (d *deployment) stopAll() {
	for _, m := range d.running {
		_ = m.cmd.Process.Kill() // fails if the process has ended
		<-m.done
	}
}

// configure sends a configuration to one control instance after the other until one acknowledges it.
func (d *deployment) configure(ctx context.Context, configuration []byte) error {
	for i := 0; ; i++ {
		status := d.call(ctx, http.MethodPost, i%len(zones), "/v1/configuration/replace", configuration)
		if status == http.StatusOK {
			d.log("configuration acknowledged by control-%d", i%len(zones))
			return nil
		}
		if status >= 400 && status < 500 {
			return fmt.Errorf("configuration refused with %d", status)
		}
		if !pause(ctx, 100*time.Millisecond) {
			return fmt.Errorf("no acknowledgement of the configuration: %w", ctx.Err())
		}
	}
}

// call sends a request to a control instance, and returns the status of its answer or 0.
func (d *deployment) call(ctx context.Context, method string, zone int, path string, body []byte) int {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	url := fmt.Sprintf("http://%s:%d%s", d.control(zone), controlPort, path)
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(string(body)))
	if err != nil {
		return 0
	}
	response, err := plainClient.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// recordedTransport records the requests of callers, and the heads of their answers.
type recordedTransport struct {
	stand *stand
	next  http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t recordedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	attempt := r.Header.Get("X-Attempt-Id")
	t.stand.log("%s sent to %s: %s %s, model %q, last event %q, resumes %q", attempt, r.URL.Host, r.Method, r.URL.Path, r.Header.Get("X-Model"),
		r.Header.Get("Last-Event-Id"), r.Header.Get("Resumes"))
	response, err := t.next.RoundTrip(r)
	if err != nil {
		t.stand.log("%s got no answer: %v", attempt, err)
		return nil, err
	}
	t.stand.log("%s answered with %d", attempt, response.StatusCode)
	return response, nil
}

// plainClient opens a connection for each request.
var plainClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func (d *deployment) awaitReady(ctx context.Context, i int) error {
	url := fmt.Sprintf("http://%s:%d/v1/readyz", d.entry(i), readyPort)
	for {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return err
		}
		response, err := plainClient.Do(request)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		if !pause(ctx, 100*time.Millisecond) {
			return fmt.Errorf("entry-%d is not ready: %w", i, ctx.Err())
		}
	}
}

// pause waits, and reports whether the run goes on.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
