package node

import (
	"context"
	"log/slog"
	"time"

	"lycheevale/internal/base/event"
	"lycheevale/internal/member/lease"
)

const (
	// decideEvery bounds the sleep of the coordinator between decisions.
	decideEvery = 200 * time.Millisecond
	// decidePause joins what arrives shortly after a decision into the next one, so that many
	// endpoints that announce themselves at once cost few views.
	decidePause = 50 * time.Millisecond
	// maxPushes bounds the views on their way at the same time.
	maxPushes = 16
	// idleLease is the sleep of a keeper that knows of another holder.
	idleLease = 250 * time.Millisecond
	// leaseCall bounds the time for the answer to a message of the lease.
	leaseCall = 500 * time.Millisecond
)

func (n *Node) handlePrepare(_ context.Context, from string, m lease.Prepare) (lease.Promise, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.acceptor == nil || m.Ballot.Proposer != from {
		return lease.Promise{}, Error.Wrap(ErrNotKeeper)
	}
	return n.acceptor.Prepare(n.options.Now(), m)
}

func (n *Node) handleAccept(_ context.Context, from string, m lease.Accept) (lease.Accepted, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.acceptor == nil || m.Ballot.Proposer != from {
		return lease.Accepted{}, Error.Wrap(ErrNotKeeper)
	}
	return n.acceptor.Accept(n.options.Now(), m)
}

func (n *Node) handleRelease(_ context.Context, from string, m releaseLease) (empty, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.acceptor == nil || m.Ballot.Proposer != from {
		return empty{}, Error.Wrap(ErrNotKeeper)
	}
	n.acceptor.Release(m.Ballot)
	return empty{}, nil
}

func (n *Node) handleHeartbeat(_ context.Context, _ string, _ heartbeat) (heartbeatReply, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.acceptor == nil {
		return heartbeatReply{}, Error.Wrap(ErrNotKeeper)
	}
	return heartbeatReply{Coordinator: n.acceptor.Holder(n.options.Now())}, nil
}

func (n *Node) handleRenew(_ context.Context, from string, r renew) (renewReply, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.options.Now()
	if _, ok := n.leads(now); !ok {
		reply := renewReply{NotCoordinator: true}
		if n.acceptor != nil {
			reply.Coordinator = n.acceptor.Holder(now)
		}
		return reply, nil
	}
	reply := n.lead.renew(now, from, r)
	if n.lead.dirty {
		signal(n.decideSoon)
	}
	return reply, nil
}

func (n *Node) handleAnnounce(_ context.Context, _ string, m announce) (empty, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.options.Now()
	if _, ok := n.leads(now); !ok {
		return empty{}, Error.Wrap(ErrNotCoordinator)
	}
	n.lead.announce(now, m.Endpoint)
	if n.lead.dirty {
		signal(n.decideSoon)
	}
	return empty{}, nil
}

// leaseLoop obtains and renews the coordinator's lease.
func (n *Node) leaseLoop(ctx context.Context) {
	for {
		n.mu.Lock()
		now := n.options.Now()
		holder := n.acceptor.Holder(now)
		// An instance that stops does not become coordinator again.
		busy := (holder != "" && holder != n.options.Name) || n.holder.Leaving()
		out := n.proposer.Tick(now, busy)
		n.syncLead(ctx, now)
		sleep := max(shortestSleep, n.proposer.NextWake().Sub(now))
		if busy {
			sleep = max(sleep, idleLease)
		}
		n.mu.Unlock()
		n.send(ctx, out)
		if !wait(ctx, sleep, n.leaseSoon) {
			return
		}
	}
}

// syncLead starts or ends the coordinator's state with the lease; the mutex is held.
func (n *Node) syncLead(ctx context.Context, now time.Time) {
	holds := n.proposer.Holds(now)
	if n.lead != nil && (!holds || n.lead.lease != n.proposer.Term()) {
		n.log(ctx, event.CoordinatorStopped, slog.Uint64("Term", n.lead.term))
		n.lead = nil
	}
	if n.lead == nil && holds {
		n.lead = newCoordinator(now, n.options, n.proposer.Term(), n.view)
		n.coordinator = n.options.Name
		n.log(ctx, event.CoordinatorStarted, slog.Uint64("Term", n.lead.term))
		signal(n.renewSoon)
		signal(n.decideSoon)
	}
}

// send sends a message of the proposer to all keepers and takes their answers.
func (n *Node) send(ctx context.Context, out lease.Output) {
	for _, keeper := range keys(n.options.Keepers) {
		switch {
		case out.Prepare != nil:
			n.spawn(func() { n.sendPrepare(ctx, keeper, *out.Prepare) })
		case out.Accept != nil:
			n.spawn(func() { n.sendAccept(ctx, keeper, *out.Accept) })
		}
	}
}

func (n *Node) sendPrepare(ctx context.Context, to string, m lease.Prepare) {
	var p lease.Promise
	if n.call(ctx, leaseCall, to, methodPrepare, m, &p) != nil {
		return // a keeper that does not answer does not vote
	}
	n.mu.Lock()
	out := n.proposer.Promise(n.options.Now(), to, p)
	n.mu.Unlock()
	n.send(ctx, out)
	signal(n.leaseSoon)
}

func (n *Node) sendAccept(ctx context.Context, to string, m lease.Accept) {
	var a lease.Accepted
	if n.call(ctx, leaseCall, to, methodAccept, m, &a) != nil {
		return // a keeper that does not answer does not vote
	}
	n.mu.Lock()
	now := n.options.Now()
	out := n.proposer.Accepted(now, to, a)
	n.syncLead(ctx, now)
	n.mu.Unlock()
	n.send(ctx, out)
	signal(n.leaseSoon)
}

// resign gives up the coordinator's lease, if it is held, and frees the grants of the keepers.
func (n *Node) resign(ctx context.Context) {
	n.mu.Lock()
	if _, ok := n.leads(n.options.Now()); !ok {
		n.mu.Unlock()
		return
	}
	ballot := n.proposer.Resign(n.options.Now())
	n.syncLead(ctx, n.options.Now())
	n.mu.Unlock()
	for _, keeper := range keys(n.options.Keepers) {
		_ = n.call(ctx, leaseCall, keeper, methodRelease, releaseLease{ballot}, &empty{}) // the grant ends by itself otherwise
	}
}

// decideLoop runs the coordinator's decisions and sends views.
func (n *Node) decideLoop(ctx context.Context) {
	for wait(ctx, decidePause, nil) && wait(ctx, decideEvery-decidePause, n.decideSoon) {
		n.mu.Lock()
		now := n.options.Now()
		var pushes []push
		if _, ok := n.leads(now); ok {
			pushes = n.decide(ctx, now)
		}
		n.mu.Unlock()
		for _, p := range pushes {
			n.spawn(func() { n.push(ctx, p) })
		}
	}
}

// decide runs one round of decisions; the mutex is held.
func (n *Node) decide(ctx context.Context, now time.Time) []push {
	floor, limit := n.proposer.Fences()
	n.lead.table.SetFences(floor, limit)
	changes, gone := n.lead.decide(now)
	n.proposer.MarkUsed(n.lead.table.Fence())
	for _, c := range changes {
		n.log(ctx, event.EndpointAssigned, slog.String("Endpoint", c.Endpoint), slog.String("Owner", c.Owner), slog.Uint64("Fence", c.Fence))
	}
	for _, name := range gone.Endpoints {
		n.log(ctx, event.EndpointGone, slog.String("Endpoint", name))
	}
	for _, name := range gone.Instances {
		n.log(ctx, event.InstanceGone, slog.String("Instance", name))
	}
	return n.lead.pushes(now, maxPushes)
}

// push sends a view to an instance.
func (n *Node) push(ctx context.Context, p push) {
	var reply viewReply
	err := n.call(ctx, n.options.Timing.Interval, p.to, methodView, p.delta, &reply)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.lead == p.lead {
		n.lead.pushed(n.options.Now(), p.to, reply, err)
		signal(n.decideSoon)
	}
}
