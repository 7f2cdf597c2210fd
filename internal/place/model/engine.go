package model

import (
	"container/list"
	"time"

	"lycheevale/internal/place/scheduler"
)

// engine models continuous batching: each step produces one token for every sequence whose prompt is processed,
// and processes a chunk of the prompts of the others.
type engine struct {
	sim         *simulation
	name        string
	centre      int
	owner       *owner
	incarnation uint64
	slots       map[int]*engineSlot // by adapter
	sequences   []*sequence
	stepping    bool
	cache       *list.List // prefixes, most recently used first
	cached      map[uint64]*list.Element
	sequence    uint64 // of cache events
}

type engineSlot struct {
	loadedAt time.Duration
	inUse    int
}

type sequence struct {
	call    *attempt
	prompt  int // tokens left to process
	output  int // tokens left to generate
	started bool
}

func (e *engine) start() {
	e.slots = map[int]*engineSlot{}
	e.sequences = nil
	e.cache = list.New()
	e.cached = map[uint64]*list.Element{}
	e.sequence = 0
}

// run adds a sequence; the engine itself checks the promises on adapters.
func (e *engine) run(a *attempt) {
	slot := e.slots[a.call.Adapter]
	if slot == nil {
		e.sim.violate("request ran without its adapter")
		slot = &engineSlot{}
		e.slots[a.call.Adapter] = slot
	}
	slot.inUse++
	prompt := a.call.Prompt
	if e.touch(a.call.Prefix) {
		const cachedShare = 5 // a conversation's next turn repeats four fifths of its prompt
		prompt = max(prompt/cachedShare, 1)
		e.sim.result.prefixHits++
	}
	if len(e.sequences) >= e.sim.site.BatchSize {
		e.sim.violate("more requests than batch places")
	}
	e.sequences = append(e.sequences, &sequence{call: a, prompt: prompt, output: a.call.Output})
	if !e.stepping {
		e.step()
	}
}

// touch returns whether the prefix was cached and caches it.
func (e *engine) touch(prefix uint64) bool {
	if at, ok := e.cached[prefix]; ok {
		e.cache.MoveToFront(at)
		return true
	}
	e.cached[prefix] = e.cache.PushFront(prefix)
	if e.cache.Len() > e.sim.site.CachedPrefixes {
		oldest := e.cache.Back()
		delete(e.cached, e.cache.Remove(oldest).(uint64))
	}
	return false
}

func (e *engine) step() {
	if len(e.sequences) == 0 {
		e.stepping = false
		return
	}
	e.stepping = true
	site := e.sim.site
	budget := site.PromptChunk
	for _, s := range e.sequences {
		n := min(s.prompt, budget)
		s.prompt -= n
		budget -= n
	}
	cost := site.StepBase + time.Duration(len(e.sequences))*site.StepSequence +
		time.Duration(site.PromptChunk-budget)*site.StepPrompt
	incarnation := e.incarnation
	e.sim.after(cost, func() {
		if e.incarnation == incarnation {
			e.endStep()
		}
	})
}

func (e *engine) endStep() {
	tokens := 0
	kept := e.sequences[:0]
	for _, s := range e.sequences {
		if s.prompt > 0 {
			kept = append(kept, s)
			continue
		}
		tokens++
		s.output--
		if !s.started {
			s.started = true
			e.sim.firstToken(s.call)
		}
		if s.output > 0 {
			kept = append(kept, s)
			continue
		}
		e.finish(s)
	}
	clear(e.sequences[len(kept):])
	e.sequences = kept
	e.sim.countStep(e, tokens)
	e.step()
}

func (e *engine) finish(s *sequence) {
	e.slots[s.call.call.Adapter].inUse--
	e.sim.finished(e, s.call, false)
}

// load takes the slot at once, so that the victim is gone before the transfer ends.
func (e *engine) load(adapter int, evict int) {
	if evict >= 0 {
		e.unload(evict)
	}
	incarnation := e.incarnation
	e.sim.store.load(func() {
		failed := e.sim.loadFails()
		if e.incarnation != incarnation {
			e.owner.budget.transit-- // its owner learns nothing more of the load
			return
		}
		if !failed {
			e.slots[adapter] = &engineSlot{loadedAt: e.sim.now}
			if len(e.slots) > e.sim.site.Slots {
				e.sim.violate("more adapters than slots")
			}
		}
		e.sim.loaded(e, adapter, failed)
	})
}

func (e *engine) unload(adapter int) {
	slot := e.slots[adapter]
	if slot == nil {
		return
	}
	if slot.inUse > 0 {
		e.sim.violate("adapter in use was evicted")
	}
	delete(e.slots, adapter)
}

// store models the weight store: loads start in order at its rate, and each takes the load time while no more than
// MaxTransfers are in transit and proportionally longer beyond.
type store struct {
	sim     *simulation
	queue   []func()
	transit int
	nextAt  time.Duration
	armed   bool
	loads   int
}

func (s *store) load(done func()) {
	s.queue = append(s.queue, done)
	s.pump()
}

func (s *store) pump() {
	if s.armed || len(s.queue) == 0 {
		return
	}
	s.armed = true
	s.sim.after(max(s.nextAt-s.sim.now, 0), func() {
		s.armed = false
		done := s.queue[0]
		s.queue = s.queue[1:]
		s.nextAt = s.sim.now + seconds(1/s.sim.site.LoadsPerSecond)
		s.transit++
		s.loads++
		slow := max(1, float64(s.transit)/float64(s.sim.site.MaxTransfers))
		s.sim.after(time.Duration(float64(s.sim.site.LoadTime)*slow), func() {
			s.transit--
			done()
		})
		s.pump()
	})
}

// budget is the permits of all data centres or of one: loads at its part of the store's rate, to the waiting owner whose last grant is
// oldest, those that yield last. Speculative loads get only what no waiting request needed for one interval.
type budget struct {
	sim     *simulation
	parts   int // of the store, one of which is this budget
	nextAt  time.Duration
	transit int
	granted map[*owner]time.Duration
	asked   map[*owner]ask
}

// ask is an owner's last question for a load that a request waits for.
type ask struct {
	at    time.Duration
	yield bool
}

func newBudget(s *simulation, parts int) *budget {
	return &budget{sim: s, parts: parts, granted: map[*owner]time.Duration{}, asked: map[*owner]ask{}}
}

func (b *budget) permit(o *owner, l scheduler.LoadOrder) (bool, time.Duration) {
	const turn = time.Millisecond // for an owner whose turn it is to ask again
	interval := seconds(float64(b.parts) / b.sim.site.LoadsPerSecond)
	now := b.sim.now
	at := b.nextAt
	if l.Speculative {
		at += interval
	} else {
		b.asked[o] = ask{now, l.Yield}
	}
	if b.transit >= max(b.sim.site.MaxTransfers/b.parts, 1) {
		at = max(at, now+b.sim.site.LoadTime/4)
	}
	if at > now {
		return false, at
	}
	for other, a := range b.asked {
		if other != o && now < b.nextAt+turn && a.at > now-interval-turn && b.before(other, a, o, l.Yield) {
			return false, now + turn
		}
	}
	delete(b.asked, o)
	b.granted[o] = now
	b.nextAt = max(b.nextAt, now-time.Duration(b.burst()-1)*interval) + interval
	b.transit++
	return true, 0
}

// burst is the loads that a budget may start at once after a pause: a data centre's part of the transfers, and one load
// for the site, whose store starts them one by one.
func (b *budget) burst() int {
	if b.parts == 1 {
		return 1
	}
	return max(b.sim.site.MaxTransfers/b.parts, 1)
}

// before tells whether the other owner's load goes first.
func (b *budget) before(other *owner, a ask, o *owner, yield bool) bool {
	if a.yield != yield {
		return yield
	}
	return b.granted[other] < b.granted[o]
}
