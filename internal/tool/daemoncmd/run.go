package daemoncmd

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"lycheevale/internal/base/event"
	"lycheevale/internal/base/settings"
	"lycheevale/internal/node/instance"
	"lycheevale/internal/tool/exitcode"
)

// Run runs an instance until SIGINT or SIGTERM and returns the exit code. The first signal begins the graceful
// shutdown, which Shutdown.Bound limits; a second one ends the process at once. Logs go to out.
func Run(path string, out, errOut io.Writer) int {
	s := settings.Defaults()
	if path != "" {
		if code := CheckConfig(path, io.Discard, errOut); code != exitcode.OK {
			return code
		}
		var err error
		if s, err = settings.Load(path); err != nil {
			fmt.Fprintln(errOut, err)
			return exitcode.Failure
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	// After the first signal the default handling is back, so that a second one ends the process.
	context.AfterFunc(ctx, stop)
	logger := newLogger(s.Log, out)
	i, err := instance.New(s, instance.WithLogger(logger))
	if err == nil {
		err = i.Run(ctx)
	}
	if err != nil {
		event.Log(ctx, logger, event.InstanceFailed, slog.Any("Error", err))
		return exitcode.Failure
	}
	return exitcode.OK
}

func newLogger(l settings.Log, out io.Writer) *slog.Logger {
	var level slog.Level
	if err := level.UnmarshalText([]byte(l.Level)); err != nil {
		level = slog.LevelInfo
	}
	options := &slog.HandlerOptions{Level: level}
	if l.Format == "Text" {
		return slog.New(slog.NewTextHandler(out, options))
	}
	return slog.New(slog.NewJSONHandler(out, options))
}
