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

// helloMethod is the first call on a new link, in which the dialling instance states its name.
const helloMethod = "Peer.Hello"

// hello identifies the dialling instance. Number increases with each link that a process dials, so
// that the accepting instance can tell which of several links is the latest.
type hello struct {
	Name    string `json:"Name"`
	Process uint64 `json:"Process"`
	Number  uint64 `json:"Number"`
}

// welcome is the answer to hello.
type welcome struct {
	Name string `json:"Name"`
}

// meta is sent with each request.
type meta struct {
	Within int64 `json:"Within"` // microseconds until the caller's deadline
}

// target holds the state of the links to one instance. One link is in use at a time.
type target struct {
	node *Node
	name string

	mu       sync.Mutex // never held while dialling
	link     *link
	running  bool          // maintain is running
	changed  chan struct{} // closed when an attempt to dial ends
	retryAt  time.Time     // zero unless the last attempt failed
	lastErr  error
	lastUsed time.Time
}

func newTarget(n *Node, name string) *target {
	return &target{node: n, name: name, changed: make(chan struct{})}
}

// get returns an open link. It waits for a dial in progress, and fails immediately between attempts.
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
			err := &UnreachableError{Instance: t.name, RetryAt: t.retryAt, Cause: t.lastErr}
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

// maintain keeps a link open and dials again if it is lost, until no calls use it.
func (t *target) maintain() {
	defer t.stop()
	wait := &backoff.ExponentialBackOff{
		InitialInterval:     t.node.options.MinRetryWait,
		MaxInterval:         t.node.options.MaxRetryWait,
		RandomizationFactor: backoff.DefaultRandomizationFactor,
		Multiplier:          2,
	}
	for {
		l, err := t.dial()
		if err == nil {
			t.setResult(l, time.Time{}, nil)
			l.serve(t.node.ctx)
			err = l.stream.fail(net.ErrClosed) // returns the first error of the stream, if there was one
			// A peer that closes each link soon after it was dialled must not reset the backoff.
			if t.node.options.Now().Sub(l.stream.started) >= t.node.options.MaxRetryWait {
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
			t.setResult(nil, t.node.options.Now().Add(pause), err)
		}
		if !sleep(t.node.ctx, pause) {
			return
		}
		t.retry()
	}
}

// setResult publishes the outcome of an attempt to dial.
func (t *target) setResult(l *link, retryAt time.Time, failure error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.link, t.retryAt, t.lastErr = l, retryAt, failure
	close(t.changed)
	t.changed = make(chan struct{})
}

// retry clears retryAt, so that calls wait for the dial that starts now.
func (t *target) retry() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.retryAt = time.Time{}
}

// stop resets the state, so that the next call dials again.
func (t *target) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running, t.retryAt = false, time.Time{}
	t.link = nil
	close(t.changed)
	t.changed = make(chan struct{})
}

// unused reports whether the link has had no call for IdleTimeout and should be closed.
func (t *target) unused() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.node.options.Now().Sub(t.lastUsed) >= t.node.options.IdleTimeout
}

// dial opens a link and exchanges names on it.
func (t *target) dial() (l *link, err error) {
	o := &t.node.options
	ctx, cancel := context.WithTimeout(t.node.ctx, o.HandshakeTimeout)
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
	return t.handshake(ctx, conn)
}

// handshake exchanges names on a new connection.
func (t *target) handshake(ctx context.Context, conn net.Conn) (*link, error) {
	l := newLink(t, conn)
	number := t.node.nextLinkNumber()
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
	calls   chan struct{} // semaphore for calls in progress
	pending atomic.Int64
}

func newLink(t *target, conn net.Conn) *link {
	n := t.node
	l := &link{target: t, stream: newStream(conn, n, n.options.IdlePing), calls: make(chan struct{}, n.options.MaxCalls)}
	l.stream.busy = func() bool { return l.pending.Load() > 0 }
	c := newCallCounter(n, l.stream)
	c.peer.Store(&t.name)
	// The writer must run before the hello is sent.
	if !n.spawn(func() { l.stream.run(n.ctx) }) {
		_ = l.stream.fail(ErrClosed)
	}
	l.conn = jsonrpc2.NewConn(n.ctx, l.stream, rejectCalls{}, c.options()...)
	return l
}

// serve waits until the link is lost or unused, and closes it.
func (l *link) serve(ctx context.Context) {
	check := time.NewTicker(l.target.node.options.IdleTimeout / checksPerTimeout)
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

// call sends a request and waits for the answer.
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

// rejectCalls closes a link that this instance has dialled if the other side calls on it.
type rejectCalls struct{}

// Handle implements jsonrpc2.Handler.
func (rejectCalls) Handle(_ context.Context, conn *jsonrpc2.Conn, _ *jsonrpc2.Request) {
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
