package daemoncmd

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"lycheevale/internal/base/event"
	"lycheevale/internal/base/settings"
	"lycheevale/internal/node/instance"
	"lycheevale/internal/tool/exitcode"
)

// heapGrowth is how far the heap may grow over its live part before a collection, in percent. An instance holds 137 MB
// live at the target size and has 256 MB for control; the runtime's default of 100 lets it reach 274 MB.
const heapGrowth = 50

// limitHeap sets heapGrowth unless the operator chose a value with GOGC.
func limitHeap() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(heapGrowth)
	}
}

// Run runs an instance until SIGINT or SIGTERM and returns the exit code. The first signal begins the graceful
// shutdown, which Shutdown.Bound limits; a second one ends the process at once. Logs go to out.
func Run(path string, out, errOut io.Writer) int {
	limitHeap()
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
	logger := s.Log.New(out)
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
