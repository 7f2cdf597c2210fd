package operator_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/zeebo/errs"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"lycheevale/internal/fake/control"
	"lycheevale/internal/serve/operator"
	"lycheevale/internal/state/registry"
)

const (
	customer = `{"Kind":"Customer","Name":"banksia","Customer":{"Rate":100,"Burst":500}}`
	model    = `{"Kind":"Model","Name":"quill","Model":{}}`
)

type testAPI struct {
	*qt.C
	fake   *control.Fake
	audit  *operator.Audit
	url    string
	token  string
	viewer string
}

func start(t testing.TB, opts ...operator.Option) *testAPI {
	a := &testAPI{C: qt.New(t), fake: control.New(), audit: operator.NewAudit(nil)}
	var alice, vera operator.Credential
	a.token, alice = operator.NewToken("alice", operator.RoleOperator)
	a.viewer, vera = operator.NewToken("vera", operator.RoleViewer)
	server := httptest.NewServer(operator.New(append([]operator.Option{
		operator.WithSystem(a.fake.System()), operator.WithCredentials(operator.NewCredentials(alice, vera)),
		operator.WithAudit(a.audit), operator.WithLogger(slog.New(slog.DiscardHandler)),
	}, opts...)...).Handler())
	t.Cleanup(server.Close)
	a.url = server.URL
	return a
}

// call sends the body as JSON and returns the status and the answer.
func (a *testAPI) call(token, method, path, body string) (int, string) {
	request, err := http.NewRequest(method, a.url+path, strings.NewReader(body))
	a.Assert(err, qt.IsNil)
	request.Header.Set("Authorization", "Bearer "+token)
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	a.Assert(err, qt.IsNil)
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	a.Assert(err, qt.IsNil)
	return response.StatusCode, string(answer)
}

func (a *testAPI) change(id, extra string, objects ...string) (int, string) {
	return a.call(a.token, "POST", "/v1/changes",
		fmt.Sprintf(`{"RequestID":%q,%s"Changes":[%s]}`, id, extra, strings.Join(objects, ",")))
}

func Example() {
	fake := control.New()
	token, credential := operator.NewToken("alice", operator.RoleOperator)
	server := httptest.NewServer(operator.New(operator.WithSystem(fake.System()),
		operator.WithCredentials(operator.NewCredentials(credential))).Handler())
	defer server.Close()
	request, _ := http.NewRequest("GET", server.URL+"/v1/objects/customers", nil)
	request.Header.Set("Authorization", "Bearer "+token)
	response, _ := http.DefaultClient.Do(request)
	body, _ := io.ReadAll(response.Body)
	fmt.Print(string(body))
	// Output: {"Revision":0,"Objects":[]}
}

// Guards against a resend that is applied twice, and a stale revision that overwrites a newer one.
func TestChangeIsAppliedOnce(t *testing.T) {
	a := start(t)
	status, first := a.change("r1", "", customer, model)
	a.Assert(status, qt.Equals, http.StatusOK)
	a.Assert(first, qt.Contains, `"Revision":1,"InForce":["entry-1","entry-2"]`)
	a.Assert(first, qt.Contains, `"Action":"Create"`)
	status, _ = a.change("r1", "", customer, model)
	a.Assert(status, qt.Equals, http.StatusOK)
	a.Assert(a.fake.Registry.Revision(), qt.Equals, uint64(1))
	_, _ = a.change("r2", `"ExpectedRevision":1,`, customer)
	status, answer := a.change("r3", `"ExpectedRevision":1,`, customer)
	a.Assert(status, qt.Equals, http.StatusConflict)
	a.Assert(answer, qt.Contains, `"Code":"Conflict","Ran":"NotRun"`)
	a.Assert(answer, qt.Contains, `"Revision":2`)
}

// Guards against a dry run that changes something or accepts a change that would be refused.
func TestDryRun(t *testing.T) {
	a := start(t)
	status, answer := a.change("r1", `"DryRun":true,`, customer)
	a.Assert(status, qt.Equals, http.StatusOK)
	a.Assert(answer, qt.Contains, `"Action":"Create"`)
	a.Assert(a.fake.Registry.Revision(), qt.Equals, uint64(0))
	a.Assert(a.audit.Recent(10), qt.HasLen, 0)
	status, _ = a.change("r2", `"DryRun":true,"ExpectedRevision":7,`, customer)
	a.Assert(status, qt.Equals, http.StatusConflict)
}

// Guards against accepting objects that other parts of the system cannot use.
func TestInvalidChangesAreRefused(t *testing.T) {
	a := start(t)
	adapter := `{"Kind":"Adapter","Name":"a","Adapter":{"Customer":"banksia","Model":"quill","DefaultVersion":"1"}}`
	version := `{"Kind":"Version","Name":"a@1","Version":{"Adapter":"a","Source":"s","State":"Active"}}`
	route := `{"Kind":"Service","Name":%q,"Service":{"Kind":"Plain","Routes":[{"Method":"POST","Path":"/o"}],"Objective":{"Availability":0.9}}}`
	key := `{"Kind":"Key","Name":"k","Key":{"Customer":"banksia","Hash":"` + strings.Repeat("ab", 32) + `"%s}}`
	status, answer := a.change("base", "", customer, model, adapter, version, fmt.Sprintf(route, "ledger"), fmt.Sprintf(key, ""))
	a.Assert(status, qt.Equals, http.StatusOK, qt.Commentf(answer))
	for _, test := range []struct{ want, object string }{
		{`Kind \"Custmer\" is not known`, `{"Kind":"Custmer","Name":"x"}`},
		{"exactly the field Customer", `{"Kind":"Customer","Name":"x","Model":{}}`},
		{"Customer.Rate is 0", `{"Kind":"Customer","Name":"x","Customer":{"Rate":0,"Burst":1}}`},
		{`unknown field \"Brst\"`, `{"Kind":"Customer","Name":"x","Customer":{"Rate":1,"Brst":1}}`},
		{"Name", `{"Kind":"Customer","Name":"a b","Customer":{"Rate":1,"Burst":1}}`},
		{"two parts joined by @", `{"Kind":"Version","Name":"x","Version":{"Adapter":"x","Source":"s","State":"Active"}}`},
		{`names customer \"nobody\"`, `{"Kind":"Adapter","Name":"x","Adapter":{"Customer":"nobody","Model":"quill","DefaultVersion":""}}`},
		{"Version.Source cannot be changed", `{"Kind":"Version","Name":"a@1","Version":{"Adapter":"a","Source":"t","State":"Active"}}`},
		{`adapter \"a\" names it`, `{"Kind":"Customer","Name":"banksia","Deleted":true}`},
		{"cannot be told apart", fmt.Sprintf(route, "other")},
		{"cannot be told apart", strings.Replace(fmt.Sprintf(route, "o"), `"/o"`, `"/v1/completions"`, 1)},
		{"not a valid pattern", strings.Replace(fmt.Sprintf(route, "o"), `"/o"`, `"/{o"`, 1)},
		{"is the name of model too", `{"Kind":"Adapter","Name":"quill","Adapter":{"Customer":"banksia","Model":"quill","DefaultVersion":""}}`},
		{"must not contain _", strings.Replace(fmt.Sprintf(key, ""), `"k"`, `"k_1"`, 1)},
		{"in lower case", strings.ReplaceAll(fmt.Sprintf(key, ""), "ab", "AB")},
		{"Key.Withdrawn cannot be changed", fmt.Sprintf(key, `,"Withdrawn":true`)},
		{"Key cannot be changed", strings.ReplaceAll(fmt.Sprintf(key, ""), "ab", "ac")},
		{"must follow the withdrawal", `{"Kind":"Key","Name":"k","Deleted":true}`},
		{"does not go with a specification", `{"Kind":"Model","Name":"quill","Deleted":true,"Model":{}}`},
	} {
		status, answer := a.change("bad", "", test.object)
		a.Check(status, qt.Equals, http.StatusBadRequest, qt.Commentf(test.object))
		a.Check(answer, qt.Contains, test.want)
	}
	status, answer = a.change("twice", "", customer, customer)
	a.Assert(status, qt.Equals, http.StatusBadRequest)
	a.Assert(answer, qt.Contains, "occurs twice")
	a.Assert(a.fake.Registry.Revision(), qt.Equals, uint64(1))
}

// Guards against access without a token, and against changes by a viewer.
func TestAuthentication(t *testing.T) {
	a := start(t)
	for _, token := range []string{"", "lo_wrong", a.token + "x"} {
		status, answer := a.call(token, "GET", "/v1/status", "")
		a.Assert(status, qt.Equals, http.StatusUnauthorized)
		a.Assert(answer, qt.Contains, `"Code":"NotPermitted"`)
	}
	status, _ := a.call(a.viewer, "GET", "/v1/status", "")
	a.Assert(status, qt.Equals, http.StatusOK)
	status, _ = a.call(a.viewer, "POST", "/v1/changes", "{}")
	a.Assert(status, qt.Equals, http.StatusForbidden)
}

// Guards against a removed operator who keeps access, and an invalid file that removes all operators.
func TestCredentialsReload(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(t.TempDir(), "operators.yaml")
	token, credential := operator.NewToken("alice", operator.RoleOperator)
	store := func(text string) { c.Assert(os.WriteFile(path, []byte(text), 0o600), qt.IsNil) }
	store(fmt.Sprintf("Operators:\n  - {Name: alice, Role: Operator, Hash: %s}\n", credential.Hash))
	credentials, err := operator.LoadCredentials(path)
	c.Assert(err, qt.IsNil)
	var log bytes.Buffer
	a := start(t, operator.WithCredentials(credentials), operator.WithLogger(slog.New(slog.NewTextHandler(&log, nil))))
	accepted := func() bool {
		status, _ := a.call(token, "GET", "/v1/status", "")
		return status == http.StatusOK
	}
	c.Assert(accepted(), qt.IsTrue)
	store("Operators:\n  - {Name: alice, Rle: Operator}\n")
	c.Assert(accepted(), qt.IsTrue)
	c.Assert(log.String(), qt.Contains, "2:19: unknown field Rle (did you mean Role?)")
	c.Assert(os.Remove(path), qt.IsNil)
	for range 2 {
		c.Assert(accepted(), qt.IsTrue)
	}
	c.Assert(strings.Count(log.String(), "Event=8006"), qt.Equals, 2)
	store("Operators: []\n")
	c.Assert(accepted(), qt.IsFalse)
}

// Guards against returning a secret that does not match the stored hash, and against storing the secret.
func TestKeyIssue(t *testing.T) {
	a := start(t)
	_, _ = a.change("r1", "", customer)
	issue := func(id string) (int, string) {
		return a.call(a.token, "POST", "/v1/keys", fmt.Sprintf(`{"RequestID":%q,"Customer":"banksia"}`, id))
	}
	status, body := issue("k1")
	a.Assert(status, qt.Equals, http.StatusOK)
	var answer operator.KeyAnswer
	a.Assert(json.Unmarshal([]byte(body), &answer), qt.IsNil)
	a.Assert(answer.Key, qt.Matches, "lv_"+answer.ID+"_[0-9a-f]{64}")
	o, _ := a.fake.Registry.Get(registry.KindKey, answer.ID)
	a.Assert(o.Key.Hash, qt.HasLen, 64)
	a.Assert(strings.Contains(answer.Key, o.Key.Hash), qt.IsFalse)
	status, body = issue("k1")
	a.Assert(status, qt.Equals, http.StatusConflict)
	a.Assert(body, qt.Contains, "shown once")
	status, body = a.call(a.token, "POST", "/v1/keys/"+answer.ID+"/withdraw", `{"RequestID":"w1"}`)
	a.Assert(status, qt.Equals, http.StatusOK, qt.Commentf(body))
	o, _ = a.fake.Registry.Get(registry.KindKey, answer.ID)
	a.Assert(o.Key.Withdrawn, qt.IsTrue)
}

// Guards against replacing a key by another request, and against returning a key that is not the stored one.
func TestKeyIsNeverReplaced(t *testing.T) {
	fake := control.New()
	system := fake.System()
	hidden := 0 // number of key look-ups that miss, as on an instance that lags behind the log
	system.Object = func(kind registry.Kind, name string) (registry.Object, bool) {
		if hidden > 0 && kind == registry.KindKey {
			hidden--
			return registry.Object{}, false
		}
		return fake.Registry.Get(kind, name)
	}
	a := start(t, operator.WithSystem(system))
	_, _ = a.change("r1", "", customer)
	_, body := a.call(a.token, "POST", "/v1/keys", `{"RequestID":"k1","Customer":"banksia"}`)
	var answer operator.KeyAnswer
	a.Assert(json.Unmarshal([]byte(body), &answer), qt.IsNil)
	hidden = 2 // before the change is proposed
	status, body := a.call(a.token, "POST", "/v1/keys", `{"RequestID":"k1","Customer":"banksia"}`)
	a.Assert(status, qt.Equals, http.StatusConflict, qt.Commentf(body))
	hash := strings.Repeat("ab", 32)
	status, _ = a.call(a.token, "POST", "/v1/keys",
		fmt.Sprintf(`{"RequestID":"k2","Customer":"banksia","ID":%q,"Hash":%q}`, answer.ID, hash))
	a.Assert(status, qt.Equals, http.StatusConflict)
	o, _ := fake.Registry.Get(registry.KindKey, answer.ID)
	a.Assert(o.Key.Hash, qt.Not(qt.Equals), hash)
}

// Guards against a change that is cancelled because the operator's connection closed.
func TestChangeOutlivesConnection(t *testing.T) {
	fake := control.New()
	system := fake.System()
	ctx, disconnect := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	system.Propose = func(ctx context.Context, _ registry.Command) (operator.Outcome, error) {
		disconnect()
		select {
		case <-ctx.Done():
		case <-time.After(100 * time.Millisecond):
		}
		ended <- ctx.Err()
		return operator.Outcome{}, ctx.Err()
	}
	a := start(t, operator.WithSystem(system))
	request, err := http.NewRequestWithContext(ctx, "POST", a.url+"/v1/changes",
		strings.NewReader(`{"RequestID":"r1","Changes":[`+model+`]}`))
	a.Assert(err, qt.IsNil)
	request.Header.Set("Authorization", "Bearer "+a.token)
	request.Header.Set("Content-Type", "application/json")
	_, err = http.DefaultClient.Do(request)
	a.Assert(err, qt.IsNotNil)
	a.Assert(<-ended, qt.IsNil)
}

// Guards against actions without a record, and records that state an outcome that is not known.
func TestAudit(t *testing.T) {
	a := start(t)
	a.fake.After = func(registry.Command) error { return errs.New("leader lost") }
	status, answer := a.change("r1", "", customer)
	a.Assert(status, qt.Equals, http.StatusBadGateway)
	a.Assert(answer, qt.Contains, `"Code":"OutcomeUnknown","Ran":"Unknown"`)
	records := a.audit.Recent(10)
	a.Assert(records, qt.HasLen, 2)
	a.Assert(records[0].Stage, qt.Equals, operator.StageStarted)
	a.Assert(records[0].Operator, qt.Equals, "alice")
	a.Assert(records[1].Error, qt.Contains, "leader lost")
	full := operator.NewAudit(func([]byte) error { return errs.New("disk full") })
	b := start(t, operator.WithAudit(full))
	status, _ = b.change("r1", "", customer)
	b.Assert(status, qt.Equals, http.StatusServiceUnavailable)
	b.Assert(b.fake.Registry.Revision(), qt.Equals, uint64(0))
	status, _ = b.call(b.token, "POST", "/v1/keys/stolen/withdraw", `{"RequestID":"w1"}`)
	b.Assert(status, qt.Equals, http.StatusOK)
}

// Guards against blocked changes that delay the withdrawal of a key.
func TestWithdrawalPassesHangingChanges(t *testing.T) {
	a := start(t, operator.WithMaximum(1, 1))
	hanging, release := make(chan struct{}), make(chan struct{})
	a.fake.Before = func(registry.Command) error {
		close(hanging)
		<-release
		return nil
	}
	var group errgroup.Group
	group.Go(func() error { a.change("r1", "", customer); return nil })
	<-hanging
	status, answer := a.change("r2", "", model)
	a.Check(status, qt.Equals, http.StatusServiceUnavailable)
	a.Check(answer, qt.Contains, `"Code":"Overloaded","Ran":"NotRun"`)
	status, _ = a.call(a.token, "POST", "/v1/keys/stolen/withdraw", `{"RequestID":"w1"}`)
	a.Check(status, qt.Equals, http.StatusOK)
	close(release)
	a.Assert(group.Wait(), qt.IsNil)
}

// Guards against a change that removes a majority of the voters, whose logs would be lost with them.
func TestVotersKeepMajority(t *testing.T) {
	fake := control.New()
	system := fake.System()
	system.Status = func(context.Context) (s operator.Status, err error) {
		for _, name := range []string{"v1", "v2", "v3"} {
			s.Members = append(s.Members, operator.Member{Name: name, Roles: []string{"Entry", "Voter"}})
		}
		return s, nil
	}
	a := start(t, operator.WithSystem(system))
	voter := func(name string) string {
		return fmt.Sprintf(`{"Kind":"Voter","Name":%q,"Voter":{"Address":"10.0.0.1:8082","DataCentre":"a"}}`, name)
	}
	status, answer := a.change("r1", "", voter("v4"))
	a.Assert(status, qt.Equals, http.StatusBadRequest)
	a.Assert(answer, qt.Contains, "leaves 0 of the 3 current voters (v1, v2, v3)")
	status, _ = a.change("r2", `"DryRun":true,`, voter("v1"))
	a.Assert(status, qt.Equals, http.StatusBadRequest)
	status, answer = a.change("r3", "", voter("v1"), voter("v2"), voter("v3"))
	a.Assert(status, qt.Equals, http.StatusOK, qt.Commentf(answer))
	status, _ = a.change("r4", "", voter("v4"), `{"Kind":"Voter","Name":"v1","Deleted":true}`)
	a.Assert(status, qt.Equals, http.StatusOK)
	status, _ = a.change("r5", "", `{"Kind":"Voter","Name":"v2","Deleted":true}`, `{"Kind":"Voter","Name":"v3","Deleted":true}`)
	a.Assert(status, qt.Equals, http.StatusBadRequest)
}

// Guards against a resend that is refused as not run although the first request was applied.
func TestResendOfAppliedChange(t *testing.T) {
	fake := control.New()
	system := fake.System()
	system.Answered = func(id string) bool { return id == "r2" }
	a := start(t, operator.WithSystem(system))
	a.fake = fake
	adapter := `{"Kind":"Adapter","Name":"a","Adapter":{"Customer":"banksia","Model":"quill","DefaultVersion":""}}`
	_, _ = a.change("r1", "", customer, model)
	_, _ = a.change("r2", "", adapter)
	_, _ = a.change("r3", "", `{"Kind":"Adapter","Name":"a","Deleted":true}`, `{"Kind":"Customer","Name":"banksia","Deleted":true}`)
	status, answer := a.change("r2", "", adapter)
	a.Assert(status, qt.Equals, http.StatusOK)
	a.Assert(answer, qt.Contains, `"Revision":2`)
	status, _ = a.change("r4", "", adapter)
	a.Assert(status, qt.Equals, http.StatusBadRequest)
}

// Guards against bodies of unlimited size, and against bodies that are parsed differently than intended.
func TestBodiesAreBoundedAndStrict(t *testing.T) {
	a := start(t, operator.WithLimits(1024, 4096))
	for _, test := range []struct {
		body string
		want int
	}{
		{`{"RequestID":"` + strings.Repeat("x", 2000) + `"}`, http.StatusRequestEntityTooLarge},
		{`{"RequestID":"r","ExpectedRevison":1}`, http.StatusBadRequest},
		{`{"RequestID":"r"} {}`, http.StatusBadRequest},
		{`{"RequestID":""}`, http.StatusBadRequest},
	} {
		status, _ := a.call(a.token, "POST", "/v1/changes", test.body)
		a.Check(status, qt.Equals, test.want)
	}
	status, _ := a.call(a.token, "GET", "/v1/objects/customer", "")
	a.Assert(status, qt.Equals, http.StatusNotFound)
}

// Guards against a watch that misses a change or outlives the server.
func TestWatchResumesAndEnds(t *testing.T) {
	c := qt.New(t)
	fake := control.New()
	token, credential := operator.NewToken("alice", operator.RoleViewer)
	server := operator.New(operator.WithSystem(fake.System()), operator.WithLogger(slog.New(slog.DiscardHandler)),
		operator.WithCredentials(operator.NewCredentials(credential)), operator.WithKeepAlive(time.Millisecond))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return server.Run(ctx, listener) })
	for i := range 3 {
		_, _ = fake.System().Propose(ctx, registry.Command{RequestID: fmt.Sprint(i), Changes: []registry.Object{
			{Kind: registry.KindModel, Name: fmt.Sprint("m", i), Model: &registry.Model{}},
		}})
	}
	request, _ := http.NewRequest("GET", "http://"+listener.Addr().String()+"/v1/watch", nil)
	request.Header.Set("Authorization", "Bearer "+token)
	request.Header.Set("Last-Event-ID", "1")
	response, err := http.DefaultClient.Do(request)
	c.Assert(err, qt.IsNil)
	lines := bufio.NewScanner(response.Body)
	var ids []string
	for len(ids) < 2 && lines.Scan() {
		if id, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			ids = append(ids, id)
		}
	}
	c.Assert(ids, qt.DeepEquals, []string{"2", "3"})
	cancel()
	for lines.Scan() {
	}
	c.Assert(group.Wait(), qt.IsNil)
}
