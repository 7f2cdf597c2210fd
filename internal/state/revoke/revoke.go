// Package revoke keeps the set of withdrawn keys on every instance: withdrawals win over any other state, are pushed
// at once and are reconciled by comparing digests.
package revoke

import (
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"lycheevale/internal/base/event"
	"lycheevale/internal/state/registry"
	"lycheevale/internal/wire/peer"
)

// Methods between instances.
const (
	pushMethod   = "Revoke.Push"
	digestMethod = "Revoke.Digest"
)

type pushParams struct {
	IDs     []string `json:"IDs"`
	Forward bool     `json:"Forward,omitempty"` // pass new identifiers on in the receiver's data centre
}

// digestParams has exactly one part set; each narrows down the difference found by the one before.
type digestParams struct {
	Digest *Digest `json:"Digest,omitempty"`
	Groups []int   `json:"Groups,omitempty"` // groups of which the leaves' sums are wanted
	Leaves []int   `json:"Leaves,omitempty"` // leaves of which IDs are all that the sender has
	// IDs are merged by the receiver.
	IDs []string `json:"IDs,omitempty"`
}

type digestResult struct {
	Equal bool     `json:"Equal,omitempty"`
	Sums  []uint64 `json:"Sums,omitempty"`
	IDs   []string `json:"IDs,omitempty"` // what the sender lacks
}

type empty struct{}

// Node is one instance's part of the set.
type Node struct {
	options Options
	set     *Set

	mu    sync.Mutex
	turn  int
	ready bool
}

// Reach tells which instances know of a withdrawal.
type Reach struct {
	Reached    []string `json:"Reached"`
	NotReached []string `json:"NotReached,omitempty"`
}

// New returns a node with an empty set; a voter adds what its log holds by Observe.
func New(opts ...Option) *Node {
	o := defaults()
	for _, opt := range opts {
		opt(&o)
	}
	return &Node{options: o, set: NewSet()}
}

// Register offers the methods of the set to peers.
func (n *Node) Register(mux *peer.Mux) {
	mux.Handle(pushMethod, func(ctx context.Context, _ string, raw json.RawMessage) (any, error) {
		var p pushParams
		if err := json.Unmarshal(raw, &p); err != nil {
			return nil, err
		}
		added := n.merge(ctx, p.IDs)
		if p.Forward && len(added) > 0 {
			n.push(ctx, n.options.Local(), pushParams{IDs: added})
		}
		return empty{}, nil
	})
	mux.Handle(digestMethod, peer.Typed(n.receiveDigest))
}

// Run compares the set with peers in turn until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	ticker := time.NewTicker(n.options.Interval)
	defer ticker.Stop()
	for {
		n.Compare(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// Withdraw adds the key here and pushes it to all peers; it is in effect here even if none can be reached.
func (n *Node) Withdraw(ctx context.Context, id string) Reach {
	n.merge(ctx, []string{id})
	reach := n.push(ctx, n.options.Local(), pushParams{IDs: []string{id}})
	remote := n.push(ctx, n.options.Remote(), pushParams{IDs: []string{id}, Forward: true})
	reach.Reached = append(reach.Reached, remote.Reached...)
	reach.NotReached = append(reach.NotReached, remote.NotReached...)
	return reach
}

// Withdrawn tells whether the key was withdrawn.
func (n *Node) Withdrawn(id string) bool { return n.set.Has(id) }

// Ready tells whether the set was compared with a peer since the start; an instance without peers is ready at once.
func (n *Node) Ready() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	alone := len(n.options.Local()) == 0 && len(n.options.Remote()) == 0
	return n.ready || alone || !n.options.CompareFirst
}

// Digest returns the digest of the set.
func (n *Node) Digest() Digest { return n.set.Digest() }

// Observe adds the keys that a change of the configuration withdrew or deleted.
func (n *Node) Observe(d registry.Delta) {
	var ids []string
	for _, o := range d.Objects {
		if o.Withdraws() {
			ids = append(ids, o.Name)
		}
	}
	n.merge(context.Background(), ids)
}

func (n *Node) merge(ctx context.Context, ids []string) (added []string) {
	added = n.set.Merge(ids)
	if len(added) == 0 {
		return nil
	}
	for _, id := range added {
		event.Log(ctx, n.options.Logger, event.KeyWithdrawn, slog.String("Key", id))
	}
	n.options.Withdrawn(added)
	return added
}

func (n *Node) push(ctx context.Context, peers []string, p pushParams) (reach Reach) {
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(n.options.Parallel)
	for _, name := range peers {
		if name == n.options.Name {
			continue
		}
		group.Go(func() error {
			err := n.call(ctx, name, pushMethod, p, nil)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				reach.NotReached = append(reach.NotReached, name)
				return nil //nolint:nilerr // The comparison of digests makes up for a lost push.
			}
			reach.Reached = append(reach.Reached, name)
			return nil
		})
	}
	_ = group.Wait()
	slices.Sort(reach.Reached)
	slices.Sort(reach.NotReached)
	return reach
}

func (n *Node) call(ctx context.Context, to, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, n.options.Timeout)
	defer cancel()
	return n.options.Call(ctx, to, method, params, result)
}

// Compare reconciles the set with the next peer in turn and tells whether it answered.
func (n *Node) Compare(ctx context.Context) bool {
	name := n.next()
	if name == "" || n.compare(ctx, name) != nil {
		return false
	}
	n.mu.Lock()
	n.ready = true
	n.mu.Unlock()
	return true
}

// remoteTurn is how often the peer is one of another data centre, over links billed by volume.
const remoteTurn = 4

func (n *Node) next() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.turn++
	peers := n.options.Local()
	turn := n.turn
	if remote := n.options.Remote(); len(remote) > 0 && (len(peers) == 0 || n.turn%remoteTurn == 0) {
		peers, turn = remote, n.turn/remoteTurn
	}
	for i := range peers {
		if name := peers[(turn+i)%len(peers)]; name != n.options.Name {
			return name
		}
	}
	return ""
}

// compare narrows a difference down to leaves and exchanges their identifiers in both directions.
func (n *Node) compare(ctx context.Context, name string) error {
	digest := n.set.Digest()
	var answer digestResult
	if err := n.call(ctx, name, digestMethod, digestParams{Digest: &digest}, &answer); err != nil || answer.Equal {
		return err
	}
	groups := differing(n.set.groups(), answer.Sums)
	if len(groups) == 0 {
		return nil
	}
	answer = digestResult{}
	if err := n.call(ctx, name, digestMethod, digestParams{Groups: groups}, &answer); err != nil {
		return err
	}
	var leaves []int
	for _, at := range differing(n.set.leaves(groups), answer.Sums) {
		leaves = append(leaves, groups[at/leavesInEach]*leavesInEach+at%leavesInEach)
	}
	for part := range slices.Chunk(leaves, leavesInEach) {
		answer = digestResult{}
		params := digestParams{Leaves: part, IDs: n.set.in(part)}
		if err := n.call(ctx, name, digestMethod, params, &answer); err != nil {
			return err
		}
		n.merge(ctx, answer.IDs)
	}
	return nil
}

func (n *Node) receiveDigest(ctx context.Context, _ string, p digestParams) (digestResult, error) {
	valid := func(at []int, limit int) bool {
		return !slices.ContainsFunc(at, func(i int) bool { return i < 0 || i >= limit })
	}
	switch {
	case p.Digest != nil:
		if *p.Digest == n.set.Digest() {
			return digestResult{Equal: true}, nil
		}
		return digestResult{Sums: n.set.groups()}, nil
	case len(p.Groups) > 0 && valid(p.Groups, groupCount):
		return digestResult{Sums: n.set.leaves(p.Groups)}, nil
	case len(p.Leaves) > 0 && valid(p.Leaves, leafCount):
		known := make(map[string]struct{}, len(p.IDs))
		for _, id := range p.IDs {
			known[id] = struct{}{}
		}
		lacking := slices.DeleteFunc(n.set.in(p.Leaves), func(id string) bool {
			_, ok := known[id]
			return ok
		})
		n.merge(ctx, p.IDs)
		return digestResult{IDs: lacking}, nil
	}
	return digestResult{}, nil
}
