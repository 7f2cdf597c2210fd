// Package httpserver creates the HTTP servers of the programs. An answer is complete only if its handler has said so; the connection of any other one is
// aborted, which net/http would end as a complete answer, with status 200 and an empty body if nothing was written.
package httpserver

import (
	"net/http"
	"time"

	"github.com/zeebo/errs"
)

// Limits of a server that sets none itself. The library would read heads of a megabyte, and wait for a client without end.
const (
	// MaxHeadBytes is the maximum size of a head in the users' configurations.
	MaxHeadBytes = 16 << 10
	// HeadTimeout exceeds the time that users' configurations give a client for a head.
	HeadTimeout = 5 * time.Second
	// RequestTimeout is the time for a request with its body; the longest timeout of a route is shorter.
	RequestTimeout = 30 * time.Second
	// WriteTimeout is the time for a client to take a part of an answer, several times that of a client with 10 KB a second.
	WriteTimeout = 30 * time.Second
	// IdleTimeout is four times that of users' configurations.
	IdleTimeout = time.Minute
)

// HeadSize returns MaxHeadBytes.
func HeadSize() int { return MaxHeadBytes }

// New returns a server for a handler, whose other fields the caller may set before it serves.
func New(h http.Handler) *http.Server {
	return &http.Server{
		MaxHeaderBytes:               MaxHeadBytes,
		ReadHeaderTimeout:            HeadTimeout,
		ReadTimeout:                  RequestTimeout,
		IdleTimeout:                  IdleTimeout,
		Handler:                      Guard(h),
		DisableGeneralOptionsHandler: true, // it answers "OPTIONS *" with 200 without asking the handler
	}
}

// Guard returns a handler that aborts the connection if next returns without a complete answer. An answer that was written at once is complete. One that was
// flushed before its end, or that was written in parts while its client disconnected, is complete after Complete.
func Guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a := &answer{ResponseWriter: w, timeout: WriteTimeout}
		next.ServeHTTP(a, r)
		if err := a.check(r.Context().Err()); err != nil {
			logAborted(r, err)
			panic(http.ErrAbortHandler)
		}
	})
}

// Complete states that the handler has written its whole answer. It does nothing for a writer of another server.
func Complete(w http.ResponseWriter) {
	for {
		if a, ok := w.(*answer); ok {
			a.complete = true
			return
		}
		wrapper, ok := w.(interface{ Unwrap() http.ResponseWriter })
		if !ok {
			return
		}
		w = wrapper.Unwrap()
	}
}

// answer records what a handler writes.
type answer struct {
	http.ResponseWriter
	begun    bool
	writes   int
	flushed  bool
	failed   error // of a write
	complete bool
	timeout  time.Duration // to write a part; 0 if the handler sets deadlines
}

// writePart is the size in bytes of the parts in which an answer is written.
const writePart = 64 << 10

// check returns why the answer is not complete; disconnected is the error of the request's context.
func (a *answer) check(disconnected error) error {
	switch {
	case a.failed != nil:
		return a.failed
	case a.complete && a.begun:
		return nil
	case !a.begun:
		return errs.Combine(errs.New("nothing was written"), disconnected)
	case a.flushed:
		return errs.Combine(errs.New("the handler has not completed the stream"), disconnected)
	case a.writes > 1 && disconnected != nil:
		return disconnected
	}
	return nil
}

// WriteHeader implements http.ResponseWriter.
func (a *answer) WriteHeader(status int) {
	if status >= http.StatusOK || status == http.StatusSwitchingProtocols {
		a.begun = true
	}
	a.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (a *answer) Write(p []byte) (n int, err error) {
	a.begun = true
	a.writes++
	for {
		a.extendDeadline()
		part := p[n:min(len(p), n+writePart)]
		var written int
		written, err = a.ResponseWriter.Write(part)
		n += written
		if err != nil && !errs.Is(err, http.ErrBodyNotAllowed) {
			a.failed = err
		}
		if err != nil || n == len(p) {
			return n, err
		}
	}
}

// extendDeadline gives the client time to take a part of the answer. Without it, one that reads nothing would keep the handler and what it holds.
func (a *answer) extendDeadline() {
	if a.timeout > 0 {
		_ = http.NewResponseController(a.ResponseWriter).SetWriteDeadline(time.Now().Add(a.timeout)) // a recorder of a test has no deadlines
	}
}

// SetWriteDeadline is called by http.ResponseController. The deadlines of the handler replace those of the server.
func (a *answer) SetWriteDeadline(at time.Time) error {
	a.timeout = 0
	return http.NewResponseController(a.ResponseWriter).SetWriteDeadline(at)
}

// FlushError is called by http.ResponseController.
func (a *answer) FlushError() error {
	a.begun, a.flushed = true, true
	a.extendDeadline()
	err := http.NewResponseController(a.ResponseWriter).Flush()
	if err != nil {
		a.failed = err
	}
	return err
}

// Flush implements http.Flusher.
func (a *answer) Flush() { _ = a.FlushError() }

// Unwrap returns the writer of the answer, for http.ResponseController.
func (a *answer) Unwrap() http.ResponseWriter { return a.ResponseWriter }

func logAborted(r *http.Request, reason error) {
	if s, ok := r.Context().Value(http.ServerContextKey).(*http.Server); ok && s.ErrorLog != nil {
		s.ErrorLog.Printf("answer to %s %.100q aborted: %v", r.Method, r.URL.Path, reason)
	}
}
