package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"strconv"
	"time"

	"github.com/zeebo/errs"

	"lycheevale/internal/wire/strict"
)

// Classes of errors of this package.
var (
	// Error is the class of all other failures; the request may or may not have run.
	Error = errs.Class("engine")
	// NotRun marks failures of requests that the engine is known not to have run.
	NotRun = errs.Class("engine did not run the request")
	// Truncated marks a stream that ended before its end marker.
	Truncated = errs.Class("stream ended before its end marker")
	// WrongAttempt marks a response that carries another attempt's identifier or model.
	WrongAttempt = errs.Class("answer belongs to another attempt")
	// StaleFence marks a command that the engine rejected for its fencing number.
	StaleFence = errs.Class("stale fencing number")
	// LoadFailure marks a load that the engine or the weight store failed.
	LoadFailure = errs.Class("adapter load failed")
)

// maxErrorBody bounds what is read of an error response, in bytes.
const maxErrorBody = 4 << 10

// maxStateBody bounds what is read of a state or load report, in bytes: more than an engine with a thousand adapters states. Decoded, a list takes
// several times the memory of its text.
const maxStateBody = 64 << 10

// maxDrain bounds what is read after the end marker, in bytes.
const maxDrain = 4 << 10

// Client talks to one engine and is safe for concurrent use.
type Client struct {
	options Options
	base    string
	http    *http.Client
	fresh   *http.Client // opens a connection for each call
}

// New returns a client of the engine at the address.
func New(address netip.AddrPort, opts ...Option) *Client {
	o := Options{Rules: AllRules(), MaxEventSize: defaultMaxEventSize, DecodeError: statusError}
	for _, opt := range opts {
		opt(&o)
	}
	if o.Transport == nil {
		o.Transport = NewTransport()
	}
	fresh := o.Transport.Clone()
	fresh.DisableKeepAlives = true
	return &Client{
		options: o, base: "http://" + address.String(), http: &http.Client{Transport: checked(o.Transport)}, fresh: &http.Client{Transport: checked(fresh)},
	}
}

// checked returns a transport that checks answers of HTTP/1. Instances speak HTTP/2 with each other, which frames answers.
func checked(t *http.Transport) http.RoundTripper {
	if t.Protocols != nil && (t.Protocols.HTTP2() || t.Protocols.UnencryptedHTTP2()) {
		return t
	}
	return strict.Transport{RoundTripper: t}
}

// CloseIdle closes connections that carry no request, so that the next request opens a new one.
func (c *Client) CloseIdle() { c.http.CloseIdleConnections() }

// Answer is the streamed response to one attempt; Close or Drain must be called.
type Answer struct {
	Attempt  string
	Endpoint string // set by owners, not by engines
	View     string // value of HeaderView, set by owners
	after    uint64 // sequence number after which the stream was resumed
	body     io.ReadCloser
	client   *Client
}

// Close releases the connection of the answer.
func (a *Answer) Close() { _ = a.body.Close() }

// Drain reads the rest of the body after the end marker and closes the answer. The transport reuses a connection only
// after the end of the body, which the engine sends after the marker.
func (a *Answer) Drain() {
	_, _ = io.CopyN(io.Discard, a.body, maxDrain)
	a.Close()
}

// Complete starts an attempt. Errors of class NotRun prove that the engine did not run it.
func (c *Client) Complete(ctx context.Context, a Attempt) (answer *Answer, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+a.Path, bytes.NewReader(a.Body))
	if err != nil {
		return nil, NotRun.Wrap(err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Accept", "text/event-stream")
	req.Header.Set(HeaderAttempt, a.ID)
	req.Header.Set(HeaderPriority, strconv.Itoa(a.Priority))
	req.Header.Set(HeaderDeadline, a.Deadline.Format(time.RFC3339Nano))
	for name, values := range a.Header {
		req.Header[name] = values
	}
	// Without GetBody the transport cannot resend the request on its own after a lost connection.
	req.GetBody = nil
	return c.stream(req, a.ID, a.Model)
}

// Resume continues a truncated stream after the event with the given sequence number.
func (c *Client) Resume(ctx context.Context, attempt, model string, after uint64) (answer *Answer, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/v1/streams/"+attempt, nil)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	req.Header.Set(HeaderAttempt, attempt)
	req.Header.Set(HeaderEventID, strconv.FormatUint(after, 10))
	if answer, err = c.stream(req, attempt, model); err == nil {
		answer.after = after
	}
	return answer, err
}

func (c *Client) stream(req *http.Request, attempt, model string) (*Answer, error) {
	reused := false
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { reused = i.Reused }}
	resp, err := c.http.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, classifySend(err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, c.refusal(resp, attempt, reused)
	}
	got, served := resp.Header.Get(HeaderAttempt), resp.Header.Get(HeaderModel)
	rules := c.options.Rules
	if got != attempt && rules.CheckAttempt || served != model && rules.CheckModel {
		_ = resp.Body.Close()
		return nil, WrongAttempt.New("asked attempt %s on %s, got attempt %s on %s", attempt, model, got, served)
	}
	h := resp.Header
	return &Answer{
		Attempt: attempt, Endpoint: h.Get(HeaderEndpoint), View: h.Get(HeaderView), body: resp.Body, client: c,
	}, nil
}

// refusal returns the error of a response that is no stream. It proves that the attempt did not run only if it answers this attempt: an
// engine may send an earlier refusal again, late, on a connection that is in use again.
func (c *Client) refusal(resp *http.Response, attempt string, reused bool) error {
	got := resp.Header.Get(HeaderAttempt)
	err := c.options.DecodeError(resp)
	// HTTP/2 tells responses apart.
	unidentified := got == "" && reused && resp.ProtoMajor < 2
	if !NotRun.Has(err) || !c.options.Rules.CheckAttempt || (got == attempt || got == "") && !unidentified {
		return err
	}
	c.CloseIdle() // the response to this attempt may follow on the connection
	return WrongAttempt.New("asked attempt %s, got a refusal of attempt %q: %v", attempt, got, err)
}

// classifySend returns an error of class NotRun if no connection was opened, or else of class Error.
func classifySend(err error) error {
	var op *net.OpError
	if errs.IsFunc(err, func(e error) bool { o, ok := e.(*net.OpError); op = o; return ok }) && op.Op == "dial" {
		return NotRun.Wrap(err)
	}
	return Error.Wrap(err)
}

func statusError(resp *http.Response) error {
	defer func() { _ = resp.Body.Close() }()
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody))
	err := fmt.Errorf("status %d: %s", resp.StatusCode, bytes.TrimSpace(text))
	if resp.Header.Get(HeaderNotRun) == "true" {
		return NotRun.Wrap(err)
	}
	return Error.Wrap(err)
}

// State reads the engine's current state, on a new connection, as SendCommand.
func (c *Client) State(ctx context.Context) (state State, err error) {
	err = c.call(ctx, c.fresh, http.MethodGet, "/v1/state", nil, &state)
	return state, err
}

// Load reads the engine's load report, which may be older than State: it holds as of MeasuredAt.
func (c *Client) Load(ctx context.Context) (state State, err error) {
	err = c.call(ctx, c.http, http.MethodGet, "/v1/load", nil, &state)
	return state, err
}

// SendCommand sends a control command and waits for its result. Results carry no identifier, so that a late copy of an earlier answer could not be told from
// them on a connection that has been used.
func (c *Client) SendCommand(ctx context.Context, command Command) error {
	return c.call(ctx, c.fresh, http.MethodPost, "/v1/commands", command, nil)
}

// Cancel stops an attempt on the engine.
func (c *Client) Cancel(ctx context.Context, attempt string) error {
	return c.call(ctx, c.http, http.MethodDelete, "/v1/streams/"+attempt, nil, nil)
}

// Probe checks the engine's health on a new connection, independent of open ones.
func (c *Client) Probe(ctx context.Context) (err error) {
	defer func() { err = Error.Wrap(err) }()
	return c.call(ctx, c.fresh, http.MethodGet, "/v1/health", nil, nil)
}

func (c *Client) call(ctx context.Context, over *http.Client, method, path string, in, out any) (err error) {
	var body io.Reader = http.NoBody
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return Error.Wrap(err)
		}
		body = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return Error.Wrap(err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := over.Do(req)
	if err != nil {
		return Error.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	switch {
	case resp.Header.Get(HeaderAttempt) != "":
		return WrongAttempt.New("answer to %s %s belongs to attempt %q", method, path, resp.Header.Get(HeaderAttempt))
	case resp.StatusCode == http.StatusConflict:
		return StaleFence.Wrap(statusError(resp))
	case resp.StatusCode == http.StatusBadGateway:
		return LoadFailure.Wrap(statusError(resp))
	case resp.StatusCode >= http.StatusBadRequest:
		return statusError(resp)
	case out == nil:
		return nil
	}
	return Error.Wrap(json.NewDecoder(io.LimitReader(resp.Body, maxStateBody)).Decode(out))
}
