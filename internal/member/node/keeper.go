package node

import (
	"context"
	"log/slog"
	"time"

	"lycheevale/internal/base/event"
	"lycheevale/internal/member/lease"
)

const (
	// decideEvery limits the sleep of the coordinator between decisions.
	decideEvery = 200 * time.Millisecond
	// decideDelay is the least time between two decisions. It batches changes, so that many endpoints that
	// announce themselves at the same time cause few views.
	decideDelay = 50 * time.Millisecond
	// maxPushes limits the views that are sent at the same time.
	maxPushes = 16
	// heldLeaseSleep is the shortest sleep of a keeper while another keeper holds the lease.
	heldLeaseSleep = 250 * time.Millisecond
	// leaseCallTimeout is the time limit of a call of the lease protocol.
	leaseCallTimeout = 500 * time.Millisecond
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
	if _, ok := n.currentTerm(now); !ok {
		reply := renewReply{NotCoordinator: true}
		if n.acceptor != nil {
			reply.Coordinator = n.acceptor.Holder(now)
		}
		return reply, nil
	}
	reply := n.coordinatorState.renew(now, from, r)
	if n.coordinatorState.dirty {
		signal(n.decideSignal)
	}
	return reply, nil
}

func (n *Node) handleAnnounce(_ context.Context, _ string, m announce) (empty, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.options.Now()
	if _, ok := n.currentTerm(now); !ok {
		return empty{}, Error.Wrap(ErrNotCoordinator)
	}
	n.coordinatorState.announce(now, m.Endpoint)
	if n.coordinatorState.dirty {
		signal(n.decideSignal)
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
		n.syncCoordinator(ctx, now)
		sleep := max(minSleep, n.proposer.NextWake().Sub(now))
		if busy {
			sleep = max(sleep, heldLeaseSleep)
		}
		n.mu.Unlock()
		n.send(ctx, out)
		if !wait(ctx, sleep, n.leaseSignal) {
			return
		}
	}
}

// syncCoordinator creates the coordinator's state when the lease is obtained and drops it when the lease
// ends. The caller holds the mutex.
func (n *Node) syncCoordinator(ctx context.Context, now time.Time) {
	holds := n.proposer.Holds(now)
	if n.coordinatorState != nil && (!holds || n.coordinatorState.leaseTerm != n.proposer.Term()) {
		n.log(ctx, event.CoordinatorStopped, slog.Uint64("Term", n.coordinatorState.term))
		n.coordinatorState = nil
	}
	if n.coordinatorState == nil && holds {
		n.coordinatorState = newCoordinator(now, n.options, n.proposer.Term(), n.view)
		n.coordinator = n.options.Name
		n.log(ctx, event.CoordinatorStarted, slog.Uint64("Term", n.coordinatorState.term))
		signal(n.renewSignal)
		signal(n.decideSignal)
	}
}

// send sends a message of the proposer to all keepers and handles their answers.
func (n *Node) send(ctx context.Context, out lease.Output) {
	for _, keeper := range sortedKeys(n.options.Keepers) {
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
	if n.call(ctx, leaseCallTimeout, to, methodPrepare, m, &p) != nil {
		return // a keeper that does not answer does not vote
	}
	n.mu.Lock()
	out := n.proposer.Promise(n.options.Now(), to, p)
	n.mu.Unlock()
	n.send(ctx, out)
	signal(n.leaseSignal)
}

func (n *Node) sendAccept(ctx context.Context, to string, m lease.Accept) {
	var a lease.Accepted
	if n.call(ctx, leaseCallTimeout, to, methodAccept, m, &a) != nil {
		return // a keeper that does not answer does not vote
	}
	n.mu.Lock()
	now := n.options.Now()
	out := n.proposer.Accepted(now, to, a)
	n.syncCoordinator(ctx, now)
	n.mu.Unlock()
	n.send(ctx, out)
	signal(n.leaseSignal)
}

// resign releases the coordinator's lease, if it is held, at all keepers.
func (n *Node) resign(ctx context.Context) {
	n.mu.Lock()
	if _, ok := n.currentTerm(n.options.Now()); !ok {
		n.mu.Unlock()
		return
	}
	ballot := n.proposer.Resign(n.options.Now())
	n.syncCoordinator(ctx, n.options.Now())
	n.mu.Unlock()
	for _, keeper := range sortedKeys(n.options.Keepers) {
		_ = n.call(ctx, leaseCallTimeout, keeper, methodRelease, releaseLease{ballot}, &empty{}) // the grant ends by itself otherwise
	}
}

// decideLoop runs the coordinator's decisions and sends views.
func (n *Node) decideLoop(ctx context.Context) {
	for wait(ctx, decideDelay, nil) && wait(ctx, decideEvery-decideDelay, n.decideSignal) {
		n.mu.Lock()
		now := n.options.Now()
		var pushes []push
		if _, ok := n.currentTerm(now); ok {
			pushes = n.decide(ctx, now)
		}
		n.mu.Unlock()
		for _, p := range pushes {
			n.spawn(func() { n.push(ctx, p) })
		}
	}
}

// decide runs one round of decisions. The caller holds the mutex.
func (n *Node) decide(ctx context.Context, now time.Time) []push {
	floor, limit := n.proposer.Fences()
	n.coordinatorState.table.SetFences(floor, limit)
	changes, removed := n.coordinatorState.decide(now)
	n.proposer.MarkUsed(n.coordinatorState.table.Fence())
	for _, c := range changes {
		n.log(ctx, event.EndpointAssigned, slog.String("Endpoint", c.Endpoint), slog.String("Owner", c.Owner), slog.Uint64("Fence", c.Fence))
	}
	for _, name := range removed.Endpoints {
		n.log(ctx, event.EndpointLost, slog.String("Endpoint", name))
	}
	for _, name := range removed.Instances {
		n.log(ctx, event.InstanceLost, slog.String("Instance", name))
	}
	return n.coordinatorState.nextPushes(now, maxPushes)
}

// push sends a view to an instance.
func (n *Node) push(ctx context.Context, p push) {
	var reply viewReply
	err := n.call(ctx, n.options.Timing.Interval, p.to, methodView, p.delta, &reply)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.coordinatorState == p.lead {
		n.coordinatorState.finishPush(n.options.Now(), p.to, reply, err)
		signal(n.decideSignal)
	}
}
