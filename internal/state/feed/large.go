package feed

import (
	"context"
	"encoding/json"
	"time"

	"github.com/zeebo/errs"
)

// fetchMethod reads a part of a delta that does not fit in one message.
const fetchMethod = "Feed.Fetch"

// Sizes of large deltas: a link accepts messages of 4 MiB, and JSON makes bytes a third longer.
const (
	maxInline  = 1 << 20 // bytes
	chunkBytes = 1 << 20
	largeLife  = time.Minute // after its last use
)

// largeDelta tells a subscriber to fetch a delta in parts; a snapshot of 140,000 adapters has 33 MB.
type largeDelta struct {
	From uint64 `json:"From"`
	To   uint64 `json:"To"`
	Size int    `json:"Size"` // bytes
}

type fetchParams struct {
	From   uint64 `json:"From"`
	To     uint64 `json:"To"`
	Offset int    `json:"Offset"`
}

type fetchResult struct {
	Data []byte `json:"Data"`
}

// keptDelta is a large delta that subscribers fetch; changes that come meanwhile do not replace it.
type keptDelta struct {
	encoded
	until time.Time
}

var errGone = errs.New("the delta is no longer kept")

// keep holds a large delta for those who fetch it; n.mu is held.
func (n *Node) keep(e encoded) *largeDelta {
	n.kept = keptDelta{e, n.options.Now().Add(largeLife)}
	return &largeDelta{From: e.from, To: e.to, Size: len(e.data)}
}

// manyObjects is the size of a configuration whose snapshot is encoded in the background: encoding 140,000 adapters
// takes about a second, and neither the caller nor the other subscribers should wait for it.
const manyObjects = 10_000

// prepare answers a subscriber of a large configuration that needs a snapshot: with the kept one, or with nil after
// starting to encode it. It is called with n.mu held; small is true when the delta is not of this kind.
func (n *Node) prepare(from uint64) (l *largeDelta, small bool) {
	if !n.options.Registry.NeedsSnapshot(from) || n.options.Registry.Size() < manyObjects {
		return nil, true
	}
	now := n.options.Now()
	if k := &n.kept; k.data != nil && k.from == from && k.to > from && now.Before(k.until) {
		k.until = now.Add(largeLife)
		return &largeDelta{From: k.from, To: k.to, Size: len(k.data)}, false
	}
	if !n.preparing && !n.ended {
		n.preparing = true
		n.work.Go(func() error {
			n.encodeSnapshot(from)
			return nil
		})
	}
	return nil, false
}

func (n *Node) encodeSnapshot(from uint64) {
	d := n.options.Registry.DeltaSince(from)
	data, err := json.Marshal(d)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.preparing = false
	if err == nil {
		n.keep(encoded{from: from, to: d.To, data: data, snapshot: d.Snapshot})
		n.counters.Snapshots++
		n.counters.SnapshotBytes += uint64(len(data))
	}
}

func (n *Node) receiveFetch(_ context.Context, _ string, p fetchParams) (fetchResult, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.options.Now()
	if !now.Before(n.kept.until) {
		n.kept = keptDelta{}
	}
	k := &n.kept
	if k.data == nil || k.from != p.From || k.to != p.To || p.Offset < 0 || p.Offset >= len(k.data) {
		return fetchResult{}, Error.Wrap(errGone)
	}
	k.until = now.Add(largeLife)
	return fetchResult{Data: k.data[p.Offset:min(p.Offset+chunkBytes, len(k.data))]}, nil
}

// fetch reads a large delta from the source.
func (n *Node) fetch(ctx context.Context, source string, l largeDelta) (json.RawMessage, error) {
	data := make(json.RawMessage, 0, l.Size)
	for len(data) < l.Size {
		var part fetchResult
		if err := n.call(ctx, source, fetchMethod, fetchParams{l.From, l.To, len(data)}, &part); err != nil {
			return nil, err
		}
		if len(part.Data) == 0 {
			return nil, Error.Wrap(errGone)
		}
		data = append(data, part.Data...)
	}
	return data, nil
}
