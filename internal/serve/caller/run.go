package caller

import (
	"context"
	"log/slog"
	"time"

	"lycheevale/internal/base/event"
)

// Run rechecks the keys of running requests until ctx ends, so that streams end within RecheckEvery after their key is
// withdrawn.
func (s *Server) Run(ctx context.Context) error {
	ticker := time.NewTicker(s.options.RecheckEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			s.Recheck(ctx)
		}
	}
}

// Recheck ends running requests whose key was withdrawn.
func (s *Server) Recheck(ctx context.Context) {
	if !s.options.Rules.RecheckKeys {
		return
	}
	if ended := s.streams.recheck(); ended > 0 {
		event.Log(ctx, s.options.Logger, event.StreamRevoked, slog.Int("Streams", ended))
	}
}

// report completes the outcome of a request and passes it to Options.Observe.
func (s *Server) report(x *exchange) {
	x.outcome.Customer = x.customer
	x.outcome.Arrived = x.arrived
	x.outcome.Ended = s.options.Now()
	x.outcome.Tokens = x.used
	if x.outcome.Service == "" {
		x.outcome.Service = s.services.serviceOf(s.options.Registry, x.ref.Model)
	}
	s.options.Observe(x.outcome)
}
