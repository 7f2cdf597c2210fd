package voter

import (
	"context"
	"sync"

	"golang.org/x/sync/errgroup"

	"lycheevale/internal/state/consensus"
	"lycheevale/internal/wire/peer"
)

// Methods between voters, shared by all logs of an instance.
const (
	stepMethod     = "Consensus.Step"
	snapshotMethod = "Consensus.Snapshot"
	joinMethod     = "Consensus.Join"
)

type stepParams struct {
	Group    string              `json:"Group"`
	Messages []consensus.Message `json:"Messages"`
}

// snapshotChunk is a part of the data of the snapshot in Message, which itself has none.
type snapshotChunk struct {
	Group   string            `json:"Group"`
	Message consensus.Message `json:"Message"`
	Offset  int               `json:"Offset"`
	Total   int               `json:"Total"`
	Data    []byte            `json:"Data"`
}

// joinParams introduces a voter that is not in the configuration, or asks whether a log exists.
type joinParams struct {
	Group string `json:"Group"`
	ID    string `json:"ID"`
	Name  string `json:"Name"`
}

type joinResult struct {
	ID     string `json:"ID"`
	Empty  bool   `json:"Empty,omitempty"`  // the voter has no log either
	Leader string `json:"Leader,omitempty"` // instance name, if known
}

type empty struct{}

// Router hands the messages of voters to the log they belong to; an instance has one for all its logs.
type Router struct {
	mu     sync.RWMutex
	voters map[string]*Voter
}

// NewRouter registers the methods of voters.
func NewRouter(mux *peer.Mux) *Router {
	r := &Router{voters: map[string]*Voter{}}
	mux.Handle(stepMethod, peer.Typed(func(ctx context.Context, from string, p stepParams) (empty, error) {
		return empty{}, r.with(p.Group, func(v *Voter) error { return v.receive(ctx, from, p.Messages) })
	}))
	mux.Handle(snapshotMethod, peer.Typed(func(ctx context.Context, from string, p snapshotChunk) (empty, error) {
		return empty{}, r.with(p.Group, func(v *Voter) error { return v.receiveChunk(ctx, from, p) })
	}))
	mux.Handle(joinMethod, peer.Typed(func(ctx context.Context, _ string, p joinParams) (result joinResult, err error) {
		err = r.with(p.Group, func(v *Voter) error {
			result, err = v.receiveJoin(ctx, p)
			return err
		})
		return result, err
	}))
	return r
}

// Add registers a voter and the method of its proposals; it is called once for each log.
func (r *Router) Add(mux *peer.Mux, v *Voter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.voters[v.options.Group] = v
	mux.Handle(ProposeMethod(v.options.Group), peer.Typed(v.receiveProposal))
}

func (r *Router) with(group string, f func(v *Voter) error) error {
	r.mu.RLock()
	v := r.voters[group]
	r.mu.RUnlock()
	if v == nil {
		return Error.New("this instance is no voter of log %q", group)
	}
	return f(v)
}

const (
	// maxInFlight calls to one peer keep messages flowing over a link whose round trip exceeds the interval of
	// batches.
	maxInFlight = 8
	// maxQueued messages wait for one peer; the core repeats what is dropped beyond it.
	maxQueued = 1024
	// chunkBytes of a snapshot in one call keep heartbeats between them on a slow link.
	chunkBytes = 256 << 10
)

// outbox sends the messages to one peer.
type outbox struct {
	voter *Voter
	name  string
	queue chan consensus.Message
}

func (b *outbox) put(m consensus.Message) {
	select {
	case b.queue <- m:
	default:
	}
}

func (b *outbox) run(ctx context.Context) error {
	calls, ctx := errgroup.WithContext(ctx)
	calls.SetLimit(maxInFlight)
	for {
		select {
		case <-ctx.Done():
			return calls.Wait()
		case m := <-b.queue:
			batch := []consensus.Message{m}
			for len(b.queue) > 0 {
				batch = append(batch, <-b.queue)
			}
			calls.Go(func() error {
				b.send(ctx, batch)
				return nil
			})
		}
	}
}

// send does not report errors: the core repeats what was lost.
func (b *outbox) send(ctx context.Context, batch []consensus.Message) {
	var small []consensus.Message
	for _, m := range batch {
		if m.Kind != consensus.InstallSnapshot {
			small = append(small, m)
			continue
		}
		if err := b.sendSnapshot(ctx, m); err != nil {
			_ = b.voter.post(ctx, func(_ context.Context, l *loop) { l.replica.SnapshotFailed(m.To) })
		}
	}
	if len(small) > 0 {
		_ = b.call(ctx, stepMethod, stepParams{Group: b.voter.options.Group, Messages: small})
	}
}

func (b *outbox) call(ctx context.Context, method string, params any) error {
	ctx, cancel := context.WithTimeout(ctx, b.voter.options.CallTimeout)
	defer cancel()
	return b.voter.options.Call(ctx, b.name, method, params, nil)
}

func (b *outbox) sendSnapshot(ctx context.Context, m consensus.Message) error {
	header := *m.Snapshot
	data := header.Data
	header.Data = nil
	m.Snapshot = &header
	for offset := 0; offset == 0 || offset < len(data); offset += chunkBytes {
		chunk := snapshotChunk{
			Group: b.voter.options.Group, Message: m, Offset: offset, Total: len(data),
			Data: data[offset:min(offset+chunkBytes, len(data))],
		}
		if err := b.call(ctx, snapshotMethod, chunk); err != nil {
			return err
		}
	}
	return nil
}

// assembly is a snapshot of which chunks arrive.
type assembly struct {
	index uint64
	term  uint64
	data  []byte
}

// receiveChunk joins chunks that arrive in order from one sender; any gap discards the assembly.
func (v *Voter) receiveChunk(ctx context.Context, from string, p snapshotChunk) error {
	if p.Message.Snapshot == nil {
		return Error.New("snapshot chunk without a header")
	}
	v.mu.Lock()
	a := v.assemblies[from]
	if p.Offset == 0 {
		a = &assembly{index: p.Message.Snapshot.Index, term: p.Message.Term}
		v.assemblies[from] = a
	}
	if a == nil || a.index != p.Message.Snapshot.Index || a.term != p.Message.Term || len(a.data) != p.Offset {
		delete(v.assemblies, from)
		v.mu.Unlock()
		return Error.New("snapshot chunk at offset %d is out of order", p.Offset)
	}
	a.data = append(a.data, p.Data...)
	complete := len(a.data) >= p.Total
	if complete {
		delete(v.assemblies, from)
	}
	v.mu.Unlock()
	if !complete {
		return nil
	}
	p.Message.Snapshot.Data = a.data
	return v.receive(ctx, from, []consensus.Message{p.Message})
}
