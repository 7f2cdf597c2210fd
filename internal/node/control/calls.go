package control

import (
	"log/slog"
	"net/http"
	"time"

	"lycheevale/internal/base/event"
)

// lateCall is a quarter of the second for which callers of control instances wait.
const lateCall = 250 * time.Millisecond

// LogCalls wraps the handler of the control interface, and logs calls that were refused or answered late.
func (c *Control) LogCalls(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrived := c.options.Now()
		recorder := &statusRecorder{ResponseWriter: w, status: http.StatusOK}
		next.ServeHTTP(recorder, r)
		took := c.options.Now().Sub(arrived)
		if recorder.status < http.StatusBadRequest && took < lateCall {
			return
		}
		c.mu.Lock()
		leader := c.leader
		c.mu.Unlock()
		event.Log(r.Context(), c.options.Logger, event.ControlCallSlow, slog.String("Method", r.Method), slog.String("Path", r.URL.Path),
			slog.String("Remote", r.RemoteAddr), slog.Int("Status", recorder.status), slog.Int64("AfterMillis", took.Milliseconds()),
			slog.String("Leader", leader), slog.Bool("CallerGone", r.Context().Err() != nil))
	})
}

// statusRecorder keeps the status of an answer.
type statusRecorder struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (s *statusRecorder) WriteHeader(status int) {
	s.status = status
	s.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the writer of the answer, for http.ResponseController.
func (s *statusRecorder) Unwrap() http.ResponseWriter { return s.ResponseWriter }
