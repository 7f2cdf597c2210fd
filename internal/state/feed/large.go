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
