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

// stepParams holds the messages of all logs that the two instances share.
type stepParams struct {
	Logs []logMessages `json:"Logs"`
}

// stepResult holds the replies that were ready in time; From and To are omitted where they follow from the call.
type stepResult struct {
	Logs []logMessages `json:"Logs,omitempty"`
}

type logMessages struct {
	Group    string              `json:"Group"`
	Messages []consensus.Message `json:"Messages"`
}

// snapshotChunk holds a part of a snapshot's data; the snapshot in Message has no data.
type snapshotChunk struct {
	Group   string            `json:"Group"`
	Message consensus.Message `json:"Message"`
	Offset  int               `json:"Offset"`
	Total   int               `json:"Total"`
	Data    []byte            `json:"Data"`
}

// joinParams asks whether a log exists and, at the leader, requests membership for a voter outside the configuration.
type joinParams struct {
	Group string `json:"Group"`
	ID    string `json:"ID"`
	Name  string `json:"Name"`
}

type joinResult struct {
	ID     string `json:"ID"`
	Empty  bool   `json:"Empty,omitempty"`  // the answering voter has no log
	Leader string `json:"Leader,omitempty"` // instance name, if known
}

type emptyResult struct{}

// Router dispatches messages between voters to the log that they belong to. An instance has one for all its logs.
type Router struct {
	mu     sync.RWMutex
	voters map[string]*Voter
	queues map[string]*queue // messages to each instance
}

// NewRouter returns a router and registers the methods of voters at mux.
func NewRouter(mux *peer.Mux) *Router {
	r := &Router{voters: map[string]*Voter{}, queues: map[string]*queue{}}
	mux.Handle(stepMethod, peer.Typed(r.step))
	mux.Handle(snapshotMethod, peer.Typed(func(ctx context.Context, from string, p snapshotChunk) (emptyResult, error) {
		return emptyResult{}, r.withVoter(p.Group, func(v *Voter) error { return v.receiveChunk(ctx, from, p) })
	}))
	mux.Handle(joinMethod, peer.Typed(func(ctx context.Context, _ string, p joinParams) (result joinResult, err error) {
		err = r.withVoter(p.Group, func(v *Voter) error {
			result, err = v.receiveJoin(ctx, p)
			return err
		})
		return result, err
	}))
	return r
}

// Add registers a voter and the method for its proposals. A stopped voter may be replaced by a new one of the same log.
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
	mux.Handle(ProposeMethod(group), peer.Typed(func(ctx context.Context, from string, p proposal) (result proposalResult, err error) {
		err = r.withVoter(group, func(v *Voter) error {
			result, err = v.receiveProposal(ctx, from, p)
			return err
		})
		return result, err
	}))
}

// step dispatches the messages to their logs and waits for replies.
func (r *Router) step(ctx context.Context, from string, p stepParams) (result stepResult, err error) {
	waiting := make([]*replyCollector, 0, len(p.Logs))
	for _, log := range p.Logs {
		if len(log.Messages) == 0 {
			continue
		}
		answer := newReplyCollector(log.Group, log.Messages[0])
		// A stopped log must not affect the messages of the others.
		failed := r.withVoter(log.Group, func(v *Voter) error { return v.receive(ctx, from, log.Messages, answer) })
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
			result.Logs = append(result.Logs, logMessages{answer.group, compressReplies(messages, answer.first)})
		}
	}
	if len(waiting) > 0 {
		err = nil
	}
	return result, err
}

// hasSingleLog reports whether the instance has at most one log.
func (r *Router) hasSingleLog() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return len(r.voters) <= 1
}

func (r *Router) withVoter(group string, f func(v *Voter) error) error {
	r.mu.RLock()
	v := r.voters[group]
	r.mu.RUnlock()
	if v == nil {
		return Error.New("this instance is not a voter of log %q", group)
	}
	return f(v)
}

const (
	// maxInFlight is the number of concurrent calls to one peer; it keeps a link busy whose round trip exceeds the
	// interval between batches.
	maxInFlight = 8
	// maxQueued is the number of messages queued for one peer; the core repeats messages dropped beyond it.
	maxQueued = 1024
	// chunkBytes is the size of a snapshot chunk; it lets heartbeats pass between the chunks on a slow link.
	chunkBytes = 256 << 10
)

// queue holds the messages of all logs to one instance; one call sends all of them.
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

// hasUrgent reports whether the queue holds a message other than a periodic heartbeat.
func (q *queue) hasUrgent() bool {
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

// queue returns the message queue of an instance and creates it if needed.
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

// outbox sends the messages of one log to one instance, batched with those of other logs for the same instance.
type outbox struct {
	voter     *Voter
	name      string
	queue     *queue
	wake      chan struct{}
	snapshots chan consensus.Message

	mu               sync.Mutex
	snapshotReceiver string // identity that a snapshot is being sent to, "" if none
}

func (v *Voter) newOutbox(name string) *outbox {
	return &outbox{
		voter: v, name: name, queue: v.router.queue(name), wake: make(chan struct{}, 1),
		snapshots: make(chan consensus.Message, 1),
	}
}

// putSnapshot queues the snapshot unless a transfer is in progress: a second transfer would abort the first, because the
// receiver starts again. It returns false if the current transfer is for another identity, so that this snapshot has to
// be sent later.
func (b *outbox) putSnapshot(m consensus.Message) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.snapshotReceiver != "" {
		return b.snapshotReceiver == m.To
	}
	b.snapshotReceiver = m.To
	b.snapshots <- m // never blocks, because no other transfer is in progress
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
				b.snapshotReceiver = ""
				b.mu.Unlock()
				if err != nil {
					_ = b.voter.post(ctx, func(_ context.Context, l *loop) { l.replica.SnapshotFailed(m.To) })
				}
				return nil
			})
		case <-b.wake:
			b.awaitHeartbeats(ctx)
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

// awaitHeartbeats waits for the heartbeats of the other logs, which are due at the same multiples of the interval but are
// triggered by another ticker.
func (b *outbox) awaitHeartbeats(ctx context.Context) {
	if b.queue.hasUrgent() || b.voter.router.hasSingleLog() {
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
			if b.queue.hasUrgent() {
				return
			}
		}
	}
}

// send ignores errors, because the core repeats lost messages.
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
		expandReplies(answer.Messages, logs[at].Messages[0])
		_ = b.voter.router.withVoter(answer.Group, func(v *Voter) error {
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

// assembly is a partially received snapshot.
type assembly struct {
	index uint64
	term  uint64
	data  []byte
}

// receiveChunk appends chunks that arrive in order from one sender; a gap discards the assembly.
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
