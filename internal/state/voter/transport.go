package voter

import (
	"context"
	"slices"
	"sync"
	"time"

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

// stepParams and stepResult carry the messages of all logs that the two instances share.
type stepParams struct {
	Logs []logMessages `json:"Logs"`
}

// stepResult holds the replies that were ready in time; From and To are left out where they follow from the call.
type stepResult struct {
	Logs []logMessages `json:"Logs,omitempty"`
}

type logMessages struct {
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
	queues map[string]*queue // messages to each instance
}

// NewRouter registers the methods of voters.
func NewRouter(mux *peer.Mux) *Router {
	r := &Router{voters: map[string]*Voter{}, queues: map[string]*queue{}}
	mux.Handle(stepMethod, peer.Typed(r.step))
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

// Add registers a voter and the method of its proposals. A voter that has stopped may be replaced by a new one of the
// same log.
func (r *Router) Add(mux *peer.Mux, v *Voter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	group := v.options.Group
	_, replaced := r.voters[group]
	r.voters[group] = v
	v.router = r
	if replaced {
		return
	}
	mux.Handle(ProposeMethod(group), peer.Typed(func(ctx context.Context, from string, p proposal) (result proposed, err error) {
		err = r.with(group, func(v *Voter) error {
			result, err = v.receiveProposal(ctx, from, p)
			return err
		})
		return result, err
	}))
}

// step hands the messages to their logs and waits for replies.
func (r *Router) step(ctx context.Context, from string, p stepParams) (result stepResult, err error) {
	waiting := make([]*reply, 0, len(p.Logs))
	for _, log := range p.Logs {
		if len(log.Messages) == 0 {
			continue
		}
		answer := newReply(log.Group, log.Messages[0])
		// The other logs must not wait for one that has stopped.
		failed := r.with(log.Group, func(v *Voter) error { return v.receive(ctx, from, log.Messages, answer) })
		if failed != nil {
			err = failed
			continue
		}
		waiting = append(waiting, answer)
	}
	timer := time.NewTimer(replyWait)
	defer timer.Stop()
	for _, answer := range waiting {
		if messages := answer.wait(ctx, timer); len(messages) > 0 {
			result.Logs = append(result.Logs, logMessages{answer.group, shorten(messages, answer.first)})
		}
	}
	if len(waiting) > 0 {
		err = nil
	}
	return result, err
}

// alone tells whether the instance has one log only.
func (r *Router) alone() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return len(r.voters) <= 1
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

// queue holds the messages of all logs to one instance; a call takes all of them.
type queue struct {
	mu       sync.Mutex
	logs     []logMessages
	messages int
}

func (q *queue) put(group string, m consensus.Message) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.messages >= maxQueued {
		return
	}
	q.messages++
	for i := range q.logs {
		if q.logs[i].Group == group {
			q.logs[i].Messages = append(q.logs[i].Messages, m)
			return
		}
	}
	q.logs = append(q.logs, logMessages{group, []consensus.Message{m}})
}

func (q *queue) take() []logMessages {
	q.mu.Lock()
	defer q.mu.Unlock()
	logs := q.logs
	q.logs, q.messages = nil, 0
	return logs
}

// urgent tells whether a message other than a periodic heartbeat waits.
func (q *queue) urgent() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, log := range q.logs {
		for _, m := range log.Messages {
			if !m.Periodic {
				return true
			}
		}
	}
	return false
}

// queue returns the messages to an instance.
func (r *Router) queue(name string) *queue {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.queues[name]
	if q == nil {
		q = &queue{}
		r.queues[name] = q
	}
	return q
}

// outbox sends the messages of one log to one instance, together with those that other logs have for it.
type outbox struct {
	voter     *Voter
	name      string
	queue     *queue
	wake      chan struct{}
	snapshots chan consensus.Message

	mu        sync.Mutex
	receiving string // identity to which a snapshot is on its way
}

func (v *Voter) newOutbox(name string) *outbox {
	return &outbox{
		voter: v, name: name, queue: v.router.queue(name), wake: make(chan struct{}, 1),
		snapshots: make(chan consensus.Message, 1),
	}
}

// putSnapshot sends the snapshot unless one is on its way: a second transfer would end the first, because the receiver
// starts again. It is false if that one is for another identity, so that this one has to be sent later.
func (b *outbox) putSnapshot(m consensus.Message) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.receiving != "" {
		return b.receiving == m.To
	}
	b.receiving = m.To
	b.snapshots <- m // has room, because no other one is on its way
	return true
}

func (b *outbox) put(m consensus.Message) {
	b.queue.put(b.voter.options.Group, m)
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

func (b *outbox) run(ctx context.Context) error {
	calls := errgroup.Group{}
	calls.SetLimit(maxInFlight)
	for {
		select {
		case <-ctx.Done():
			return calls.Wait()
		case m := <-b.snapshots:
			calls.Go(func() error {
				err := b.sendSnapshot(ctx, m)
				b.mu.Lock()
				b.receiving = ""
				b.mu.Unlock()
				if err != nil {
					_ = b.voter.post(ctx, func(_ context.Context, l *loop) { l.replica.SnapshotFailed(m.To) })
				}
				return nil
			})
		case <-b.wake:
			b.gather(ctx)
			logs := b.queue.take()
			if len(logs) == 0 {
				continue
			}
			calls.Go(func() error {
				b.send(ctx, logs)
				return nil
			})
		}
	}
}

// gather waits for the heartbeats of the other logs, which are due at the same multiples of the interval but are
// noticed by another ticker.
func (b *outbox) gather(ctx context.Context) {
	if b.queue.urgent() || b.voter.router.alone() {
		return
	}
	timer := time.NewTimer(b.voter.options.Tick)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-b.wake:
			if b.queue.urgent() {
				return
			}
		}
	}
}

// send does not report errors: the core repeats what was lost.
func (b *outbox) send(ctx context.Context, logs []logMessages) {
	var result stepResult
	if err := b.call(ctx, stepMethod, stepParams{Logs: logs}, &result); err != nil {
		return
	}
	for _, answer := range result.Logs {
		at := slices.IndexFunc(logs, func(l logMessages) bool { return l.Group == answer.Group })
		if at < 0 {
			continue
		}
		lengthen(answer.Messages, logs[at].Messages[0])
		_ = b.voter.router.with(answer.Group, func(v *Voter) error {
			return v.receive(ctx, b.name, answer.Messages, nil)
		})
	}
}

func (b *outbox) call(ctx context.Context, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, b.voter.options.CallTimeout)
	defer cancel()
	return b.voter.options.Call(ctx, b.name, method, params, result)
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
		if err := b.call(ctx, snapshotMethod, chunk, nil); err != nil {
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
	return v.receive(ctx, from, []consensus.Message{p.Message}, nil)
}
