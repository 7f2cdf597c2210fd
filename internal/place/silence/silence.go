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
	ProbeAfter time.Duration // without a byte from an endpoint on any connection
	Least      time.Duration // for which a request stays at an endpoint that accepts connections
	Most       time.Duration // the same when first events are slow everywhere
	Midway     time.Duration // the least for a stream that has begun
	Factor     float64       // times the slow first events of late
}

// Defaults returns the settings for callers that give a stream up after a gap of two seconds or more, which leaves another
// endpoint most of a second.
func Defaults() Options {
	return Options{
		ProbeAfter: 700 * time.Millisecond, Least: 900 * time.Millisecond, Midway: 1300 * time.Millisecond,
		Most: 1600 * time.Millisecond, Factor: 1.5,
	}
}

// Watch remembers when endpoints were heard. It is not safe for concurrent use.
type Watch struct {
	options   Options
	endpoints map[string]*endpoint
	slow      time.Duration // about the slowest twentieth of first events
}

type endpoint struct {
	heardAt  time.Time // of the last byte on any connection
	probing  bool
	probedAt time.Time
	dead     bool // the last probe found no listener
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

// Heard records bytes of an endpoint.
func (w *Watch) Heard(now time.Time, id string) {
	e := w.endpoint(id)
	e.heardAt, e.dead = now, false
}

// SilentSince tells whether nothing has come from an endpoint since a time.
func (w *Watch) SilentSince(id string, at time.Time) bool { return !w.endpoint(id).heardAt.After(at) }

// riseShare and fallShare move the estimate of slow first events: it rests where one in twenty is above it.
const (
	riseShare = 0.19
	fallShare = 0.01
)

// Began records the time to the first event of a stream.
func (w *Watch) Began(delay time.Duration) {
	share := fallShare
	if delay > w.slow {
		share = riseShare
	}
	w.slow += time.Duration(share * float64(delay-w.slow))
}

// Flight is a request at an endpoint.
type Flight struct {
	Endpoint string
	HeardAt  time.Time // of its own last byte, or of its start
	Begun    bool      // the first event has come
}

// Decide tells what follows for a request. A Probe has to be answered by Probed.
func (w *Watch) Decide(now time.Time, f Flight) Action {
	e := w.endpoint(f.Endpoint)
	quiet := now.Sub(f.HeardAt)
	silent := min(quiet, now.Sub(e.heardAt))
	if silent <= w.options.ProbeAfter {
		return Wait
	}
	if e.dead || silent > w.patience(f.Begun) {
		return Leave
	}
	if e.probing || now.Sub(e.probedAt) < w.options.ProbeAfter {
		return Wait
	}
	e.probing = true
	return Probe
}

// patience is the time for which a request stays at an endpoint that accepts connections.
func (w *Watch) patience(begun bool) time.Duration {
	least := w.options.Least
	if begun {
		least = w.options.Midway
	}
	return min(max(time.Duration(w.options.Factor*float64(w.slow)), least), w.options.Most)
}

// Probed records whether a new connection was accepted.
func (w *Watch) Probed(now time.Time, id string, accepted bool) {
	e := w.endpoint(id)
	e.probing, e.probedAt, e.dead = false, now, !accepted
}

// Forget drops endpoints that were neither heard nor probed for a while.
func (w *Watch) Forget(now time.Time, after time.Duration) {
	for id, e := range w.endpoints {
		if !e.probing && now.Sub(e.heardAt) > after && now.Sub(e.probedAt) > after {
			delete(w.endpoints, id)
		}
	}
}
