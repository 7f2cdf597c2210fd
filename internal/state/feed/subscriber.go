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

// Poll renews the subscription at the current source, or tries the next ones until one is accepted.
func (n *Node) Poll(ctx context.Context) {
	sources := n.options.Sources()
	for range sources {
		previous := n.Source()
		source := n.choose(sources)
		accepted, answered := n.subscribe(ctx, source)
		if accepted {
			if previous != "" && previous != source {
				n.leave(ctx, previous)
			}
			return
		}
		if answered {
			n.leave(ctx, source)
		}
		n.mu.Lock()
		n.source = ""
		n.tries++
		n.mu.Unlock()
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

// choose keeps a source that works, and returns to the preferred one from time to time.
func (n *Node) choose(sources []string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.options.Now()
	prefer := n.source != "" && n.source != sources[0] && !now.Before(n.preferAt)
	switch {
	case prefer:
		n.preferAt = now.Add(preferInterval)
		n.tries = 0
		n.source, n.chosenAt = sources[0], now
	case n.source == "" || !slices.Contains(sources, n.source):
		n.source, n.chosenAt = sources[n.tries%len(sources)], now
		n.preferAt = now.Add(preferInterval)
	}
	return n.source
}

// subscribe makes one call; a source that is behind, out of contact or fed by this node is not accepted.
func (n *Node) subscribe(ctx context.Context, source string) (accepted, answered bool) {
	revision := n.options.Registry.Revision()
	params := subscribeParams{DataCentre: n.options.DataCentre, Revision: revision, Report: n.childReport()}
	var answer subscribeResult
	asked := n.options.Now()
	if err := n.call(ctx, source, subscribeMethod, params, &answer); err != nil {
		n.log(ctx, event.FeedSourceLost, source)
		return false, false
	}
	if answer.Revision < revision || answer.Cycle {
		n.log(ctx, event.FeedSourceBehind, source)
		return false, true
	}
	if answer.Preparing {
		// The source is of use, but nothing was learned from it yet.
		return true, true
	}
	if answer.Large != nil {
		var err error
		if answer.Delta, err = n.fetch(ctx, source, *answer.Large); err != nil {
			n.log(ctx, event.FeedSourceLost, source)
			return false, true
		}
	}
	if len(answer.Delta) > 0 {
		if err := n.apply(answer.Delta); err != nil {
			n.log(ctx, event.FeedSourceLost, source)
			return false, true
		}
		n.acknowledge(ctx)
	}
	// The time of the call counts as age, because the source may have answered at its start.
	n.noteFresh(answer.Age + n.options.Now().Sub(asked))
	return answer.Age <= n.options.MaxAge || len(n.options.Sources()) == 1 || n.settling(), true
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
