package control_test

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"lycheevale/internal/node/control"
)

// A change that was acknowledged too late left no line that told so. Guards against calls whose lateness or refusal is not logged, and against
// a line for each heartbeat.
func TestLateAndRefusedCallsAreLogged(t *testing.T) {
	c := quicktest.New(t)
	now := time.Unix(1_800_000_000, 0)
	var lines bytes.Buffer
	instance := control.New(control.WithNow(func() time.Time { return now }), control.WithLogger(slog.New(slog.NewJSONHandler(&lines, nil))))
	call := func(status int, took time.Duration) (line struct {
		Event, Status, AfterMillis int
		Path                       string
	},
	) {
		lines.Reset()
		handler := instance.LogCalls(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			now = now.Add(took)
			w.WriteHeader(status)
		}))
		handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/change", nil))
		if lines.Len() > 0 {
			c.Assert(json.Unmarshal(lines.Bytes(), &line), quicktest.IsNil)
		}
		return line
	}
	c.Check(call(http.StatusOK, 249*time.Millisecond).Event, quicktest.Equals, 0)
	late := call(http.StatusOK, 250*time.Millisecond)
	c.Check(late.Event, quicktest.Equals, 8010)
	c.Check(late.AfterMillis, quicktest.Equals, 250)
	c.Check(late.Path, quicktest.Equals, "/change")
	c.Check(call(http.StatusServiceUnavailable, 0).Status, quicktest.Equals, http.StatusServiceUnavailable)
}
