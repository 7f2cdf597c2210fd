// Package repeat runs periodic work.
package repeat

import (
	"context"
	"time"
)

// Every calls f immediately and then once per interval until ctx ends.
func Every(ctx context.Context, interval time.Duration, f func(ctx context.Context)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		f(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}
