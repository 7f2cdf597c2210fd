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
	// announcementLifetime is how long an announcement is valid without another one.
	announcementLifetime = 10 * time.Second
	// jitter is the largest random shift of a renewal, as a share of the interval.
	jitter = 0.1
	// maxTries limits the messages of one renewal. More than one is needed if the coordinator has changed
	// or asks for full lists.
	maxTries = 4
	// expireEvery limits the sleep of the loop that stops endpoints at their deadlines.
	expireEvery = time.Second
	// minSleep prevents loops from spinning when the time of the next event has passed; it is far below the
	// margins.
	minSleep = 5 * time.Millisecond
)

// Announce handles the announcement of an endpoint and returns its owner, to which the endpoint should
// send the next one, so that other instances do not have to report the endpoint to the coordinator.
// Errors are those of directory.Directory.Announce.
func (n *Node) Announce(ctx context.Context, a directory.Announcement) (owner string, err error) {
	defer func() { err = Error.Wrap(err) }()
	n.mu.Lock()
	changed, err := n.announced.Announce(n.options.Now(), a)
	if changed {
		n.announcedDigest = digestAnnounced(n.announced.Snapshot().Endpoints)
	}
	if a.Leaving && err == nil {
		n.startLeaving(a.Name)
	}
	owner, to := n.view.endpoints[a.Name].Owner, n.coordinator
	n.mu.Unlock()
	if err != nil {
		n.log(ctx, event.AnnouncementRefused, slog.String("Endpoint", a.Name), slog.Any("Error", err))
		return "", err
	}
	if changed && to != "" {
		if n.call(ctx, n.options.Timing.Interval, to, methodAnnounce, announce{a}, &empty{}) != nil {
			signal(n.renewSignal) // the renewal reports the announcement to the current coordinator
		}
	}
	return owner, nil
}

// Stopped reports that no command to an endpoint is in flight under a fencing number. The owner calls it
// after the callbacks Drain and Released. The coordinator can then assign a drained endpoint to its next
// owner without waiting for the deadline.
func (n *Node) Stopped(endpoint string, fence uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.holder.Stopped(n.options.Now(), endpoint, fence)
	if f, held := n.holder.MayAct(n.options.Now(), endpoint); !held || f == fence {
		delete(n.details, endpoint)
	}
	signal(n.renewSignal)
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

// Leave releases all endpoints and the coordinator's lease. It returns when nothing is held any longer or
// ctx is done.
func (n *Node) Leave(ctx context.Context) (err error) {
	defer func() { err = Error.Wrap(err) }()
	n.mu.Lock()
	n.holder.Leave()
	n.mu.Unlock()
	signal(n.renewSignal)
	for {
		n.mu.Lock()
		held, stopped := n.holder.Len()
		answered := n.holder.LeaveAnswered()
		n.mu.Unlock()
		if held+stopped == 0 && answered {
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
		shift := time.Duration((2*n.options.Random() - 1) * jitter * float64(interval))
		if !wait(ctx, interval+shift, n.renewSignal) {
			return
		}
	}
}

// renewNow renews with the coordinator and looks the coordinator up if it is unknown.
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
	n.sendHeartbeat(ctx)
}

// renewWith sends one renewal and reports whether the renewal is complete. If it is not, the caller sends
// another one to next, or looks the coordinator up if next is empty.
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
		n.raiseIncarnation(ctx, reply.Outdated)
		return to, false
	}
	n.coordinator = to
	n.applyReply(ctx, r.Sequence, reply)
	return to, !reply.NeedFull && !reply.NeedAlive
}

func (n *Node) renewal() (*assign.Holder, renew) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.options.Now()
	if r := n.announced.Expire(now); len(r.Endpoints) > 0 {
		n.announcedDigest = digestAnnounced(n.announced.Snapshot().Endpoints)
	}
	r := renew{Renewal: n.holder.Renewal(now), View: n.view.id, Alive: n.announcedDigest}
	if r.Full {
		r.Address = &n.options.Address
	}
	if n.sendAnnounced {
		n.sendAnnounced = false
		r.Listed = true
		for _, e := range n.announced.Snapshot().Endpoints {
			r.Endpoints = append(r.Endpoints, e.Announcement)
		}
	}
	return n.holder, r
}

// raiseIncarnation releases all endpoints and continues with an incarnation above the one that the
// coordinator knows. That one is higher if the wall clock was set back since the instance was last
// started.
func (n *Node) raiseIncarnation(ctx context.Context, known uint64) {
	n.log(ctx, event.IncarnationOutdated, slog.Uint64("Incarnation", n.incarnation), slog.Uint64("Known", known))
	for _, h := range n.holder.List(n.options.Now()) {
		n.queueCallback(n.options.Callbacks.Released, n.owned(h.Endpoint, h.Fence, h.Deadline))
	}
	n.incarnation = known + 1
	leaving := n.holder.Leaving()
	n.holder = assign.NewHolder(n.incarnation, n.options.assignOptions()...)
	if leaving {
		n.holder.Leave()
	}
}

// applyReply applies the answer to a renewal.
func (n *Node) applyReply(ctx context.Context, sequence uint64, reply renewReply) {
	n.sendAnnounced = n.sendAnnounced || reply.NeedAlive
	for _, a := range reply.Details {
		n.details[a.Name] = a
	}
	n.handleEvents(ctx, n.holder.Reply(n.options.Now(), sequence, reply.Reply))
	for _, name := range reply.Leaving {
		n.startLeaving(name)
	}
	signal(n.expireSignal)
}

// handleEvents queues the callbacks for events of the holder.
func (n *Node) handleEvents(ctx context.Context, events []assign.Event) {
	callbacks := n.options.Callbacks
	for _, e := range events {
		o := n.owned(e.Endpoint, e.Fence, e.Deadline)
		if callbacks.Acquired == nil && (e.Kind == assign.Drain || e.Kind == assign.Lost) {
			// Without the callback Acquired, this instance sends no commands, so there is none to wait for.
			n.holder.Stopped(n.options.Now(), e.Endpoint, e.Fence)
		}
		switch e.Kind {
		case assign.Acquired:
			n.log(ctx, event.LeaseAcquired, slog.String("Endpoint", e.Endpoint), slog.Uint64("Fence", e.Fence))
			n.queueCallback(callbacks.Acquired, o)
		case assign.Renewed:
			n.queueCallback(callbacks.Renewed, o)
		case assign.Drain:
			n.log(ctx, event.LeaseDraining, slog.String("Endpoint", e.Endpoint), slog.Uint64("Fence", e.Fence))
			n.queueCallback(callbacks.Drain, o)
		case assign.Lost:
			n.log(ctx, event.LeaseLost, slog.String("Endpoint", e.Endpoint), slog.Uint64("Fence", e.Fence))
			n.queueCallback(callbacks.Released, o)
		}
	}
}

// startLeaving starts the grace period of a leaving endpoint and notifies its owner, once per endpoint.
func (n *Node) startLeaving(name string) {
	if _, known := n.leaving[name]; known {
		return
	}
	now := n.options.Now()
	n.leaving[name] = now.Add(n.options.Timing.Grace)
	for _, h := range n.holder.List(now) {
		if h.Endpoint == name {
			n.queueCallback(n.options.Callbacks.Leaving, n.owned(name, h.Fence, h.Deadline))
		}
	}
}

// sendHeartbeat sends a heartbeat to one keeper other than the coordinator, in round-robin order, so that
// every keeper hears of live instances without a message to each keeper in every interval.
func (n *Node) sendHeartbeat(ctx context.Context) {
	others := slices.DeleteFunc(sortedKeys(n.options.Keepers), func(name string) bool {
		return name == n.options.Name || name == n.knownCoordinator()
	})
	if len(others) == 0 {
		return
	}
	n.queryKeeper(ctx, others[n.nextLookup()%len(others)])
}

// findCoordinator asks the keepers one after another for the coordinator.
func (n *Node) findCoordinator(ctx context.Context) string {
	names := sortedKeys(n.options.Keepers)
	start := n.nextLookup()
	for i := range names {
		if name := n.queryKeeper(ctx, names[(start+i)%len(names)]); name != "" || ctx.Err() != nil {
			return name
		}
	}
	return ""
}

func (n *Node) queryKeeper(ctx context.Context, keeper string) string {
	n.mu.Lock()
	beat := heartbeat{Incarnation: n.incarnation}
	n.mu.Unlock()
	var reply heartbeatReply
	if n.call(ctx, n.options.Timing.Interval/renewalsPerLease, keeper, methodHeartbeat, beat, &reply) != nil {
		return ""
	}
	return reply.Coordinator
}

func (n *Node) nextLookup() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lookups++
	return n.lookups
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
		n.handleEvents(ctx, n.holder.Expire(now))
		sleep := expireEvery
		if at, ok := n.holder.NextDeadline(); ok {
			sleep = max(minSleep, min(sleep, at.Sub(now)))
		}
		n.mu.Unlock()
		if !wait(ctx, sleep, n.expireSignal) {
			return
		}
	}
}

// handleView applies a view that the coordinator sends.
func (n *Node) handleView(_ context.Context, from string, d delta) (viewReply, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, keeper := n.options.Keepers[from]; !keeper {
		return viewReply{}, Error.Wrap(ErrNotKeeper)
	}
	if n.view.apply(d) {
		if n.coordinator != from {
			signal(n.renewSignal) // reports held endpoints to the new coordinator before they expire
		}
		n.coordinator = from
		n.viewChanged(d)
	}
	return viewReply{View: n.view.id}, nil
}

// viewChanged updates the node after a change of the view. The caller holds the mutex.
func (n *Node) viewChanged(d delta) {
	for _, e := range d.Endpoints {
		if e.Leaving {
			n.startLeaving(e.Name)
		} else {
			delete(n.leaving, e.Name)
		}
		if _, acts := n.holder.MayAct(n.options.Now(), e.Name); e.Owner == n.options.Name && !acts {
			signal(n.renewSignal) // the answer to the renewal contains the grant
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
