// Package silence decides when another endpoint is sought for a request whose endpoint sends no bytes. A busy engine may be silent for seconds
// before the first event of a stream, so a probe with a new connection distinguishes an unreachable endpoint from a slow one.
// The package does no I/O: callers record observations and execute its decisions.
package silence

import "time"

// Action is the reaction to an endpoint's silence.
type Action int

// Actions.
const (
	Wait  Action = iota
	Probe        // check with a new connection whether the endpoint accepts connections
	Leave        // the request goes to another endpoint, if one begins to answer it first
)

// Options are the settings of a Watch.
type Options struct {
	ProbeAfter    time.Duration // time without a byte from an endpoint on any connection
	MinWait       time.Duration // minimum time for which a request stays at an endpoint that accepts connections
	MaxWait       time.Duration // maximum time for which it stays when first events are slow everywhere
	MinStreamWait time.Duration // minimum time for a stream that has begun
	SlowFactor    float64       // multiplied with the estimate of slow first events
	StallFactor   float64       // multiplied with the estimate of long pauses between events
}

// Defaults returns the settings for callers that abort a stream after a gap of two seconds or more, which leaves most of a
// second for another endpoint.
func Defaults() Options {
	return Options{
		ProbeAfter: 700 * time.Millisecond, MinWait: 900 * time.Millisecond, MinStreamWait: 1300 * time.Millisecond,
		MaxWait: 1600 * time.Millisecond, SlowFactor: 1.5, StallFactor: 4,
	}
}

// Watch records when endpoints sent bytes and the results of probes. It is not safe for concurrent use.
type Watch struct {
	options        Options
	endpoints      map[string]*endpoint
	slowFirstEvent time.Duration // estimated 95th percentile of the time to the first event
	longPause      time.Duration // the same of the time between two events
}

type endpoint struct {
	lastEventAt time.Time // of the last event or head on any connection
	probing     bool
	probedAt    time.Time
	unreachable bool // the last probe found no listener
}

// New returns a watch without observations.
func New(o Options) *Watch { return &Watch{options: o, endpoints: map[string]*endpoint{}} }

func (w *Watch) endpoint(id string) *endpoint {
	e := w.endpoints[id]
	if e == nil {
		e = &endpoint{}
		w.endpoints[id] = e
	}
	return e
}

// RecordEvents records that an endpoint has sent a head or complete events.
func (w *Watch) RecordEvents(now time.Time, id string) {
	e := w.endpoint(id)
	e.lastEventAt, e.unreachable = now, false
}

// SilentSince reports whether an endpoint has sent nothing since the given time.
func (w *Watch) SilentSince(id string, at time.Time) bool {
	return !w.endpoint(id).lastEventAt.After(at)
}

// riseWeight and fallWeight are the steps of the estimate of slow first events. Their ratio of 19 to 1 makes it converge to
// the value that one in twenty first events exceeds.
const (
	riseWeight = 0.19
	fallWeight = 0.01
)

// RecordFirstEvent records the time to the first event of a stream.
func (w *Watch) RecordFirstEvent(delay time.Duration) {
	follow(&w.slowFirstEvent, delay)
}

// RecordPause records the time between two events of a stream.
func (w *Watch) RecordPause(pause time.Duration) { follow(&w.longPause, pause) }

func follow(estimate *time.Duration, observed time.Duration) {
	share := fallWeight
	if observed > *estimate {
		share = riseWeight
	}
	*estimate += time.Duration(share * float64(observed-*estimate))
}

// Attempt is a request at an endpoint.
type Attempt struct {
	Endpoint   string
	ProgressAt time.Time     // of its own last event, its head, or its start
	Streaming  bool          // the first event has arrived
	Expected   time.Duration // from its start until its first event, as estimated then
}

// Decide returns the action for a request. After Probe, the caller has to record the result with RecordProbe.
func (w *Watch) Decide(now time.Time, f Attempt) Action {
	e := w.endpoint(f.Endpoint)
	quiet := now.Sub(f.ProgressAt)
	if f.Streaming && quiet > max(w.options.MaxWait, time.Duration(w.options.StallFactor*float64(w.longPause))) {
		return Leave // it is stalled, also if its endpoint serves others
	}
	silent := min(quiet, now.Sub(e.lastEventAt))
	if silent <= w.options.ProbeAfter {
		return Wait
	}
	if e.unreachable || silent > w.maxSilence(f) {
		return Leave
	}
	if e.probing || now.Sub(e.probedAt) < w.options.ProbeAfter {
		return Wait
	}
	e.probing = true
	return Probe
}

// maxSilence returns the time for which a request stays at a silent endpoint that accepts connections.
func (w *Watch) maxSilence(f Attempt) time.Duration {
	least := w.options.MinWait
	if f.Streaming {
		least = w.options.MinStreamWait
	}
	wait := min(max(time.Duration(w.options.SlowFactor*float64(w.slowFirstEvent)), least), w.options.MaxWait)
	if f.Streaming {
		return wait
	}
	return max(wait, time.Duration(w.options.SlowFactor*float64(f.Expected))) // a long prompt at a lone endpoint
}

// RecordProbe records whether the endpoint accepted a probe's connection.
func (w *Watch) RecordProbe(now time.Time, id string, accepted bool) {
	e := w.endpoint(id)
	e.probing, e.probedAt, e.unreachable = false, now, !accepted
}

// Forget removes endpoints that have neither sent bytes nor been probed for the given time.
func (w *Watch) Forget(now time.Time, after time.Duration) {
	for id, e := range w.endpoints {
		if !e.probing && now.Sub(e.lastEventAt) > after && now.Sub(e.probedAt) > after {
			delete(w.endpoints, id)
		}
	}
}
