package peer

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"github.com/sourcegraph/jsonrpc2"

	"lycheevale/internal/base/event"
	"lycheevale/internal/limit/buffers"
)

const (
	// acceptPause is the wait after a failed accept, for example if file descriptors run out.
	acceptPause = 50 * time.Millisecond
	// acceptedPingFactor delays probes of accepted links, so that the dialling side probes first and one probe serves both
	// sides.
	acceptedPingFactor = 2
)

func (n *Node) acceptAll(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if errs.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			event.Log(n.ctx, n.options.Logger, event.AcceptFailed, slog.Any("Error", err))
			if !sleep(n.ctx, acceptPause) {
				return net.ErrClosed
			}
			continue
		}
		if !n.reserveLink() {
			event.Log(n.ctx, n.options.Logger, event.AcceptFailed, slog.String("Error", "too many links"))
			_ = conn.Close()
			continue
		}
		if !n.spawn(func() { n.accept(conn) }) {
			_ = conn.Close()
		}
	}
}

func (n *Node) reserveLink() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.accepted >= n.options.MaxLinks {
		return false
	}
	n.accepted++
	return true
}

// accept serves one link until it is closed.
func (n *Node) accept(conn net.Conn) {
	defer func() {
		n.mu.Lock()
		n.accepted--
		n.mu.Unlock()
	}()
	if n.options.Keys != nil {
		secure := tls.Server(conn, n.options.Keys.server())
		ctx, cancel := context.WithTimeout(n.ctx, n.options.HandshakeTimeout)
		err := secure.HandshakeContext(ctx)
		cancel()
		n.logKeys()
		if err != nil {
			event.Log(n.ctx, n.options.Logger, event.LinkRefused, slog.String("Address", conn.RemoteAddr().String()), slog.Any("Error", err))
			_ = conn.Close()
			return
		}
		conn = secure
	}
	in := newIncoming(n, conn)
	in.run()
}

// logKeys logs a failed reload of the keys.
func (n *Node) logKeys() {
	if err := n.options.Keys.ReloadError(); err != nil {
		event.Log(n.ctx, n.options.Logger, event.KeysFailed, slog.Any("Error", err))
	}
}

// incoming serves the calls of one accepted link.
type incoming struct {
	node    *Node
	raw     net.Conn
	stream  *stream
	count   *frameCounter
	serving chan struct{} // semaphore for calls being served
	hello   atomic.Pointer[hello]
	wg      sync.WaitGroup
	mu      sync.Mutex
	closed  bool // no further call may start
}

func newIncoming(n *Node, conn net.Conn) *incoming {
	in := &incoming{
		node:    n,
		raw:     conn,
		stream:  newStream(conn, n, acceptedPingFactor*n.options.IdlePing),
		serving: make(chan struct{}, n.options.MaxServing),
	}
	in.count = newFrameCounter(n, in.stream)
	return in
}

func (in *incoming) run() {
	n := in.node
	ctx, cancel := context.WithCancel(n.ctx)
	defer cancel()
	helloTimer := time.AfterFunc(n.options.HandshakeTimeout, func() {
		if in.hello.Load() == nil {
			_ = in.stream.fail(ErrSilent)
		}
	})
	defer helloTimer.Stop()
	if n.spawn(func() { in.read(ctx) }) {
		in.stream.run(ctx)
	}
	_ = in.stream.Close()
	n.unregister(in)
	cancel()
	in.mu.Lock()
	in.closed = true
	in.mu.Unlock()
	in.wg.Wait()
}

// startCall registers a call. It returns false if the link is being closed, since the reader may still pass on a message that it has read.
func (in *incoming) startCall() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	if !in.closed {
		in.wg.Add(1)
	}
	return !in.closed
}

// call is a received request. Requests are decoded and answered here and not by jsonrpc2, which encodes and checks each message several
// times: that took a third of the processor time of a leader with 78 entries.
type call struct {
	ID     json.RawMessage `json:"id"`
	Method string          `json:"method"`
	Params json.RawMessage `json:"params"`
	Meta   json.RawMessage `json:"meta"`
}

// read receives calls until the link is lost.
func (in *incoming) read(ctx context.Context) {
	for {
		body, err := in.stream.readFrame()
		if err != nil {
			in.logLimit(ctx, err)
			return
		}
		var c call
		if err := json.Unmarshal(body, &c); err != nil {
			_ = in.stream.fail(err)
			return
		}
		in.count.countServed(c.Method, received, headerSize+len(body))
		in.start(ctx, c)
	}
}

// logLimit logs that a link was closed because of a limit. Other causes are logged by the side that has dialled.
func (in *incoming) logLimit(ctx context.Context, err error) {
	if !errs.Is(err, ErrTooLarge) && !errs.Is(err, ErrTooManyPings) && !errs.Is(err, buffers.ErrFull) {
		return
	}
	name := ""
	if h := in.hello.Load(); h != nil {
		name = h.Name
	}
	event.Log(ctx, in.node.options.Logger, event.LinkRefused, slog.String("Address", in.raw.RemoteAddr().String()),
		slog.String("Instance", name), slog.Any("Error", err))
}

// start handles a call without blocking.
func (in *incoming) start(ctx context.Context, c call) {
	if c.Method == helloMethod {
		in.handleHello(ctx, c)
		return
	}
	from := in.hello.Load()
	if from == nil || len(c.ID) == 0 {
		_ = in.stream.fail(ErrWrongName)
		return
	}
	select {
	case in.serving <- struct{}{}:
	default:
		_ = in.replyError(c, &jsonrpc2.Error{Code: codeBusy, Message: ErrBusy.Error()})
		return
	}
	if !in.startCall() {
		return
	}
	started := in.node.spawn(func() {
		defer in.wg.Done()
		defer func() { <-in.serving }()
		in.serve(ctx, c, from.Name)
	})
	if !started {
		in.wg.Done()
	}
}

// serve answers one call within the deadline of the caller.
func (in *incoming) serve(ctx context.Context, c call, from string) {
	var m meta
	if len(c.Meta) > 0 {
		_ = json.Unmarshal(c.Meta, &m) // without a valid deadline, the default one applies
	}
	limit := in.node.options.CallTimeout
	if within := time.Duration(m.Within) * time.Microsecond; within > 0 {
		limit = min(limit, within)
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	result, err := in.handle(ctx, from, c)
	if err == nil {
		err = in.reply(c, result)
	}
	if err != nil {
		_ = in.replyError(c, toRPC(err)) // fails only if the link is lost or its queue is full
	}
}

// reply queues the result of a call.
func (in *incoming) reply(c call, result any) error {
	encoded, err := json.Marshal(result)
	if err != nil {
		return err
	}
	return in.send(c, "result", encoded)
}

func (in *incoming) replyError(c call, e *jsonrpc2.Error) error {
	encoded, err := json.Marshal(e)
	if err != nil {
		return err
	}
	return in.send(c, "error", encoded)
}

// send queues an answer with one field beside the identifier of its call.
func (in *incoming) send(c call, field string, value []byte) error {
	body := slices.Concat([]byte(`{"id":`), c.ID, []byte(`,"`+field+`":`), value, []byte(`,"jsonrpc":"2.0"}`))
	return in.stream.writeFrame(body, func(size int) { in.count.countServed(c.Method, sent, size) })
}

func (in *incoming) handle(ctx context.Context, from string, c call) (result any, err error) {
	defer func() {
		if v := recover(); v != nil {
			event.Log(ctx, in.node.options.Logger, event.HandlerPanicked, slog.String("Method", c.Method),
				slog.Any("Value", v), slog.String("Stack", string(debug.Stack())))
			err = fmt.Errorf("handler of %s failed", c.Method)
		}
	}()
	return in.node.options.Mux.Serve(ctx, from, c.Method, c.Params)
}

// handleHello handles the hello of the other side, whose name must match its certificate.
func (in *incoming) handleHello(ctx context.Context, c call) {
	var h hello
	err := ErrWrongName
	if len(c.Params) > 0 && in.hello.Load() == nil {
		err = json.Unmarshal(c.Params, &h)
	}
	if err == nil {
		err = in.verify(h.Name)
	}
	if err == nil {
		err = in.node.register(in, h)
	}
	if err != nil {
		event.Log(ctx, in.node.options.Logger, event.LinkRefused, slog.String("Address", in.raw.RemoteAddr().String()),
			slog.String("Instance", h.Name), slog.Any("Error", err))
		_ = in.stream.fail(err)
		return
	}
	in.stream.limit.Store(int64(in.node.options.MaxMessage))
	if err := in.reply(c, welcome{Name: in.node.options.Name}); err != nil {
		_ = in.stream.fail(err)
	}
}

func (in *incoming) verify(name string) error {
	if name == "" {
		return ErrWrongName
	}
	secure, ok := in.raw.(*tls.Conn)
	if !ok {
		return nil
	}
	certificates := secure.ConnectionState().PeerCertificates
	if len(certificates) == 0 || certificates[0].VerifyHostname(name) != nil {
		return ErrWrongName
	}
	return nil
}

// register registers a link under the name of its instance. The dialling side uses one link at a time, so an older link is
// closed; a hello is refused if a later link of the same process was registered before.
func (n *Node) register(in *incoming, h hello) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	old := n.incoming[h.Name]
	if old != nil {
		was := old.hello.Load()
		if was.Process == h.Process && was.Number > h.Number {
			return ErrReplaced
		}
		_ = old.stream.fail(ErrReplaced)
	}
	in.hello.Store(&h)
	in.count.peer.Store(&h.Name)
	n.incoming[h.Name] = in
	return nil
}

func (n *Node) unregister(in *incoming) {
	h := in.hello.Load()
	n.mu.Lock()
	defer n.mu.Unlock()
	if h != nil && n.incoming[h.Name] == in {
		delete(n.incoming, h.Name)
	}
}
