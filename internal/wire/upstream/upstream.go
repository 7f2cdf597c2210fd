// Package upstream sends requests to endpoints over pooled HTTP/1.1 connections. Unlike the HTTP client of the standard
// library, it distinguishes requests that cannot have reached an endpoint from those that may have run.
package upstream

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"lycheevale/internal/wire/strict"
)

// Error is the class of errors of this package.
var Error = errs.Class("upstream")

// ErrNotSent marks failures that occurred before any byte of the request can have reached the endpoint; test with errs.Is.
var ErrNotSent = errs.New("request was not sent")

// ErrMalformed marks answers that break the protocol, such as a head without an end; test with errs.Is.
var ErrMalformed = errs.New("answer breaks the protocol")

// Request is one request to an endpoint.
type Request struct {
	Address netip.AddrPort
	Method  string
	Target  string // path and query as the caller sent them
	Host    string
	Header  http.Header
	Body    []byte
	Attempt string // identifier that the answer must echo, if it echoes one
	// Permit, if not nil, is called once the connection is open, directly before the first byte is written. Its error keeps the request from being sent.
	Permit func() error
	// ToleratesCopies states that taking a late copy of an earlier answer for that to this request does no harm. Such requests share connections on which
	// identifiers are not echoed.
	ToleratesCopies bool
}

// Answer is the head of an answer; the caller must close Body.
type Answer struct {
	Status   int
	Header   http.Header
	Body     io.ReadCloser
	Unframed bool // the body has neither a length nor chunks, and ends with its connection
	// Peer is what SetPeer has recorded of the connection by an earlier answer, or "".
	Peer string
	pool *Pool
	conn *conn
}

// SetPeer records to which process the connection leads, for the answers to later requests on it.
func (a *Answer) SetPeer(peer string) {
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	a.conn.peer = peer
}

// Pool keeps idle connections to endpoints. It is safe for concurrent use.
type Pool struct {
	options Options
	mu      sync.Mutex
	idle    map[netip.AddrPort][]*conn
	opened  int64
}

// New returns a pool without connections.
func New(opts ...Option) *Pool {
	return &Pool{options: newOptions(opts), idle: map[netip.AddrPort][]*conn{}}
}

// conn is a connection that serves one request at a time.
type conn struct {
	net.Conn
	reader      *bufio.Reader
	input       *limitedInput
	idleUntil   time.Time
	lastAttempt string // identifier of the last request
	echoes      bool   // an answer on this connection has echoed the identifier of its request
	peer        string // by SetPeer; guarded by the mutex of the Pool
	anonymous   bool   // the last answer on this connection echoed none, so that only requests that tolerate copies may follow
}

// Opened returns the number of connections opened so far.
func (p *Pool) Opened() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Drop closes the idle connections to an address, which may soon belong to another endpoint.
func (p *Pool) Drop(address netip.AddrPort) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// Sweep closes connections whose idle timeout has passed.
func (p *Pool) Sweep() {
	now := p.options.Now()
	var old []*conn
	p.mu.Lock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.idleUntil) {
				kept = append(kept, c)
			} else {
				old = append(old, c)
			}
		}
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		_ = c.Close()
	}
}

// take returns an idle connection, but none that has just served an earlier try of the same attempt: a late copy of that answer could
// not be told from the answer to this one. A request without an identifier gets none, since no late answer could be told from its own.
func (p *Pool) take(r Request) *conn {
	if r.Attempt == "" && p.options.Attempt != nil {
		return nil
	}
	now := p.options.Now()
	for {
		p.mu.Lock()
		list := p.idle[r.Address]
		i := len(list) - 1
		for i >= 0 && !list[i].serves(r) {
			i--
		}
		if i < 0 {
			p.mu.Unlock()
			return nil
		}
		c := list[i]
		p.idle[r.Address] = slices.Delete(list, i, i+1)
		p.mu.Unlock()
		if now.Before(c.idleUntil) && openAndUnread(c.Conn) {
			return c
		}
		_ = c.Close()
	}
}

// serves reports whether the answer to a request can be told from late copies of those before it on the connection, or need not.
func (c *conn) serves(r Request) bool {
	return (r.Attempt == "" || c.lastAttempt != r.Attempt) && (!c.anonymous || r.ToleratesCopies)
}

func (p *Pool) put(address netip.AddrPort, c *conn, keepAlive time.Duration) {
	c.idleUntil = p.options.Now().Add(min(p.options.IdleTimeout, keepAlive))
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[address]) >= p.options.MaxIdle {
		_ = c.Close()
		return
	}
	p.idle[address] = append(p.idle[address], c)
}

func (p *Pool) connect(ctx context.Context, r Request) (c *conn, err error) {
	if c := p.take(r); c != nil {
		return c, nil
	}
	return p.open(ctx, r.Address)
}

func (p *Pool) open(ctx context.Context, to netip.AddrPort) (c *conn, err error) {
	ctx, cancel := context.WithTimeout(ctx, p.options.DialTimeout)
	defer cancel()
	raw, err := p.options.Dial(ctx, to)
	if err != nil {
		return nil, errs.Combine(ErrNotSent, err)
	}
	if socket, ok := raw.(*net.TCPConn); ok {
		if err := socket.SetReadBuffer(unreadBytes); err != nil {
			return nil, errs.Combine(ErrNotSent, err, raw.Close())
		}
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	input := &limitedInput{Conn: raw, maxLines: p.options.MaxHeadLines}
	return &conn{Conn: raw, input: input, reader: bufio.NewReaderSize(input, readBuffer)}, nil
}

// Probe checks whether an endpoint accepts a new connection, which is kept for the next request. It tries twice, so that one lost
// packet does not fail it.
func (p *Pool) Probe(ctx context.Context, to netip.AddrPort) (err error) {
	defer func() { err = Error.Wrap(err) }()
	var c *conn
	for range probeAttempts {
		if c, err = p.open(ctx, to); err == nil {
			p.put(to, c, p.options.IdleTimeout)
			return nil
		}
	}
	return err
}

const probeAttempts = 2

// unreadBytes bounds what the system keeps of an answer that its caller does not read, in bytes. It would let that grow to megabytes.
const unreadBytes = 32 << 10

// readBuffer is the size of the read buffer in bytes; it holds a typical event of a stream or a small answer.
const readBuffer = 4 << 10

// Do sends a request and returns the head of its answer. The end of ctx closes the connection, also while the body is
// being read. After any error other than ErrNotSent the request may have run.
func (p *Pool) Do(ctx context.Context, r Request) (a *Answer, err error) {
	defer func() { err = Error.Wrap(err) }()
	if ctx.Err() != nil {
		return nil, errs.Combine(ErrNotSent, context.Cause(ctx))
	}
	c, err := p.connect(ctx, r)
	if err != nil {
		return nil, err
	}
	if r.Permit != nil {
		if err := r.Permit(); err != nil {
			_ = c.Close()
			return nil, errs.Combine(ErrNotSent, err)
		}
	}
	if ctx.Err() != nil {
		_ = c.Close()
		return nil, errs.Combine(ErrNotSent, context.Cause(ctx))
	}
	c.lastAttempt = r.Attempt
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	x := &exchange{pool: p, conn: c, request: r, stop: stop, sent: make(chan error, 1)}
	x.send()
	a, err = x.read()
	if err != nil {
		x.abandon()
		if ctx.Err() != nil {
			err = errs.Combine(context.Cause(ctx), err)
		}
		return nil, err
	}
	return a, nil
}

// exchange is one request on a connection.
type exchange struct {
	pool    *Pool
	conn    *conn
	request Request
	stop    func() bool
	sent    chan error // result of the writer: an endpoint may answer before it has read a long body
	once    sync.Once
}

// send writes a short request directly, and a long one concurrently with reading the answer.
func (x *exchange) send() {
	data := x.request.encode()
	if len(data) <= shortRequest {
		_, err := x.conn.Write(data)
		x.sent <- err
		return
	}
	var group errgroup.Group
	group.Go(func() error {
		_, err := x.conn.Write(data)
		x.sent <- err
		return nil
	})
}

// shortRequest is the size in bytes up to which a request fits the smallest send buffer of a connection.
const shortRequest = 8 << 10

func (r Request) encode() []byte {
	var b bytes.Buffer
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(&b) // writing to a buffer does not fail
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

func (x *exchange) read() (*Answer, error) {
	x.conn.input.limit(x.pool.options.MaxHead)
	defer x.conn.input.unlimit()
	for skipped := 0; ; {
		x.conn.input.beginHead()
		response, err := x.readHead() //nolint:bodyclose // Answer.Body closes it
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		attempt := x.pool.attempt(response.Header)
		if attempt != "" && x.request.Attempt != "" && attempt != x.request.Attempt {
			// This is a late answer to an earlier request; the answer to this request follows.
			if x.request.Method == http.MethodHead {
				return nil, errs.Combine(ErrMalformed, errs.New("answer to %q precedes that to a HEAD request, and may have a body", attempt))
			}
			if skipped++; skipped > x.pool.options.MaxStale {
				return nil, errs.Combine(ErrMalformed, errs.New("more than %d answers to other requests", x.pool.options.MaxStale))
			}
			if err := x.skip(response.Body); err != nil {
				return nil, err
			}
			continue
		}
		if attempt == "" && x.conn.echoes && x.request.Attempt != "" {
			return nil, errs.Combine(ErrMalformed, errs.New("answer to %q echoes no identifier, unlike earlier ones", x.request.Attempt))
		}
		x.conn.echoes = x.conn.echoes || attempt != ""
		a := &Answer{
			Status: response.StatusCode, Header: response.Header,
			Unframed: response.ContentLength < 0 && len(response.TransferEncoding) == 0, pool: x.pool, conn: x.conn,
		}
		a.Peer = x.pool.peer(x.conn)
		a.Body = &body{ReadCloser: response.Body, exchange: x, response: response, unframed: a.Unframed}
		return a, nil
	}
}

// readHead reads the head of an answer, also of an informational one.
func (x *exchange) readHead() (*http.Response, error) {
	response, err := http.ReadResponse(x.conn.reader, &http.Request{Method: x.request.Method})
	if err != nil {
		if !x.conn.input.failed {
			err = errs.Combine(ErrMalformed, err)
		}
		return nil, err
	}
	if err := strict.Check(response); err != nil {
		return nil, errs.Combine(ErrMalformed, err)
	}
	return response, nil
}

func (p *Pool) peer(c *conn) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.peer
}

// attempt returns the identifier that an answer echoes, or "" if it has none.
func (p *Pool) attempt(h http.Header) string {
	if p.options.Attempt == nil {
		return ""
	}
	return p.options.Attempt(h)
}

// skip reads the body of an answer to an earlier request, and then limits the next head.
func (x *exchange) skip(body io.Reader) error {
	x.conn.input.unlimit()
	n, err := io.Copy(io.Discard, io.LimitReader(body, x.pool.options.MaxSkipped+1))
	if err == nil && n > x.pool.options.MaxSkipped {
		err = errs.Combine(ErrMalformed, errs.New("answer to another request is larger than %d bytes", x.pool.options.MaxSkipped))
	}
	x.conn.input.limit(x.pool.options.MaxHead)
	return err
}

// abandon closes the connection.
func (x *exchange) abandon() {
	x.once.Do(func() {
		x.stop()
		_ = x.conn.Close()
	})
}

// finish returns the connection to the pool if it can be reused, and closes it otherwise.
func (x *exchange) finish(response *http.Response, unframed bool) {
	x.once.Do(func() {
		x.conn.anonymous = !x.identified(response)
		if !x.stop() || response.Close || unframed || (x.conn.anonymous && !x.request.ToleratesCopies) ||
			x.conn.reader.Buffered() > 0 || !x.fullyWritten() {
			_ = x.conn.Close()
			return
		}
		x.pool.put(x.request.Address, x.conn, keepAlive(response.Header))
	})
}

// identified reports whether later answers on the connection can be told from copies of this one.
func (x *exchange) identified(response *http.Response) bool {
	return x.pool.options.Attempt == nil || (x.request.Attempt != "" && x.pool.attempt(response.Header) == x.request.Attempt)
}

// fullyWritten reports whether the complete request was sent; an endpoint may answer before that.
func (x *exchange) fullyWritten() bool {
	select {
	case err := <-x.sent:
		return err == nil
	case <-time.After(writeGrace):
		return false
	}
}

// writeGrace is the time for the writer to finish once the answer is complete.
const writeGrace = 20 * time.Millisecond

// keepAlive returns how long the endpoint keeps an idle connection open, less a margin for the transmission.
func keepAlive(h http.Header) time.Duration {
	const margin = 500 * time.Millisecond
	const name = "timeout="
	value := h.Get("Keep-Alive")
	if len(value) <= len(name) || value[:len(name)] != name {
		return time.Hour
	}
	end := len(name)
	for end < len(value) && value[end] >= '0' && value[end] <= '9' {
		end++
	}
	seconds, err := strconv.Atoi(value[len(name):end])
	if err != nil {
		return 0 // an invalid value allows no reuse
	}
	return time.Duration(seconds)*time.Second - margin
}

// body returns its connection to the pool at the end of the answer.
type body struct {
	io.ReadCloser
	exchange *exchange
	response *http.Response
	unframed bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (n int, err error) {
	n, err = b.ReadCloser.Read(p)
	if err == io.EOF && b.unframed && !b.exchange.fullyWritten() {
		// A reset is reported once, to the writer or to the reader: the end of the connection shows a complete answer only if the request was taken.
		err = errs.Combine(io.ErrUnexpectedEOF, errs.New("the connection ended before the request was sent completely"))
	}
	switch {
	case err == io.EOF:
		b.exchange.finish(b.response, b.unframed)
	case err != nil:
		b.exchange.abandon()
	}
	return n, err
}

// Close implements io.Closer. It closes the connection if the answer was not read to its end.
func (b *body) Close() error {
	b.exchange.abandon()
	return nil
}

// NewAttempt returns an identifier, in the form of those of callers, for a request of this process.
func NewAttempt() string { return fmt.Sprintf("%016x", rand.Uint64()) }
