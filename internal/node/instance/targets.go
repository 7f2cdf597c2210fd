package instance

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"lycheevale/internal/base/refusal"
	"lycheevale/internal/serve/caller"
	"lycheevale/internal/serve/engine"
	"lycheevale/internal/serve/owner"
)

// announcementLife is how long an endpoint counts as present after an announcement.
const announcementLife = 3 * time.Second

// targets knows the endpoints that were announced to this instance.
type targets struct {
	owner     *owner.Owner
	mu        sync.Mutex
	endpoints map[string]*knownEndpoint
}

type knownEndpoint struct {
	engine.Announcement
	deadline time.Time
	running  int
}

func newTargets(o *owner.Owner) *targets {
	return &targets{owner: o, endpoints: map[string]*knownEndpoint{}}
}

func (t *targets) announce(now time.Time, a engine.Announcement) {
	t.mu.Lock()
	e, ok := t.endpoints[a.Name]
	if !ok {
		e = &knownEndpoint{}
		t.endpoints[a.Name] = e
	}
	e.Announcement = a
	e.deadline = now.Add(announcementLife)
	t.mu.Unlock()
	if a.Kind == engine.KindEngine {
		t.owner.Acquire(owner.Grant{Endpoint: a, Fence: 1, Deadline: now.Add(announcementLife)})
	}
}

// choose picks the engine with the highest rendezvous weight for the adapter.
func (t *targets) choose(now time.Time, r owner.Request, tried []string) (caller.Target, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var best *knownEndpoint
	var bestWeight uint64
	for _, e := range t.endpoints {
		usable := e.Kind == engine.KindEngine && e.Model == r.Model && e.deadline.After(now) && !e.Leaving
		if !usable || slices.Contains(tried, e.Name) {
			continue
		}
		if weight := xxhash.Sum64String(e.Name + "/" + r.Target()); best == nil || weight > bestWeight {
			best, bestWeight = e, weight
		}
	}
	if best == nil {
		return caller.Target{}, refusal.New(refusal.Unavailable, "no endpoint of model %s is available", r.Model)
	}
	return caller.Target{Endpoint: best.Name, Dispatch: t.owner.Dispatch}, nil
}

// choosePlain picks the endpoint of the service with the fewest running requests.
func (t *targets) choosePlain(service string, tried []string) (caller.PlainTarget, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	var usable []*knownEndpoint
	for _, e := range t.endpoints {
		if e.Kind == engine.KindPlain && e.Service == service && e.deadline.After(now) && !e.Leaving &&
			!slices.Contains(tried, e.Name) {
			usable = append(usable, e)
		}
	}
	if len(usable) == 0 {
		return caller.PlainTarget{}, refusal.New(refusal.Unavailable, "no endpoint of service %s is available", service)
	}
	best := slices.MinFunc(usable, func(a, b *knownEndpoint) int {
		return cmp.Or(cmp.Compare(a.running, b.running), cmp.Compare(a.Name, b.Name))
	})
	best.running++
	return caller.PlainTarget{Endpoint: best.Name, Address: best.Address.String(), Done: func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		best.running--
	}}, nil
}
