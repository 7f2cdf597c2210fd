// Package refusal defines the typed errors that callers and operators receive.
package refusal

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/zeebo/errs"
)

// Code is the stable name of a kind of refusal.
type Code string

// Codes of refusals; they are part of the public protocol and never change.
const (
	OverRate         Code = "OverRate"
	Overloaded       Code = "Overloaded"
	NotPermitted     Code = "NotPermitted"
	BadRequest       Code = "BadRequest"
	UnknownModel     Code = "UnknownModel"
	TooLarge         Code = "TooLarge"
	Conflict         Code = "Conflict"
	OutcomeUnknown   Code = "OutcomeUnknown"
	Unavailable      Code = "Unavailable"
	DeadlineExceeded Code = "DeadlineExceeded"
	NotFound         Code = "NotFound"
	UnsupportedType  Code = "UnsupportedType"
)

// Ran tells whether the refused request may have run.
type Ran string

// NotRun is stated only when no endpoint can have run the request.
const (
	NotRun  Ran = "NotRun"
	Unknown Ran = "Unknown"
)

var statuses = map[Code]int{
	OverRate:         http.StatusTooManyRequests,
	Overloaded:       http.StatusServiceUnavailable,
	NotPermitted:     http.StatusForbidden,
	BadRequest:       http.StatusBadRequest,
	UnknownModel:     http.StatusNotFound,
	TooLarge:         http.StatusRequestEntityTooLarge,
	Conflict:         http.StatusConflict,
	OutcomeUnknown:   http.StatusBadGateway,
	Unavailable:      http.StatusServiceUnavailable,
	DeadlineExceeded: http.StatusGatewayTimeout,
	NotFound:         http.StatusNotFound,
	UnsupportedType:  http.StatusUnsupportedMediaType,
}

// Error is a refusal with everything that a caller needs to react to it.
type Error struct {
	Code    Code
	Ran     Ran
	Status  int
	Message string
	RetryAt time.Time // zero when no time to come back is known
}

// New returns a refusal that states that the request was not run, except for OutcomeUnknown.
func New(code Code, format string, args ...any) *Error {
	ran := NotRun
	if code == OutcomeUnknown {
		ran = Unknown
	}
	return &Error{Code: code, Ran: ran, Status: statuses[code], Message: fmt.Sprintf(format, args...)}
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Code, e.Ran, e.Message)
}

// WithRetryAt returns a copy that tells the caller when to come back.
func (e *Error) WithRetryAt(at time.Time) *Error {
	c := *e
	c.RetryAt = at
	return &c
}

// WithUnknown returns a copy that makes no claim on whether the request ran.
func (e *Error) WithUnknown() *Error {
	c := *e
	c.Ran = Unknown
	return &c
}

// From returns the refusal in the chain of err, or OutcomeUnknown for any other error: an error
// without a type carries no proof that the request did not run.
func From(err error) *Error {
	var e *Error
	if errs.IsFunc(err, func(link error) (ok bool) { e, ok = link.(*Error); return ok }) {
		return e
	}
	return New(OutcomeUnknown, "%v", err)
}

// Codes returns all codes in alphabetical order.
func Codes() []Code { return slices.Sorted(maps.Keys(statuses)) }
