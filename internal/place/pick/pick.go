// Package pick chooses the endpoint of a request at an entry, based on the entry's observations of each endpoint's answers
// and on the load that all entries report.
package pick

import (
	"math/rand/v2"
	"slices"
	"time"

	"lycheevale/internal/base/locality"
)

// Endpoint is a candidate for a request.
type Endpoint struct {
	ID           string
	Slots        int
	Distance     locality.Distance // from the entry
	OtherEntries int               // running requests of other entries
	Backlog      time.Duration     // to read the prompts that wait there, of all entries
}

// Outcome is the result of a request at an endpoint.
type Outcome string

// Outcomes.
const (
	Served      Outcome = "Served"
	Failed      Outcome = "Failed"      // it answered with an error of its own, or ended the response early
	Refused     Outcome = "Refused"     // it has no free place
	Unreachable Outcome = "Unreachable" // the connection failed
	Silent      Outcome = "Silent"      // it did not answer in time
	Malformed   Outcome = "Malformed"   // its answer breaks the protocol
)

// Options are the settings of a Picker.
type Options struct {
	LocalDelay time.Duration // first estimate of the time to the first byte, in the same data centre
	NearDelay  time.Duration // the same in another one of the same region
	FarDelay   time.Duration // the same in another region
	EjectFor   time.Duration // after the first failure to connect, doubled by each further one
	MaxEject   time.Duration
	DecayTime  time.Duration // after which observations of an endpoint have lost a third of their weight
	MaxLoad    float64       // requests per slot at which an endpoint gets no more requests
}

// Defaults returns the settings for two regions that are 30 ms apart.
func Defaults() Options {
	return Options{
		LocalDelay: 40 * time.Millisecond, NearDelay: 46 * time.Millisecond, FarDelay: 110 * time.Millisecond,
		EjectFor: 300 * time.Millisecond, MaxEject: 5 * time.Second, DecayTime: 4 * time.Second, MaxLoad: 1.25,
	}
}

// Picker records observations of endpoints and chooses between them. It is not safe for concurrent use.
type Picker struct {
	options Options
	random  *rand.Rand
	records map[string]*record
}

type record struct {
	active          int
	updatedAt       time.Time // of the last outcome
	delay           float64   // milliseconds to the first byte, smoothed
	samples         float64
	errors          float64 // share of failed requests, smoothed
	refusals        float64
	connectFailures int // Unreachable, Silent or Malformed outcomes since the last Served one
	ejectUntil      time.Time
	pausedUntil     time.Time // it has asked for no requests until then
	born            int64     // start time of the incarnation for which that holds
}

// New returns a picker without observations.
func New(o Options, seed uint64) *Picker {
	return &Picker{options: o, random: rand.New(rand.NewPCG(seed, seed)), records: map[string]*record{}}
}

func (p *Picker) record(id string) *record {
	r := p.records[id]
	if r == nil {
		r = &record{}
		p.records[id] = r
	}
	return r
}

// Forget removes the records of endpoints without active requests for which keep returns false, unless they want no requests now: they may be back before that
// ends.
func (p *Picker) Forget(now time.Time, keep func(id string) bool) {
	for id, r := range p.records {
		if r.active == 0 && !keep(id) && !now.Before(r.pausedUntil) {
			delete(p.records, id)
		}
	}
}

// Start counts a request that is sent to an endpoint.
func (p *Picker) Start(id string) { p.record(id).active++ }

// End counts the end of a request that Start has counted.
func (p *Picker) End(id string) { p.record(id).active-- }

// Running returns the number of running requests of this entry for each endpoint that has any.
func (p *Picker) Running() map[string]int {
	running := map[string]int{}
	for id, r := range p.records {
		if r.active > 0 {
			running[id] = r.active
		}
	}
	return running
}

// Active returns the number of running requests of this entry at an endpoint.
func (p *Picker) Active(id string) int {
	if r := p.records[id]; r != nil {
		return r.active
	}
	return 0
}

// Pause records that an endpoint wants no requests until a time.
func (p *Picker) Pause(now time.Time, id string, until time.Time) {
	r := p.record(id)
	if latest := now.Add(maxPause); until.After(latest) {
		until = latest
	}
	if until.After(r.pausedUntil) {
		r.pausedUntil = until
	}
}

// maxPause limits the effect of an endpoint that names an absurd time.
const maxPause = 10 * time.Minute

// SetBorn records the start time of an endpoint's incarnation. What an earlier one has asked for ends with it.
func (p *Picker) SetBorn(id string, born int64) {
	if r := p.record(id); born > r.born {
		r.pausedUntil, r.born = time.Time{}, born
	}
}

// PausedUntil returns the time until which an endpoint wants no requests, or the zero time.
func (p *Picker) PausedUntil(now time.Time, id string) (until time.Time) {
	if r := p.records[id]; r != nil && now.Before(r.pausedUntil) {
		return r.pausedUntil
	}
	return until
}

// sampleWeight is the weight of one answer in the moving averages.
const sampleWeight = 0.2

// Observe records an outcome and, for answers, the time to the first byte.
func (p *Picker) Observe(now time.Time, id string, o Outcome, delay time.Duration) {
	r := p.record(id)
	r.decay(now, p.options.DecayTime)
	blend := func(figure *float64, value float64) { *figure += sampleWeight * (value - *figure) }
	failed, refused := 0.0, 0.0
	switch o {
	case Served:
		r.connectFailures = 0
		ms := float64(delay) / float64(time.Millisecond)
		if r.samples == 0 {
			r.delay = ms
		}
		blend(&r.delay, ms)
		r.samples = min(r.samples+1, 1/sampleWeight)
	case Failed:
		failed = 1
	case Refused:
		refused = 1
	case Unreachable, Silent, Malformed:
		failed = 1
		r.ejectUntil = now.Add(min(p.options.EjectFor<<min(r.connectFailures, 8), p.options.MaxEject))
		r.connectFailures++
	}
	blend(&r.errors, failed)
	blend(&r.refusals, refused)
}

// decay reduces the weight of old observations, so that an endpoint that performed badly is tried again.
func (r *record) decay(now time.Time, memory time.Duration) {
	if d := now.Sub(r.updatedAt); d > 0 && !r.updatedAt.IsZero() {
		keep := max(0, 1-float64(d)/float64(3*memory))
		r.errors *= keep
		r.refusals *= keep
		r.samples *= keep
	}
	r.updatedAt = now
}

// Penalties in milliseconds.
const (
	errorPenalty   = 1500.0 // for an endpoint that fails every request
	refusalPenalty = 600.0  // for an endpoint that refuses every request
	loadPenalty    = 120.0  // for an endpoint whose slots are all in use
	queuePenalty   = 900.0  // for each batch of requests beyond the slots
	jitter         = 12.0   // maximum random addition, so that entries with the same view do not all choose the same endpoint
)

// Choose returns the best candidate that is not in exclude. It returns an ejected endpoint only if no other is left. It
// reports false if every candidate is full, paused or excluded.
func (p *Picker) Choose(now time.Time, candidates []Endpoint, exclude []string) (id string, ok bool) {
	best, bestCost, bestEjected := "", 0.0, false
	spread := backlogSpread(candidates)
	for _, c := range candidates {
		r := p.record(c.ID)
		if slices.Contains(exclude, c.ID) || p.full(c) || now.Before(r.pausedUntil) {
			continue
		}
		ejected := now.Before(r.ejectUntil)
		cost := p.cost(now, c, r) + spread*p.random.Float64()
		if best == "" || (bestEjected && !ejected) || (bestEjected == ejected && cost < bestCost) {
			best, bestCost, bestEjected = c.ID, cost, ejected
		}
	}
	return best, best != ""
}

// backlogSpread returns the maximum random addition to the cost of candidates whose backlogs are compared, in milliseconds. Backlogs
// are as old as the last report, and all entries see the same ones: without the addition, all of them would send their requests to the
// endpoint with the least backlog until the next report.
func backlogSpread(candidates []Endpoint) float64 {
	if len(candidates) == 0 {
		return 0
	}
	var sum time.Duration
	for _, c := range candidates {
		sum += c.Backlog
	}
	return spreadFactor * float64(sum.Milliseconds()) / float64(len(candidates))
}

// spreadFactor makes the mean of the addition equal to the mean backlog.
const spreadFactor = 2

// full reports whether an endpoint gets no more requests of this entry.
func (p *Picker) full(c Endpoint) bool {
	return c.Slots > 0 && float64(c.OtherEntries+p.Active(c.ID)) >= p.options.MaxLoad*float64(c.Slots)
}

// Load returns the number of requests per slot of an endpoint.
func (p *Picker) Load(c Endpoint) float64 {
	if c.Slots <= 0 {
		return 0
	}
	return float64(c.OtherEntries+p.Active(c.ID)) / float64(c.Slots)
}

// Healthy reports whether an endpoint is worth waiting for: it is not ejected and has few errors.
func (p *Picker) Healthy(now time.Time, id string) bool {
	r := p.record(id)
	return !now.Before(r.ejectUntil) && !now.Before(r.pausedUntil) && r.errors < unhealthyErrors
}

// unhealthyErrors is the share of failed requests at which an endpoint counts as unhealthy.
const unhealthyErrors = 0.4

func (p *Picker) initialDelay(d locality.Distance) time.Duration {
	switch d {
	case locality.Same:
		return p.options.LocalDelay
	case locality.Near:
		return p.options.NearDelay
	}
	return p.options.FarDelay
}

func (p *Picker) cost(now time.Time, c Endpoint, r *record) float64 {
	estimate := float64(p.initialDelay(c.Distance)) / float64(time.Millisecond)
	fresh := *r
	fresh.decay(now, p.options.DecayTime)
	weight := min(fresh.samples*sampleWeight, 1)
	estimate += weight * (r.delay - estimate)
	load := p.Load(c)
	cost := estimate + float64(c.Backlog)/float64(time.Millisecond) + loadPenalty*load + errorPenalty*fresh.errors + refusalPenalty*fresh.refusals
	if load > 1 {
		cost += queuePenalty * (load - 1)
	}
	return cost + jitter*p.random.Float64()
}
