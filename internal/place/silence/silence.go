// Package silence decides when a request leaves an endpoint from which nothing comes. A busy engine may be silent for seconds
// before the first event of a stream, so that silence alone says little: a new connection tells an endpoint that is gone from a
// slow one. It is pure: observations go in, decisions come out.
package silence

import "time"

// Action is what follows from an endpoint's silence.
type Action int

// Actions.
const (
	Wait  Action = iota
	Probe        // find out whether the endpoint accepts connections
	Leave        // the request goes to another endpoint, if one may take it
)

// Options are the settings of a Watch.
type Options struct {
	ProbeAfter    time.Duration // without a byte from an endpoint on any connection
	MinWait       time.Duration // for which a request stays at an endpoint that accepts connections
	MaxWait       time.Duration // the same when first events are slow everywhere
	MinStreamWait time.Duration // the least for a stream that has begun
	SlowFactor    float64       // times the slow first events of late
}

// Defaults returns the settings for callers that give a stream up after a gap of two seconds or more, which leaves another
// endpoint most of a second.
func Defaults() Options {
	return Options{
		ProbeAfter: 700 * time.Millisecond, MinWait: 900 * time.Millisecond, MinStreamWait: 1300 * time.Millisecond,
		MaxWait: 1600 * time.Millisecond, SlowFactor: 1.5,
	}
}

// Watch remembers when endpoints were heard. It is not safe for concurrent use.
type Watch struct {
	options        Options
	endpoints      map[string]*endpoint
	slowFirstEvent time.Duration // about the slowest twentieth of first events
}

type endpoint struct {
	lastByteAt  time.Time // of the last byte on any connection
	probing     bool
	probedAt    time.Time
	unreachable bool // the last probe found no listener
}

// New returns a watch that has heard nothing.
func New(o Options) *Watch { return &Watch{options: o, endpoints: map[string]*endpoint{}} }

func (w *Watch) endpoint(id string) *endpoint {
	e := w.endpoints[id]
	if e == nil {
		e = &endpoint{}
		w.endpoints[id] = e
	}
	return e
}

// RecordBytes records bytes of an endpoint.
func (w *Watch) RecordBytes(now time.Time, id string) {
	e := w.endpoint(id)
	e.lastByteAt, e.unreachable = now, false
}

// SilentSince tells whether nothing has come from an endpoint since a time.
func (w *Watch) SilentSince(id string, at time.Time) bool {
	return !w.endpoint(id).lastByteAt.After(at)
}

// riseWeight and fallWeight move the estimate of slow first events: it rests where one in twenty is above it.
const (
	riseWeight = 0.19
	fallWeight = 0.01
)

// RecordFirstEvent records the time to the first event of a stream.
func (w *Watch) RecordFirstEvent(delay time.Duration) {
	share := fallWeight
	if delay > w.slowFirstEvent {
		share = riseWeight
	}
	w.slowFirstEvent += time.Duration(share * float64(delay-w.slowFirstEvent))
}

// Attempt is a request at an endpoint.
type Attempt struct {
	Endpoint   string
	LastByteAt time.Time // of its own last byte, or of its start
	Streaming  bool      // the first event has come
}

// Decide tells what follows for a request. A Probe has to be answered by Probed.
func (w *Watch) Decide(now time.Time, f Attempt) Action {
	e := w.endpoint(f.Endpoint)
	quiet := now.Sub(f.LastByteAt)
	silent := min(quiet, now.Sub(e.lastByteAt))
	if silent <= w.options.ProbeAfter {
		return Wait
	}
	if e.unreachable || silent > w.maxSilence(f.Streaming) {
		return Leave
	}
	if e.probing || now.Sub(e.probedAt) < w.options.ProbeAfter {
		return Wait
	}
	e.probing = true
	return Probe
}

// maxSilence is the time for which a request stays at an endpoint that accepts connections.
func (w *Watch) maxSilence(begun bool) time.Duration {
	least := w.options.MinWait
	if begun {
		least = w.options.MinStreamWait
	}
	return min(max(time.Duration(w.options.SlowFactor*float64(w.slowFirstEvent)), least), w.options.MaxWait)
}

// RecordProbe records whether a new connection was accepted.
func (w *Watch) RecordProbe(now time.Time, id string, accepted bool) {
	e := w.endpoint(id)
	e.probing, e.probedAt, e.unreachable = false, now, !accepted
}

// Forget drops endpoints that were neither heard nor probed for a while.
func (w *Watch) Forget(now time.Time, after time.Duration) {
	for id, e := range w.endpoints {
		if !e.probing && now.Sub(e.lastByteAt) > after && now.Sub(e.probedAt) > after {
			delete(w.endpoints, id)
		}
	}
}
