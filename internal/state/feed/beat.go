package feed

import (
	"context"
	"slices"
	"time"
)

// Freshness starts at a voter, which sends a heartbeat each Interval; every instance passes it on at once. An instance
// renews its subscription itself only in these cases, because a renewal is a call of its own for each subscriber.
const (
	// ticksPerInterval is how often in an Interval an instance looks for silence.
	ticksPerInterval = 4
	// silentIntervals without a heartbeat make an instance renew; one more tick passes at most.
	silentIntervals = 1.5
	// silentTimeout of that renewal lets a silent source be left 3 s after its last heartbeat, as long as the renewal
	// each second with a timeout of 2 s took.
	silentTimeout = 1250 * time.Millisecond
	// renewal sets the clocks of both ends to each other again: at 200 parts per million they differ by 6 ms.
	renewal = 30 * time.Second
)

// paceBurst is how many pushes a voter makes at once; after them changes wait for the next heartbeat or a push each
// Interval, so that a long run of changes costs an instance at most about two pushes a second. Others need no pace: they
// pass on what they receive.
const paceBurst = 10

func (n *Node) mayPush() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.options.Now()
	if n.options.Age == nil || n.beat || !n.hub.lacking(now, n.options.Registry.Revision()) {
		return true
	}
	return n.pace.AllowN(now, 1)
}

// originate makes a voter send heartbeats.
func (n *Node) originate(ctx context.Context) error {
	if n.options.Age == nil {
		return nil
	}
	ticker := time.NewTicker(n.options.Interval)
	defer ticker.Stop()
	for {
		n.mu.Lock()
		n.beat = true
		n.mu.Unlock()
		n.Changed()
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// follow renews the subscription when it is due.
func (n *Node) follow(ctx context.Context) error {
	ticker := time.NewTicker(n.options.Interval / ticksPerInterval)
	defer ticker.Stop()
	for n.Poll(ctx); ; {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if n.due() {
			n.Poll(ctx)
		}
	}
}

func (n *Node) due() bool {
	sources := n.options.Sources()
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.options.Now()
	asked := now.Sub(n.askedAt)
	switch {
	case len(sources) == 0:
		return false
	case n.source == "" || n.behind:
		return asked >= n.options.Interval
	case !slices.Contains(sources, n.root), n.root != sources[0] && !now.Before(n.preferAt):
		return true
	}
	return n.silent(now) || asked >= renewal
}

// silent tells whether the source has missed a heartbeat; n.mu is held.
func (n *Node) silent(now time.Time) bool {
	return now.Sub(n.heardAt).Seconds() >= silentIntervals*n.options.Interval.Seconds()
}

// heard takes the freshness of a push or heartbeat. Its time of sending counts from the call to subscribe, so that a
// message that was held up on its way does not make old knowledge look fresh.
func (n *Node) heard(p pushParams) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if p.Subscription != n.subscription {
		return
	}
	n.heardAt = n.options.Now()
	n.behind = n.behind || p.Fetch
	n.noteFresh(n.askedAt.Add(p.At - p.Age))
}

// noteFresh is called with n.mu held.
func (n *Node) noteFresh(at time.Time) {
	if at.After(n.freshAt) {
		n.freshAt = at
		n.beat = true
		n.Changed()
	}
}

func (n *Node) noteBehind(behind bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.behind = behind
}
