package engine

import (
	"net"
	"net/http"
	"time"
)

// Defaults of the client.
const (
	defaultDialTimeout  = time.Second
	defaultMaxEventSize = 64 << 10 // bytes; far more than the text of a few tokens
	defaultMaxIdle      = 256      // connections kept open for each endpoint
	bufferBytes         = 1 << 10  // per connection and direction
	// MaxHeadBytes is the largest head of a response, with the informational ones before it.
	MaxHeadBytes = 64 << 10
)

// Rules are safety checks; all are enabled by default, and only mutation tests disable one.
type Rules struct {
	CheckModel   bool // a response must name the requested model
	CheckAttempt bool // a response and its events must carry the identifier of the attempt
	NeedMarker   bool // a response without an end marker is truncated
}

// AllRules returns the rules with all of them enabled.
func AllRules() Rules { return Rules{CheckModel: true, CheckAttempt: true, NeedMarker: true} }

// Options are the settings of a Client.
type Options struct {
	Rules        Rules
	Transport    *http.Transport
	MaxEventSize int // bytes
	DecodeError  func(resp *http.Response) error
}

// Option sets one of the Options.
type Option func(*Options)

// WithTransport sets the HTTP transport; tests use it to cause connection faults.
func WithTransport(t *http.Transport) Option {
	return func(o *Options) { o.Transport = t }
}

// WithRules sets the safety checks; mutation tests use it to disable one.
func WithRules(r Rules) Option {
	return func(o *Options) { o.Rules = r }
}

// WithMaxEventSize sets the largest accepted event in bytes.
func WithMaxEventSize(n int) Option {
	return func(o *Options) { o.MaxEventSize = n }
}

// WithDecodeError sets the function that converts the response to a rejected attempt into an error; it must close the
// body.
func WithDecodeError(f func(resp *http.Response) error) Option {
	return func(o *Options) { o.DecodeError = f }
}

// NewTransport returns a transport without environment proxies and with bounded dialling.
func NewTransport() *http.Transport {
	return &http.Transport{
		DialContext:            (&net.Dialer{Timeout: defaultDialTimeout, KeepAlive: 15 * time.Second}).DialContext,
		MaxIdleConns:           0,
		MaxResponseHeaderBytes: MaxHeadBytes,
		MaxIdleConnsPerHost:    defaultMaxIdle,
		IdleConnTimeout:        time.Minute,
		DisableCompression:     true,
		// Events are short and flushed one by one; larger buffers only add to the memory of each open stream.
		WriteBufferSize: bufferBytes,
		ReadBufferSize:  bufferBytes,
	}
}
