package ctl

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"time"

	"lycheevale/internal/base/chain"

	"lycheevale/internal/base/refusal"
	"lycheevale/internal/serve/operator"
)

// maxAnswerBytes bounds an answer; the largest is the list of all adapters.
const maxAnswerBytes = 256 << 20

// ClientOptions are the settings of a Client.
type ClientOptions struct {
	Addresses []netip.AddrPort // tried in turn
	Token     string
	TLS       *tls.Config   // nil without encryption
	Attempt   time.Duration // for one attempt
	RetryFor  time.Duration // for all attempts of one request
	FirstWait time.Duration // before the second attempt, then growing
	Notice    func(format string, args ...any)
}

// Client calls the operators' API and resends after lost answers.
type Client struct {
	options ClientOptions
	http    *http.Client
	current int // index of the address in use
}

// NewClient returns a client; it opens a new connection for each attempt, so that a connection that
// has gone silent affects one attempt only.
func NewClient(o ClientOptions) *Client {
	transport := &http.Transport{TLSClientConfig: o.TLS, DisableKeepAlives: true, ForceAttemptHTTP2: true}
	return &Client{options: o, http: &http.Client{Transport: transport, CheckRedirect: noRedirect}}
}

// noRedirect keeps the token from being sent anywhere but to the given addresses.
func noRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// CallError is an attempt or a request that did not succeed.
type CallError struct {
	Detail    operator.ErrorDetail
	Status    int    // 0 if there was no answer
	Revision  uint64 // current revision, with Conflict
	RequestID string // set for changes
}

// Error implements error.
func (e *CallError) Error() string {
	text := fmt.Sprintf("%s: %s", e.Detail.Code, e.Detail.Message)
	for _, f := range e.Detail.Faults[min(len(e.Detail.Faults), 1):] {
		text += "\n  " + f.String()
	}
	return text
}

func (c *Client) url(path string) string {
	scheme := "http"
	if c.options.TLS != nil {
		scheme = "https"
	}
	return scheme + "://" + c.options.Addresses[c.current].String() + path
}

// request opens one request; a CallError tells whether the instance may have received it.
func (c *Client) request(ctx context.Context, method, path string, body []byte, header http.Header) (*http.Response, error) {
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})
	r, err := http.NewRequestWithContext(ctx, method, c.url(path), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	for name, values := range header {
		r.Header[name] = values
	}
	r.Header.Set("Authorization", "Bearer "+c.options.Token)
	if len(body) > 0 {
		r.Header.Set("Content-Type", "application/json")
	}
	response, err := c.http.Do(r)
	if err == nil {
		return response, nil
	}
	e := refusal.New(refusal.Unavailable, "%v", err)
	if connected {
		e = refusal.New(refusal.OutcomeUnknown, "no answer: %v", err)
	}
	return nil, &CallError{Detail: operator.ErrorDetail{Code: e.Code, Ran: e.Ran, Message: e.Message}}
}

// attempt sends a request once and decodes the answer.
func (c *Client) attempt(ctx context.Context, method, path string, body []byte, into any) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.Attempt)
	defer cancel()
	response, err := c.request(ctx, method, path, body, nil)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err == nil && response.StatusCode == http.StatusOK {
		err = json.Unmarshal(data, into)
	}
	if err != nil {
		return &CallError{Status: response.StatusCode, Detail: operator.ErrorDetail{
			Code: refusal.OutcomeUnknown, Ran: refusal.Unknown, Message: fmt.Sprintf("answer is not complete: %v", err),
		}}
	}
	if response.StatusCode != http.StatusOK {
		return refused(response.StatusCode, data)
	}
	return nil
}

// refused decodes a refusal; an answer of another program, such as a proxy, proves nothing.
func refused(status int, data []byte) error {
	var answer operator.ErrorAnswer
	if err := json.Unmarshal(data, &answer); err != nil || answer.Error.Code == "" {
		answer.Error = operator.ErrorDetail{
			Code: refusal.OutcomeUnknown, Ran: refusal.Unknown,
			Message: fmt.Sprintf("answer with status %d is not from lycheevale", status),
		}
	}
	return &CallError{Status: status, Detail: answer.Error, Revision: answer.Revision}
}

// next moves on to the next address.
func (c *Client) next() {
	c.current = (c.current + 1) % len(c.options.Addresses)
}

func asCall(err error) (e *CallError, ok bool) {
	ok = chain.As(err, &e)
	return e, ok
}
