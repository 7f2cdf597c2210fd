package feed

import (
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/zeebo/errs"

	"lycheevale/internal/state/registry"
)

const (
	// fetchMethod reads a part of a delta that does not fit in one message.
	fetchMethod = "Feed.Fetch"
	// snapshotMethod asks any instance for a snapshot that is newer than a revision.
	snapshotMethod = "Feed.Snapshot"
)

// Sizes of large deltas: a link accepts messages of 4 MiB, and JSON makes bytes a third longer.
const (
	maxInline  = 1 << 20 // bytes
	chunkBytes = 1 << 20
	largeLife  = time.Minute // after its last use
)

// largeDelta tells a subscriber to fetch the objects of a delta in parts; a snapshot of 140,000 adapters has 33 MB.
type largeDelta struct {
	From     uint64 `json:"From"`
	To       uint64 `json:"To"`
	Size     int    `json:"Size"` // bytes
	Snapshot bool   `json:"Snapshot,omitempty"`
}

type snapshotParams struct {
	Revision uint64 `json:"Revision"`
}

type snapshotResult struct {
	Large     *largeDelta `json:"Large,omitempty"`
	Preparing bool        `json:"Preparing,omitempty"` // ask again
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
	largeDelta
	parts chunks
	until time.Time
}

// chunks holds encoded objects in parts, so that no buffer is copied when it grows.
type chunks [][]byte

func (c *chunks) Write(data []byte) (int, error) {
	for rest := data; len(rest) > 0; {
		last := len(*c) - 1
		if last < 0 || len((*c)[last]) == chunkBytes {
			*c = append(*c, make([]byte, 0, chunkBytes))
			continue
		}
		room := min(chunkBytes-len((*c)[last]), len(rest))
		(*c)[last] = append((*c)[last], rest[:room]...)
		rest = rest[room:]
	}
	return len(data), nil
}

func (c chunks) size() int {
	if len(c) == 0 {
		return 0
	}
	return (len(c)-1)*chunkBytes + len(c[len(c)-1])
}

func (c *chunks) add(objects []registry.Object) error {
	encoder := json.NewEncoder(c)
	for _, o := range objects {
		if err := encoder.Encode(o); err != nil {
			return err
		}
	}
	return nil
}

var errGone = errs.New("the delta is no longer kept")

// keep holds a large delta for those who fetch it; n.mu is held.
func (n *Node) keep(l largeDelta, parts chunks) *largeDelta {
	l.Size = parts.size()
	n.kept = keptDelta{l, parts, n.options.Now().Add(largeLife)}
	return &l
}

// keepDelta encodes a large delta of a small configuration or of many changes; n.mu is held.
func (n *Node) keepDelta(from uint64) (*largeDelta, error) {
	if n.kept.From == from && n.kept.To == n.options.Registry.Revision() {
		n.kept.until = n.options.Now().Add(largeLife)
		return &n.kept.largeDelta, nil
	}
	d := n.options.Registry.DeltaSince(from)
	var parts chunks
	if err := parts.add(d.Objects); err != nil {
		return nil, Error.Wrap(err)
	}
	return n.keep(largeDelta{From: from, To: d.To, Snapshot: d.Snapshot}, parts), nil
}

// manyObjects is the size of a configuration whose snapshot is encoded in the background: encoding 140,000 adapters
// takes about a second, and neither the caller nor the other subscribers should wait for it.
const manyObjects = 10_000

// maxBehind is how many revisions a kept snapshot may lack, which its receivers get as a delta.
const maxBehind = 1000

// prepare answers a subscriber of a large configuration that needs a snapshot: with the kept one, or with nil after
// starting to encode it. It is called with n.mu held; small is true when the delta is not of this kind.
func (n *Node) prepare(from uint64) (l *largeDelta, small bool) {
	if !n.wantsSnapshot(from) {
		return nil, true
	}
	now := n.options.Now()
	k := &n.kept
	usable := k.Snapshot && k.To > from && n.options.Registry.Revision() <= k.To+maxBehind
	if usable && now.Before(k.until) {
		k.until = now.Add(largeLife)
		return &k.largeDelta, false
	}
	if !n.preparing && !n.ended {
		n.preparing = true
		n.work.Go(func() error {
			n.encodeSnapshot()
			return nil
		})
	}
	return nil, false
}

func (n *Node) wantsSnapshot(from uint64) bool {
	return n.options.Registry.NeedsSnapshot(from) && n.options.Registry.Size() >= manyObjects
}

func (n *Node) receiveSnapshot(_ context.Context, _ string, p snapshotParams) (result snapshotResult, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.options.Registry.Revision() > p.Revision {
		var small bool
		result.Large, small = n.prepare(p.Revision)
		result.Preparing = !small && result.Large == nil
	}
	return result, nil
}

// encodeSnapshot holds neither the lock of the node nor, for longer than a page, that of the registry.
func (n *Node) encodeSnapshot() {
	var parts chunks
	to, err := n.options.Registry.Stream(parts.add)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.preparing = false
	if err == nil {
		l := n.keep(largeDelta{To: to, Snapshot: true}, parts)
		n.counters.Snapshots++
		n.counters.SnapshotBytes += uint64(l.Size)
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
	if k.From != p.From || k.To != p.To || p.Offset < 0 || p.Offset >= k.Size {
		return fetchResult{}, Error.Wrap(errGone)
	}
	k.until = now.Add(largeLife)
	return fetchResult{Data: k.parts[p.Offset/chunkBytes][p.Offset%chunkBytes:]}, nil
}

// partReader reads the parts of a large delta from an instance.
type partReader struct {
	node   *Node
	ctx    context.Context //nolint:containedctx // An io.Reader takes no context; it lives as long as one fetch.
	source string
	large  largeDelta
	offset int
	part   []byte
}

func (r *partReader) Read(p []byte) (int, error) {
	if len(r.part) == 0 {
		if r.offset >= r.large.Size {
			return 0, io.EOF
		}
		answer, err := r.fetchPart()
		if err != nil {
			return 0, err
		}
		if len(answer.Data) == 0 {
			return 0, Error.Wrap(errGone)
		}
		r.part = answer.Data
		r.offset += len(answer.Data)
	}
	count := copy(p, r.part)
	r.part = r.part[count:]
	return count, nil
}

// partAttempts keeps one part that is lost or late on a loaded machine from costing the 33 MB before it.
const partAttempts = 3

func (r *partReader) fetchPart() (answer fetchResult, err error) {
	for range partAttempts {
		answer = fetchResult{}
		params := fetchParams{r.large.From, r.large.To, r.offset}
		if err = r.node.call(r.ctx, r.source, fetchMethod, params, &answer); err == nil {
			return answer, nil
		}
	}
	return answer, err
}

// fetch reads a large delta from the source and installs it. The objects of a snapshot go into a new configuration one
// by one, because the message, its decoded form and the configuration took 267 MB together at 140,000 adapters.
func (n *Node) fetch(ctx context.Context, source string, l largeDelta) error {
	decoder := json.NewDecoder(&partReader{node: n, ctx: ctx, source: source, large: l})
	loader := n.options.Registry.Load()
	d := registry.Delta{From: l.From, To: l.To, Snapshot: l.Snapshot}
	for {
		var o registry.Object
		switch err := decoder.Decode(&o); {
		case errs.Is(err, io.EOF):
			return n.installDelta(d, loader)
		case err != nil:
			return err
		}
		if l.Snapshot {
			loader.Add(o)
		}
		if !l.Snapshot || o.Withdraws() {
			d.Objects = append(d.Objects, o)
		}
	}
}

// Times of waiting for a peer that encodes its snapshot, which takes about a second at 140,000 adapters.
const (
	peerInterval = 250 * time.Millisecond
	peerAttempts = 20
)

// fetchFromPeer installs the snapshot of an instance that is not the source, so that a relay does not serve all that
// restart. Nothing is learned of its freshness, and the source sends what came after.
func (n *Node) fetchFromPeer(ctx context.Context, name string, revision uint64) error {
	for range peerAttempts {
		var answer snapshotResult
		if err := n.call(ctx, name, snapshotMethod, snapshotParams{revision}, &answer); err != nil {
			return err
		}
		if answer.Large != nil {
			return n.fetch(ctx, name, *answer.Large)
		}
		if !answer.Preparing {
			break
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(peerInterval):
		}
	}
	return Error.Wrap(errGone)
}
