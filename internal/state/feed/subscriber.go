package feed

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"lycheevale/internal/base/event"
)

// preferInterval is how often an instance with another source retries the preferred one.
const preferInterval = 10 * time.Second

// maxAttempts bounds the calls along a chain of redirections.
const maxAttempts = 8

// Poll renews the subscription at the current source, or tries the next ones until one is accepted.
func (n *Node) Poll(ctx context.Context) {
	sources := n.options.Sources()
	for range sources {
		previous := n.Source()
		if n.attach(ctx, n.chooseSource(sources)) {
			if previous != "" && previous != n.Source() {
				n.unsubscribe(ctx, previous)
			}
			return
		}
		n.mu.Lock()
		n.source, n.failed = "", ""
		n.sourceIndex++
		n.mu.Unlock()
	}
}

// attach subscribes to the current source, follows redirections, and returns to the root if a source that it was
// redirected to fails.
func (n *Node) attach(ctx context.Context, root string) bool {
	for range maxAttempts {
		source := n.Source()
		accepted, answered, through := n.subscribe(ctx, source)
		switch {
		case through != "":
			n.setSource(through, "")
			continue
		case accepted:
			return true
		case answered:
			n.unsubscribe(ctx, source)
		}
		if source == root {
			return false
		}
		n.setSource(root, source)
	}
	return false
}

func (n *Node) setSource(source, failed string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.source, n.sourceChosenAt = source, n.options.Now()
	if failed != "" {
		n.failed = failed
	}
}

// Source returns the instance that this one is subscribed to, or "" if there is none.
func (n *Node) Source() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.source
}

// unsubscribe ends a subscription, so that the source does not report this instance as lost; an unreachable source removes
// it after LostRetention.
func (n *Node) unsubscribe(ctx context.Context, source string) {
	_ = n.call(ctx, source, leaveMethod, empty{}, nil)
}

// chooseSource keeps a working source, returns to the preferred one every preferInterval, and returns the root.
func (n *Node) chooseSource(sources []string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.options.Now()
	prefer := n.source != "" && n.rootSource != sources[0] && !now.Before(n.retryPreferredAt)
	switch {
	case prefer:
		n.sourceIndex = 0
		n.rootSource = sources[0]
	case n.source == "" || !slices.Contains(sources, n.rootSource):
		n.rootSource = sources[n.sourceIndex%len(sources)]
	default:
		return n.rootSource
	}
	n.source, n.sourceChosenAt, n.retryPreferredAt = n.rootSource, now, now.Add(preferInterval)
	return n.rootSource
}

// subscribe subscribes to the source and installs the changes that it returns. A source that has a lower revision, has
// lost contact to the voters or is fed by this node is not accepted.
func (n *Node) subscribe(ctx context.Context, source string) (accepted, answered bool, through string) {
	revision := n.options.Registry.Revision()
	params := subscribeParams{DataCentre: n.options.DataCentre, Revision: revision, Report: n.subscriberReport()}
	asked, silent := n.beginSubscribe(&params)
	callCtx, cancel := ctx, context.CancelFunc(func() {})
	if silent {
		callCtx, cancel = context.WithTimeout(ctx, silentSourceTimeout)
	}
	defer cancel()
	var answer subscribeResult
	if err := n.call(callCtx, source, subscribeMethod, params, &answer); err != nil {
		n.log(ctx, event.FeedSourceLost, source)
		return false, false, ""
	}
	if answer.Through != "" && !answer.Cycle {
		return false, true, answer.Through
	}
	if answer.Revision < revision || answer.Cycle {
		n.log(ctx, event.FeedSourceBehind, source)
		return false, true, ""
	}
	if answer.Peer != "" {
		if err := n.fetchFromPeer(ctx, answer.Peer, revision); err != nil {
			n.log(ctx, event.FeedSourceLost, answer.Peer)
		}
		n.mu.Lock()
		n.peerAsked = true
		n.mu.Unlock()
		return n.subscribe(ctx, source)
	}
	if answer.Preparing {
		// The source is usable, but has not returned any state yet.
		n.setFetchPending(true)
		return true, true, ""
	}
	if answer.Large != nil {
		if err := n.fetch(ctx, source, *answer.Large); err != nil {
			n.log(ctx, event.FeedSourceLost, source)
			return false, true, ""
		}
		n.acknowledge(ctx)
	}
	if len(answer.Delta) > 0 {
		if err := n.apply(answer.Delta); err != nil {
			n.log(ctx, event.FeedSourceLost, source)
			return false, true, ""
		}
		n.acknowledge(ctx)
	}
	n.mu.Lock()
	n.fetchPending, n.peerAsked, n.failed, n.lastContact = false, false, "", n.options.Now()
	// The duration of the call is added to the age, because the source may have computed the age at its start.
	n.updateFreshAt(asked.Add(-answer.Age))
	n.mu.Unlock()
	return answer.Age <= n.options.MaxAge || len(n.options.Sources()) == 1 || n.settling(), true, ""
}

// beginSubscribe sets the sequence number of a call to subscribe and reports whether the source has been silent.
func (n *Node) beginSubscribe(params *subscribeParams) (asked time.Time, silent bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.options.Now()
	n.subscription++
	n.subscribeStartedAt = now
	params.Subscription, params.Failed, params.Direct = n.subscription, n.failed, n.peerAsked
	return now, !n.lastContact.IsZero() && !n.fetchPending && n.sourceChosenAt.Before(n.lastContact) && n.sourceSilent(now)
}

// settling reports whether a new source still has time to reach a voter. Without this period all instances of a starting
// data centre would subscribe to the voters.
func (n *Node) settling() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.options.Now().Before(n.sourceChosenAt.Add(n.options.MaxAge))
}

func (n *Node) subscriberReport() Report {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.hub.subscriberReport(n.options.Now(), n.options.DataCentre, n.options.Registry.Revision())
}

// acknowledge notifies the source as soon as all subscribers of this node have applied a revision. Lagging instances are
// reported with the next renewal, so that one slow instance does not cause a message for each fast one.
func (n *Node) acknowledge(ctx context.Context) {
	revision := n.options.Registry.Revision()
	n.mu.Lock()
	source := n.source
	report := n.hub.subscriberReport(n.options.Now(), n.options.DataCentre, revision)
	complete := n.reportedRevision < revision
	for _, reach := range report {
		behind := slices.ContainsFunc(reach.Behind, func(l Lag) bool { return !l.Lost })
		complete = complete && reach.Revision >= revision && !behind
	}
	if complete {
		n.reportedRevision = revision
		n.counters.Reports++
	}
	n.mu.Unlock()
	if !complete || source == "" {
		return
	}
	// If the report is lost, the next renewal repeats it.
	_ = n.call(ctx, source, ackMethod, ackParams{Revision: revision, DataCentre: n.options.DataCentre, Report: report}, nil)
}

// Collect queries the voters for where the revision is in effect. A voter that does not answer counts as not reached.
func Collect(ctx context.Context, node *Node, voters []string, revision uint64) Force {
	all := node.Report()
	var mu sync.Mutex
	var group errgroup.Group
	var unreached []string
	for _, name := range voters {
		if name == node.options.Name {
			continue
		}
		group.Go(func() error {
			var answer reportResult
			err := node.call(ctx, name, reportMethod, empty{}, &answer)
			mu.Lock()
			defer mu.Unlock()
			if err != nil || answer.Revision < revision {
				unreached = append(unreached, name)
			}
			all.merge(answer.Report)
			return nil
		})
	}
	_ = group.Wait()
	return all.Force(revision, unreached...)
}

// Await calls Collect until the revision is in effect everywhere or ctx is done, and returns the last result.
func Await(ctx context.Context, node *Node, voters []string, revision uint64) Force {
	ticker := time.NewTicker(awaitInterval)
	defer ticker.Stop()
	for {
		force := Collect(ctx, node, voters, revision)
		if force.Complete() {
			return force
		}
		select {
		case <-ctx.Done():
			return force
		case <-ticker.C:
		}
	}
}

// awaitInterval is the time between two calls of Collect; it is short compared with the 2 s target of a change.
const awaitInterval = 100 * time.Millisecond
