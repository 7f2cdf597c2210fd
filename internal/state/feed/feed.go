// Package feed distributes the configuration from the voters through relays to all instances as deltas and snapshots,
// and reports where a revision is in effect.
package feed

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"lycheevale/internal/base/event"
	"lycheevale/internal/state/registry"
	"lycheevale/internal/wire/peer"
)

// Error is the class of errors of this package.
var Error = errs.Class("feed")

// RPC methods between instances.
const (
	subscribeMethod = "Feed.Subscribe"
	pushMethod      = "Feed.Push"
	heartbeatMethod = "Feed.Beat"
	ackMethod       = "Feed.Ack"
	reportMethod    = "Feed.Report"
	leaveMethod     = "Feed.Leave"
)

type subscribeParams struct {
	DataCentre   string `json:"DataCentre"`
	Revision     uint64 `json:"Revision"`
	Subscription uint64 `json:"Subscription"` // sequence number of this call, echoed in pushes and heartbeats
	Failed       string `json:"Failed,omitempty"`
	Direct       bool   `json:"Direct,omitempty"` // a peer has already been asked for the snapshot
	Report       Report `json:"Report,omitempty"`
}

type subscribeResult struct {
	Revision  uint64          `json:"Revision"`
	Age       time.Duration   `json:"Age"`                 // time since a voter confirmed this revision as current
	Delta     json.RawMessage `json:"Delta,omitempty"`     // empty if there is nothing newer
	Large     *largeDelta     `json:"Large,omitempty"`     // replaces Delta if that is too large
	Preparing bool            `json:"Preparing,omitempty"` // Large is being encoded; retry later
	Peer      string          `json:"Peer,omitempty"`      // instance to request the snapshot from first
	Cycle     bool            `json:"Cycle,omitempty"`     // this instance is fed by the subscriber, so it cannot be its source
	Through   string          `json:"Through,omitempty"`   // subscribe to this subscriber instead
}

// pushParams are the parameters of a push or, without Delta, of a heartbeat.
type pushParams struct {
	Subscription uint64          `json:"Subscription"`
	At           time.Duration   `json:"At"`  // send time, relative to when the source received the subscription
	Age          time.Duration   `json:"Age"` // age of the source's configuration at that time
	Delta        json.RawMessage `json:"Delta,omitempty"`
	Fetch        bool            `json:"Fetch,omitempty"` // the changes do not fit in a push; renew to fetch them
}

type pushResult struct {
	Revision uint64 `json:"Revision"`
	Report   Report `json:"Report,omitempty"` // set only for heartbeats: after a push it would list all subscribers as lagging
	Gone     bool   `json:"Gone,omitempty"`   // the receiver has another source
}

type ackParams struct {
	Revision   uint64 `json:"Revision"`
	DataCentre string `json:"DataCentre"`
	Report     Report `json:"Report,omitempty"`
}

// reportResult is a voter's revision and its report on the instances that it feeds.
type reportResult struct {
	Revision uint64 `json:"Revision"`
	Report   Report `json:"Report"`
}

type empty struct{}

// Counters counts the calls that a node has sent and their bytes of JSON.
type Counters struct {
	Pushes        uint64
	PushBytes     uint64
	Snapshots     uint64
	SnapshotBytes uint64
	Reports       uint64
}

// Node distributes the configuration on one instance: it subscribes to a source and serves subscribers itself.
type Node struct {
	options Options
	wake    chan struct{}

	mu                 sync.Mutex
	hub                *hub
	source             string
	rootSource         string // element of Sources that redirected to the source, or the source itself
	failed             string // last source that failed after a redirection
	sourceIndex        int
	subscription       uint64    // sequence number of the last call to subscribe
	subscribeStartedAt time.Time // start of that call
	lastContact        time.Time // last answer, push or heartbeat from the source
	fetchPending       bool      // the source has changes that do not fit in a push
	peerAsked          bool      // a peer has been asked for the snapshot
	sourceChosenAt     time.Time // when the source was chosen
	retryPreferredAt   time.Time // next time to try the preferred source again
	freshAt            time.Time // when a voter last confirmed the local configuration as current
	heartbeatDue       bool      // a heartbeat is due for all subscribers
	pushLimiter        *rate.Limiter
	reportedRevision   uint64 // last revision reported for all subscribers
	encoded            encoded
	cached             cachedDelta
	encodingSnapshot   bool // a snapshot is being encoded
	stopped            bool // no further snapshot may be encoded
	background         errgroup.Group
	counters           Counters

	installMu sync.Mutex // serialises installations and their callbacks
}

// encoded caches the last delta that was sent, because most subscribers need the same one.
type encoded struct {
	from, to uint64
	data     json.RawMessage
	snapshot bool
}

// New returns a node that is started by Register and Run.
func New(opts ...Option) *Node {
	o := defaults()
	for _, opt := range opts {
		opt(&o)
	}
	return &Node{options: o, wake: make(chan struct{}, 1), hub: newHub(o.Lease, o.LostRetention), pushLimiter: rate.NewLimiter(rate.Every(o.Interval), pushBurst)}
}

// Register adds the RPC handlers of the node to mux.
func (n *Node) Register(mux *peer.Mux) {
	mux.Handle(subscribeMethod, peer.Typed(n.receiveSubscribe))
	mux.Handle(pushMethod, peer.Typed(n.receivePush))
	mux.Handle(heartbeatMethod, peer.Typed(n.receivePush))
	mux.Handle(ackMethod, peer.Typed(n.receiveAck))
	mux.Handle(fetchMethod, peer.Typed(n.receiveFetch))
	mux.Handle(snapshotMethod, peer.Typed(n.receiveSnapshot))
	mux.Handle(leaveMethod, peer.Typed(func(_ context.Context, from string, _ empty) (empty, error) {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.hub.subscribers, from)
		return empty{}, nil
	}))
	mux.Handle(reportMethod, peer.Typed(func(context.Context, string, empty) (reportResult, error) {
		return reportResult{Revision: n.options.Registry.Revision(), Report: n.Report()}, nil
	}))
}

// Run maintains the subscription and pushes changes and heartbeats until ctx is done.
func (n *Node) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return n.maintainSubscription(ctx) })
	group.Go(func() error { return n.sendHeartbeats(ctx) })
	group.Go(func() error {
		pushes := errgroup.Group{}
		for {
			select {
			case <-ctx.Done():
				return pushes.Wait()
			case <-n.wake:
			}
			if !n.mayPush() {
				continue // The next heartbeat carries the changes.
			}
			for _, push := range append(n.Pushes(ctx), func() { n.acknowledge(ctx) }) {
				pushes.Go(func() error {
					push()
					return nil
				})
			}
		}
	})
	err := group.Wait()
	n.mu.Lock()
	n.stopped = true
	n.mu.Unlock()
	return errs.Combine(err, n.background.Wait())
}

// Changed wakes the node to push changes; a voter calls it after its log has changed the registry.
func (n *Node) Changed() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// Report returns which revision is in effect in each data centre, as reported by this node's subscribers.
func (n *Node) Report() Report {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.hub.report(n.options.Now(), n.options.DataCentre, n.options.Registry.Revision())
}

// Counters returns the number of calls and bytes sent so far.
func (n *Node) Counters() Counters {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.counters
}

// FreshAt returns when a voter last confirmed the local configuration as current, or the zero time if none has. An
// instance compares it with a deadline for customers that set StrictKeys.
func (n *Node) FreshAt() time.Time {
	if n.options.Age != nil {
		return n.options.Now().Add(-n.options.Age())
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.freshAt
}

// maxReportedAge is the age that a node without any contact to a voter reports.
const maxReportedAge = 24 * time.Hour

// age returns the age of the configuration that this node reports to its subscribers.
func (n *Node) age() time.Duration { return min(n.options.Now().Sub(n.FreshAt()), maxReportedAge) }

// Pushes returns one function for each subscriber that needs changes or a heartbeat; each function makes one call.
func (n *Node) Pushes(ctx context.Context) (pushes []func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, name := range n.hub.takeDue(n.options.Now(), n.options.Registry.Revision(), n.heartbeatDue) {
		pushes = append(pushes, func() { n.push(ctx, name) })
	}
	n.heartbeatDue = false
	return pushes
}

func (n *Node) push(ctx context.Context, name string) {
	// The age is read after the send time, so that it is over- rather than underestimated.
	now := n.options.Now()
	age := n.age()
	n.mu.Lock()
	c := n.hub.subscribers[name]
	if c == nil {
		n.mu.Unlock()
		return
	}
	renewals := c.renewals
	params := pushParams{Subscription: c.subscription, At: now.Sub(c.subscribedAt), Age: age}
	method, err := n.addDelta(&params, c)
	n.mu.Unlock()
	var answer pushResult
	if err == nil {
		err = n.call(ctx, name, method, params, &answer)
	}
	n.mu.Lock()
	n.hub.finishPush(n.options.Now(), name, renewals, answer, method, err == nil)
	n.mu.Unlock()
	if err == nil && !params.Fetch {
		// Changes may have been applied during the push.
		n.Changed()
		n.acknowledge(ctx)
	}
}

// addDelta adds the changes that the subscriber needs and returns the method to call. The caller must hold n.mu.
func (n *Node) addDelta(params *pushParams, c *subscriber) (method string, err error) {
	if c.revision >= n.options.Registry.Revision() {
		return heartbeatMethod, nil
	}
	c.notifiedRevision = n.options.Registry.Revision()
	if _, small := n.cachedSnapshot(c.revision); !small {
		params.Fetch = true
		return heartbeatMethod, nil
	}
	e, err := n.encodeDelta(c.revision)
	if len(e.data) > maxInlineBytes {
		params.Fetch = true
		return heartbeatMethod, err
	}
	params.Delta = e.data
	return pushMethod, err
}

// encodeDelta returns the encoded delta that follows the revision. The caller must hold n.mu.
func (n *Node) encodeDelta(from uint64) (e encoded, err error) {
	if n.encoded.to != n.options.Registry.Revision() || n.encoded.from != from || n.encoded.data == nil {
		d := n.options.Registry.DeltaSince(from)
		data, err := json.Marshal(d)
		if err != nil {
			return encoded{}, Error.Wrap(err)
		}
		n.encoded = encoded{from: from, to: d.To, data: data, snapshot: d.Snapshot}
	}
	if n.encoded.snapshot {
		n.counters.Snapshots++
		n.counters.SnapshotBytes += uint64(len(n.encoded.data))
	} else {
		n.counters.Pushes++
		n.counters.PushBytes += uint64(len(n.encoded.data))
	}
	return n.encoded, nil
}

func (n *Node) call(ctx context.Context, to, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, n.options.Timeout)
	defer cancel()
	return n.options.Call(ctx, to, method, params, result)
}

func (n *Node) receiveSubscribe(_ context.Context, from string, p subscribeParams) (result subscribeResult, err error) {
	result.Age = n.age()
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.options.Now()
	result.Cycle = n.source == from
	if result.Through = n.hub.redirect(now, from, p.DataCentre, p.Failed, n.options.Fanout); result.Through != "" {
		return result, nil
	}
	n.hub.subscribe(now, from, p)
	result.Revision = n.options.Registry.Revision()
	if result.Revision > p.Revision && n.needsLargeSnapshot(p.Revision) {
		if !p.Direct {
			result.Peer = n.hub.peer(now, from, p.DataCentre, max(p.Revision+1, result.Revision-min(result.Revision, maxSnapshotLag)))
		}
		if result.Peer == "" {
			result.Large, _ = n.cachedSnapshot(p.Revision)
			result.Preparing = result.Large == nil
		}
		return result, nil
	}
	if result.Revision > p.Revision {
		e, err := n.encodeDelta(p.Revision)
		if err != nil {
			return subscribeResult{}, err
		}
		if len(e.data) > maxInlineBytes {
			result.Large, err = n.cacheLargeDelta(p.Revision)
			return result, err
		}
		result.Delta = e.data
	}
	return result, nil
}

func (n *Node) receivePush(_ context.Context, from string, p pushParams) (pushResult, error) {
	if n.Source() != from {
		return pushResult{Revision: n.options.Registry.Revision(), Gone: true}, nil
	}
	if len(p.Delta) > 0 {
		if err := n.apply(p.Delta); err != nil {
			n.setFetchPending(true)
			return pushResult{}, err
		}
	}
	n.recordContact(p)
	answer := pushResult{Revision: n.options.Registry.Revision()}
	if len(p.Delta) == 0 {
		answer.Report = n.subscriberReport()
	}
	return answer, nil
}

func (n *Node) receiveAck(_ context.Context, from string, p ackParams) (empty, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.hub.subscribers[from] != nil {
		n.hub.renew(n.options.Now(), from, p.DataCentre, p.Revision, p.Report)
		// All subscribers may now have applied the revision.
		n.Changed()
	}
	return empty{}, nil
}

// apply decodes and installs a delta; a delta that is not newer than the local configuration has no effect.
func (n *Node) apply(raw json.RawMessage) error {
	var d registry.Delta
	if err := json.Unmarshal(raw, &d); err != nil {
		return Error.Wrap(err)
	}
	return n.installDelta(d, nil)
}

// installDelta installs a delta or, for a snapshot that was loaded object by object, the content of the loader.
func (n *Node) installDelta(d registry.Delta, loader *registry.Loader) (err error) {
	n.installMu.Lock()
	defer n.installMu.Unlock()
	if d.Snapshot && loader != nil {
		err = loader.Install(d.To)
	} else {
		err = n.options.Registry.Install(d)
	}
	switch err {
	case nil:
	case registry.ErrStale:
		return nil
	default:
		return Error.Wrap(err)
	}
	if d.Snapshot {
		n.log(context.Background(), event.FeedSnapshotLoaded, n.Source())
	}
	n.options.Installed(d)
	n.Changed()
	return nil
}

func (n *Node) log(ctx context.Context, id event.ID, source string) {
	event.Log(ctx, n.options.Logger, id, slog.String("Source", source),
		slog.Uint64("Revision", n.options.Registry.Revision()))
}
