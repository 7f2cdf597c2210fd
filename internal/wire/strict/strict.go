// Package strict tells answers of HTTP/1 from bytes that are none. The standard library returns heads with any status and version, and with blanks in names of
// fields, which hide a length.
package strict

import (
	"net/http"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("no answer")

// maxStatus is the highest status of the classes that the protocol defines.
const maxStatus = 599

// Check returns an error if the head of a response is neither that of an answer nor that of an informational answer. No request asks for another protocol.
func Check(r *http.Response) error {
	if r.ProtoMajor != 1 {
		return Error.New("version %q", r.Proto)
	}
	if r.StatusCode < http.StatusContinue || r.StatusCode == http.StatusSwitchingProtocols || r.StatusCode > maxStatus {
		return Error.New("status %q", r.Status)
	}
	for name := range r.Header {
		if strings.Contains(name, " ") { // the library refuses other bytes that are not allowed
			return Error.New("blank in the name %q of a field", name)
		}
	}
	return nil
}
