// Package voter runs one replicated log on an instance with a disk. It combines the consensus core, the record store, a
// state machine and the transport between voters.
package voter

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"lycheevale/internal/base/event"
	"lycheevale/internal/state/consensus"
	"lycheevale/internal/state/record"
)

// Voter is this instance's replica of one log, with its event loop and transport.
type Voter struct {
	options Options
	client  *Client
	inputs  chan input
	stopped chan struct{}
	router  *Router

	mu         sync.Mutex
	status     Status
	assemblies map[string]*assembly
}

// Status is a point-in-time view of a voter.
type Status struct {
	consensus.Status
	Applied        uint64
	Leader         string    // instance name, "" if unknown
	ActingTerm     uint64    // term in which this voter leads, 0 if it does not or has not heard a majority since it was last suspended
	CheckedAt      time.Time // when ActingTerm was determined
	LeaderKnownAt  time.Time // when a leader was last known, at most one election timeout after its last message
	TruncatedTails []record.TruncatedTail
	Err            error // why the voter stopped
}

// input is a function that runs in the loop; all queued inputs share one sync.
type input func(ctx context.Context, l *loop)

// loop is the state owned by the goroutine of Run.
type loop struct {
	voter           *Voter
	replica         *Replica
	proposals       []pendingProposal
	waiting         map[uint64]waiter
	outboxes        map[string]*outbox
	pendingCalls    []pendingCall     // calls that wait for replies to their messages
	senders         map[string]string // instance names by identity, of voters that have sent messages
	group           *errgroup.Group
	nextMaintenance time.Time
	role            consensus.Role
	loggedSnapshot  uint64 // index of the last snapshot that was logged
}

type pendingProposal struct {
	data []byte
	term uint64 // in which this voter has to lead; 0 for any
	done chan<- proposalResult
}

type waiter struct {
	term uint64
	done chan<- proposalResult
}

// New returns a voter; Run starts it.
func New(opts ...Option) *Voter {
	o := defaults()
	for _, opt := range opts {
		opt(&o)
	}
	if o.Peers == nil {
		o.Peers = func() []string { return []string{o.Name} }
	}
	v := &Voter{
		options: o, inputs: make(chan input, o.MaxBatch), stopped: make(chan struct{}), assemblies: map[string]*assembly{},
	}
	// Without a shared router, as in a test of one voter, its messages are not batched with those of other logs.
	v.router = &Router{voters: map[string]*Voter{o.Group: v}, queues: map[string]*queue{}}
	v.client = NewClient(v.callLocal, o.Group, o.Peers)
	v.client.followed = v.followed
	return v
}

// followed returns the leader that this instance follows: that of this voter, unless WithLeader states another source.
func (v *Voter) followed() string {
	if v.options.Leader != nil {
		return v.options.Leader()
	}
	if s := v.Status(); s.Err == nil {
		return s.Leader
	}
	return ""
}

// callLocal handles calls to this instance without the network and forwards all others.
func (v *Voter) callLocal(ctx context.Context, to, method string, params, result any) (err error) {
	if to == v.options.Name {
		*result.(*proposalResult), err = v.receiveProposal(ctx, to, params.(proposal))
		return err
	}
	return v.options.Call(ctx, to, method, params, result)
}

// Propose sends data to the leader, which may be another instance, and returns the result of the state machine; see
// Client.Propose.
func (v *Voter) Propose(ctx context.Context, data []byte) (result []byte, err error) {
	return v.client.Propose(ctx, data)
}

// ProposeInTerm proposes data only while this voter leads in a term, for decisions that a leader has made from what it knew in that term. The error is
// ErrNoLeader if nothing was proposed.
func (v *Voter) ProposeInTerm(ctx context.Context, term uint64, data []byte) (result []byte, err error) {
	defer func() { err = Error.Wrap(err) }()
	answer, err := v.propose(ctx, pendingProposal{data: data, term: term})
	switch {
	case err != nil:
		return nil, errs.Combine(ErrOutcomeUnknown, err)
	case answer.Outcome == outcomeDone:
		return answer.Result, nil
	case answer.Outcome == outcomeNotLeader:
		return nil, ErrNoLeader
	case answer.Outcome == outcomeTooLarge:
		return nil, ErrTooLarge
	}
	return nil, ErrOutcomeUnknown
}

// Status returns the latest published status.
func (v *Voter) Status() Status {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.status
}

// Age returns the time since a leader was last known; it is meant for feed.WithAge.
func (v *Voter) Age() time.Duration { return v.options.Now().Sub(v.Status().LeaderKnownAt) }

// Run opens the data directory and takes part in the log until ctx ends or the disk fails.
func (v *Voter) Run(ctx context.Context) (err error) {
	defer func() {
		err = Error.Wrap(err)
		if err != nil {
			event.Log(ctx, v.options.Logger, event.VoterFailed, slog.String("Group", v.options.Group), slog.Any("Error", err))
		}
		v.mu.Lock()
		v.status.Err = err
		v.mu.Unlock()
		close(v.stopped)
	}()
	store, err := record.Open(v.options.Dir, v.options.Records...)
	if err != nil {
		return err
	}
	defer func() { _ = store.Close() }()
	v.mu.Lock()
	v.status.TruncatedTails = store.TruncatedTails()
	v.mu.Unlock()
	for _, tail := range store.TruncatedTails() {
		event.Log(ctx, v.options.Logger, event.LogTailCut, slog.String("Group", v.options.Group),
			slog.String("File", tail.File), slog.Int64("Offset", tail.Offset), slog.Int64("Bytes", tail.Bytes))
	}
	replicaOptions := v.options.Replica
	now := v.options.Now()
	// Voters that start simultaneously with equal seeds would campaign together and split every vote.
	seed := uint64(now.UnixNano()) ^ xxhash.Sum64String(v.options.Group+"/"+v.options.Name)
	replicaOptions.Consensus = slices.Concat([]consensus.Option{consensus.WithSeed(seed)}, replicaOptions.Consensus)
	first := v.firstConfig()
	if first.Voter(firstIdentity(v.options.Name)) {
		replicaOptions.NewIdentity = func() string { return firstIdentity(v.options.Name) }
	}
	replica, err := OpenReplica(now, store, v.options.Machine, replicaOptions)
	if err != nil {
		return err
	}
	if first.Voter(replica.ID()) && replica.Status().Last == 0 {
		if err := replica.Bootstrap(now, first); err != nil {
			return err
		}
		event.Log(ctx, v.options.Logger, event.LogBootstrapped, slog.String("Group", v.options.Group), slog.Int("Voters", len(first.Members)))
	}
	event.Log(ctx, v.options.Logger, event.VoterStarted, slog.String("Group", v.options.Group),
		slog.String("Identity", replica.ID()), slog.Uint64("Applied", replica.Applied()))
	group, ctx := errgroup.WithContext(ctx)
	l := &loop{
		voter: v, replica: replica, waiting: map[uint64]waiter{}, outboxes: map[string]*outbox{},
		senders: map[string]string{}, group: group,
	}
	group.Go(func() error { return l.run(ctx) })
	return group.Wait()
}

func (l *loop) run(ctx context.Context) error {
	defer l.failWaiting()
	ticker := time.NewTicker(l.voter.options.Tick)
	defer ticker.Stop()
	l.publish(ctx)
	for {
		due := false
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			due = true
		case in := <-l.voter.inputs:
			in(ctx, l)
		}
		l.step(ctx, due)
		if err := l.flush(ctx); err != nil {
			return err
		}
	}
}

// step handles the queued inputs, and then the clock if a tick is due: messages that waited while this process had no processor time count
// before timeouts do.
func (l *loop) step(ctx context.Context, due bool) {
	for n := len(l.voter.inputs); n > 0; n-- {
		in := <-l.voter.inputs
		in(ctx, l)
	}
	if due {
		l.replica.Tick(l.now())
		l.maintainMembership(ctx)
	}
	l.publishLeadership()
}

// publishLeadership publishes whether this voter leads, which must not wait for a slow disk, and holds as of the last time that the core has seen: the
// process may have been suspended since.
func (l *loop) publishLeadership() {
	term, at := l.replica.ActingTerm()
	l.voter.mu.Lock()
	defer l.voter.mu.Unlock()
	l.voter.status.ActingTerm, l.voter.status.CheckedAt = term, at
}

func (l *loop) now() time.Time { return l.voter.options.Now() }

// flush proposes the pending data as one batch, syncs once and delivers the effects.
func (l *loop) flush(ctx context.Context) error {
	l.proposeWaiting()
	effects, err := l.replica.Flush()
	if err != nil {
		return err
	}
	l.publish(ctx)
	l.writeSnapshot(ctx, effects.Snapshot)
	for _, m := range l.deliverReplies(effects.Messages) {
		if err := l.send(ctx, m); err != nil {
			return err
		}
	}
	for _, a := range effects.Applied {
		w, ok := l.waiting[a.Index]
		if !ok {
			continue
		}
		delete(l.waiting, a.Index)
		answer := proposalResult{Outcome: outcomeUnknown}
		if w.term == a.Term {
			answer = proposalResult{Outcome: outcomeDone, Result: a.Result}
		}
		w.done <- answer
	}
	if effects.Installed {
		event.Log(ctx, l.voter.options.Logger, event.SnapshotInstalled, slog.String("Group", l.voter.options.Group))
		l.failWaiting()
	}
	return nil
}

// writeSnapshot writes a due snapshot in its own goroutine; the loop installs it.
func (l *loop) writeSnapshot(ctx context.Context, job *SnapshotJob) {
	if job == nil {
		return
	}
	l.group.Go(func() error {
		err := job.Write()
		if err != nil {
			event.Log(ctx, l.voter.options.Logger, event.SnapshotFailed, slog.String("Group", l.voter.options.Group),
				slog.Any("Error", err))
		}
		// post fails only if the voter stops; the next start overwrites or ignores the file.
		_ = l.voter.post(ctx, func(_ context.Context, l *loop) { l.replica.FinishSnapshot(job, err) })
		return nil
	})
}

func (l *loop) proposeWaiting() {
	requests := l.proposals
	l.proposals = nil
	if len(requests) == 0 {
		return
	}
	status := l.replica.Status()
	requests = slices.DeleteFunc(requests, func(r pendingProposal) bool {
		late := r.term != 0 && (status.Role != consensus.Leader || status.Term != r.term)
		if late {
			r.done <- proposalResult{Outcome: outcomeNotLeader, Leader: leaderName(status)}
		}
		return late
	})
	if len(requests) == 0 {
		return
	}
	var data [][]byte
	for _, r := range requests {
		data = append(data, r.data)
	}
	first, err := l.replica.Propose(l.now(), data...)
	status = l.replica.Status()
	for i, r := range requests {
		if err != nil {
			r.done <- proposalResult{Outcome: outcomeNotLeader, Leader: leaderName(status)}
			continue
		}
		l.waiting[first+uint64(i)] = waiter{term: status.Term, done: r.done}
	}
}

// failWaiting completes all waiting proposals with an unknown outcome, because their results are no longer available.
func (l *loop) failWaiting() {
	for index, w := range l.waiting {
		w.done <- proposalResult{Outcome: outcomeUnknown}
		delete(l.waiting, index)
	}
}

func leaderName(s consensus.Status) string {
	for _, m := range s.Config.Members {
		if m.ID == s.Leader {
			return m.Name
		}
	}
	return ""
}

func (l *loop) publish(ctx context.Context) {
	s := l.replica.Status()
	v := l.voter
	v.mu.Lock()
	v.status.Status, v.status.Applied, v.status.Leader = s, l.replica.Applied(), leaderName(s)
	if now := l.now(); s.Leader != "" && !l.replica.Late(now) {
		v.status.LeaderKnownAt = now
	}
	v.mu.Unlock()
	l.publishLeadership()
	if s.Snapshot > l.loggedSnapshot {
		l.loggedSnapshot = s.Snapshot
		event.Log(ctx, v.options.Logger, event.SnapshotStored, slog.String("Group", v.options.Group),
			slog.Uint64("Index", s.Snapshot))
	}
	if s.Role != l.role {
		l.role = s.Role
		event.Log(ctx, v.options.Logger, event.VoterRoleChanged, slog.String("Group", v.options.Group),
			slog.String("Role", string(s.Role)), slog.Uint64("Term", s.Term))
	}
}

// send queues the message for the instance that holds the addressed identity.
func (l *loop) send(ctx context.Context, m consensus.Message) error {
	name := ""
	for _, member := range l.replica.Status().Config.Members {
		if member.ID == m.To {
			name = member.Name
		}
	}
	if name == "" {
		// A voter without a configuration replies to the leader that contacted it.
		name = l.senders[m.To]
	}
	if name == "" || name == l.voter.options.Name {
		return nil
	}
	m, err := l.replica.Fill(m)
	if err != nil {
		return err
	}
	b := l.outboxes[name]
	if b == nil {
		b = l.voter.newOutbox(name)
		l.outboxes[name] = b
		l.group.Go(func() error { return b.run(ctx) })
	}
	if m.Kind != consensus.InstallSnapshot {
		b.put(m)
	} else if !b.putSnapshot(m) {
		l.replica.SnapshotFailed(m.To)
	}
	return nil
}

// post queues an input for the loop.
func (v *Voter) post(ctx context.Context, in input) error {
	select {
	case <-v.stopped: // the channel may have room for an input that is never processed
		return ErrStopped
	default:
	}
	select {
	case v.inputs <- in:
		return nil
	case <-v.stopped:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// receive passes the messages of one call to the core; answer may be nil.
func (v *Voter) receive(ctx context.Context, from string, messages []consensus.Message, answer *replyCollector) error {
	return v.post(ctx, func(_ context.Context, l *loop) {
		if answer != nil {
			l.pendingCalls = append(l.pendingCalls, pendingCall{messages[0].From, answer})
		}
		for _, m := range messages {
			l.senders[m.From] = from
			l.replica.Step(l.now(), m)
		}
	})
}

// receiveProposal proposes data if this voter is the leader.
func (v *Voter) receiveProposal(ctx context.Context, _ string, p proposal) (proposalResult, error) {
	return v.propose(ctx, pendingProposal{data: p.Data})
}

func (v *Voter) propose(ctx context.Context, p pendingProposal) (proposalResult, error) {
	if len(p.data) > MaxProposalBytes {
		return proposalResult{Outcome: outcomeTooLarge}, nil
	}
	done := make(chan proposalResult, 1)
	p.done = done
	err := v.post(ctx, func(_ context.Context, l *loop) { l.proposals = append(l.proposals, p) })
	if err != nil {
		return proposalResult{}, err
	}
	select {
	case answer := <-done:
		return answer, nil
	case <-v.stopped:
		// The outcome is unknown; the error makes the client look for another leader.
		return proposalResult{}, ErrStopped
	case <-ctx.Done():
		return proposalResult{}, ctx.Err()
	}
}
