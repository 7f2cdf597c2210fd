package peer

import (
	"encoding/json"
	"fmt"
	"time"

	"lycheevale/internal/base/chain"

	"github.com/sourcegraph/jsonrpc2"
	"github.com/zeebo/errs"

	"lycheevale/internal/base/refusal"
)

// Error is the class of errors of this package.
var Error = errs.Class("peer")

// Errors of calls; test with errs.Is.
var (
	ErrClosed          = errs.New("node is closed")
	ErrUnknownInstance = errs.New("address of the instance is unknown")
	ErrQueueFull       = errs.New("queue of the link is full")
	ErrTooLarge        = errs.New("message exceeds the size limit")
	ErrInsecure        = errs.New("TLS is required for addresses other than loopback")
	ErrWrongName       = errs.New("name of the other instance does not match")
	ErrLinkLost        = errs.New("link was lost before the answer")
	ErrTooManyPings    = errs.New("other side sends pings without end")
	ErrSilent          = errs.New("link went silent")
	ErrReplaced        = errs.New("link was replaced by a newer one")
	ErrBusy            = errs.New("the other side has too many calls in progress")
)

// Error codes in answers, from the range that JSON-RPC reserves for implementations.
const (
	codeBusy    = -32001
	codeRefusal = -32002
)

// UnreachableError is returned if an instance cannot be dialled; the next attempt is made at RetryAt.
type UnreachableError struct {
	Instance string
	RetryAt  time.Time
	Cause    error
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("instance %q is unreachable: %v", e.Instance, e.Cause)
}

// Unwrap returns the error of the last attempt.
func (e *UnreachableError) Unwrap() error {
	return e.Cause
}

// NotSent reports whether err proves that the call has not reached a handler.
func NotSent(err error) bool {
	var unreachable *UnreachableError
	if chain.As(err, &unreachable) {
		return true
	}
	for _, e := range []error{ErrClosed, ErrUnknownInstance, ErrQueueFull, ErrTooLarge, ErrInsecure, ErrBusy} {
		if errs.Is(err, e) {
			return true
		}
	}
	return false
}

// toRPC converts a handler's error to a JSON-RPC error; a refusal keeps its type.
func toRPC(err error) *jsonrpc2.Error {
	var rpc *jsonrpc2.Error
	if chain.As(err, &rpc) {
		return rpc
	}
	var refused *refusal.Error
	if chain.As(err, &refused) {
		e := &jsonrpc2.Error{Code: codeRefusal, Message: refused.Message}
		e.SetError(refused)
		return e
	}
	return &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
}

// fromRPC converts a JSON-RPC error of an answer back to the original error.
func fromRPC(err error) error {
	var rpc *jsonrpc2.Error
	switch {
	case errs.Is(err, jsonrpc2.ErrClosed):
		return ErrLinkLost
	case !chain.As(err, &rpc):
		return err
	case rpc.Code == codeBusy:
		return ErrBusy
	case rpc.Code == codeRefusal && rpc.Data != nil:
		var refused refusal.Error
		if json.Unmarshal(*rpc.Data, &refused) == nil {
			return &refused
		}
	}
	return err
}
