package event_test

import (
	"context"
	"log/slog"
	"os"

	"lycheevale/internal/base/event"
)

func ExampleLog() {
	withoutTime := func(_ []string, a slog.Attr) slog.Attr {
		if a.Key == slog.TimeKey {
			return slog.Attr{}
		}
		return a
	}
	logger := slog.New(slog.NewTextHandler(os.Stdout, &slog.HandlerOptions{ReplaceAttr: withoutTime}))
	event.Log(context.Background(), logger, event.StreamRevoked, slog.Int("Streams", 2))
	// Output: level=INFO msg="stream ended because its key was withdrawn" Event=2004 Streams=2
}
