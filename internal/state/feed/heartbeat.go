package feed

import (
	"context"
	"slices"
	"time"
)

// Voters send a heartbeat every Interval, and every instance forwards it at once. An instance renews its subscription
// only when the source is silent or after renewalInterval, because each renewal costs a separate call.
const (
	// checksPerInterval is how many times per Interval an instance checks whether its source is silent.
	checksPerInterval = 4
	// silentIntervals is the number of Intervals without a heartbeat after which an instance renews its subscription;
	// the check runs at most one tick later.
	silentIntervals = 1.5
	// silentSourceTimeout bounds the renewal call to a silent source, so that the instance switches to another source 3 s
	// after the last heartbeat. Renewing every second with a timeout of 2 s took equally long.
	silentSourceTimeout = 1250 * time.Millisecond
	// renewalInterval limits the clock drift between the two ends: at 200 parts per million it is 6 ms.
	renewalInterval = 30 * time.Second
)

// pushBurst is how many pushes a voter may send in a burst; further changes wait for the next heartbeat or for one push
// per Interval, so that a long series of changes costs an instance at most about two pushes per second. Other instances
// are not rate limited, because they only forward what they receive.
const pushBurst = 10

func (n *Node) mayPush() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.options.Now()
	if n.options.Age == nil || n.heartbeatDue || !n.hub.anyNeedsPush(now, n.options.Registry.Revision()) {
		return true
	}
	return n.pushLimiter.AllowN(now, 1)
}

// sendHeartbeats marks a heartbeat as due every Interval; it returns at once on an instance that is not a voter.
func (n *Node) sendHeartbeats(ctx context.Context) error {
	if n.options.Age == nil {
		return nil
	}
	ticker := time.NewTicker(n.options.Interval)
	defer ticker.Stop()
	for {
		n.mu.Lock()
		n.heartbeatDue = true
		n.mu.Unlock()
		n.Changed()
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// maintainSubscription renews the subscription whenever renewalDue reports true.
func (n *Node) maintainSubscription(ctx context.Context) error {
	ticker := time.NewTicker(n.options.Interval / checksPerInterval)
	defer ticker.Stop()
	for n.Poll(ctx); ; {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if n.renewalDue() {
			n.Poll(ctx)
		}
	}
}

func (n *Node) renewalDue() bool {
	sources := n.options.Sources()
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.options.Now()
	asked := now.Sub(n.subscribeStartedAt)
	switch {
	case len(sources) == 0:
		return false
	case n.source == "" || n.fetchPending:
		return asked >= n.options.Interval
	case !slices.Contains(sources, n.rootSource), n.rootSource != sources[0] && !now.Before(n.retryPreferredAt):
		return true
	}
	return n.sourceSilent(now) || asked >= renewalInterval
}

// sourceSilent reports whether the source has missed a heartbeat. The caller must hold n.mu.
func (n *Node) sourceSilent(now time.Time) bool {
	return now.Sub(n.lastContact).Seconds() >= silentIntervals*n.options.Interval.Seconds()
}

// recordContact updates the contact time and the freshness from a push or heartbeat. The send time is relative to the
// call to subscribe, so that a delayed message does not make an old configuration look fresh.
func (n *Node) recordContact(p pushParams) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if p.Subscription != n.subscription {
		return
	}
	n.lastContact = n.options.Now()
	n.fetchPending = n.fetchPending || p.Fetch
	n.updateFreshAt(n.subscribeStartedAt.Add(p.At - p.Age))
}

// updateFreshAt advances the freshness and schedules a heartbeat to the subscribers. The caller must hold n.mu.
func (n *Node) updateFreshAt(at time.Time) {
	if at.After(n.freshAt) {
		n.freshAt = at
		n.heartbeatDue = true
		n.Changed()
	}
}

func (n *Node) setFetchPending(behind bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fetchPending = behind
}
