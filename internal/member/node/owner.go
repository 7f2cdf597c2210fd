package node

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"lycheevale/internal/base/event"
	"lycheevale/internal/member/assign"
	"lycheevale/internal/member/directory"
)

const (
	// heardLifetime is how long an announcement counts without another one.
	heardLifetime = 10 * time.Second
	// jitter spreads renewals, as a share of the interval.
	jitter = 0.1
	// maxTries bounds the messages of one renewal: a new coordinator may be asked for, and may ask
	// for full lists.
	maxTries = 4
	// expireEvery bounds the sleep of the loop that stops endpoints at their deadline.
	expireEvery = time.Second
	// shortestSleep keeps loops from spinning on a time that has passed; it is far below the margins.
	shortestSleep = 5 * time.Millisecond
)

// Announce takes the announcement of an endpoint and returns its owner, to which the endpoint should
// send the next one: that spares the coordinator the lists of instances. Errors are those of
// directory.Directory.Announce.
func (n *Node) Announce(ctx context.Context, a directory.Announcement) (owner string, err error) {
	defer func() { err = Error.Wrap(err) }()
	n.mu.Lock()
	changed, err := n.heard.Announce(n.options.Now(), a)
	if changed {
		n.alive = aliveDigest(n.heard.Snapshot().Endpoints)
	}
	if a.Leaving && err == nil {
		n.noteLeaving(a.Name)
	}
	owner, to := n.view.endpoints[a.Name].Owner, n.coordinator
	n.mu.Unlock()
	if err != nil {
		n.log(ctx, event.AnnouncementRefused, slog.String("Endpoint", a.Name), slog.Any("Error", err))
		return "", err
	}
	if changed && to != "" {
		if n.call(ctx, n.options.Timing.Interval, to, methodAnnounce, announce{a}, &empty{}) != nil {
			signal(n.renewSoon) // the renewal reports the announcement to whoever is coordinator then
		}
	}
	return owner, nil
}

// Stopped states that no command to an endpoint is in flight under a fencing number, after Drain or
// Released. The next owner of a drained endpoint then starts at once.
func (n *Node) Stopped(endpoint string, fence uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.holder.Stopped(n.options.Now(), endpoint, fence)
	if f, held := n.holder.MayAct(n.options.Now(), endpoint); !held || f == fence {
		delete(n.details, endpoint)
	}
	signal(n.renewSoon)
}

// Owned returns the endpoints that this instance owns now.
func (n *Node) Owned() []Owned {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.options.Now()
	var all []Owned
	for _, h := range n.holder.List(now) {
		all = append(all, n.owned(h.Endpoint, h.Fence, h.Deadline))
	}
	return all
}

func (n *Node) owned(name string, fence uint64, deadline time.Time) Owned {
	a := n.details[name]
	a.Name = name
	return Owned{Announcement: a, Fence: fence, Deadline: deadline, NoWorkAfter: n.leaving[name]}
}

// Leave releases all endpoints and the coordinator's lease; it returns when nothing is held or ctx ends.
func (n *Node) Leave(ctx context.Context) (err error) {
	defer func() { err = Error.Wrap(err) }()
	n.mu.Lock()
	n.holder.Leave()
	n.mu.Unlock()
	signal(n.renewSoon)
	for {
		n.mu.Lock()
		held, stopped := n.holder.Len()
		told := n.holder.LeaveAnswered()
		n.mu.Unlock()
		if held+stopped == 0 && told {
			break
		}
		if !wait(ctx, n.options.Timing.Interval/10, nil) {
			return ctx.Err()
		}
	}
	n.resign(ctx)
	return nil
}

func (n *Node) renewLoop(ctx context.Context) {
	for {
		n.renewNow(ctx)
		interval := n.options.Timing.Interval
		spread := time.Duration((2*n.options.Random() - 1) * jitter * float64(interval))
		if !wait(ctx, interval+spread, n.renewSoon) {
			return
		}
	}
}

// renewNow renews with the coordinator, looking for it if need be.
func (n *Node) renewNow(ctx context.Context) {
	n.mu.Lock()
	to := n.coordinator
	n.mu.Unlock()
	for range maxTries {
		if to == "" {
			to = n.findCoordinator(ctx)
		}
		if to == "" || ctx.Err() != nil {
			return
		}
		next, done := n.renewWith(ctx, to)
		if done {
			break
		}
		to = next
	}
	n.beat(ctx)
}

// renewWith sends one renewal and tells whether it is done; otherwise next is to be asked.
func (n *Node) renewWith(ctx context.Context, to string) (next string, done bool) {
	holder, r := n.renewal()
	var reply renewReply
	err := n.call(ctx, n.options.Timing.Interval, to, methodRenew, r, &reply)
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case err != nil:
		n.log(ctx, event.RenewalFailed, slog.String("Coordinator", to), slog.Any("Error", err))
		n.coordinator = ""
		return "", false
	case reply.NotCoordinator:
		n.coordinator = ""
		if reply.Coordinator == to {
			return "", true
		}
		return reply.Coordinator, false
	case holder != n.holder:
		return to, false
	case reply.Outdated >= n.incarnation:
		n.restart(ctx, reply.Outdated)
		return to, false
	}
	n.coordinator = to
	n.take(ctx, r.Sequence, reply)
	return to, !reply.NeedFull && !reply.NeedAlive
}

func (n *Node) renewal() (*assign.Holder, renew) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.options.Now()
	if r := n.heard.Expire(now); len(r.Endpoints) > 0 {
		n.alive = aliveDigest(n.heard.Snapshot().Endpoints)
	}
	r := renew{Renewal: n.holder.Renewal(now), View: n.view.id, Alive: n.alive}
	if r.Full {
		r.Address = &n.options.Address
	}
	if n.sendAlive {
		n.sendAlive = false
		r.Listed = true
		for _, e := range n.heard.Snapshot().Endpoints {
			r.Endpoints = append(r.Endpoints, e.Announcement)
		}
	}
	return n.holder, r
}

// restart gives up what is held and continues under an incarnation above the one that the
// coordinator knows: the wall clock stood higher when an earlier life of this instance started.
func (n *Node) restart(ctx context.Context, known uint64) {
	n.log(ctx, event.IncarnationOutdated, slog.Uint64("Incarnation", n.incarnation), slog.Uint64("Known", known))
	for _, h := range n.holder.List(n.options.Now()) {
		n.later(n.options.Callbacks.Released, n.owned(h.Endpoint, h.Fence, h.Deadline))
	}
	n.incarnation = known + 1
	leaving := n.holder.Leaving()
	n.holder = assign.NewHolder(n.incarnation, n.options.assignOptions()...)
	if leaving {
		n.holder.Leave()
	}
}

// take applies the answer to a renewal.
func (n *Node) take(ctx context.Context, sequence uint64, reply renewReply) {
	n.sendAlive = n.sendAlive || reply.NeedAlive
	for _, a := range reply.Details {
		n.details[a.Name] = a
	}
	n.follow(ctx, n.holder.Reply(n.options.Now(), sequence, reply.Reply))
	for _, name := range reply.Leaving {
		n.noteLeaving(name)
	}
	signal(n.expireSoon)
}

// follow turns the events of the holder into callbacks.
func (n *Node) follow(ctx context.Context, events []assign.Event) {
	calls := n.options.Callbacks
	for _, e := range events {
		o := n.owned(e.Endpoint, e.Fence, e.Deadline)
		if calls.Acquired == nil && (e.Kind == assign.Drain || e.Kind == assign.Lost) {
			// Nothing acts on endpoints here, so there is no command to wait for.
			n.holder.Stopped(n.options.Now(), e.Endpoint, e.Fence)
		}
		switch e.Kind {
		case assign.Acquired:
			n.log(ctx, event.LeaseAcquired, slog.String("Endpoint", e.Endpoint), slog.Uint64("Fence", e.Fence))
			n.later(calls.Acquired, o)
		case assign.Renewed:
			n.later(calls.Renewed, o)
		case assign.Drain:
			n.log(ctx, event.LeaseDraining, slog.String("Endpoint", e.Endpoint), slog.Uint64("Fence", e.Fence))
			n.later(calls.Drain, o)
		case assign.Lost:
			n.log(ctx, event.LeaseLost, slog.String("Endpoint", e.Endpoint), slog.Uint64("Fence", e.Fence))
			n.later(calls.Released, o)
		}
	}
}

// noteLeaving starts the grace of an endpoint that leaves and tells its owner, once.
func (n *Node) noteLeaving(name string) {
	if _, known := n.leaving[name]; known {
		return
	}
	now := n.options.Now()
	n.leaving[name] = now.Add(n.options.Timing.Grace)
	for _, h := range n.holder.List(now) {
		if h.Endpoint == name {
			n.later(n.options.Callbacks.Leaving, n.owned(name, h.Fence, h.Deadline))
		}
	}
}

// beat sends a heartbeat to one keeper other than the coordinator, in turn, so that every keeper
// knows of live instances without a message from each to each in every interval.
func (n *Node) beat(ctx context.Context) {
	others := slices.DeleteFunc(keys(n.options.Keepers), func(name string) bool {
		return name == n.options.Name || name == n.knownCoordinator()
	})
	if len(others) == 0 {
		return
	}
	n.ask(ctx, others[n.turn()%len(others)])
}

// findCoordinator asks the keepers in turn.
func (n *Node) findCoordinator(ctx context.Context) string {
	names := keys(n.options.Keepers)
	start := n.turn()
	for i := range names {
		if name := n.ask(ctx, names[(start+i)%len(names)]); name != "" || ctx.Err() != nil {
			return name
		}
	}
	return ""
}

func (n *Node) ask(ctx context.Context, keeper string) string {
	n.mu.Lock()
	beat := heartbeat{Incarnation: n.incarnation}
	n.mu.Unlock()
	var reply heartbeatReply
	if n.call(ctx, n.options.Timing.Interval/renewalsPerLease, keeper, methodHeartbeat, beat, &reply) != nil {
		return ""
	}
	return reply.Coordinator
}

func (n *Node) turn() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.asked++
	return n.asked
}

func (n *Node) knownCoordinator() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.coordinator
}

// expireLoop stops endpoints at their deadline.
func (n *Node) expireLoop(ctx context.Context) {
	for {
		n.mu.Lock()
		now := n.options.Now()
		n.follow(ctx, n.holder.Expire(now))
		sleep := expireEvery
		if at, ok := n.holder.NextDeadline(); ok {
			sleep = max(shortestSleep, min(sleep, at.Sub(now)))
		}
		n.mu.Unlock()
		if !wait(ctx, sleep, n.expireSoon) {
			return
		}
	}
}

// handleView takes a view from the coordinator.
func (n *Node) handleView(_ context.Context, from string, d delta) (viewReply, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, keeper := n.options.Keepers[from]; !keeper {
		return viewReply{}, Error.Wrap(ErrNotKeeper)
	}
	if n.view.apply(d) {
		if n.coordinator != from {
			signal(n.renewSoon) // the new coordinator learns of held endpoints before they expire
		}
		n.coordinator = from
		n.viewChanged(d)
	}
	return viewReply{View: n.view.id}, nil
}

// viewChanged reacts to a new view; the mutex is held.
func (n *Node) viewChanged(d delta) {
	for _, e := range d.Endpoints {
		if e.Leaving {
			n.noteLeaving(e.Name)
		} else {
			delete(n.leaving, e.Name)
		}
		if _, acts := n.holder.MayAct(n.options.Now(), e.Name); e.Owner == n.options.Name && !acts {
			signal(n.renewSoon) // a renewal brings the grant
		}
	}
	for _, name := range d.GoneEndpoints {
		if _, acts := n.holder.MayAct(n.options.Now(), name); !acts {
			delete(n.details, name)
		}
	}
	for name := range n.leaving {
		if _, known := n.view.endpoints[name]; !known {
			delete(n.leaving, name)
		}
	}
}
