// Package revoke replicates the set of withdrawn keys to every instance. A withdrawal overrides any other state, is
// pushed at once, and reaches instances that missed the push by comparison of digests.
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

// RPC methods between instances.
const (
	pushMethod   = "Revoke.Push"
	digestMethod = "Revoke.Digest"
)

type pushParams struct {
	IDs     []string `json:"IDs"`
	Forward bool     `json:"Forward,omitempty"` // forward new identifiers within the receiver's data centre
}

// digestParams has exactly one of Digest, Groups or Leaves set; each step narrows down the difference that the step before
// it found.
type digestParams struct {
	Digest *Digest `json:"Digest,omitempty"`
	Groups []int   `json:"Groups,omitempty"` // groups whose leaf sums are requested
	Leaves []int   `json:"Leaves,omitempty"` // leaves whose identifiers at the sender are in IDs
	// IDs are added to the set of the receiver.
	IDs []string `json:"IDs,omitempty"`
}

type digestResult struct {
	Equal bool     `json:"Equal,omitempty"`
	Sums  []uint64 `json:"Sums,omitempty"`
	IDs   []string `json:"IDs,omitempty"` // identifiers that the sender does not have
}

type empty struct{}

// Node holds the set of withdrawn keys of one instance and synchronises it with peers.
type Node struct {
	options Options
	set     *Set

	mu    sync.Mutex
	round int
	ready bool
}

// Reach lists which instances have received a withdrawal.
type Reach struct {
	Reached    []string `json:"Reached"`
	NotReached []string `json:"NotReached,omitempty"`
}

// New returns a node with an empty set; a voter adds the withdrawals in its log by calling Observe.
func New(opts ...Option) *Node {
	o := defaults()
	for _, opt := range opts {
		opt(&o)
	}
	return &Node{options: o, set: NewSet()}
}

// Register adds the RPC handlers of the node to mux.
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

// Run compares the set with one peer per Interval, round-robin, until ctx is done.
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

// Withdraw adds the key to the local set and pushes it to all peers; it takes effect locally even if no peer is reachable.
func (n *Node) Withdraw(ctx context.Context, id string) Reach {
	n.merge(ctx, []string{id})
	reach := n.push(ctx, n.options.Local(), pushParams{IDs: []string{id}})
	remote := n.push(ctx, n.options.Remote(), pushParams{IDs: []string{id}, Forward: true})
	reach.Reached = append(reach.Reached, remote.Reached...)
	reach.NotReached = append(reach.NotReached, remote.NotReached...)
	return reach
}

// Withdrawn reports whether the key was withdrawn.
func (n *Node) Withdrawn(id string) bool { return n.set.Has(id) }

// Ready reports whether the set has been compared with a peer since the start; an instance without peers is always ready.
func (n *Node) Ready() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	noPeers := len(n.options.Local()) == 0 && len(n.options.Remote()) == 0
	return n.ready || noPeers || !n.options.CompareFirst
}

// Digest returns the digest of the set.
func (n *Node) Digest() Digest { return n.set.Digest() }

// Observe adds the keys that a configuration change has withdrawn or deleted.
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
				return nil //nolint:nilerr // A lost push is repaired by the comparison of digests.
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

// Compare synchronises the set with the next peer and reports whether this succeeded.
func (n *Node) Compare(ctx context.Context) bool {
	name := n.nextPeer()
	if name == "" || n.compareWith(ctx, name) != nil {
		return false
	}
	n.mu.Lock()
	n.ready = true
	n.mu.Unlock()
	return true
}

// roundsPerRemote is the number of rounds per comparison with another data centre, whose links are billed by volume.
const roundsPerRemote = 4

func (n *Node) nextPeer() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.round++
	peers := n.options.Local()
	index := n.round
	if remote := n.options.Remote(); len(remote) > 0 && (len(peers) == 0 || n.round%roundsPerRemote == 0) {
		peers, index = remote, n.round/roundsPerRemote
	}
	for i := range peers {
		if name := peers[(index+i)%len(peers)]; name != n.options.Name {
			return name
		}
	}
	return ""
}

// compareWith narrows the difference from a peer down to leaves and exchanges their identifiers in both directions.
func (n *Node) compareWith(ctx context.Context, name string) error {
	digest := n.set.Digest()
	var answer digestResult
	if err := n.call(ctx, name, digestMethod, digestParams{Digest: &digest}, &answer); err != nil || answer.Equal {
		return err
	}
	groups := differingIndexes(n.set.sumsOfGroups(), answer.Sums)
	if len(groups) == 0 {
		return nil
	}
	answer = digestResult{}
	if err := n.call(ctx, name, digestMethod, digestParams{Groups: groups}, &answer); err != nil {
		return err
	}
	var leaves []int
	for _, at := range differingIndexes(n.set.sumsOfLeaves(groups), answer.Sums) {
		leaves = append(leaves, groups[at/leavesPerGroup]*leavesPerGroup+at%leavesPerGroup)
	}
	for part := range slices.Chunk(leaves, leavesPerGroup) {
		answer = digestResult{}
		params := digestParams{Leaves: part, IDs: n.set.idsInLeaves(part)}
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
		return digestResult{Sums: n.set.sumsOfGroups()}, nil
	case len(p.Groups) > 0 && valid(p.Groups, groupCount):
		return digestResult{Sums: n.set.sumsOfLeaves(p.Groups)}, nil
	case len(p.Leaves) > 0 && valid(p.Leaves, leafCount):
		known := make(map[string]struct{}, len(p.IDs))
		for _, id := range p.IDs {
			known[id] = struct{}{}
		}
		missing := slices.DeleteFunc(n.set.idsInLeaves(p.Leaves), func(id string) bool {
			_, ok := known[id]
			return ok
		})
		n.merge(ctx, p.IDs)
		return digestResult{IDs: missing}, nil
	}
	return digestResult{}, nil
}
