// Package isolate keeps requests that crash endpoints from reaching further ones. Each instance records which requests had not begun when an
// endpoint crashed, and which ones begin; the leader of the configuration log collects that from all instances and quarantines signatures of
// requests with place/quarantine. The quarantined signatures are objects of the configuration.
package isolate

import (
	"context"
	"log/slog"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"lycheevale/internal/base/event"
	"lycheevale/internal/base/refusal"
	"lycheevale/internal/place/quarantine"
	"lycheevale/internal/state/registry"
)

const (
	// retryAfter exceeds what callers wait, so that they do not repeat a refused request.
	retryAfter = time.Minute
	// trialTime is the time in which an instance may use a permit to try a quarantined signature.
	trialTime = 30 * time.Second
	// interruptedTime is the time for which a request that may have crashed an endpoint is remembered, and maxInterrupted their number.
	interruptedTime = 10 * time.Minute
	maxInterrupted  = 4096
)

// Recorder records crashes and begins at an instance, and refuses requests with quarantined signatures. It is safe for concurrent use.
type Recorder struct {
	options Options
	probes  chan probe
	watches chan probe

	mu              sync.Mutex
	tracker         *quarantine.Tracker
	watched         map[quarantine.Incarnation]bool    // endpoints that may run requests of which this instance has let go
	interrupted     map[quarantine.Signature]time.Time // exact requests that may have crashed an endpoint
	suspects        []quarantine.Signature             // those about which the leader asks
	suspectRevision uint64
	quarantined     map[quarantine.Signature]bool
	revision        uint64                         // of the configuration that quarantined was read from
	refused         map[string]quarantine.Refusals // requests refused since the last report, by quarantined signature
	trials          map[string]time.Time           // until when one request may try a quarantined signature
	permitted       uint64                         // last report for which trials were permitted
	reports         uint64                         // identifier of the last report
	unconfirmed     *sentReport
	notifiedAt      time.Time
}

// sentReport is a report that the leader may not have received.
type sentReport struct {
	report
	term uint64
	at   time.Time
}

// New returns a recorder. Without options it refuses nothing, and nobody collects what it records.
func New(opts ...Option) *Recorder {
	o := defaults()
	for _, opt := range opts {
		opt(&o)
	}
	return &Recorder{
		options: o, probes: make(chan probe, maxProbes), watches: make(chan probe, maxProbes), watched: map[quarantine.Incarnation]bool{}, tracker: quarantine.NewTracker(), interrupted: map[quarantine.Signature]time.Time{},
		refused: map[string]quarantine.Refusals{}, trials: map[string]time.Time{},
		reports: uint64(o.Wall().UnixNano()), // reports before and after a restart differ
	}
}

// Check refuses a request with a quarantined signature, as not run. With trial, the request may be sent once to find out whether the signature
// was blamed wrongly.
func (r *Recorder) Check(service string, signatures []string) (trial bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	found := r.find(service, signatures)
	if len(found) == 0 {
		return false, nil
	}
	now := r.options.Now()
	// With a second quarantined signature, a crash would not show which one is to blame.
	if len(found) == 1 && now.Before(r.trials[found[0]]) {
		delete(r.trials, found[0])
		return true, nil
	}
	for _, id := range found {
		n := r.refused[id]
		n.Total++
		if len(found) == 1 {
			n.Alone++
		}
		r.refused[id] = n
	}
	return false, refuse(now, found)
}

// Refuse refuses a request with a quarantined signature, whatever may try it.
func (r *Recorder) Refuse(service string, signatures []string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if found := r.find(service, signatures); len(found) > 0 {
		return refuse(r.options.Now(), found)
	}
	return nil
}

func refuse(now time.Time, found []string) error {
	return refusal.New(refusal.Quarantined, "%s %q crashes endpoints", quarantine.KindOf(found[0]), found[0]).WithRetryAt(now.Add(retryAfter))
}

// find returns the quarantined ones of the signatures. The caller holds mu.
func (r *Recorder) find(service string, signatures []string) (found []string) {
	if revision := r.options.Registry.Revision(); revision != r.revision || r.quarantined == nil {
		r.revision, r.quarantined = revision, map[quarantine.Signature]bool{}
		for _, s := range stored(r.options.Registry) {
			r.quarantined[s] = true
		}
	}
	if len(r.quarantined) == 0 {
		return nil
	}
	for _, id := range signatures {
		if r.quarantined[quarantine.NewSignature(service, id)] {
			found = append(found, id)
		}
	}
	return found
}

// stored returns the quarantined signatures of the configuration.
func stored(reg *registry.Registry) (list []quarantine.Signature) {
	for _, o := range reg.List(registry.KindQuarantine) {
		list = append(list, quarantine.Signature{Service: o.Quarantine.Service, ID: o.Quarantine.Signature})
	}
	return list
}

// Begun records that an endpoint has begun to answer a request.
func (r *Recorder) Begun(service string, signatures []string) {
	if len(signatures) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tracker.Begun(r.options.Now(), service, signatures)
}

// Broken records that the connection of an attempt broke before its answer began, and has the endpoint checked.
func (r *Recorder) Broken(ctx context.Context, a quarantine.Attempt, address netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.tracker.Broken(r.options.Now(), a) {
		return
	}
	event.Log(ctx, r.options.Logger, event.BrokenUnanswered, slog.String("Endpoint", a.Incarnation.Endpoint), slog.Any("Parts", a.Signatures),
		slog.Bool("Acknowledged", a.Acknowledged))
	select {
	case r.probes <- probe{a.Incarnation, address}:
	default: // many endpoints broke at once; the crash stays unconfirmed
	}
}

// Interrupted records that an attempt of a request ended before its answer began, though an endpoint may have begun to run it. It reports
// whether the exact request was exposed to a crash before and has not begun anywhere, as far as this instance knows; it may be what crashes
// endpoints then.
func (r *Recorder) Interrupted(service string, signatures []string) (again bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Now()
	for _, id := range signatures {
		if quarantine.KindOf(id) != quarantine.KindRequest || r.tracker.HasBegun(service, id) {
			continue
		}
		s := quarantine.NewSignature(service, id)
		_, known := r.interrupted[s]
		again = again || known || slices.Contains(r.suspects, s)
		r.remember(now, s)
	}
	return again
}

func (r *Recorder) remember(now time.Time, s quarantine.Signature) {
	if len(r.interrupted) >= maxInterrupted {
		maps.DeleteFunc(r.interrupted, func(_ quarantine.Signature, at time.Time) bool { return now.Sub(at) > interruptedTime })
	}
	if len(r.interrupted) >= maxInterrupted {
		clear(r.interrupted)
	}
	r.interrupted[s] = now
}

// Run checks endpoints and tells the leader of crashes until ctx ends.
func (r *Recorder) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		ticker := time.NewTicker(notifyInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return nil
			case p := <-r.probes:
				group.Go(func() error {
					r.check(ctx, p)
					return nil
				})
			case p := <-r.watches:
				group.Go(func() error {
					r.watch(ctx, p)
					return nil
				})
			case <-ticker.C:
				r.notify(ctx)
			}
		}
	})
	return group.Wait()
}
