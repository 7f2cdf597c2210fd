package forward

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"lycheevale/internal/base/guard"
	"lycheevale/internal/place/pick"
	"lycheevale/internal/state/document"
	"lycheevale/internal/wire/upstream"
)

// attempt is one sending of a request to an endpoint. A goroutine of its own receives the answer, so that the goroutine that serves the caller can
// look for another endpoint while this one is silent.
type attempt struct {
	choice
	inFlight *inFlight
	started  time.Time
	resumes  bool // it continues a stream of which events were delivered
	ctx      context.Context
	cancel   context.CancelFunc
	ended    chan struct{} // closed when no further parts are wanted
	parts    chan part
	wanted   chan struct{} // closed when the body is wanted
	receiver errgroup.Group

	answer      *upstream.Answer
	unread      part            // rest of the last part of an answer that is no stream
	complete    *completeAnswer // an answer that is no stream, or the beginning of a long one
	long        bool            // the rest of the answer has not been read
	pending     eventBuffer     // of a stream
	returned    int             // bytes of complete events that pending has returned and still holds
	firstEvents []byte          // that wait for delivery
	firstErr    error           // behind the first events
	identified  bool            // the events are of the listed incarnation of the endpoint
}

// part is the head of an answer, or bytes of its body and the error behind them, which is io.EOF at the end.
type part struct {
	answer  *upstream.Answer
	content []byte
	err     error
}

// start sends the request to an endpoint.
func (h *Handler) start(x *exchange, c choice) *attempt {
	ctx, cancel, detach := h.attemptContext(x)
	s := &attempt{
		choice: c, started: h.options.Now(), resumes: x.delivered, ctx: ctx, cancel: cancel,
		ended: make(chan struct{}), parts: make(chan part), wanted: make(chan struct{}),
	}
	x.tries++
	x.sent++
	x.ran++
	s.inFlight = h.startAttempt(x, c)
	x.lastEndpoint, x.sentAt = c.ID, s.started
	request := h.outgoing(x, c)
	request.Permit = detach
	s.receiver.Go(func() error {
		returned := false
		guard.Run(ctx, h.options.Logger, "receive answer of "+c.ID, func() {
			s.receive(ctx, h.options.Pool, request)
			returned = true
		})
		if !returned {
			s.pass(part{err: errs.Combine(upstream.ErrMalformed, errs.New("reading the answer failed unexpectedly"))})
		}
		return nil
	})
	return s
}

// attemptContext returns the context of an attempt, which ends when the caller leaves. An order that is being sent goes on without its caller: breaking it off
// would leave open what has happened, and a caller that has only closed its side of the connection gets the answer. So does a request that is a suspect.
func (h *Handler) attemptContext(x *exchange) (ctx context.Context, cancel context.CancelFunc, detach func() error) {
	if x.route.Kind != document.NonIdempotent && !h.runsOn(x) {
		ctx, cancel = context.WithCancel(x.ctx)
		return ctx, cancel, nil
	}
	ctx, cancel = context.WithTimeout(context.WithoutCancel(x.ctx), x.deadline.Sub(h.options.Now()))
	stop := context.AfterFunc(x.ctx, cancel)
	return ctx, cancel, func() error {
		if !stop() {
			cancel()
		}
		return context.Cause(ctx)
	}
}

// receive passes on the answer until no further parts are wanted.
func (s *attempt) receive(ctx context.Context, pool *upstream.Pool, r upstream.Request) {
	answer, err := pool.Do(ctx, r)
	if err != nil {
		s.pass(part{err: err})
		return
	}
	defer func() { _ = answer.Body.Close() }()
	s.pass(part{answer: answer})
	select {
	case <-s.wanted:
	case <-s.ended:
		return
	}
	// One buffer is read into while the other one is in use by the receiver of the last part.
	var buffers [2][streamBuffer]byte
	read := 0
	for i := 0; err == nil; i = 1 - i {
		var n int
		n, err = answer.Body.Read(buffers[i][:])
		if read += n; read > maxAnswer {
			n, err = 0, errs.Combine(upstream.ErrMalformed, errs.New("answer is larger than %d bytes", maxAnswer))
		}
		if !s.pass(part{content: buffers[i][:n], err: err}) {
			return
		}
	}
}

// maxAnswer is the maximum size of the body of an answer in bytes, sixteen times the largest body of a request. Without it, an endpoint that sends
// bytes without end would keep a core busy until the request's deadline.
const maxAnswer = 16 * defaultMaxBody

// pass reports whether a part was wanted.
func (s *attempt) pass(p part) bool {
	select {
	case s.parts <- p:
		return true
	case <-s.ended:
		return false
	}
}

// bodyReader reads the body of an attempt's answer.
type bodyReader struct {
	next   func() part
	unread *part
}

func (h *Handler) body(x *exchange, s *attempt) io.Reader {
	return bodyReader{func() part { return h.nextPart(x, s) }, &s.unread}
}

// Read implements io.Reader.
func (b bodyReader) Read(content []byte) (n int, err error) {
	if len(b.unread.content) == 0 && b.unread.err == nil {
		*b.unread = b.next()
	}
	n = copy(content, b.unread.content)
	b.unread.content = b.unread.content[n:]
	if len(b.unread.content) == 0 {
		err = b.unread.err
	}
	return n, err
}

// nextPart waits for the next part of an answer. If the endpoint is silent, it looks for another one meanwhile; the part has the error errReplaced when
// that one has begun.
func (h *Handler) nextPart(x *exchange, s *attempt) part {
	select {
	case p := <-s.parts: // precedes a decision that was made before it arrived
		return p
	default:
	}
	for {
		select {
		case p := <-s.parts:
			return p
		case <-s.inFlight.leave:
			if h.movable(x) { // what was delivered meanwhile may not be resumable
				h.startSearch(x, s)
			}
		case <-x.search.finished():
			if x.search.found != nil {
				return part{err: errReplaced}
			}
			h.cancelSearch(x, s)
			h.allowSearch(s.inFlight, h.options.Now().Add(streamWait))
		}
	}
}

// awaitBegin waits until the endpoint has begun to answer.
func (h *Handler) awaitBegin(x *exchange, s *attempt) (v attemptResult, reason string) {
	head := h.nextPart(x, s)
	if errs.Is(head.err, upstream.ErrNotSent) {
		x.sent--
		x.ran--
		if x.ctx.Err() != nil {
			return notRun, reasonStopped
		}
		h.observe(s.ID, pick.Unreachable, 0)
		h.mu.Lock()
		h.recordUnreachable(x.ctx, s.Endpoint, head.err)
		h.mu.Unlock()
		return notRun, reasonUnreachable
	}
	if head.err != nil {
		return mayHaveRun, h.connectionBroken(x, s, head.err)
	}
	s.answer = head.answer
	h.recordHead(x, s.inFlight)
	reply := h.options.Codec.Reply(h.options.Now(), s.answer.Status, s.answer.Header)
	h.recordStatements(x, s.choice, reply)
	if reply.Moved || (reply.NotRun && promisesNotRun(s.answer.Status)) {
		x.ran--
		return h.handleNotRun(x, s.choice, reply)
	}
	if promisesNotRun(s.answer.Status) {
		h.observe(s.ID, pick.Failed, 0)
		return mayHaveRun, reasonUnmarked
	}
	close(s.wanted)
	if reply.Streamed && s.answer.Status == http.StatusOK {
		return h.awaitStream(x, s)
	}
	return h.awaitAnswer(x, s)
}

// end closes the connection, unless the answer has been read to its end.
func (s *attempt) end() {
	close(s.ended)
	s.cancel()
	_ = s.receiver.Wait() // its function returns no error
}
