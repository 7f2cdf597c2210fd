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
	// fetchMethod reads one part of a delta that does not fit in one message.
	fetchMethod = "Feed.Fetch"
	// snapshotMethod requests a snapshot newer than a revision from any instance.
	snapshotMethod = "Feed.Snapshot"
)

// Limits of large deltas. A link accepts messages of 4 MiB, and JSON encodes byte slices a third longer.
const (
	maxInlineBytes = 1 << 20 // bytes
	chunkBytes     = 1 << 20
	largeDeltaTTL  = time.Minute // after its last use
	maxDeltaBytes  = 128 << 20   // four times a snapshot of the target size
	maxObjectBytes = 8 << 20     // the default limit of a change
)

// largeDelta describes a delta that a subscriber has to fetch in parts; a snapshot of 140,000 adapters takes 33 MB.
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
	Preparing bool        `json:"Preparing,omitempty"` // retry later
}

type fetchParams struct {
	From   uint64 `json:"From"`
	To     uint64 `json:"To"`
	Offset int    `json:"Offset"`
}

type fetchResult struct {
	Data []byte `json:"Data"`
}

// cachedDelta is a large delta that subscribers fetch; it is not replaced by changes that are applied meanwhile.
type cachedDelta struct {
	largeDelta
	parts     chunks
	expiresAt time.Time
}

// chunks holds encoded objects in parts of fixed size, so that growing does not copy a buffer.
type chunks [][]byte

func (c *chunks) Write(data []byte) (int, error) {
	for rest := data; len(rest) > 0; {
		last := len(*c) - 1
		if last < 0 || len((*c)[last]) == chunkBytes {
			*c = append(*c, make([]byte, 0, chunkBytes))
			continue
		}
		count := min(chunkBytes-len((*c)[last]), len(rest))
		(*c)[last] = append((*c)[last], rest[:count]...)
		rest = rest[count:]
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

var errDeltaExpired = errs.New("the delta is no longer cached")

// cacheDelta caches a large delta for the subscribers that fetch it. The caller must hold n.mu.
func (n *Node) cacheDelta(l largeDelta, parts chunks) *largeDelta {
	l.Size = parts.size()
	n.cached = cachedDelta{l, parts, n.options.Now().Add(largeDeltaTTL)}
	return &l
}

// cacheLargeDelta encodes and caches a large delta of a small configuration or of many changes. The caller must hold n.mu.
func (n *Node) cacheLargeDelta(from uint64) (*largeDelta, error) {
	if n.cached.From == from && n.cached.To == n.options.Registry.Revision() {
		n.cached.expiresAt = n.options.Now().Add(largeDeltaTTL)
		return &n.cached.largeDelta, nil
	}
	d := n.options.Registry.DeltaSince(from)
	var parts chunks
	if err := parts.add(d.Objects); err != nil {
		return nil, Error.Wrap(err)
	}
	return n.cacheDelta(largeDelta{From: from, To: d.To, Snapshot: d.Snapshot}, parts), nil
}

// backgroundSnapshotObjects is the number of objects from which a snapshot is encoded in the background: encoding
// 140,000 adapters takes about a second, and neither the caller nor the other subscribers should wait for it.
const backgroundSnapshotObjects = 10_000

// maxSnapshotLag is how many revisions a cached snapshot may lag behind; its receivers get these as a delta.
const maxSnapshotLag = 1000

// cachedSnapshot returns the cached snapshot of a large configuration, or starts to encode one and returns nil. The
// result small is true if the subscriber does not need a large snapshot. The caller must hold n.mu.
func (n *Node) cachedSnapshot(from uint64) (l *largeDelta, small bool) {
	if !n.needsLargeSnapshot(from) {
		return nil, true
	}
	now := n.options.Now()
	k := &n.cached
	usable := k.Snapshot && k.To > from && n.options.Registry.Revision() <= k.To+maxSnapshotLag
	if usable && now.Before(k.expiresAt) {
		k.expiresAt = now.Add(largeDeltaTTL)
		return &k.largeDelta, false
	}
	if !n.encodingSnapshot && !n.stopped {
		n.encodingSnapshot = true
		n.background.Go(func() error {
			n.encodeSnapshot()
			return nil
		})
	}
	return nil, false
}

func (n *Node) needsLargeSnapshot(from uint64) bool {
	return n.options.Registry.NeedsSnapshot(from) && n.options.Registry.Size() >= backgroundSnapshotObjects
}

func (n *Node) receiveSnapshot(_ context.Context, _ string, p snapshotParams) (result snapshotResult, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.options.Registry.Revision() > p.Revision {
		var small bool
		result.Large, small = n.cachedSnapshot(p.Revision)
		result.Preparing = !small && result.Large == nil
	}
	return result, nil
}

// encodeSnapshot encodes and caches a snapshot. While it encodes, it does not hold n.mu, and it holds the lock of the
// registry for one page at a time.
func (n *Node) encodeSnapshot() {
	var parts chunks
	to, err := n.options.Registry.Stream(parts.add)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.encodingSnapshot = false
	if err == nil {
		l := n.cacheDelta(largeDelta{To: to, Snapshot: true}, parts)
		n.counters.Snapshots++
		n.counters.SnapshotBytes += uint64(l.Size)
	}
}

func (n *Node) receiveFetch(_ context.Context, _ string, p fetchParams) (fetchResult, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.options.Now()
	if !now.Before(n.cached.expiresAt) {
		n.cached = cachedDelta{}
	}
	k := &n.cached
	if k.From != p.From || k.To != p.To || p.Offset < 0 || p.Offset >= k.Size {
		return fetchResult{}, Error.Wrap(errDeltaExpired)
	}
	k.expiresAt = now.Add(largeDeltaTTL)
	return fetchResult{Data: k.parts[p.Offset/chunkBytes][p.Offset%chunkBytes:]}, nil
}

// partReader is an io.Reader over the parts of a large delta of another instance.
type partReader struct {
	node   *Node
	ctx    context.Context //nolint:containedctx // An io.Reader takes no context; it lives as long as one fetch.
	source string
	large  largeDelta
	offset int
	part   []byte
	// decoded returns the number of bytes up to the end of the last object.
	decoded func() int64
}

func (r *partReader) Read(p []byte) (int, error) {
	if len(r.part) == 0 {
		if r.offset >= r.large.Size {
			return 0, io.EOF
		}
		if int64(r.offset)-r.decoded() > maxObjectBytes {
			return 0, Error.New("object in a delta of %s is larger than %d bytes", r.source, maxObjectBytes)
		}
		answer, err := r.fetchPart()
		if err != nil {
			return 0, err
		}
		if len(answer.Data) == 0 {
			return 0, Error.Wrap(errDeltaExpired)
		}
		r.part = answer.Data
		r.offset += len(answer.Data)
	}
	count := copy(p, r.part)
	r.part = r.part[count:]
	return count, nil
}

// partAttempts is how often a part is requested, so that one part that is lost or late on a loaded machine does not
// discard the up to 33 MB fetched before it.
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

// fetch reads a large delta from the source and installs it. The objects of a snapshot are loaded into a new
// configuration one by one, because the message, its decoded form and the configuration together took 267 MB at 140,000
// adapters.
func (n *Node) fetch(ctx context.Context, source string, l largeDelta) error {
	if l.Size > maxDeltaBytes {
		return Error.New("delta of %s has %d bytes, limit %d", source, l.Size, maxDeltaBytes)
	}
	parts := &partReader{node: n, ctx: ctx, source: source, large: l}
	decoder := json.NewDecoder(parts)
	parts.decoded = decoder.InputOffset
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

// Polling of a peer that encodes its snapshot, which takes about a second at 140,000 adapters.
const (
	peerInterval = 250 * time.Millisecond
	peerAttempts = 20
)

// fetchFromPeer installs the snapshot of an instance that is not the source, so that a relay does not serve all
// restarting instances. It does not update the freshness; the source sends the changes after the snapshot.
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
	return Error.Wrap(errDeltaExpired)
}
