// Package guard keeps a failure in one task from ending the process.
package guard

import (
	"context"
	"log/slog"
	"runtime/debug"

	"lycheevale/internal/base/event"
)

// Run calls f, and logs a panic in it.
func Run(ctx context.Context, logger *slog.Logger, task string, f func()) {
	defer func() {
		if v := recover(); v != nil {
			event.Log(ctx, logger, event.TaskPanicked, slog.String("Task", task), slog.Any("Value", v), slog.String("Stack", string(debug.Stack())))
		}
	}()
	f()
}
