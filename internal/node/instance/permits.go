package instance

import (
	"context"
	"sync"
	"time"

	"lycheevale/internal/place/budget"
	"lycheevale/internal/place/scheduler"
	"lycheevale/internal/wire/peer"
)

// Times of asking for permits.
const (
	permitPoll  = 50 * time.Millisecond
	permitWait  = time.Second
	permitDrop  = 2 * time.Second // after which a load that nobody asks for is given back
	extendAfter = time.Second
)

// permits asks the coordinator for the right to load adapters and remembers what was granted, so that the scheduler,
// which does not wait, finds it when it decides again.
type permits struct {
	name        string
	incarnation uint64
	now         func() time.Time
	coordinator func() (string, bool)
	call        peer.Caller
	granted     func() // wakes the owner
	mu          sync.Mutex
	nextID      uint64
	loads       map[loadKey]*wantedLoad
	ended       []uint64 // to be released
	wake        chan struct{}
}

type loadKey struct {
	endpoint string
	adapter  scheduler.AdapterRef
}

type wantedLoad struct {
	id      uint64
	asked   time.Time // last time the scheduler asked
	until   time.Time // end of the permit; zero while it is not granted
	running bool
	yield   bool
}

func newPermits(name string, o Options, coordinator func() (string, bool), call peer.Caller) *permits {
	return &permits{
		name: name, incarnation: uint64(o.Wall().UnixNano()), now: o.Now, coordinator: coordinator, call: call,
		granted: func() {}, loads: map[loadKey]*wantedLoad{}, wake: make(chan struct{}, 1),
	}
}

// ask implements the scheduler's Permit.
func (p *permits) ask(now time.Time, l scheduler.LoadOrder) (ok bool, retryAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := loadKey{l.Endpoint, l.Adapter}
	w := p.loads[k]
	if w == nil {
		p.nextID++
		w = &wantedLoad{id: p.nextID}
		p.loads[k] = w
		p.poke()
	}
	w.asked = now
	w.yield = l.Yield
	if w.until.After(now) {
		w.running = true
		return true, time.Time{}
	}
	return false, now.Add(permitPoll)
}

// release gives a permit back when its load has ended.
func (p *permits) release(endpoint string, a scheduler.AdapterRef) {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := loadKey{endpoint, a}
	if w := p.loads[k]; w != nil {
		p.ended = append(p.ended, w.id)
		delete(p.loads, k)
		p.poke()
	}
}

func (p *permits) poke() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (p *permits) run(ctx context.Context) error {
	ticker := time.NewTicker(permitPoll)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-p.wake:
		}
		p.exchange(ctx)
	}
}

// exchange sends what has ended and asks for what is wanted.
func (p *permits) exchange(ctx context.Context) {
	coordinator, ok := p.coordinator()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, permitWait)
	defer cancel()
	p.giveBack(ctx, coordinator)
	sent := p.now()
	request := budget.AcquireRequest{Incarnation: p.incarnation, Loads: p.wanted(sent)}
	if len(request.Loads) == 0 {
		return
	}
	var reply budget.AcquireReply
	if p.call(ctx, coordinator, budget.MethodAcquire, request, &reply) != nil || !p.take(sent, reply) {
		return
	}
	p.granted()
}

func (p *permits) giveBack(ctx context.Context, coordinator string) {
	p.mu.Lock()
	ended := p.ended
	p.ended = nil
	p.mu.Unlock()
	if len(ended) == 0 {
		return
	}
	request := budget.ReleaseRequest{Incarnation: p.incarnation, IDs: ended}
	if p.call(ctx, coordinator, budget.MethodRelease, request, nil) != nil {
		p.mu.Lock()
		p.ended = append(p.ended, ended...)
		p.mu.Unlock()
	}
}

// wanted lists the loads to ask for; those that nobody has asked for lately are given back.
func (p *permits) wanted(now time.Time) (loads []budget.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for k, w := range p.loads {
		switch {
		case !w.running && now.Sub(w.asked) > permitDrop:
			p.ended = append(p.ended, w.id)
			delete(p.loads, k)
		case w.running && w.until.Sub(now) < extendAfter:
			loads = append(loads, budget.Load{ID: w.id, Extend: true, Left: permitDrop})
		case !w.until.After(now):
			loads = append(loads, budget.Load{ID: w.id, Yield: w.yield, Left: permitDrop})
		}
	}
	return loads
}

// take records what was granted; lives count from the sending of the request.
func (p *permits) take(sent time.Time, reply budget.AcquireReply) (granted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, g := range reply.Permits {
		for _, w := range p.loads {
			if w.id == g.ID {
				w.until = sent.Add(g.Life)
				granted = true
			}
		}
	}
	return granted
}
