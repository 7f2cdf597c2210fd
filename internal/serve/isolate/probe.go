package isolate

import (
	"context"
	"log/slog"
	"net/netip"
	"time"

	"lycheevale/internal/base/event"
	"lycheevale/internal/place/quarantine"
)

const (
	maxProbes    = 64
	probeTimeout = 800 * time.Millisecond
	// probeTries and probeInterval cover the time between the loss of an endpoint's connections and that of its listener.
	probeTries    = 3
	probeInterval = 200 * time.Millisecond
)

// probe is an endpoint to check.
type probe struct {
	incarnation quarantine.Incarnation
	address     netip.AddrPort
}

// check records a crash if the endpoint does not accept a connection.
func (r *Recorder) check(ctx context.Context, p probe) {
	for n := range probeTries {
		err := r.connect(ctx, p.address)
		if ctx.Err() != nil {
			return
		}
		if err != nil || n == probeTries-1 {
			event.Log(ctx, r.options.Logger, event.EndpointProbed, slog.String("Endpoint", p.incarnation.Endpoint), slog.Any("Address", p.address),
				slog.Any("Error", err))
		}
		if err != nil {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.tracker.Down(r.options.Now(), p.incarnation)
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(probeInterval):
		}
	}
}

func (r *Recorder) connect(ctx context.Context, address netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn, err := r.options.Dial(ctx, "tcp", address.String())
	if err != nil {
		return err
	}
	return conn.Close()
}
