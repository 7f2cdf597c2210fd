package forward_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"lycheevale/internal/member/report"
	"lycheevale/internal/place/quarantine"
	"lycheevale/internal/serve/forward"
	"lycheevale/internal/wire/upstream"
)

// crashes simulates endpoints that crash as soon as they get a request with the body "deadly".
type crashes struct {
	*fixture
	group sync.WaitGroup

	mu   sync.Mutex
	down map[netip.AddrPort]bool
	runs int
}

func newCrashes(t *testing.T, endpoints int) *crashes {
	k := &crashes{down: map[netip.AddrPort]bool{}}
	k.fixture = newFixture(t, make([]http.HandlerFunc, endpoints),
		forward.WithPool(upstream.New(upstream.WithDial(k.dial))), forward.WithSpawn(func(f func()) { k.group.Go(f) }))
	return k
}

func (k *crashes) dial(_ context.Context, to netip.AddrPort) (net.Conn, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.down[to] {
		return nil, syscall.ECONNREFUSED
	}
	client, server := net.Pipe()
	k.group.Go(func() { k.serve(to, server) })
	return client, nil
}

func (k *crashes) serve(at netip.AddrPort, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	q, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	k.mu.Lock()
	k.runs++
	crashed := string(body) == "deadly"
	k.down[at] = crashed
	k.mu.Unlock()
	if !crashed {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok") // a client that has left needs no answer
	}
}

// post sends a request, and returns the status and the number of endpoints that got it, when the checks of endpoints have ended.
func (k *crashes) post(path, body string) (status, runs int) {
	before := k.count()
	q := httptest.NewRequestWithContext(context.Background(), http.MethodPost, path, strings.NewReader(body))
	q.Header.Set("Key", "k")
	q.Header.Set("Attempt", "1")
	w := httptest.NewRecorder()
	k.handler.ServeHTTP(w, q)
	k.group.Wait()
	return w.Code, k.count() - before
}

func (k *crashes) count() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.runs
}

// Guards against a crash that is not reported because its requests have no parts of prompts, or leave no head of an answer.
func TestCrashUnderPlainRequestIsReported(t *testing.T) {
	k := newCrashes(t, 2)
	status, runs := k.post("/order/x", "deadly")
	k.Check([]int{status, runs}, quicktest.DeepEquals, []int{http.StatusBadGateway, 1})
	k.Check(k.handler.HasCrash(), quicktest.IsTrue)
	sent := report.Entry{Term: 1}
	k.handler.Report(&sent, time.Second)
	k.Assert(sent.Crashes, quicktest.HasLen, 1)
	var ids []string
	for _, e := range sent.Crashes[0].Exposed {
		ids = append(ids, e.ID)
	}
	deadly := quarantine.Request([]byte(http.MethodPost), []byte("/order/x"), []byte("c"), []byte("deadly"))
	k.Check(ids, quicktest.DeepEquals, []string{deadly, quarantine.Customer("c")})
}

// A request that may be repeated crashes endpoints, and its caller sends it again. Guards against sending each repeat to a second endpoint, and against
// keeping a request from a second endpoint only because it has never begun here.
func TestRepeatOfCrashingRequestHasOneEndpoint(t *testing.T) {
	k := newCrashes(t, 5)
	_, runs := k.post("/read/x", "deadly")
	k.Check(runs, quicktest.Equals, 2)
	for range 2 {
		_, runs = k.post("/read/x", "deadly")
		k.Check(runs, quicktest.Equals, 1)
	}
	status, _ := k.post("/read/x", "sound")
	k.Check(status, quicktest.Equals, http.StatusOK)
}

// Guards against sending a quarantined request to an endpoint, with whatever attempt identifier, and against refusing others of the same customer.
func TestQuarantinedRequestIsRefused(t *testing.T) {
	k := newCrashes(t, 2)
	deadly := quarantine.Request([]byte(http.MethodPost), []byte("/order/x"), []byte("c"), []byte("deadly"))
	k.apply(func(u *report.Update) {
		u.QuarantineRevision, u.Quarantine = 1, []quarantine.Signature{quarantine.NewSignature("s", deadly)}
	})
	status, runs := k.post("/order/x", "deadly")
	k.Check([]int{status, runs}, quicktest.DeepEquals, []int{http.StatusServiceUnavailable, 0})
	status, _ = k.post("/order/x", "sound")
	k.Check(status, quicktest.Equals, http.StatusOK)
	var sent report.Entry
	k.handler.Report(&sent, time.Second)
	k.Check(sent.Refused, quicktest.DeepEquals, map[string]quarantine.Refusals{deadly: {Total: 1, Alone: 1}})
}
