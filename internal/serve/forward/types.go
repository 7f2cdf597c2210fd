package forward

import (
	"net/http"
	"time"

	"lycheevale/internal/place/residency"
	"lycheevale/internal/state/document"
)

// Request is what a caller asks for, decoded by the codec of its protocol.
type Request struct {
	Attempt   string // identifier of this attempt of the caller
	Method    string
	Host      string
	Target    string // path and query
	Path      string
	Key       string
	Adapter   residency.Adapter // Name is empty for a base model, Model for a plain service
	Tokens    int               // prompt and most output, 0 if the caller states none
	LastEvent string            // the last event that the caller has, empty for none
	Timeout   time.Duration     // how long the caller waits, 0 if it does not say
}

// Outgoing is what the codec adds to a request for an endpoint.
type Outgoing struct {
	Endpoint  string // identity that has to be there
	Customer  string // empty without a key
	Timeout   time.Duration
	Version   int // of the adapter, 0 for any
	Priority  int // 0 is first, 9 is last
	LastEvent string
}

// Reply is how the codec reads the head of an endpoint's answer.
type Reply struct {
	NotRun   bool // the endpoint states that the request has not run
	Moved    bool // another endpoint has the address, or it lacks the adapter or its version
	Streamed bool // the body is a series of events
}

// Codec translates one protocol of callers and endpoints.
type Codec struct {
	Decode func(r *http.Request) (Request, error)
	// Outgoing returns the header fields for an endpoint, made from those of the caller.
	Outgoing func(caller http.Header, o Outgoing) http.Header
	Reply    func(status int, h http.Header) Reply
	// EventID returns the identifier of a complete event, "" if it has none.
	EventID func(event []byte) string
}

// Outcome describes a finished request for logs and metrics.
type Outcome struct {
	Kind      document.Kind
	Service   string
	Code      string // "Served", or the reason of the refusal or failure
	Duration  time.Duration
	FirstByte time.Duration // until the first byte of the answer, 0 for none
}
