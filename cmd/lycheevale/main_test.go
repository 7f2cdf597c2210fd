package main_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheevale/internal/tool/demo"
)

var centres = []string{"brisbane-a", "townsville-a", "toowoomba-a"}

// process is a running program of the deployment; exited receives the result of Wait.
type process struct {
	*exec.Cmd
	exited chan error
}

// processes is a deployment of real processes: three voters, and one engine and one plain service in each data centre.
type processes struct {
	*qt.C
	t         *testing.T
	ctx       context.Context
	folder    string
	settings  []string
	callers   []string
	running   map[string]*process
	operators []string
	portsUsed int
}

// address returns a loopback address that only this run uses. If the system chose a free port of 127.0.0.1, any other
// connection on the machine could take it before the instance listens on it.
func (p *processes) address() string {
	pid := os.Getpid()
	p.portsUsed++
	return fmt.Sprintf("127.%d.%d.%d:%d", 64+pid>>16&63, pid>>8&255, pid&255, 20000+p.portsUsed)
}

func start(t *testing.T) *processes {
	p := &processes{C: qt.New(t), t: t, ctx: t.Context(), folder: t.TempDir(), running: map[string]*process{}}
	if limit, ok := t.Deadline(); ok {
		// The last minute is reserved for printing the logs: a test that exceeds the timeout of go test prints none.
		ctx, cancel := context.WithDeadline(p.ctx, limit.Add(-time.Minute))
		t.Cleanup(cancel)
		p.ctx = ctx
	}
	for _, name := range []string{"lycheevale", "lycheectl", "standin"} {
		build := exec.Command("go", "build", "-o", p.path(name), "lycheevale/cmd/"+name)
		out, err := build.CombinedOutput()
		p.Assert(err, qt.IsNil, qt.Commentf("%s", out))
	}
	t.Cleanup(p.stopAll)
	p.writeSettings()
	for n, centre := range centres {
		p.launch(centre, "lycheevale", "run", "--config", p.settings[n])
		p.launch(centre+"-engine", "standin", "--name", centre+"-engine", "--data-centre", centre, "--announce", p.callers[n])
		p.launch(centre+"-ledger", "standin", "--kind", "Plain", "--service", "ledger", "--name", centre+"-ledger",
			"--data-centre", centre, "--announce", p.callers[n])
	}
	return p
}

func (p *processes) path(name string) string { return filepath.Join(p.folder, name) }

func (p *processes) writeSettings() {
	credentials, err := exec.Command(p.path("lycheectl"), "operator-token", "alice", "--write", p.path("token")).Output()
	p.Assert(err, qt.IsNil)
	p.Assert(os.WriteFile(p.path("operators.yaml"), credentials, 0o600), qt.IsNil)
	var members strings.Builder
	peers := make([]string, len(centres))
	for n, centre := range centres {
		peers[n] = p.address()
		fmt.Fprintf(&members, "  - {Name: %s-1, Address: %q, DataCentre: %s}\n", centre, peers[n], centre)
	}
	for n, centre := range centres {
		p.callers, p.operators = append(p.callers, p.address()), append(p.operators, p.address())
		text := fmt.Sprintf("Name: %s-1\nDataCentre: %s\nRegion: %s\nDataFolder: %s\nListen: {Callers: %q, Operators: %q, Peers: %q, Streams: %q}\n"+
			"Operators: {CredentialsFile: %s}\nShutdown: {LoadBalancer: 100ms}\nVoters:\n%sPeers:\n%s",
			centre, centre, centre, p.path("data-"+centre), p.callers[n], p.operators[n], peers[n], p.address(),
			p.path("operators.yaml"), members.String(), members.String())
		file := p.path(centre + ".yaml")
		p.Assert(os.WriteFile(file, []byte(text), 0o600), qt.IsNil)
		p.settings = append(p.settings, file)
	}
}

func (p *processes) launch(name, program string, args ...string) {
	log, err := os.OpenFile(p.path(name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	p.Assert(err, qt.IsNil)
	defer log.Close()
	c := &process{Cmd: exec.Command(p.path(program), args...), exited: make(chan error, 1)}
	c.Stdout, c.Stderr = log, log
	p.Assert(c.Start(), qt.IsNil)
	go func() { c.exited <- c.Wait() }()
	p.running[name] = c
}

func (p *processes) stopAll() {
	for name, c := range p.running {
		_ = c.Process.Kill()
		<-c.exited
		if p.t.Failed() {
			text, err := os.ReadFile(p.path(name + ".log"))
			p.t.Logf("%s: %v\n%s", name, err, text)
		}
	}
}

// stop sends the signal to a program, waits for its exit and no longer expects it to run.
func (p *processes) stop(name string, signal os.Signal) error {
	c := p.running[name]
	delete(p.running, name)
	p.Assert(c.Process.Signal(signal), qt.IsNil)
	select {
	case err := <-c.exited:
		return err
	case <-p.ctx.Done():
		_ = c.Process.Kill()
		return fmt.Errorf("%s did not exit after signal %v", name, signal)
	}
}

// apply applies the demo's configuration with lycheectl.
func (p *processes) apply() {
	var file bytes.Buffer
	for _, o := range demo.Changes() {
		raw, err := json.Marshal(o)
		p.Assert(err, qt.IsNil)
		fmt.Fprintf(&file, "---\n%s\n", raw)
	}
	p.Assert(os.WriteFile(p.path("objects.yaml"), file.Bytes(), 0o600), qt.IsNil)
	p.eventually(func() string {
		out, err := exec.CommandContext(p.ctx, p.path("lycheectl"), "--address", p.operators[0], "--token-file", p.path("token"),
			"apply", "-f", p.path("objects.yaml")).CombinedOutput()
		if err != nil {
			return string(out)
		}
		return ""
	})
}

// eventually repeats a check until it returns no problem. It fails immediately if a program has exited unexpectedly, and
// shortly before the timeout of go test, with the last problem and the logs.
func (p *processes) eventually(check func() string) {
	for {
		problem := check()
		if problem == "" {
			return
		}
		for name, c := range p.running {
			select {
			case err := <-c.exited:
				c.exited <- err
				p.t.Fatalf("%s exited unexpectedly: %v", name, err)
			default:
			}
		}
		if p.ctx.Err() != nil {
			p.t.Fatalf("condition not met before the deadline of the test: %s", problem)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (p *processes) complete(n int) string {
	return p.post(n, "/v1/completions", `{"model":"draft-00","prompt":"Dear guests","max_tokens":3}`, "draft-00@v1:3")
}

func (p *processes) post(n int, path, body, want string) (problem string) {
	req, err := http.NewRequestWithContext(p.ctx, "POST", "http://"+p.callers[n]+path, strings.NewReader(body))
	p.Assert(err, qt.IsNil)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+demo.Key(0))
	req.Header.Set("Idempotency-Key", "order-1")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil || !strings.Contains(string(raw), want) {
		return string(raw)
	}
	return ""
}

// Guards against failures between separate processes, against the loss of a voter that interrupts serving or changes, and
// against a planned stop that does not exit cleanly.
func TestProcesses(t *testing.T) {
	p := start(t)
	p.apply()
	for n := range centres {
		p.eventually(func() string { return p.complete(n) })
		p.eventually(func() string { return p.post(n, "/ledger/orders", `{"reference":"o"}`, `"runs":1}`) })
	}
	p.Check(p.stop(centres[2], syscall.SIGKILL), qt.ErrorMatches, "signal: killed")
	p.eventually(func() string { return p.complete(0) })
	p.apply()
	p.launch(centres[2], "lycheevale", "run", "--config", p.settings[2])
	p.eventually(func() string { return p.complete(2) })
	p.Check(p.stop(centres[1], syscall.SIGTERM), qt.IsNil)
	p.eventually(func() string { return p.complete(0) })
}
