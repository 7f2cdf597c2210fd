package voter

import (
	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("voter")

// Errors of proposals. A proposal that fails with ErrOutcomeUnknown may still be committed; a resend of the same data
// is safe where the state machine recognises it.
var (
	ErrNoLeader       = errs.New("no leader is known")
	ErrOutcomeUnknown = errs.New("the outcome of the proposal is unknown")
	ErrStopped        = errs.New("the voter has stopped")
	ErrTooLarge       = errs.New("the proposal is too large")
)
