package feed

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"lycheevale/internal/base/event"
)

// preferInterval is how often a subscriber of another source tries the preferred one again.
const preferInterval = 10 * time.Second

// maxAttempts bounds the calls along the stages below one source.
const maxAttempts = 8

// Poll renews the subscription at the current source, or tries the next ones until one is accepted.
func (n *Node) Poll(ctx context.Context) {
	sources := n.options.Sources()
	for range sources {
		previous := n.Source()
		if n.attach(ctx, n.choose(sources)) {
			if previous != "" && previous != n.Source() {
				n.leave(ctx, previous)
			}
			return
		}
		n.mu.Lock()
		n.source, n.failed = "", ""
		n.tries++
		n.mu.Unlock()
	}
}

// attach subscribes to the source, follows where it sends this node, and returns to the root if a source below it
// fails.
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
			n.leave(ctx, source)
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
	n.source, n.chosenAt = source, n.options.Now()
	if failed != "" {
		n.failed = failed
	}
}

// Source returns the instance that feeds this one, or "".
func (n *Node) Source() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.source
}

// leave ends a subscription, so that the source does not report this instance as lost; a source that cannot be reached
// forgets it after a while.
func (n *Node) leave(ctx context.Context, source string) {
	_ = n.call(ctx, source, leaveMethod, empty{}, nil)
}

// choose keeps a source that works, and returns to the preferred one from time to time; it returns the root.
func (n *Node) choose(sources []string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.options.Now()
	prefer := n.source != "" && n.root != sources[0] && !now.Before(n.preferAt)
	switch {
	case prefer:
		n.tries = 0
		n.root = sources[0]
	case n.source == "" || !slices.Contains(sources, n.root):
		n.root = sources[n.tries%len(sources)]
	default:
		return n.root
	}
	n.source, n.chosenAt, n.preferAt = n.root, now, now.Add(preferInterval)
	return n.root
}

// subscribe makes one call; a source that is behind, out of contact or fed by this node is not accepted.
func (n *Node) subscribe(ctx context.Context, source string) (accepted, answered bool, through string) {
	revision := n.options.Registry.Revision()
	params := subscribeParams{DataCentre: n.options.DataCentre, Revision: revision, Report: n.childReport()}
	asked, silent := n.ask(&params)
	callCtx, cancel := ctx, context.CancelFunc(func() {})
	if silent {
		callCtx, cancel = context.WithTimeout(ctx, silentTimeout)
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
		n.direct = true
		n.mu.Unlock()
		return n.subscribe(ctx, source)
	}
	if answer.Preparing {
		// The source is of use, but nothing was learned from it yet.
		n.noteBehind(true)
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
	n.behind, n.direct, n.failed, n.heardAt = false, false, "", n.options.Now()
	// The time of the call counts as age, because the source may have answered at its start.
	n.noteFresh(asked.Add(-answer.Age))
	n.mu.Unlock()
	return answer.Age <= n.options.MaxAge || len(n.options.Sources()) == 1 || n.settling(), true, ""
}

// ask numbers a call to subscribe and tells whether the source has been silent.
func (n *Node) ask(params *subscribeParams) (asked time.Time, silent bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.options.Now()
	n.subscription++
	n.askedAt = now
	params.Subscription, params.Failed, params.Direct = n.subscription, n.failed, n.direct
	return now, !n.heardAt.IsZero() && !n.behind && n.chosenAt.Before(n.heardAt) && n.silent(now)
}

// settling is true while a new source may still get into contact with a voter itself: when a data centre starts, all
// its instances would otherwise subscribe to the voters.
func (n *Node) settling() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.options.Now().Before(n.chosenAt.Add(n.options.MaxAge))
}

func (n *Node) childReport() Report {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.hub.childReport(n.options.Now(), n.options.DataCentre, n.options.Registry.Revision())
}

// acknowledge tells the source at once when all subscribers here have applied a revision; instances that lag are
// told with the next renewal, so that one slow instance does not cause a message for each fast one.
func (n *Node) acknowledge(ctx context.Context) {
	revision := n.options.Registry.Revision()
	n.mu.Lock()
	source := n.source
	report := n.hub.childReport(n.options.Now(), n.options.DataCentre, revision)
	complete := n.reported < revision
	for _, reach := range report {
		behind := slices.ContainsFunc(reach.Behind, func(l Lag) bool { return !l.Lost })
		complete = complete && reach.Revision >= revision && !behind
	}
	if complete {
		n.reported = revision
		n.counters.Reports++
	}
	n.mu.Unlock()
	if !complete || source == "" {
		return
	}
	// A lost report is made up for by the next renewal.
	_ = n.call(ctx, source, ackMethod, ackParams{Revision: revision, DataCentre: n.options.DataCentre, Report: report}, nil)
}

// Collect asks the voters where the revision is in effect. A voter that does not answer counts as not reached.
func Collect(ctx context.Context, node *Node, voters []string, revision uint64) Force {
	all := node.Report()
	var mu sync.Mutex
	var group errgroup.Group
	var missed []string
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
				missed = append(missed, name)
			}
			all.merge(answer.Report)
			return nil
		})
	}
	_ = group.Wait()
	return all.Force(revision, missed...)
}

// Await collects until the revision is in effect everywhere or ctx ends.
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

// awaitInterval between two collections keeps the wait of a change short against its target of 2 s.
const awaitInterval = 100 * time.Millisecond
