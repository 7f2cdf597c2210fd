package instance

import (
	"context"
	"sync"
	"time"

	"lycheevale/internal/place/budget"
	"lycheevale/internal/place/scheduler"
	"lycheevale/internal/wire/peer"
)

// Intervals and timeouts of permit requests.
const (
	permitPoll         = 50 * time.Millisecond
	permitTimeout      = time.Second
	permitAbandonAfter = 2 * time.Second // after which a load that is no longer requested is released
	extendMargin       = time.Second
)

// permits requests permits to load adapters from the coordinator and caches the granted ones. The scheduler does not
// block on a request; it checks for the permit again at its next decision.
type permits struct {
	name        string
	incarnation uint64
	now         func() time.Time
	coordinator func() (string, bool)
	call        peer.Caller
	onGranted   func() // called when permits were granted; wakes the owner
	mu          sync.Mutex
	nextID      uint64
	loads       map[loadKey]*wantedLoad
	toRelease   []uint64 // IDs of loads to release at the coordinator
	wake        chan struct{}
}

type loadKey struct {
	endpoint string
	adapter  scheduler.AdapterRef
}

type wantedLoad struct {
	id            uint64
	lastRequested time.Time // last request by the scheduler
	until         time.Time // end of the permit; zero while it is not granted
	running       bool
	yield         bool
}

func newPermits(name string, o Options, coordinator func() (string, bool), call peer.Caller) *permits {
	return &permits{
		name: name, incarnation: uint64(o.Wall().UnixNano()), now: o.Now, coordinator: coordinator, call: call,
		onGranted: func() {}, loads: map[loadKey]*wantedLoad{}, wake: make(chan struct{}, 1),
	}
}

// request implements the scheduler's Permit.
func (p *permits) request(now time.Time, l scheduler.LoadOrder) (ok bool, retryAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := loadKey{l.Endpoint, l.Adapter}
	w := p.loads[k]
	if w == nil {
		p.nextID++
		w = &wantedLoad{id: p.nextID}
		p.loads[k] = w
		p.signal()
	}
	w.lastRequested = now
	w.yield = l.Yield
	if w.until.After(now) {
		w.running = true
		return true, time.Time{}
	}
	return false, now.Add(permitPoll)
}

// release queues the release of a permit whose load has ended.
func (p *permits) release(endpoint string, a scheduler.AdapterRef) {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := loadKey{endpoint, a}
	if w := p.loads[k]; w != nil {
		p.toRelease = append(p.toRelease, w.id)
		delete(p.loads, k)
		p.signal()
	}
}

func (p *permits) signal() {
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

// exchange sends queued releases to the coordinator and requests pending permits.
func (p *permits) exchange(ctx context.Context) {
	coordinator, ok := p.coordinator()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	p.sendReleases(ctx, coordinator)
	sent := p.now()
	request := budget.AcquireRequest{Incarnation: p.incarnation, Loads: p.pendingLoads(sent)}
	if len(request.Loads) == 0 {
		return
	}
	var reply budget.AcquireReply
	if p.call(ctx, coordinator, budget.MethodAcquire, request, &reply) != nil || !p.recordGrants(sent, reply) {
		return
	}
	p.onGranted()
}

func (p *permits) sendReleases(ctx context.Context, coordinator string) {
	p.mu.Lock()
	ended := p.toRelease
	p.toRelease = nil
	p.mu.Unlock()
	if len(ended) == 0 {
		return
	}
	request := budget.ReleaseRequest{Incarnation: p.incarnation, IDs: ended}
	if p.call(ctx, coordinator, budget.MethodRelease, request, nil) != nil {
		p.mu.Lock()
		p.toRelease = append(p.toRelease, ended...)
		p.mu.Unlock()
	}
}

// pendingLoads returns the loads to request or extend and queues the release of those that the scheduler no longer
// requests.
func (p *permits) pendingLoads(now time.Time) (loads []budget.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for k, w := range p.loads {
		switch {
		case !w.running && now.Sub(w.lastRequested) > permitAbandonAfter:
			p.toRelease = append(p.toRelease, w.id)
			delete(p.loads, k)
		case w.running && w.until.Sub(now) < extendMargin:
			loads = append(loads, budget.Load{ID: w.id, Extend: true, Left: permitAbandonAfter})
		case !w.until.After(now):
			loads = append(loads, budget.Load{ID: w.id, Yield: w.yield, Left: permitAbandonAfter})
		}
	}
	return loads
}

// recordGrants stores the granted permits; their lifetime counts from the time the request was sent.
func (p *permits) recordGrants(sent time.Time, reply budget.AcquireReply) (granted bool) {
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
