package isolate

import (
	"context"
	"log/slog"
	"net/netip"
	"os"
	"slices"
	"syscall"
	"time"

	"github.com/zeebo/errs"

	"lycheevale/internal/base/event"
	"lycheevale/internal/place/quarantine"
)

// Left records that this instance has ended an attempt before its answer began, for instance because the caller has left. The endpoint may run it until a
// time, and is watched meanwhile.
func (r *Recorder) Left(a quarantine.Attempt, address netip.AddrPort, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tracker.Left(r.options.Now(), a, until)
	if r.watched[a.Incarnation] {
		return
	}
	select {
	case r.watches <- probe{a.Incarnation, address}:
		r.watched[a.Incarnation] = true
	default: // too many endpoints at once; a connection that breaks shows the crash all the same
	}
}

// Suspected reports whether a request, or what it has in common with others, may have crashed an endpoint before. Whether it begins shows whether it has.
func (r *Recorder) Suspected(service string, signatures []string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.suspects, func(s quarantine.Signature) bool { return s.AppliesTo(service) && slices.Contains(signatures, s.ID) }) ||
		r.tracker.Repeated(quarantine.Attempt{Service: service, Signatures: signatures})
}

// watchPause is the time between two connections to a watched endpoint, which may close them, and between two looks at whether it is still watched.
const watchPause = 250 * time.Millisecond

// watch keeps a connection to an endpoint that may still run requests of which this instance has let go, until it has ended them or its process has ended.
func (r *Recorder) watch(ctx context.Context, p probe) {
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.watched, p.incarnation)
	}()
	for r.mayRun(p.incarnation) && ctx.Err() == nil {
		if err := r.awaitClose(ctx, p); err != nil {
			crashed, n := errs.Is(err, syscall.ECONNREFUSED) && r.options.Serves(p.incarnation), 0
			r.mu.Lock()
			defer r.mu.Unlock()
			if crashed {
				n = r.tracker.Ended(r.options.Now(), p.incarnation)
			}
			event.Log(ctx, r.options.Logger, event.LeftExposed, slog.String("Endpoint", p.incarnation.Endpoint), slog.Int64("Born", p.incarnation.Born),
				slog.Int("Requests", n), slog.Any("Error", err))
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(watchPause):
		}
	}
}

func (r *Recorder) mayRun(i quarantine.Incarnation) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Contains(r.tracker.LeftAt(r.options.Now()), i)
}

// awaitClose opens a connection to an endpoint and waits until the endpoint closes it or need not be watched any more. An error shows that it accepts none.
func (r *Recorder) awaitClose(ctx context.Context, p probe) (err error) {
	dial, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn, err := r.options.Dial(dial, "tcp", p.address.String())
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	for r.mayRun(p.incarnation) && ctx.Err() == nil {
		if err := conn.SetReadDeadline(time.Now().Add(watchPause)); err != nil {
			return nil // it is closed
		}
		if _, err := conn.Read(make([]byte, 1)); !errs.Is(err, os.ErrDeadlineExceeded) {
			return nil
		}
	}
	return nil
}
