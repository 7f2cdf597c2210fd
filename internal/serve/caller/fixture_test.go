package caller_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"lycheevale/internal/base/virtualtime"
	fakeengine "lycheevale/internal/fake/engine"
	"lycheevale/internal/fake/network"
	fakeservice "lycheevale/internal/fake/service"
	"lycheevale/internal/serve/caller"
	"lycheevale/internal/serve/engine"
	"lycheevale/internal/serve/owner"
	"lycheevale/internal/state/registry"
)

const (
	key1      = "lv_k1_secretone"
	key2      = "lv_k2_secrettwo"
	entryAddr = "10.0.0.1:80"
)

var (
	callerIP = netip.MustParseAddr("10.0.9.1")
	entryIP  = netip.MustParseAddr("10.0.0.1")
)

// fixture is one entry with an owner, two engines and two plain endpoints on an in-memory network.
type fixture struct {
	*qt.C
	t        testing.TB
	net      *network.Network
	engines  []*fakeengine.Engine
	services []*fakeservice.Service
	registry *registry.Registry
	server   *caller.Server
	owner    *owner.Owner
	client   *http.Client
	group    *errgroup.Group
	ctx      context.Context

	mu         sync.Mutex
	withdrawn  map[string]bool
	received   []string // everything that any endpoint received
	faults     fakeengine.Faults
	setOptions []func(*caller.Options)
	engine     engine.Rules
	ownerRule  owner.Rules
	starting   bool         // configuration and withdrawn keys are not loaded yet
	preference []int        // engines in the order of preference
	dials      atomic.Int64 // connections opened to engines
	intercept  func(engine int, next http.Handler) http.Handler
}

// run runs the test with virtual time.
func run(t *testing.T, prepare func(*fixture), test func(*fixture)) {
	t.Helper()
	virtualtime.Test(t, func(t *testing.T) {
		r := &fixture{C: qt.New(t), t: t, net: network.New(), registry: testRegistry(), withdrawn: map[string]bool{}, preference: []int{0, 1},
			engine: engine.AllRules(), ownerRule: owner.AllRules()}
		if prepare != nil {
			prepare(r)
		}
		ctx, stop := context.WithCancel(t.Context())
		r.group, r.ctx = errgroup.WithContext(ctx)
		r.start()
		time.Sleep(time.Second) // announcements and first polls
		test(r)
		r.client.CloseIdleConnections()
		stop()
		r.Check(r.group.Wait(), qt.IsNil)
		r.net.Close()
	})
}

func hash(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

func testRegistry() *registry.Registry {
	reg := registry.New()
	objects := []registry.Object{
		{Kind: registry.KindModel, Name: "quill", Model: &registry.Model{}},
		{Kind: registry.KindCustomer, Name: "one", Customer: &registry.Customer{Rate: 1e6, Burst: 1e6}},
		{Kind: registry.KindCustomer, Name: "two", Customer: &registry.Customer{Rate: 1e6, Burst: 1e6}},
		{Kind: registry.KindKey, Name: "k1", Key: &registry.Key{Customer: "one", Hash: hash("secretone")}},
		{Kind: registry.KindKey, Name: "k2", Key: &registry.Key{Customer: "two", Hash: hash("secrettwo")}},
		{Kind: registry.KindAdapter, Name: "a", Adapter: &registry.Adapter{Customer: "one", Model: "quill", DefaultVersion: "v2"}},
		{Kind: registry.KindAdapter, Name: "open", Adapter: &registry.Adapter{Customer: "one", Model: "quill", DefaultVersion: "v1", Open: true}},
		{Kind: registry.KindVersion, Name: "a@v1", Version: &registry.Version{Adapter: "a", Source: "a/v1", State: registry.VersionActive}},
		{Kind: registry.KindVersion, Name: "a@v2", Version: &registry.Version{Adapter: "a", Source: "a/v2", State: registry.VersionActive}},
		{Kind: registry.KindVersion, Name: "a@v0", Version: &registry.Version{Adapter: "a", Source: "a/v0", State: registry.VersionWithdrawn}},
		{Kind: registry.KindVersion, Name: "open@v1", Version: &registry.Version{Adapter: "open", Source: "o/v1", State: registry.VersionActive}},
		{Kind: registry.KindService, Name: "ledger", Service: &registry.Service{Kind: registry.ServicePlain, Routes: []registry.Route{
			{Method: "POST", Path: "/ledger/orders"},
			{Method: "GET", Path: "/ledger/orders/{id}", Idempotent: true},
			{Method: "GET", Path: "/ledger/hours", Open: true, Idempotent: true},
		}}},
	}
	result := reg.Apply(registry.Command{RequestID: "test", Operator: "test", Changes: objects})
	if result.Error != "" {
		panic(result.Error)
	}
	return reg
}

func (r *fixture) start() {
	logger := slog.New(slog.DiscardHandler)
	r.owner = owner.New(owner.WithLogger(logger), owner.WithRules(r.ownerRule), owner.WithClient(func(a netip.AddrPort) *engine.Client {
		transport := engine.NewTransport()
		dial := r.net.Dialer(entryIP)
		transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
			r.dials.Add(1)
			return dial(ctx, network, address)
		}
		return engine.New(a, engine.WithTransport(transport), engine.WithRules(r.engine))
	}))
	r.group.Go(func() error { return r.owner.Run(r.ctx) })
	for n := range 2 {
		e := fakeengine.New(fakeengine.WithName(fmt.Sprintf("engine-%d", n), "dc-a"), fakeengine.WithFaults(r.faults),
			fakeengine.WithInspect(r.inspect), fakeengine.WithStepTime(20*time.Millisecond))
		r.engines = append(r.engines, e)
		a := engineAddr(n)
		var handler http.Handler = e
		if r.intercept != nil {
			handler = r.intercept(n, e)
		}
		r.serve(a, handler)
		r.owner.Acquire(owner.Grant{Endpoint: e.Announcement(a), Fence: 1, Deadline: time.Now().Add(time.Hour)})
		s := fakeservice.New(fmt.Sprintf("ledger-%d", n))
		s.Inspect = r.inspect
		r.services = append(r.services, s)
		r.serve(plainAddr(n), s)
	}
	transport := &http.Transport{DialContext: r.net.Dialer(entryIP), DisableKeepAlives: true}
	r.server = caller.New(caller.With(func(o *caller.Options) {
		o.Logger, o.Registry, o.Choose, o.ChoosePlain, o.PlainTransport = logger, r.registry, r.choose, r.choosePlain, transport
		o.Withdrawn = r.isWithdrawn
		o.Known = func() bool { return !r.starting }
		for _, f := range r.setOptions {
			f(o)
		}
	}))
	r.group.Go(func() error { return r.server.Run(r.ctx) })
	r.serve(netip.MustParseAddrPort(entryAddr), r.server)
	r.client = &http.Client{Transport: &http.Transport{DialContext: r.net.Dialer(callerIP)}}
}

func engineAddr(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(n)}), 80)
}

func plainAddr(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 2, byte(n)}), 80)
}

func (r *fixture) serve(at netip.AddrPort, h http.Handler) {
	l, err := r.net.Listen(at)
	r.Assert(err, qt.IsNil)
	server := &http.Server{Handler: h, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelInfo)}
	r.group.Go(func() error {
		if err := server.Serve(l); err != http.ErrServerClosed {
			return err
		}
		return nil
	})
	r.group.Go(func() error {
		<-r.ctx.Done()
		return server.Close()
	})
}

func (r *fixture) inspect(req *http.Request, body []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.received = append(r.received, fmt.Sprintf("%s %s %v %s", req.Method, req.URL, req.Header, body))
}

func (r *fixture) isWithdrawn(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.withdrawn[id]
}

func (r *fixture) withdraw(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.withdrawn[id] = true
}

func (r *fixture) choose(_ time.Time, _ owner.Request, tried []string) (caller.Target, error) {
	n := r.preference[min(len(tried), len(r.preference)-1)]
	return caller.Target{Endpoint: fmt.Sprintf("engine-%d", n), Dispatch: r.owner.Dispatch}, nil
}

func (r *fixture) choosePlain(_ string, tried []string) (caller.PlainTarget, error) {
	n := r.preference[min(len(tried), len(r.preference)-1)]
	return caller.PlainTarget{Endpoint: fmt.Sprintf("ledger-%d", n), Address: plainAddr(n).String(), Done: func() {}}, nil
}

// answer is what a caller received.
type answer struct {
	status int
	header http.Header
	body   string
	err    error // of reading the body
}

func (a answer) code() string {
	var e struct {
		Error struct{ Code, Ran string } `json:"error"`
	}
	text := a.body
	if i := strings.LastIndex(text, "data: {\"error\""); i >= 0 {
		text = strings.TrimPrefix(text[i:], "data: ")
	}
	_ = json.Unmarshal([]byte(strings.TrimSpace(text)), &e)
	return e.Error.Code + "/" + e.Error.Ran
}

// tokens counts the events of a streamed response that carry text, and reports whether the response is complete.
func (a answer) tokens() (n int, whole bool) {
	return strings.Count(a.body, "finish_reason"), strings.HasSuffix(a.body, "data: [DONE]\n\n")
}

func (r *fixture) do(method, path, key, body string, headers ...string) answer {
	return r.doContext(r.ctx, method, path, key, body, headers...)
}

func (r *fixture) doContext(ctx context.Context, method, path, key, body string, headers ...string) answer {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+entryAddr+path, bytes.NewReader([]byte(body)))
	r.Assert(err, qt.IsNil)
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header, string(raw), err}
}

func stream(model string, tokens int, extra string) string {
	return fmt.Sprintf(`{"model":%q,"prompt":"hello","stream":true,"max_tokens":%d%s}`, model, tokens, extra)
}
