package ctl_test

import (
	"bytes"
	"context"
	"encoding/pem"
	"fmt"
	"io"
	"log"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/zeebo/errs"

	qt "github.com/frankban/quicktest"

	"lycheevale/internal/base/golden"
	"lycheevale/internal/base/refusal"
	"lycheevale/internal/fake/control"
	"lycheevale/internal/serve/operator"
	"lycheevale/internal/state/registry"
	"lycheevale/internal/tool/ctl"
	"lycheevale/internal/tool/exitcode"
)

const objects = `Kind: Model
Name: quill
Model: {}
---
Kind: Customer
Name: banksia
Customer: {Rate: 100, Burst: 500}
---
Kind: Adapter
Name: invites
Adapter: {Customer: banksia, Model: quill, DefaultVersion: "1"}
---
Kind: Version
Name: invites@1
Version: {Adapter: invites, Source: store/invites/1, State: Active}
---
Kind: Service
Name: ledger
Service:
  Kind: Plain
  Routes: [{Method: POST, Path: /orders}, {Method: GET, Path: /orders, Idempotent: true}]
  Objective: {Availability: 0.999}
`

type setup struct {
	*qt.C
	fake   *control.Fake
	folder string
	url    string
	wrap   atomic.Pointer[wrapper]
}

// wrapper injects faults of the connection.
type wrapper func(http.Handler) http.Handler

func (s *setup) inject(w wrapper) { s.wrap.Store(&w) }

func start(t testing.TB) *setup {
	s := &setup{C: qt.New(t), fake: control.New(), folder: t.TempDir()}
	s.inject(func(api http.Handler) http.Handler { return api })
	token, credential := operator.NewToken("alice", operator.RoleOperator)
	api := operator.New(operator.WithSystem(s.fake.System()), operator.WithLogger(slog.New(slog.DiscardHandler)),
		operator.WithCredentials(operator.NewCredentials(credential))).Handler()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		(*s.wrap.Load())(api).ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	s.url = strings.TrimPrefix(server.URL, "http://")
	s.file("token", token+"\n")
	s.file("objects.yaml", objects)
	return s
}

func (s *setup) file(name, text string) {
	s.Assert(os.WriteFile(filepath.Join(s.folder, name), []byte(text), 0o600), qt.IsNil)
}

// run runs a command line in which @ stands for the folder with the files.
func (s *setup) run(line string) (code int, out, errOut string) {
	args := []string{"--address", s.url, "--token-file", filepath.Join(s.folder, "token")}
	args = append(args, strings.Fields(strings.ReplaceAll(line, "@/", s.folder+"/"))...)
	var stdout, stderr bytes.Buffer
	code = ctl.Run(context.Background(), args, ctl.Streams{In: strings.NewReader(objects), Out: &stdout, Err: &stderr})
	return code, stdout.String(), stderr.String()
}

var variable = regexp.MustCompile(`[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}|lv_[0-9a-f_]+|\b[0-9a-f]{16}\b|[0-9a-f]{64}|\d{4}-\d\d-\d\dT[0-9:.]+Z`)

// Guards against output that changes without notice: scripts and people depend on it.
func TestTranscript(t *testing.T) {
	s := start(t)
	s.file("twice.yaml", "Kind: Model\nName: quill\nModel: {}\n---\nKind: Model\nName: quill\nModel: {}\n")
	s.file("unknown.yaml", "Kind: Customer\nName: x\nCustomer:\n  Rate: 1\n  Brst: 2\n---\nKind: Modl\nName: y\n")
	s.file("form.yaml", "Kind: Customer\nName: x\nCustomer:\n  Rate: -1\n  Burst: 2\n---\nKind: Modl\nName: y\n")
	s.file("update.yaml", "Kind: Customer\nName: banksia\nCustomer: {Rate: 120, Burst: 500, StrictKeys: true}\n")
	s.file("orphan.yaml", "Kind: Adapter\nName: x\nAdapter: {Customer: nobody, Model: quill, DefaultVersion: ''}\n")
	var transcript strings.Builder
	for _, line := range []string{
		"apply -f @/objects.yaml --dry-run", "apply -f @/objects.yaml", "apply -f -", "apply -f @/update.yaml",
		"get customers", "get customers -o json", "get adapters invites -o yaml", "services list", "versions list",
		"get custmers", "get models none", "apply -f @/twice.yaml", "apply -f @/unknown.yaml", "apply -f @/form.yaml",
		"apply -f @/orphan.yaml", "apply -f @/none.yaml", "customers set koro --rate 5",
		"customers set koro --rate 5.0000000001 --burst 50", "limits set koro --burst 60", "limits list", "models set koro-lm",
		"versions set invites@1 --source other", "versions set invites@2 --source store/invites/2",
		"adapters set invites --default-version 2", "delete versions invites@1", "models delete quill",
		"voters set entry-1 --voter-address 10.2.0.1:8082 --data-centre suva-a", "voters list",
		"customers delete koro --expected-revision 1", "keys issue koro", "keys list", "keys issue koro -o json",
		"keys withdraw lv_0123456789abcdef_00", "status", "status -o yaml", "endpoints", "watch --from 3 --count 2",
		"audit -n 2", "aply", "apply", "completion fish", "questionnaire --answers ../../../configs/koro-answers.yaml --out @/koro",
		"questionnaire --answers ../../../configs/koro-answers.yaml --out @/koro", "apply -f @/koro/objects.yaml",
	} {
		code, out, errOut := s.run(line)
		fmt.Fprintf(&transcript, "$ lycheectl %s\n%s%sexit %d\n\n", line, out, errOut, code)
	}
	text := strings.ReplaceAll(variable.ReplaceAllString(transcript.String(), "XXX"), s.folder, "@")
	golden.Check(t, "testdata/transcript.txt", []byte(regexp.MustCompile(` +\n`).ReplaceAllString(text, "\n")))
}

// Guards against a lost answer that leads to a second change, or to a wrong statement about the first.
func TestLostAnswers(t *testing.T) {
	s := start(t)
	lose := 2
	s.inject(func(api http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method != http.MethodPost || lose == 0 {
				api.ServeHTTP(w, r)
				return
			}
			lose--
			api.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler) // closes the connection after the change is made
		})
	})
	code, _, errOut := s.run("apply -f @/objects.yaml")
	s.Assert(code, qt.Equals, exitcode.OK, qt.Commentf(errOut))
	s.Assert(strings.Count(errOut, "next attempt"), qt.Equals, 2)
	s.Assert(s.fake.Registry.Revision(), qt.Equals, uint64(1))
	lose = 1
	code, _, _ = s.run("keys issue banksia")
	s.Assert(code, qt.Equals, exitcode.OK)
	s.Assert(s.fake.Registry.List(registry.KindKey), qt.HasLen, 1)
}

// Guards against an unknown outcome that is reported as a failure or a success.
func TestUnknownOutcome(t *testing.T) {
	s := start(t)
	s.fake.After = func(registry.Command) error { return errs.New("leader lost") }
	code, out, errOut := s.run("--retry-for 1s models set quill")
	s.Assert(code, qt.Equals, exitcode.Unknown)
	s.Assert(out, qt.Not(qt.Contains), "Committed")
	id := regexp.MustCompile(`--request-id (\S+)`).FindStringSubmatch(errOut)
	s.Assert(id, qt.HasLen, 2)
	s.fake.After = func(registry.Command) error { return nil }
	code, out, _ = s.run("models set quill --request-id " + id[1])
	s.Assert(code, qt.Equals, exitcode.OK)
	s.Assert(out, qt.Contains, "Nothing to change at revision 1")
	s.inject(func(api http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost {
				panic(http.ErrAbortHandler) // takes the request and closes the connection
			}
			api.ServeHTTP(w, r)
		})
	})
	code, _, _ = s.run("--retry-for 1s models set third")
	s.Assert(code, qt.Equals, exitcode.Unknown)
	s.inject(func(api http.Handler) http.Handler { return api })
	// A refusal of the second attempt says nothing about the first.
	attempts := 0
	s.fake.Before = func(registry.Command) error {
		if attempts++; attempts == 1 {
			return errs.New("leader lost")
		}
		return refusal.New(refusal.BadRequest, "not valid")
	}
	code, _, errOut = s.run("models set other")
	s.Assert(code, qt.Equals, exitcode.Unknown)
	s.Assert(errOut, qt.Contains, "an earlier attempt may have succeeded")
	// A refusal by the log settles it.
	attempts = 0
	s.fake.Before = func(registry.Command) error {
		if attempts++; attempts == 1 {
			return errs.New("leader lost")
		}
		return nil
	}
	code, _, _ = s.run("models set other --expected-revision 99")
	s.Assert(code, qt.Equals, exitcode.Conflict)
}

// Guards against a change that is refused because of somebody else's object, and one that overwrites
// somebody else's change of the same object.
func TestConcurrentChanges(t *testing.T) {
	s := start(t)
	_, _, _ = s.run("apply -f @/objects.yaml")
	interfere := func(o registry.Object) {
		done := false
		s.fake.Before = func(registry.Command) error {
			if !done {
				done = true
				s.fake.Registry.Apply(registry.Command{Changes: []registry.Object{o}})
			}
			return nil
		}
	}
	interfere(registry.Object{Kind: registry.KindModel, Name: "m", Model: &registry.Model{}})
	code, _, errOut := s.run("customers set banksia --rate 7")
	s.Assert(code, qt.Equals, exitcode.OK, qt.Commentf(errOut))
	interfere(registry.Object{Kind: registry.KindCustomer, Name: "banksia", Customer: &registry.Customer{Rate: 1, Burst: 1}})
	code, _, errOut = s.run("customers set banksia --rate 8")
	s.Assert(code, qt.Equals, exitcode.Conflict, qt.Commentf(errOut))
	o, _ := s.fake.Registry.Get(registry.KindCustomer, "banksia")
	s.Assert(o.Customer.Rate, qt.Equals, 1.0)
}

// Guards against exit codes that do not tell a script what happened.
func TestExitCodes(t *testing.T) {
	s := start(t)
	s.url = "127.0.0.1:1"
	code, _, _ := s.run("--retry-for 1s models set quill")
	s.Assert(code, qt.Equals, exitcode.Unavailable)
	s = start(t)
	s.file("token", "lo_wrong")
	code, _, _ = s.run("status")
	s.Assert(code, qt.Equals, exitcode.Refused)
	s.file("token", "")
	code, _, _ = s.run("status")
	s.Assert(code, qt.Equals, exitcode.Usage)
}

// Guards against a watch that misses or repeats changes after its connection is lost.
func TestWatchResumes(t *testing.T) {
	s := start(t)
	for _, name := range []string{"a", "b", "c"} {
		code, _, _ := s.run("models set " + name)
		s.Assert(code, qt.Equals, exitcode.OK)
	}
	s.inject(func(api http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			ctx, cancel := context.WithCancel(r.Context())
			defer cancel()
			api.ServeHTTP(&oneEvent{ResponseWriter: w, end: cancel}, r.WithContext(ctx))
		})
	})
	code, out, _ := s.run("watch --from 0 --count 3")
	s.Assert(code, qt.Equals, exitcode.OK)
	s.Assert(out, qt.Equals, "1 Model a written\n2 Model b written\n3 Model c written\n")
}

// oneEvent ends the response after one event.
type oneEvent struct {
	http.ResponseWriter
	end context.CancelFunc
}

func (o *oneEvent) Unwrap() http.ResponseWriter { return o.ResponseWriter }

func (o *oneEvent) Write(data []byte) (int, error) {
	if bytes.HasPrefix(data, []byte("id:")) {
		defer o.end()
	}
	return o.ResponseWriter.Write(data)
}

// Guards against a token that is sent to a server whose certificate is not trusted.
func TestTLS(t *testing.T) {
	s := start(t)
	var asked atomic.Bool
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		asked.Store(true)
		fmt.Fprint(w, `{"Instance":"entry-1"}`)
	}))
	server.Config.ErrorLog = log.New(io.Discard, "", 0)
	server.StartTLS()
	defer server.Close()
	s.url = strings.TrimPrefix(server.URL, "https://")
	code, _, _ := s.run("status --tls --retry-for 1s")
	s.Assert(code, qt.Equals, exitcode.Unavailable)
	s.Assert(asked.Load(), qt.IsFalse)
	s.file("ca.pem", string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: server.Certificate().Raw})))
	redirect := httptest.NewServer(http.RedirectHandler(server.URL, http.StatusTemporaryRedirect))
	defer redirect.Close()
	s.url = strings.TrimPrefix(redirect.URL, "http://")
	code, _, _ = s.run("status --ca-file @/ca.pem --retry-for 1s")
	s.Assert(code, qt.Not(qt.Equals), exitcode.OK)
	s.url = redirect.Listener.Addr().String()
	code, _, _ = s.run("status --retry-for 1s")
	s.Assert(code, qt.Not(qt.Equals), exitcode.OK)
	s.Assert(asked.Load(), qt.IsFalse)
	s.url = strings.TrimPrefix(server.URL, "https://")
	code, out, errOut := s.run("status --ca-file @/ca.pem")
	s.Assert(code, qt.Equals, exitcode.OK, qt.Commentf(errOut))
	s.Assert(out, qt.Contains, "entry-1")
}

// Guards against a file of thousands of objects that is compared or sent in another way than a small one.
func TestApplyManyObjects(t *testing.T) {
	s := start(t)
	var many strings.Builder
	for i := range 3000 {
		fmt.Fprintf(&many, "Kind: Adapter\nName: a%d\nAdapter: {Customer: banksia, Model: quill, DefaultVersion: ''}\n---\n", i)
	}
	s.file("many.yaml", many.String())
	_, _, _ = s.run("apply -f @/objects.yaml")
	code, out, errOut := s.run("apply -f @/many.yaml")
	s.Assert(code, qt.Equals, exitcode.OK, qt.Commentf(errOut))
	s.Assert(out, qt.Contains, "3000 to create, 0 to update, 0 to delete, 0 unchanged")
	_, out, _ = s.run("apply -f @/many.yaml")
	s.Assert(out, qt.Contains, "0 to create, 0 to update, 0 to delete, 3000 unchanged")
	s.Assert(s.fake.Registry.List(registry.KindAdapter), qt.HasLen, 3001)
}

// Guards against a report that leaves out an instance, or one that hides that it did.
func TestReport(t *testing.T) {
	s := start(t)
	_, _, _ = s.run("apply -f @/objects.yaml")
	code, out, errOut := s.run("report --retry-for 1s -o json --address " + s.url + " --address 127.0.0.1:1")
	s.Assert(code, qt.Equals, exitcode.OK, qt.Commentf(errOut))
	s.Assert(out, qt.Contains, `"Customer": "banksia"`)
	s.Assert(out, qt.Contains, `"Requests": 2`)
	s.Assert(out, qt.Contains, `"Objective": 0.999`)
	s.Assert(errOut, qt.Contains, "The report does not include 127.0.0.1:1")
	code, _, _ = s.run("report --html @/report.html")
	s.Assert(code, qt.Equals, exitcode.OK)
	page, err := os.ReadFile(filepath.Join(s.folder, "report.html"))
	s.Assert(err, qt.IsNil)
	s.Assert(string(page), qt.Contains, "banksia")
}

// Guards against a completion script whose request for candidates is not answered.
func TestCompletion(t *testing.T) {
	s := start(t)
	t.Setenv("GO_FLAGS_COMPLETION", "1")
	var out bytes.Buffer
	ctl.Run(t.Context(), []string{"get", "v"}, ctl.Streams{Out: &out, Err: io.Discard})
	s.Assert(out.String(), qt.Equals, "versions\nvoters\n")
}

func ExampleRun() {
	code := ctl.Run(context.Background(), []string{"get", "custmers"}, ctl.Streams{Out: os.Stdout, Err: os.Stdout})
	fmt.Println(code == exitcode.Usage)
	// Output:
	// lycheectl: unknown kind "custmers" (did you mean customers?)
	// lycheectl --help lists the commands; lycheectl get --help its options
	// true
}
