package forward

import (
	"net/http"
	"time"

	"lycheevale/internal/place/residency"
	"lycheevale/internal/state/document"
)

// Request is a caller's request, decoded by the codec of its protocol.
type Request struct {
	Attempt      string // identifier of this attempt of the caller
	Method       string
	Host         string
	Target       string // path and query
	Path         string
	Key          string
	Adapter      residency.Adapter // Name is empty for a base model, Model for a plain service
	Tokens       int               // prompt and maximum output, 0 if the caller states none
	PromptTokens int               // 0 if the caller states none
	SharedParts  []string          // identifiers of the prompt's parts that other requests may share, from its beginning
	LastEvent    string            // identifier of the last event that the caller received, empty for none
	Continues    string            // with LastEvent: the attempt that brought the first event of the stream
	Timeout      time.Duration     // how long the caller waits, 0 if not stated
}

// Outgoing holds the values that the codec adds to a request to an endpoint.
type Outgoing struct {
	Endpoint  string // identity that the address is expected to have
	Customer  string // empty without a key
	Timeout   time.Duration
	Version   int // of the adapter, 0 for any
	Priority  int // 0 is first, 9 is last
	LastEvent string
}

// Reply is the codec's interpretation of the head of an endpoint's answer.
type Reply struct {
	NotRun   bool // the endpoint states that it has not run the request
	Moved    bool // the address belongs to another endpoint, or the endpoint lacks the adapter or its version
	Streamed bool // the body is an event stream
	Leaving  bool // the endpoint states that it leaves
	// Limit is the number of requests a second that the endpoint takes from all entries together, 0 if it names none.
	Limit float64
	// RetryAt is the time before which the endpoint wants no more requests of this entry, or the zero time.
	RetryAt time.Time
}

// Codec translates the protocol of callers and endpoints.
type Codec struct {
	Decode func(r *http.Request) (Request, error)
	// Outgoing returns the header fields for an endpoint, derived from the caller's.
	Outgoing func(caller http.Header, o Outgoing) http.Header
	Reply    func(now time.Time, status int, h http.Header) Reply
	// EventID returns the identifier of a complete event, "" if it has none.
	EventID func(event []byte) string
}

// Outcome describes a finished request for logs and metrics.
type Outcome struct {
	Kind      document.Kind
	Service   string
	Code      string // "Served", or the reason of the refusal or failure
	Duration  time.Duration
	FirstByte time.Duration // until the first byte of the answer, 0 if there was none
}
