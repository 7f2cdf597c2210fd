package peer

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"github.com/cenkalti/backoff/v5"
	"github.com/sourcegraph/jsonrpc2"

	"lycheevale/internal/base/event"
)

// helloMethod introduces the dialling instance on a new link; it is the first message.
const helloMethod = "Peer.Hello"

// hello names the dialling instance. Number rises with each link that a process dials to the same
// instance, so that the latest of several is known.
type hello struct {
	Name    string `json:"Name"`
	Process uint64 `json:"Process"`
	Number  uint64 `json:"Number"`
}

// welcome answers hello.
type welcome struct {
	Name string `json:"Name"`
}

// meta is carried with each request.
type meta struct {
	Within int64 `json:"Within"` // microseconds until the caller gives up
}

// target is the state of the links to one instance, of which one is in use at a time.
type target struct {
	node *Node
	name string

	mu       sync.Mutex // never held while dialling
	link     *link
	running  bool          // maintain is at work
	changed  chan struct{} // closed when an attempt to dial ends
	retryAt  time.Time     // zero unless the last attempt failed
	failure  error
	lastUsed time.Time
}

func newTarget(n *Node, name string) *target {
	return &target{node: n, name: name, changed: make(chan struct{})}
}

// get returns a live link. It waits for an attempt to dial that is under way, and fails at once
// between attempts.
func (t *target) get(ctx context.Context) (*link, error) {
	for {
		t.mu.Lock()
		t.lastUsed = t.node.options.Now()
		if t.link != nil && t.link.alive() {
			l := t.link
			t.mu.Unlock()
			return l, nil
		}
		if t.running && !t.retryAt.IsZero() {
			err := &UnreachableError{Instance: t.name, RetryAt: t.retryAt, Cause: t.failure}
			t.mu.Unlock()
			return nil, err
		}
		if !t.running {
			t.running = true
			if !t.node.spawn(t.maintain) {
				t.running = false
				t.mu.Unlock()
				return nil, ErrClosed
			}
		}
		changed := t.changed
		t.mu.Unlock()
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-changed:
		}
	}
}

// maintain dials, and dials again when the link is lost, until the link is unused.
func (t *target) maintain() {
	defer t.stop()
	wait := &backoff.ExponentialBackOff{
		InitialInterval:     t.node.options.FirstRetry,
		MaxInterval:         t.node.options.LastRetry,
		RandomizationFactor: backoff.DefaultRandomizationFactor,
		Multiplier:          2,
	}
	for {
		l, err := t.dial()
		if err == nil {
			t.settle(l, time.Time{}, nil)
			l.serve(t.node.ctx)
			err = l.stream.fail(net.ErrClosed) // the first cause, if there was one
			// A link that is closed right after each dial must not be dialled at full speed.
			if t.node.options.Now().Sub(l.stream.started) >= t.node.options.LastRetry {
				wait.Reset()
			}
			event.Log(t.node.ctx, t.node.options.Logger, event.LinkLost, slog.String("Instance", t.name), slog.Any("Error", err))
		} else {
			event.Log(t.node.ctx, t.node.options.Logger, event.DialFailed, slog.String("Instance", t.name), slog.Any("Error", err))
		}
		if t.unused() || t.node.ctx.Err() != nil {
			return
		}
		pause := wait.NextBackOff()
		if l == nil {
			t.settle(nil, t.node.options.Now().Add(pause), err)
		}
		if !sleep(t.node.ctx, pause) {
			return
		}
		t.retry()
	}
}

// settle publishes the outcome of an attempt to dial.
func (t *target) settle(l *link, retryAt time.Time, failure error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.link, t.retryAt, t.failure = l, retryAt, failure
	close(t.changed)
	t.changed = make(chan struct{})
}

// retry makes calls wait for the attempt that starts now.
func (t *target) retry() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.retryAt = time.Time{}
}

// stop lets the next call start over; the failed state is of no more use.
func (t *target) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running, t.retryAt = false, time.Time{}
	t.link = nil
	close(t.changed)
	t.changed = make(chan struct{})
}

// unused tells whether no call was made for so long that the link is to be closed.
func (t *target) unused() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.node.options.Now().Sub(t.lastUsed) >= t.node.options.Unused
}

// dial opens and introduces a link.
func (t *target) dial() (l *link, err error) {
	o := &t.node.options
	ctx, cancel := context.WithTimeout(t.node.ctx, o.Handshake)
	defer cancel()
	address, ok := o.Resolve(t.name)
	if !ok {
		return nil, ErrUnknownInstance
	}
	if o.Keys == nil && !o.Private && !address.Addr().IsLoopback() {
		return nil, ErrInsecure
	}
	conn, err := o.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	if o.Keys != nil {
		secure := tls.Client(conn, o.Keys.client(t.name))
		t.node.logKeys()
		if err := secure.HandshakeContext(ctx); err != nil {
			return nil, errs.Combine(err, conn.Close())
		}
		conn = secure
	}
	return t.introduce(ctx, conn)
}

// introduce exchanges names on a new connection.
func (t *target) introduce(ctx context.Context, conn net.Conn) (*link, error) {
	l := newLink(t, conn)
	number := t.node.nextNumber()
	var w welcome
	err := l.call(ctx, helloMethod, hello{Name: t.node.options.Name, Process: t.node.process, Number: number}, &w)
	if err == nil && w.Name != t.name {
		err = ErrWrongName
	}
	if err != nil {
		_ = l.conn.Close()
		_ = l.stream.fail(err)
		return nil, err
	}
	l.stream.limit.Store(int64(t.node.options.MaxMessage))
	return l, nil
}

// link is one connection to an instance.
type link struct {
	target  *target
	stream  *stream
	conn    *jsonrpc2.Conn
	calls   chan struct{} // one place for each call in progress
	pending atomic.Int64
}

func newLink(t *target, conn net.Conn) *link {
	n := t.node
	l := &link{target: t, stream: newStream(conn, &n.options, n.options.IdlePing), calls: make(chan struct{}, n.options.MaxCalls)}
	l.stream.busy = func() bool { return l.pending.Load() > 0 }
	c := newCounting(n, l.stream)
	c.peer.Store(&t.name)
	// The writer must run before the hello is sent.
	if !n.spawn(func() { l.stream.run(n.ctx) }) {
		_ = l.stream.fail(ErrClosed)
	}
	l.conn = jsonrpc2.NewConn(n.ctx, l.stream, noCalls{}, c.options()...)
	return l
}

// serve keeps the link until it is lost or unused.
func (l *link) serve(ctx context.Context) {
	check := time.NewTicker(l.target.node.options.Unused / checks)
	defer check.Stop()
	defer func() { _ = l.conn.Close() }()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.stream.closed:
			return
		case <-check.C:
			if l.pending.Load() == 0 && l.target.unused() {
				return
			}
		}
	}
}

func (l *link) alive() bool {
	select {
	case <-l.stream.closed:
		return false
	default:
		return true
	}
}

// call sends a request and awaits its answer.
func (l *link) call(ctx context.Context, method string, params, result any) error {
	select {
	case l.calls <- struct{}{}:
	default:
		return ErrQueueFull
	}
	defer func() { <-l.calls }()
	l.pending.Add(1)
	defer l.pending.Add(-1)
	var opts []jsonrpc2.CallOption
	if deadline, ok := ctx.Deadline(); ok {
		within := deadline.Sub(l.target.node.options.Now())
		opts = append(opts, jsonrpc2.Meta(meta{Within: max(1, within.Microseconds())}))
	}
	return fromRPC(l.conn.Call(ctx, method, params, result, opts...))
}

// noCalls refuses calls on links that this instance has dialled.
type noCalls struct{}

// Handle implements jsonrpc2.Handler.
func (noCalls) Handle(_ context.Context, conn *jsonrpc2.Conn, _ *jsonrpc2.Request) {
	_ = conn.Close()
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
