package strict

import (
	"io"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/zeebo/errs"
)

// Transport returns only answers of HTTP/1 that pass Check. The end of a connection completes an answer without a length only if the request was sent completely:
// a reset is reported once, to the writer of the request or to the reader of the answer.
type Transport struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	sent := make(chan error, 1)
	trace := &httptrace.ClientTrace{WroteRequest: func(i httptrace.WroteRequestInfo) {
		select {
		case sent <- i.Err:
		default: // the library has sent the request again
		}
	}}
	response, err := t.RoundTripper.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := Check(response); err != nil {
		return nil, errs.Combine(err, response.Body.Close())
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		response.Body = &unframed{ReadCloser: response.Body, sent: sent}
	}
	return response, nil
}

// CloseIdleConnections is called by http.Client.
func (t Transport) CloseIdleConnections() {
	if closer, ok := t.RoundTripper.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}

// unframed is a body that ends with its connection.
type unframed struct {
	io.ReadCloser
	sent  chan error
	ended error // what Read returns at the end, once that is known
}

// sentWait is the time for the writer to finish once the answer has ended.
const sentWait = 20 * time.Millisecond

// Read implements io.Reader.
func (u *unframed) Read(p []byte) (n int, err error) {
	n, err = u.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	if u.ended == nil {
		u.ended = u.end()
	}
	return n, u.ended
}

func (u *unframed) end() error {
	select {
	case err := <-u.sent:
		if err == nil {
			return io.EOF
		}
		return errs.Combine(io.ErrUnexpectedEOF, err)
	case <-time.After(sentWait):
		return io.ErrUnexpectedEOF
	}
}
