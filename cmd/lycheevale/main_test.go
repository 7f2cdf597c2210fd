package main_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
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

// processes is a deployment of real processes: three voters, and one engine and one plain service in each data centre.
type processes struct {
	*qt.C
	t        *testing.T
	folder   string
	settings []string
	callers  []string
	running  map[string]*exec.Cmd
	operate  []string
}

// freeAddress finds a port that is free now; another program may take it before it is used, which fails the test's
// start and not its verdict about the product.
func freeAddress(c *qt.C) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer l.Close()
	return l.Addr().String()
}

func start(t *testing.T) *processes {
	p := &processes{C: qt.New(t), t: t, folder: t.TempDir(), running: map[string]*exec.Cmd{}}
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
		peers[n] = freeAddress(p.C)
		fmt.Fprintf(&members, "  - {Name: %s-1, Address: %q, DataCentre: %s}\n", centre, peers[n], centre)
	}
	for n, centre := range centres {
		p.callers, p.operate = append(p.callers, freeAddress(p.C)), append(p.operate, freeAddress(p.C))
		text := fmt.Sprintf("Name: %s-1\nDataCentre: %s\nRegion: %s\nDataFolder: %s\nListen: {Callers: %q, Operators: %q, Peers: %q, Streams: %q}\n"+
			"Operators: {CredentialsFile: %s}\nShutdown: {LoadBalancer: 100ms}\nVoters:\n%sPeers:\n%s",
			centre, centre, centre, p.path("data-"+centre), p.callers[n], p.operate[n], peers[n], freeAddress(p.C),
			p.path("operators.yaml"), members.String(), members.String())
		file := p.path(centre + ".yaml")
		p.Assert(os.WriteFile(file, []byte(text), 0o600), qt.IsNil)
		p.settings = append(p.settings, file)
	}
}

func (p *processes) launch(name, program string, args ...string) {
	c := exec.Command(p.path(program), args...)
	var log bytes.Buffer
	c.Stdout, c.Stderr = &log, &log
	p.Assert(c.Start(), qt.IsNil)
	p.running[name] = c
	p.t.Cleanup(func() {
		if p.t.Failed() {
			p.t.Logf("%s:\n%s", name, log.String())
		}
	})
}

func (p *processes) stopAll() {
	for _, c := range p.running {
		_ = c.Process.Kill()
		_ = c.Wait()
	}
}

// apply loads the demo's configuration as an operator does.
func (p *processes) apply() {
	var file bytes.Buffer
	for _, o := range demo.Changes() {
		raw, err := json.Marshal(o)
		p.Assert(err, qt.IsNil)
		fmt.Fprintf(&file, "---\n%s\n", raw)
	}
	p.Assert(os.WriteFile(p.path("objects.yaml"), file.Bytes(), 0o600), qt.IsNil)
	p.eventually(func() string {
		out, err := exec.Command(p.path("lycheectl"), "--address", p.operate[0], "--token-file", p.path("token"),
			"apply", "-f", p.path("objects.yaml")).CombinedOutput()
		if err != nil {
			return string(out)
		}
		return ""
	})
}

// eventually repeats a check until it returns no problem; go test's own timeout ends a deployment that never gets there.
func (p *processes) eventually(check func() string) {
	for {
		if check() == "" {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (p *processes) complete(n int) string {
	return p.post(n, "/v1/completions", `{"model":"draft-00","prompt":"Dear guests","max_tokens":3}`, "draft-00@v1:3")
}

func (p *processes) post(n int, path, body, want string) (problem string) {
	req, err := http.NewRequest("POST", "http://"+p.callers[n]+path, strings.NewReader(body))
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

// Guards against a break on the path between separate processes, against a killed voter taking serving or changes with
// it, and against a planned stop that does not end cleanly.
func TestProcesses(t *testing.T) {
	p := start(t)
	p.apply()
	for n := range centres {
		p.eventually(func() string { return p.complete(n) })
		p.eventually(func() string { return p.post(n, "/ledger/orders", `{"reference":"o"}`, `"runs":1}`) })
	}
	killed := p.running[centres[2]]
	p.Assert(killed.Process.Kill(), qt.IsNil)
	_ = killed.Wait()
	p.eventually(func() string { return p.complete(0) })
	p.apply()
	p.launch(centres[2], "lycheevale", "run", "--config", p.settings[2])
	p.eventually(func() string { return p.complete(2) })
	stopped := p.running[centres[1]]
	p.Assert(stopped.Process.Signal(syscall.SIGTERM), qt.IsNil)
	p.Check(stopped.Wait(), qt.IsNil)
	delete(p.running, centres[1])
	p.eventually(func() string { return p.complete(0) })
}
