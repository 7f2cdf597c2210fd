package peer_test

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"
	"github.com/zeebo/errs"

	"lycheevale/internal/base/chain"
	"lycheevale/internal/base/refusal"
	"lycheevale/internal/base/virtualtime"
	"lycheevale/internal/wire/peer"
)

type text struct {
	Text string `json:"Text"`
}

// network connects nodes by pipes, so that they run in virtual time. A silent connection drops all
// bytes in both directions without an error.
type network struct {
	mu        sync.Mutex
	listeners map[netip.AddrPort]*listener
	conns     map[netip.AddrPort][]*conn
	hang      map[netip.AddrPort]bool
}

type listener struct {
	at     netip.AddrPort
	queue  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.at) }

type conn struct {
	net.Conn
	silent *atomic.Bool
}

func (c *conn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func newNetwork() *network {
	return &network{listeners: map[netip.AddrPort]*listener{}, conns: map[netip.AddrPort][]*conn{}, hang: map[netip.AddrPort]bool{}}
}

func (w *network) listen(at netip.AddrPort) (net.Listener, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	l := &listener{at: at, queue: make(chan net.Conn, 8), closed: make(chan struct{})}
	w.listeners[at] = l
	return l, nil
}

func (w *network) dial(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	w.mu.Lock()
	l, hang := w.listeners[to], w.hang[to]
	w.mu.Unlock()
	if hang {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if l == nil {
		return nil, errs.New("connection refused")
	}
	a, b := net.Pipe()
	silent := &atomic.Bool{}
	w.mu.Lock()
	w.conns[to] = append(w.conns[to], &conn{a, silent})
	w.mu.Unlock()
	l.queue <- &conn{b, silent}
	return &conn{a, silent}, nil
}

// dropBytes makes all open connections to an address drop their bytes; new connections work.
func (w *network) dropBytes(to netip.AddrPort) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.conns[to] {
		c.silent.Store(true)
	}
}

func (w *network) dials(to string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.conns[names[to]])
}

var names = map[string]netip.AddrPort{
	"a": netip.MustParseAddrPort("127.0.0.1:1"),
	"b": netip.MustParseAddrPort("127.0.0.1:2"),
	"c": netip.MustParseAddrPort("127.0.0.1:3"),
}

func resolve(name string) (netip.AddrPort, bool) {
	a, ok := names[name]
	return a, ok
}

func echo(_ context.Context, _ string, p text) (text, error) { return p, nil }

// runNodes runs f in virtual time with the nodes a, b and c.
func runNodes(t *testing.T, mux *peer.Mux, f func(t *testing.T, w *network, nodes map[string]*peer.Node), opts ...peer.Option) {
	virtualtime.Test(t, func(t *testing.T) {
		w, nodes := newNetwork(), map[string]*peer.Node{}
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		for name, address := range names {
			n := peer.New(append([]peer.Option{peer.WithName(name), peer.WithListen(address), peer.WithResolve(resolve), peer.WithMux(mux),
				peer.WithDial(w.dial), peer.WithListenTCP(w.listen), peer.WithLogger(slog.New(slog.DiscardHandler))}, opts...)...)
			nodes[name] = n
			wg.Go(func() { n.Run(ctx) })
			n.Address()
		}
		defer wg.Wait()
		defer cancel()
		f(t, w, nodes)
	})
}

func call(n *peer.Node, to string, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	var got text
	return n.Call(ctx, to, "Echo", text{"x"}, &got)
}

// Guards against calls that hang on a link whose bytes are lost, and against effects on other links.
func TestSilentLinkIsReplaced(t *testing.T) {
	mux := peer.NewMux()
	mux.Handle("Echo", peer.Typed(echo))
	runNodes(t, mux, func(t *testing.T, w *network, nodes map[string]*peer.Node) {
		c := quicktest.New(t)
		c.Assert(call(nodes["a"], "b", time.Second), quicktest.IsNil)
		c.Assert(call(nodes["a"], "c", time.Second), quicktest.IsNil)
		w.dropBytes(names["b"])
		start := time.Now()
		c.Assert(call(nodes["a"], "b", time.Minute), quicktest.ErrorIs, peer.ErrLinkLost)
		c.Check(time.Since(start) <= 4*time.Second, quicktest.IsTrue, quicktest.Commentf("detected after %v", time.Since(start)))
		c.Check(call(nodes["a"], "c", time.Millisecond), quicktest.IsNil)
		c.Check(call(nodes["a"], "b", time.Second), quicktest.IsNil)
		c.Check(w.dials("c"), quicktest.Equals, 1)
		c.Check(w.dials("b"), quicktest.Equals, 2)
	})
}

// Guards against a broken idle link that is detected only by the next call.
func TestSilentUnusedLinkIsReplaced(t *testing.T) {
	mux := peer.NewMux()
	mux.Handle("Echo", peer.Typed(echo))
	runNodes(t, mux, func(t *testing.T, w *network, nodes map[string]*peer.Node) {
		c := quicktest.New(t)
		c.Assert(call(nodes["a"], "b", time.Second), quicktest.IsNil)
		w.dropBytes(names["b"])
		time.Sleep(9 * time.Second)
		c.Check(call(nodes["a"], "b", time.Millisecond), quicktest.IsNil)
		time.Sleep(time.Minute)
		c.Check(w.dials("b"), quicktest.Equals, 2)
	})
}

// Guards against a slow dial that blocks calls to other instances, and against dialling again without a wait.
func TestHangingDialDoesNotBlockOthers(t *testing.T) {
	mux := peer.NewMux()
	mux.Handle("Echo", peer.Typed(echo))
	runNodes(t, mux, func(t *testing.T, w *network, nodes map[string]*peer.Node) {
		c := quicktest.New(t)
		w.mu.Lock()
		w.hang[names["b"]] = true
		w.mu.Unlock()
		done := make(chan error, 1)
		go func() { done <- call(nodes["a"], "b", time.Minute) }()
		synctest.Wait()
		c.Check(call(nodes["a"], "c", time.Millisecond), quicktest.IsNil)
		err := <-done
		var unreachable *peer.UnreachableError
		c.Assert(chain.As(err, &unreachable), quicktest.IsTrue, quicktest.Commentf("%v", err))
		c.Check(peer.NotSent(err), quicktest.IsTrue)
		c.Check(unreachable.RetryAt.After(time.Now()), quicktest.IsTrue)
		w.mu.Lock()
		w.hang[names["b"]] = false
		w.mu.Unlock()
		time.Sleep(200 * time.Millisecond)
		c.Check(call(nodes["a"], "b", time.Second), quicktest.IsNil)
	})
}

// Guards against unbounded queues, messages and numbers of handlers, and against losing a link when a limit is reached.
func TestLimits(t *testing.T) {
	mux, release := peer.NewMux(), make(chan struct{})
	mux.Handle("Echo", peer.Typed(echo))
	mux.Handle("Wait", peer.Typed(func(ctx context.Context, _ string, _ text) (text, error) {
		select {
		case <-release:
		case <-ctx.Done():
		}
		return text{}, ctx.Err()
	}))
	runNodes(t, mux, func(t *testing.T, _ *network, nodes map[string]*peer.Node) {
		c := quicktest.New(t)
		release = make(chan struct{})
		results := make(chan error, 4)
		for range 4 {
			go func() { results <- nodes["a"].Call(context.Background(), "b", "Wait", text{}, nil) }()
			synctest.Wait()
		}
		c.Check(<-results, quicktest.ErrorIs, peer.ErrBusy)
		c.Check(<-results, quicktest.ErrorIs, peer.ErrBusy)
		close(release)
		c.Check(<-results, quicktest.IsNil)
		c.Check(<-results, quicktest.IsNil)
		big := nodes["a"].Call(context.Background(), "b", "Echo", text{strings.Repeat("x", 1000)}, nil)
		c.Check(big, quicktest.ErrorIs, peer.ErrTooLarge)
		c.Check(peer.NotSent(big), quicktest.IsTrue)
		c.Check(call(nodes["a"], "b", time.Second), quicktest.IsNil)
	}, peer.WithLimits(16, 8, 2), peer.WithMaxMessage(1000))
	runNodes(t, mux, func(t *testing.T, w *network, nodes map[string]*peer.Node) {
		c := quicktest.New(t)
		release = make(chan struct{})
		go nodes["a"].Call(context.Background(), "b", "Wait", text{}, nil)
		synctest.Wait()
		c.Check(call(nodes["a"], "b", time.Second), quicktest.ErrorIs, peer.ErrQueueFull)
		close(release)
		synctest.Wait()
		c.Check(call(nodes["a"], "b", time.Second), quicktest.IsNil)
	}, peer.WithLimits(16, 1, 2))
}

// Guards against losing the caller's deadline or the type of a refusal, and against messages that are not counted.
func TestDeadlinesRefusalsAndCounters(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	mux := peer.NewMux()
	var left time.Duration
	mux.Handle("Refuse", peer.Typed(func(ctx context.Context, from string, _ text) (text, error) {
		deadline, _ := ctx.Deadline()
		left = time.Until(deadline)
		return text{}, refusal.New(refusal.Conflict, "revision of %s", from)
	}))
	runNodes(t, mux, func(t *testing.T, _ *network, nodes map[string]*peer.Node) {
		c := quicktest.New(t)
		ctx, cancel := context.WithTimeout(t.Context(), 7*time.Second)
		defer cancel()
		err := nodes["a"].Call(ctx, "b", "Refuse", text{}, nil)
		c.Check(left, quicktest.Equals, 7*time.Second)
		var refused *refusal.Error
		c.Assert(chain.As(err, &refused), quicktest.IsTrue, quicktest.Commentf("%v", err))
		c.Check(*refused, quicktest.DeepEquals, *refusal.New(refusal.Conflict, "revision of a"))
		c.Check(nodes["a"].Call(ctx, "d", "Refuse", text{}, nil), quicktest.ErrorIs, peer.ErrUnknownInstance)
		synctest.Wait() // the other side counts an answer after it has been written
		counters := scope.Snapshot().Counters()
		for _, way := range []string{"Sent,Method=Refuse,Reach=WideArea", "Received,Method=Refuse,Reach=WideArea"} {
			c.Check(counters["PeerMessages+Direction="+way].Value(), quicktest.Equals, int64(2))
			c.Check(counters["PeerBytes+Direction="+way].Value() > 100, quicktest.IsTrue)
		}
	}, peer.WithScope(scope), peer.WithWideArea(func(string) bool { return true }))
}
