// Package feed distributes the configuration from voters through relays to all instances by deltas and snapshots, and
// reports back where a revision is in effect.
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

// Methods between instances.
const (
	subscribeMethod = "Feed.Subscribe"
	pushMethod      = "Feed.Push"
	beatMethod      = "Feed.Beat"
	ackMethod       = "Feed.Ack"
	reportMethod    = "Feed.Report"
	leaveMethod     = "Feed.Leave"
)

type subscribeParams struct {
	DataCentre   string `json:"DataCentre"`
	Revision     uint64 `json:"Revision"`
	Subscription uint64 `json:"Subscription"` // number of this call, repeated by pushes and heartbeats
	Failed       string `json:"Failed,omitempty"`
	Direct       bool   `json:"Direct,omitempty"` // a peer was asked for the snapshot already
	Report       Report `json:"Report,omitempty"`
}

type subscribeResult struct {
	Revision  uint64          `json:"Revision"`
	Age       time.Duration   `json:"Age"`                 // since a voter knew that this is current
	Delta     json.RawMessage `json:"Delta,omitempty"`     // absent if there is nothing newer
	Large     *largeDelta     `json:"Large,omitempty"`     // in place of Delta
	Preparing bool            `json:"Preparing,omitempty"` // ask again for Large
	Peer      string          `json:"Peer,omitempty"`      // ask this instance for the snapshot first
	Cycle     bool            `json:"Cycle,omitempty"`     // the subscriber feeds this instance, so it cannot learn anything here
	Through   string          `json:"Through,omitempty"`   // subscribe to this subscriber instead
}

// pushParams is a push of changes or, without Delta, a heartbeat.
type pushParams struct {
	Subscription uint64          `json:"Subscription"`
	At           time.Duration   `json:"At"`  // of sending, since the source received the subscription
	Age          time.Duration   `json:"Age"` // of the source's knowledge at that time
	Delta        json.RawMessage `json:"Delta,omitempty"`
	Fetch        bool            `json:"Fetch,omitempty"` // renew, because the changes do not fit in a push
}

type pushResult struct {
	Revision uint64 `json:"Revision"`
	Report   Report `json:"Report,omitempty"` // of heartbeats only: after a push it would name all subscribers as lagging
	Gone     bool   `json:"Gone,omitempty"`   // the receiver has another source
}

type ackParams struct {
	Revision   uint64 `json:"Revision"`
	DataCentre string `json:"DataCentre"`
	Report     Report `json:"Report,omitempty"`
}

// reportResult is a voter's own revision and what it knows of others.
type reportResult struct {
	Revision uint64 `json:"Revision"`
	Report   Report `json:"Report"`
}

type empty struct{}

// Counters count what a node has sent, in calls and in bytes of JSON.
type Counters struct {
	Pushes        uint64
	PushBytes     uint64
	Snapshots     uint64
	SnapshotBytes uint64
	Reports       uint64
}

// Node is one instance's part of the distribution: it subscribes to a source and is a source itself.
type Node struct {
	options Options
	wake    chan struct{}

	mu           sync.Mutex
	hub          *hub
	source       string
	root         string // the entry of Sources that led to the source
	failed       string // last source below the root that failed
	tries        int
	subscription uint64    // number of the last call to subscribe
	askedAt      time.Time // when it was made
	heardAt      time.Time // last answer, push or heartbeat of the source
	behind       bool      // the source has changes that do not fit in a push
	direct       bool      // a peer was asked for the snapshot
	chosenAt     time.Time // when the source was chosen
	preferAt     time.Time // next time to try the preferred source again
	freshAt      time.Time // when a voter knew that the configuration here was current
	beat         bool      // a heartbeat is due to all subscribers
	pace         *rate.Limiter
	reported     uint64 // last revision reported for all subscribers
	encoded      encoded
	kept         keptDelta
	preparing    bool // a snapshot is being encoded
	ended        bool // no snapshot may be started any more
	work         errgroup.Group
	counters     Counters

	install sync.Mutex // keeps deltas and their callbacks in order
}

// encoded is the last delta that was sent; most subscribers need the same one.
type encoded struct {
	from, to uint64
	data     json.RawMessage
	snapshot bool
}

// New returns a node; Register and Run start it.
func New(opts ...Option) *Node {
	o := defaults()
	for _, opt := range opts {
		opt(&o)
	}
	return &Node{options: o, wake: make(chan struct{}, 1), hub: newHub(o.Lease, o.Forget), pace: rate.NewLimiter(rate.Every(o.Interval), paceBurst)}
}

// Register offers the methods of the distribution to peers.
func (n *Node) Register(mux *peer.Mux) {
	mux.Handle(subscribeMethod, peer.Typed(n.receiveSubscribe))
	mux.Handle(pushMethod, peer.Typed(n.receivePush))
	mux.Handle(beatMethod, peer.Typed(n.receivePush))
	mux.Handle(ackMethod, peer.Typed(n.receiveAck))
	mux.Handle(fetchMethod, peer.Typed(n.receiveFetch))
	mux.Handle(snapshotMethod, peer.Typed(n.receiveSnapshot))
	mux.Handle(leaveMethod, peer.Typed(func(_ context.Context, from string, _ empty) (empty, error) {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.hub.children, from)
		return empty{}, nil
	}))
	mux.Handle(reportMethod, peer.Typed(func(context.Context, string, empty) (reportResult, error) {
		return reportResult{Revision: n.options.Registry.Revision(), Report: n.Report()}, nil
	}))
}

// Run keeps the subscription and pushes changes and heartbeats until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return n.follow(ctx) })
	group.Go(func() error { return n.originate(ctx) })
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
	n.ended = true
	n.mu.Unlock()
	return errs.Combine(err, n.work.Wait())
}

// Changed makes the node push; a voter calls it after its log has changed the registry.
func (n *Node) Changed() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// Report returns where which revision is in effect, as far as this node's subscribers tell.
func (n *Node) Report() Report {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.hub.report(n.options.Now(), n.options.DataCentre, n.options.Registry.Revision())
}

// Counters returns what the node has sent so far.
func (n *Node) Counters() Counters {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.counters
}

// FreshAt returns when a voter knew that the configuration here was current; zero if never. An instance compares it
// with a deadline for customers that set StrictKeys.
func (n *Node) FreshAt() time.Time {
	if n.options.Age != nil {
		return n.options.Now().Add(-n.options.Age())
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.freshAt
}

// longestAge stands for no contact at all.
const longestAge = 24 * time.Hour

// age is what this node tells its subscribers.
func (n *Node) age() time.Duration { return min(n.options.Now().Sub(n.FreshAt()), longestAge) }

// Pushes returns one function for each subscriber that lacks changes or is due a heartbeat; each makes one call.
func (n *Node) Pushes(ctx context.Context) (pushes []func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, name := range n.hub.next(n.options.Now(), n.options.Registry.Revision(), n.beat) {
		pushes = append(pushes, func() { n.push(ctx, name) })
	}
	n.beat = false
	return pushes
}

func (n *Node) push(ctx context.Context, name string) {
	// The age is taken after the time of sending, so that it is rather too great.
	now := n.options.Now()
	age := n.age()
	n.mu.Lock()
	c := n.hub.children[name]
	if c == nil {
		n.mu.Unlock()
		return
	}
	renewals := c.renewals
	params := pushParams{Subscription: c.subscription, At: now.Sub(c.since), Age: age}
	method, err := n.fill(&params, c)
	n.mu.Unlock()
	var answer pushResult
	if err == nil {
		err = n.call(ctx, name, method, params, &answer)
	}
	n.mu.Lock()
	n.hub.pushed(n.options.Now(), name, renewals, answer, method, err == nil)
	n.mu.Unlock()
	if err == nil && !params.Fetch {
		// Changes may have come while the push was on its way.
		n.Changed()
		n.acknowledge(ctx)
	}
}

// fill adds the changes that the subscriber lacks; n.mu is held.
func (n *Node) fill(params *pushParams, c *child) (method string, err error) {
	if c.revision >= n.options.Registry.Revision() {
		return beatMethod, nil
	}
	c.told = n.options.Registry.Revision()
	if _, small := n.prepare(c.revision); !small {
		params.Fetch = true
		return beatMethod, nil
	}
	e, err := n.encode(c.revision)
	if len(e.data) > maxInline {
		params.Fetch = true
		return beatMethod, err
	}
	params.Delta = e.data
	return pushMethod, err
}

// encode returns the delta after the revision; n.mu is held.
func (n *Node) encode(from uint64) (e encoded, err error) {
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
	if result.Through = n.hub.through(now, from, p.DataCentre, p.Failed, n.options.Fanout); result.Through != "" {
		return result, nil
	}
	n.hub.subscribe(now, from, p)
	result.Revision = n.options.Registry.Revision()
	if result.Revision > p.Revision && n.wantsSnapshot(p.Revision) {
		if !p.Direct {
			result.Peer = n.hub.peer(now, from, p.DataCentre, max(p.Revision+1, result.Revision-min(result.Revision, maxBehind)))
		}
		if result.Peer == "" {
			result.Large, _ = n.prepare(p.Revision)
			result.Preparing = result.Large == nil
		}
		return result, nil
	}
	if result.Revision > p.Revision {
		e, err := n.encode(p.Revision)
		if err != nil {
			return subscribeResult{}, err
		}
		if len(e.data) > maxInline {
			result.Large, err = n.keepDelta(p.Revision)
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
			n.noteBehind(true)
			return pushResult{}, err
		}
	}
	n.heard(p)
	answer := pushResult{Revision: n.options.Registry.Revision()}
	if len(p.Delta) == 0 {
		answer.Report = n.childReport()
	}
	return answer, nil
}

func (n *Node) receiveAck(_ context.Context, from string, p ackParams) (empty, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.hub.children[from] != nil {
		n.hub.renew(n.options.Now(), from, p.DataCentre, p.Revision, p.Report)
		// The revision may now be complete below this node.
		n.Changed()
	}
	return empty{}, nil
}

// apply installs a delta; one that is not newer than the configuration here changes nothing.
func (n *Node) apply(raw json.RawMessage) error {
	var d registry.Delta
	if err := json.Unmarshal(raw, &d); err != nil {
		return Error.Wrap(err)
	}
	return n.installDelta(d, nil)
}

// installDelta installs a delta or, if it is a snapshot that was loaded object by object, what the loader holds.
func (n *Node) installDelta(d registry.Delta, loader *registry.Loader) (err error) {
	n.install.Lock()
	defer n.install.Unlock()
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
