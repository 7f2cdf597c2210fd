package voter

import (
	"errors"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("voter")

// Errors of proposals. A proposal that fails with ErrOutcomeUnknown may still be committed; a resend of the same data
// is safe where the state machine recognises it.
var (
	ErrNoLeader       = errors.New("no leader is known")
	ErrOutcomeUnknown = errors.New("the outcome of the proposal is unknown")
	ErrStopped        = errors.New("the voter has stopped")
	ErrTooLarge       = errors.New("the proposal is too large")
)
