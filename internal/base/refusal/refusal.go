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

// Codes of refusals. They are part of the public protocol and never change.
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
	Quarantined      Code = "Quarantined"
)

// Ran states whether the refused request may have run.
type Ran string

// NotRun is used only if no endpoint can have run the request.
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
	Quarantined:      http.StatusServiceUnavailable,
}

// Error is a refusal with the details that a caller needs to handle it.
type Error struct {
	Code    Code
	Ran     Ran
	Status  int
	Message string
	RetryAt time.Time // zero if the time for a retry is unknown
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

// WithRetryAt returns a copy that states when the caller may retry.
func (e *Error) WithRetryAt(at time.Time) *Error {
	c := *e
	c.RetryAt = at
	return &c
}

// WithUnknown returns a copy that leaves open whether the request ran.
func (e *Error) WithUnknown() *Error {
	c := *e
	c.Ran = Unknown
	return &c
}

// From returns the refusal in the chain of err, or OutcomeUnknown for any other error: an untyped
// error does not prove that the request did not run.
func From(err error) *Error {
	var e *Error
	if errs.IsFunc(err, func(link error) (ok bool) { e, ok = link.(*Error); return ok }) {
		return e
	}
	return New(OutcomeUnknown, "%v", err)
}

// Codes returns all codes in alphabetical order.
func Codes() []Code { return slices.Sorted(maps.Keys(statuses)) }
