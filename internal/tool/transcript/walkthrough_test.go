package transcript_test

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheevale/internal/base/golden"
	"lycheevale/internal/base/settings"
	"lycheevale/internal/fake/deployment"
	"lycheevale/internal/state/registry"
	"lycheevale/internal/tool/ctl"
	"lycheevale/internal/tool/exitcode"
	"lycheevale/internal/tool/transcript"
)

// docs is the folder of the pages, before a test changes its folder.
const docs = "../../../docs"

// patience ends the wait for an expected output, so that a wrong one is shown as a difference. It is no bound on the
// time that the system may take.
const patience = 2 * time.Minute

// loadPatience ends the wait for load reports in a check that is known to fail.
const loadPatience = 15 * time.Second

const credentialsFile = "operators.yaml"

// operatorDesk is a new operator with a folder, a shell's variables and, from the first export on, a deployment.
type operatorDesk struct {
	c         *qt.C
	variables map[string]string
	files     string
	updating  bool
}

var keyPattern = regexp.MustCompile(`lv_([A-Za-z0-9]+)_[A-Za-z0-9]+`)

// Guards against a walkthrough whose commands or outputs are not those of the programs, and against a break of the
// way of a new operator: a token, objects, a key, a completion, a withdrawal.
func TestWalkthrough(t *testing.T) {
	c := qt.New(t)
	path, err := filepath.Abs(filepath.Join(docs, "walkthrough.md"))
	c.Assert(err, qt.IsNil)
	page, err := os.ReadFile(path)
	c.Assert(err, qt.IsNil)
	d := &operatorDesk{
		c: c, variables: map[string]string{}, files: t.TempDir(), updating: os.Getenv("UPDATE_GOLDEN") == "1",
	}
	t.Chdir(d.files)
	got := transcript.Refresh(string(page), func(name string) string { return d.variables[name] }, d.run)
	golden.Check(t, path, []byte(got))
}

func (d *operatorDesk) run(command transcript.Command) string {
	switch words := command.Words; words[0] {
	case "cat": // cat > FILE <<'END'
		writeFile(d.c, words[2], []byte(command.Document))
		return ""
	case "export":
		if d.variables["ADDRESS"] == "" {
			d.start()
		}
		return ""
	case "curl":
		return d.expect(command, func() string { return d.curl(words) })
	default:
		d.c.Assert(words[0], qt.Equals, "lycheectl")
		return d.lycheectl(command)
	}
}

// changing are the words of commands that run once; all others are repeated until they show what the page shows.
var changing = []string{"operator-token", "apply", "issue", "withdraw", "set"}

func (d *operatorDesk) lycheectl(command transcript.Command) string {
	run := func() string {
		args, file := command.Words[1:], ""
		if n := len(args); n > 2 && args[n-2] == ">" {
			args, file = args[:n-2], args[n-1]
		}
		var out bytes.Buffer
		code := ctl.Run(d.c.Context(), args, ctl.Streams{Out: &out, Err: &out})
		if key := keyPattern.FindStringSubmatch(out.String()); key != nil {
			d.variables["KEY"], d.variables["KEY_ID"] = key[0], key[1]
		}
		if file != "" {
			writeFile(d.c, file, out.Bytes())
			out.Reset()
		}
		if code != exitcode.OK {
			_, _ = fmt.Fprintf(&out, "(exit code %d)\n", code)
		}
		return d.stable(out.String())
	}
	if slices.ContainsFunc(command.Words, func(w string) bool { return slices.Contains(changing, w) }) {
		return run()
	}
	return d.expect(command, run)
}

// expect repeats a command that changes nothing until it shows what the page shows.
func (d *operatorDesk) expect(command transcript.Command, run func() string) string {
	ctx, cancel := context.WithTimeout(d.c.Context(), patience)
	defer cancel()
	if d.updating {
		time.Sleep(3 * time.Second) // there is no expected output to wait for
		return run()
	}
	for {
		got := run()
		if got == command.Output || ctx.Err() != nil {
			return got
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (d *operatorDesk) curl(words []string) string {
	a, err := transcript.Curl(d.c.Context(), words)
	d.c.Assert(err, qt.IsNil)
	return d.stable(a.Body)
}

func (d *operatorDesk) stable(output string) string {
	if id := d.variables["KEY_ID"]; id != "" {
		output = regexp.MustCompile(`\b`+id+`\b`).ReplaceAllString(output, "<key-id>")
	}
	return transcript.Stable(output)
}

func writeFile(c *qt.C, path string, content []byte) {
	c.Assert(os.WriteFile(path, content, 0o600), qt.IsNil)
}

// start starts the deployment that the walkthrough assumes, with the credentials made so far.
func (d *operatorDesk) start() {
	running, err := deployment.Start(context.WithoutCancel(d.c.Context()), deployment.With(func(o *deployment.Options) {
		o.DataFolder, o.Objects = filepath.Join(d.files, "data"), walkthroughObjects()
		o.Services = 0
		o.Settings = func(s *settings.Settings) { s.Operators.CredentialsFile = filepath.Join(d.files, credentialsFile) }
	}))
	d.c.Assert(err, qt.IsNil)
	d.c.Cleanup(func() { d.c.Check(running.Stop(), qt.IsNil) })
	d.c.Assert(running.WaitReady(d.c.Context()), qt.IsNil)
	var operators []string
	for _, i := range running.Instances {
		operators = append(operators, i.Settings.Listen.Operators.String())
	}
	d.variables["ADDRESS"] = running.Instances[0].Address().String()
	d.c.Setenv("LYCHEECTL_ADDRESS", strings.Join(operators, ","))
	d.c.Setenv("LYCHEECTL_TOKEN_FILE", filepath.Join(d.files, "alice.token"))
}

// walkthroughObjects leave out the objective for first tokens, whose report depends on the speed of the machine.
func walkthroughObjects() []registry.Object {
	return []registry.Object{
		{Kind: registry.KindModel, Name: "quill", Model: &registry.Model{}},
		{Kind: registry.KindService, Name: "quill", Service: &registry.Service{
			Kind: registry.ServiceModel, Model: "quill", Objective: registry.Objective{Availability: 0.999},
		}},
	}
}
