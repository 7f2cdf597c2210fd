package registry

import (
	"fmt"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("registry")

// ErrorCode is the stable name of the reason why a command was rejected.
type ErrorCode string

// Codes of rejected commands.
const (
	CodeConflict   ErrorCode = "Conflict"   // ExpectedRevision is not current
	CodeInvalid    ErrorCode = "Invalid"    // a field has an invalid value
	CodeMissing    ErrorCode = "Missing"    // a referenced object does not exist
	CodeReferenced ErrorCode = "Referenced" // other objects refer to the object to be deleted
	CodeImmutable  ErrorCode = "Immutable"  // the field cannot change
	CodeWithdrawn  ErrorCode = "Withdrawn"  // a withdrawn key cannot be made valid again
	CodeOverShare  ErrorCode = "OverShare"  // shares would exceed the customer's rate or burst
)

// ChangeError is the reason why a command was rejected; none of its changes were applied.
type ChangeError struct {
	Code    ErrorCode
	Object  ID
	Message string
}

// Error implements error.
func (e *ChangeError) Error() string {
	if e.Object == (ID{}) {
		return fmt.Sprintf("%s: %s", e.Code, e.Message)
	}
	return fmt.Sprintf("%s: %s %q: %s", e.Code, e.Object.Kind, e.Object.Name, e.Message)
}

// Err returns the *ChangeError of a rejected command, or nil.
func (r Result) Err() error {
	if r.Error == "" {
		return nil
	}
	return &ChangeError{Code: r.Code, Object: r.Object, Message: r.Error}
}

func reject(code ErrorCode, id ID, format string, args ...any) *ChangeError {
	return &ChangeError{Code: code, Object: id, Message: fmt.Sprintf(format, args...)}
}

// Errors of Install; the registry is unchanged when one is returned.
var (
	ErrStale = errs.New("the delta does not reach beyond the current revision")
	ErrGap   = errs.New("the delta starts at another revision")
)
