package model

import (
	"time"

	"lycheevale/internal/base/refusal"
	"lycheevale/internal/place/scheduler"
)

// owner runs a scheduler: it passes observations in and carries out actions.
type owner struct {
	sim      *simulation
	decider  Decider
	budget   *budget
	engines  []*engine
	attempts map[string]*attempt // submitted and not ended
	queued   int
	wakeAt   time.Duration
}

func (o *owner) announce(e *engine) {
	site := o.sim.site
	o.decider.SetEndpoint(o.sim.clock(), scheduler.Endpoint{
		Name: e.name, Model: site.Model, Incarnation: e.incarnation, Slots: site.Slots, BatchSize: site.BatchSize,
	})
}

func (o *owner) waiting() int { return o.queued }

func (o *owner) waitingFor(e *engine) (n int) {
	for _, a := range o.attempts {
		if a.endpoint == e.name {
			n++
		}
	}
	return n
}

func (o *owner) submit(a *attempt, target *engine) {
	s := o.sim
	a.owner = o
	a.submitted = s.now
	a.id = a.call.ID
	a.tries++
	r := scheduler.Request{
		ID: a.id, Customer: customerName(a.call.Customer), Model: s.site.Model, Adapter: s.names[a.call.Adapter],
		PrefixHash: a.call.Prefix, PromptTokens: a.call.Prompt, MaxTokens: 2 * s.site.OutputTokens,
		Arrived: s.clock(), Deadline: epoch.Add(a.call.At + s.site.Deadline),
	}
	if s.policy.Pinned {
		r.Endpoint = target.name
	} else {
		r.Preferred = target.name
	}
	a.resident = o.resident(a.call.Adapter, r.Endpoint)
	if err := o.decider.Submit(s.clock(), r); err != nil {
		o.refuse(a, err)
		return
	}
	o.attempts[a.id] = a
	o.queued++
	o.decide()
}

func (o *owner) resident(adapter int, pin string) bool {
	for _, e := range o.engines {
		if e.slots[adapter] != nil && (pin == "" || pin == e.name) {
			return true
		}
	}
	return false
}

// refuse sends a request that a failed load ended to another endpoint, and ends it otherwise.
func (o *owner) refuse(a *attempt, err error) {
	const tries = 3
	s := o.sim
	a.stalled = a.stalled || !a.resident
	r := refusal.From(err)
	if r.Code == refusal.Unavailable && a.router != nil && a.tries < tries {
		for _, e := range o.engines {
			a.exclude = append(a.exclude, e.name)
		}
		s.after(s.latency(a), func() { s.send(a) })
		return
	}
	s.result.refused(a, r, s.now+s.latency(a))
}

func (o *owner) finished(a *attempt, failed bool) {
	if o.attempts[a.id] != a {
		return
	}
	delete(o.attempts, a.id)
	o.decider.Finished(o.sim.clock(), scheduler.Finish{ID: a.id, Tokens: a.call.Prompt + a.call.Output, Failed: failed})
	o.decide()
}

func (o *owner) decide() {
	for _, action := range o.decider.Decide(o.sim.clock()) {
		o.carryOut(action)
	}
	wake := o.decider.NextWake()
	if wake.IsZero() {
		return
	}
	at := max(wake.Sub(epoch), o.sim.now+time.Microsecond)
	if o.wakeAt > o.sim.now && o.wakeAt <= at {
		return
	}
	o.wakeAt = at
	o.sim.after(at-o.sim.now, func() {
		if o.wakeAt == at {
			o.decide()
		}
	})
}

func (o *owner) carryOut(action scheduler.Action) {
	s := o.sim
	e := s.byName[action.Endpoint]
	switch action.Kind {
	case scheduler.Dispatch:
		o.dispatch(o.attempts[action.ID], e)
	case scheduler.Load:
		evict := -1
		if !action.Evict.IsBase() {
			evict = s.index[action.Evict]
		}
		e.load(s.index[action.Adapter], evict)
	case scheduler.Unload:
		e.unload(s.index[action.Adapter])
	case scheduler.Refuse:
		a := o.attempts[action.ID]
		delete(o.attempts, action.ID)
		o.queued--
		o.refuse(a, action.Err)
	}
}

func (o *owner) dispatch(a *attempt, e *engine) {
	o.queued--
	a.endpoint = e.name
	if slot := e.slots[a.call.Adapter]; slot != nil && slot.loadedAt > a.submitted && !a.resident {
		a.stalled = true
	}
	e.run(a)
}

// restart empties an engine; its running requests are sent again.
func (s *simulation) restart(e *engine) {
	lost := e.sequences
	e.incarnation++
	e.start()
	e.stepping = false
	for _, q := range lost {
		a := q.call
		delete(e.owner.attempts, a.id)
		e.owner.decider.Finished(s.clock(), scheduler.Finish{ID: a.id, Failed: true})
	}
	e.owner.announce(e)
	for _, q := range lost {
		a := q.call
		s.after(s.latency(a), func() { s.send(a) })
	}
	e.owner.decide()
}

func (s *simulation) scheduleFaults() {
	if !s.scenario.Faults {
		return
	}
	length := s.scenario.Length
	for i, share := range []float64{0.4, 0.55, 0.7, 0.85} {
		e := s.engines[(i*4+int(s.scenario.Seed))%len(s.engines)]
		s.after(time.Duration(share*float64(length)), func() { s.restart(e) })
	}
}

// loadFails fails one load in twenty while there are faults.
func (s *simulation) loadFails() bool {
	const share = 0.05
	return s.scenario.Faults && s.now > s.scenario.Warmup && s.random.Float64() < share
}

// scheduleReports sends each engine's load report half a second late.
func (s *simulation) scheduleReports() {
	const interval, lag = time.Second, 500 * time.Millisecond
	for _, e := range s.engines {
		var send func()
		send = func() {
			r := scheduler.LoadReport{
				Endpoint: e.name, Incarnation: e.incarnation, Running: len(e.sequences), At: s.clock(),
				Resident: []scheduler.AdapterRef{},
			}
			for adapter := range e.slots {
				r.Resident = append(r.Resident, s.names[adapter])
			}
			s.after(lag, func() { e.owner.decider.Report(s.clock(), r) })
			if s.now < s.scenario.Length {
				s.after(interval, send)
			}
		}
		s.after(interval, send)
	}
}
