package owner

import (
	"context"
	"encoding/json"
	"io"
	"iter"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"lycheevale/internal/base/httpserver"
	"lycheevale/internal/base/refusal"
	"lycheevale/internal/place/scheduler"
	"lycheevale/internal/serve/engine"
)

// dispatchPath is where owners accept attempts from entries.
const dispatchPath = "/internal/v1/dispatch"

// Names of headers between entries and owners.
const (
	headerDispatch = "X-Dispatch" // Request as JSON
	headerRefusal  = "X-Refusal"  // refusal as JSON
)

// streamView is the value of engine.HeaderView.
type streamView struct {
	scheduler.View
	Stalled bool
}

// maxDispatchBody bounds the body of a dispatched request in bytes.
const maxDispatchBody = 8 << 20

// Handler accepts attempts from other instances and responds like an engine.
func (o *Owner) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+dispatchPath, o.serveDispatch)
	return mux
}

func (o *Owner) serveDispatch(w http.ResponseWriter, r *http.Request) {
	var request Request
	err := json.Unmarshal([]byte(r.Header.Get(headerDispatch)), &request)
	if err == nil {
		request.Body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, maxDispatchBody))
	}
	if err != nil {
		writeRefusal(w, refusal.New(refusal.BadRequest, "%v", err))
		return
	}
	stream, err := o.Dispatch(r.Context(), request)
	if err != nil {
		writeRefusal(w, refusal.From(err))
		return
	}
	defer stream.Close()
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set(engine.HeaderAttempt, stream.Attempt)
	h.Set(engine.HeaderModel, request.Target())
	h.Set(engine.HeaderEndpoint, stream.Endpoint)
	if view, err := json.Marshal(streamView{stream.View, stream.Stalled}); err == nil {
		h.Set(engine.HeaderView, string(view))
	}
	copyEvents(w, stream)
}

// copyEvents writes the stream; an error aborts the HTTP stream, so that the reader sees a truncated response.
func copyEvents(w http.ResponseWriter, stream *Stream) {
	flusher := http.NewResponseController(w)
	unsent := true // the response header is not sent yet
	flush := func() {
		if unsent {
			unsent = false
			_ = flusher.Flush()
		}
	}
	var last uint64
	var buffer []byte
	write := func(e engine.Event) {
		unsent, last = true, e.Seq
		buffer = engine.AppendEvent(buffer[:0], stream.Attempt, e)
		_, _ = w.Write(buffer)
	}
	for e, err := range stream.Events(flush) {
		if err != nil {
			flush()
			panic(http.ErrAbortHandler)
		}
		write(e)
	}
	write(engine.Event{Seq: last + 1, Data: []byte(engine.DoneMarker)})
	httpserver.Complete(w)
}

func writeRefusal(w http.ResponseWriter, e *refusal.Error) {
	raw, _ := json.Marshal(e)
	w.Header().Set(headerRefusal, string(raw))
	w.WriteHeader(e.Status)
}

// readRefusal decodes the refusal in an owner's response.
func readRefusal(resp *http.Response) error {
	defer func() { _ = resp.Body.Close() }()
	var e refusal.Error
	if err := json.Unmarshal([]byte(resp.Header.Get(headerRefusal)), &e); err != nil || e.Code == "" {
		return refusal.New(refusal.OutcomeUnknown, "owner answered with status %d", resp.StatusCode)
	}
	return &e
}

// Limits of the connections to one instance. One goroutine at each end of a connection processes the frames of all its
// streams, so many streams need several connections. Another one is opened only when the others are in use.
const (
	maxConnections       = 8
	streamsPerConnection = 32 // concurrent streams before another connection is opened
)

// Remote dispatches to the owner at another instance and is safe for concurrent use.
type Remote struct {
	idle        time.Duration
	connections [maxConnections]connection
}

// connection is a client with its own transport, which keeps one connection.
type connection struct {
	client  *engine.Client
	streams atomic.Int64
}

// NewRemote returns a Remote for the instance at the address; a stream without events for longer than idle ends.
// The transport must come from NewTransport.
func NewRemote(address netip.AddrPort, idle time.Duration, transport *http.Transport) *Remote {
	m := &Remote{idle: idle}
	for n := range m.connections {
		if n > 0 {
			transport = transport.Clone()
		}
		m.connections[n].client = engine.New(address, engine.WithTransport(transport), engine.WithDecodeError(readRefusal))
	}
	return m
}

// CloseIdle closes the connections that carry no stream.
func (m *Remote) CloseIdle() {
	for n := range m.connections {
		m.connections[n].client.CloseIdle()
	}
}

// selectConnection returns the first connection with fewer than streamsPerConnection streams, or else the one with the fewest. It
// counts the new stream.
func (m *Remote) selectConnection() *connection {
	least := &m.connections[0]
	for n := range m.connections {
		c := &m.connections[n]
		open := c.streams.Load()
		if open < streamsPerConnection {
			least = c
			break
		}
		if open < least.streams.Load() {
			least = c
		}
	}
	least.streams.Add(1)
	return least
}

// pingAfter and pingTimeout detect an unresponsive connection between instances while streams are open.
const (
	pingAfter   = time.Second
	pingTimeout = time.Second
)

// NewTransport returns a transport for connections between instances. It uses HTTP/2, which multiplexes streams over
// one connection with flow control for each, needs less memory per open stream and detects unresponsive connections by
// pings.
func NewTransport() *http.Transport {
	t := engine.NewTransport()
	t.Protocols = protocols()
	t.HTTP2 = &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout}
	return t
}

// maxStreams bounds the streams of one connection between instances.
const maxStreams = 4096

// Configure makes a server speak the protocol that NewTransport uses.
func Configure(s *http.Server) {
	s.Protocols = protocols()
	// Without pings an unresponsive connection would delay a graceful shutdown until its timeout.
	s.HTTP2 = &http.HTTP2Config{MaxConcurrentStreams: maxStreams, SendPingTimeout: pingAfter, PingTimeout: pingTimeout}
}

func protocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	p.SetHTTP2(true)
	return p
}

// Dispatch sends the attempt to the owner. Its errors are refusals.
func (m *Remote) Dispatch(ctx context.Context, r Request) (stream *Stream, err error) {
	raw, err := json.Marshal(r)
	if err != nil {
		return nil, refusal.New(refusal.BadRequest, "%v", err)
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	c := m.selectConnection()
	answer, err := c.client.Complete(ctx, engine.Attempt{
		ID: r.Attempt, Path: dispatchPath, Model: r.Target(), Priority: r.Priority, Deadline: r.Deadline, Body: r.Body,
		Header: map[string][]string{headerDispatch: {string(raw)}},
	})
	if err != nil {
		c.streams.Add(-1)
		cancel()
		return nil, remoteError(err)
	}
	var view streamView
	// If the view cannot be decoded, the router only misses one observation.
	_ = json.Unmarshal([]byte(answer.View), &view)
	watch := newWatchdog(ctx, m.idle)
	stop := context.AfterFunc(watch.ctx, answer.Close)
	return &Stream{
		Attempt: r.Attempt, Endpoint: answer.Endpoint, View: view.View, Stalled: view.Stalled,
		events: func(beforeWait func()) iter.Seq2[engine.Event, error] {
			return func(yield func(engine.Event, error) bool) {
				for e, err := range answer.Events(beforeWait) {
					watch.reset()
					if err != nil {
						err = refusal.New(refusal.OutcomeUnknown, "%v", err)
					}
					if !yield(e, err) {
						return
					}
				}
			}
		},
		close: func() {
			stop()
			watch.stop()
			cancel()
			answer.Close()
			c.streams.Add(-1)
		},
	}, nil
}

func remoteError(err error) error {
	if engine.NotRun.Has(err) {
		return refusal.New(refusal.Unavailable, "owner cannot be reached: %v", err)
	}
	return refusal.From(err)
}
