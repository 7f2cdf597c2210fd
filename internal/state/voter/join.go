package voter

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"lycheevale/internal/base/event"
	"lycheevale/internal/state/consensus"
)

// joinInterval is the time between two attempts to join and between two steps of the leader's membership changes.
const joinInterval = 500 * time.Millisecond

// maintainMembership requests membership for a voter without it and, at the leader, brings the members in line with the
// wanted voters.
func (l *loop) maintainMembership(ctx context.Context) {
	if l.now().Before(l.nextMaintenance) {
		return
	}
	l.nextMaintenance = l.now().Add(joinInterval)
	s := l.replica.Status()
	if s.Role == consensus.Leader {
		l.reconcile(ctx, s)
		return
	}
	if s.Removed || !s.Config.Voter(l.replica.ID()) {
		l.group.Go(func() error {
			l.voter.join(ctx, l.replica.ID())
			return nil
		})
	}
}

// firstConfig returns the configuration of the first voters, empty at a later start.
func (v *Voter) firstConfig() (config consensus.Config) {
	for _, name := range slices.Compact(slices.Sorted(slices.Values(v.options.FirstVoters))) {
		config.Members = append(config.Members, consensus.Member{ID: firstIdentity(name), Name: name})
	}
	return config
}

// firstIdentity returns the identity of a first voter, which all of them know. One that has lost its disk gets another one, because it is not started as a
// first voter again.
func firstIdentity(name string) string { return "First-" + name }

// join contacts all wanted voters. Only if none of them has a log, the first by name creates it; a voter that lost its
// disk can therefore not create a second log while another voter still has the first.
func (v *Voter) join(ctx context.Context, id string) {
	event.Log(ctx, v.options.Logger, event.VoterNotMember, slog.String("Group", v.options.Group))
	ctx, cancel := context.WithTimeout(ctx, v.options.CallTimeout)
	defer cancel()
	peers := slices.Sorted(slices.Values(v.options.Peers()))
	answers := make([]joinResult, len(peers))
	var calls errgroup.Group // at the same time: one that is silent delays no other
	for i, name := range peers {
		if name == v.options.Name {
			answers[i] = joinResult{ID: id, Empty: true}
			continue
		}
		calls.Go(func() error {
			params := joinParams{Group: v.options.Group, ID: id, Name: v.options.Name}
			if err := v.options.Call(ctx, name, joinMethod, params, &answers[i]); err != nil {
				answers[i] = joinResult{}
			}
			return nil
		})
	}
	_ = calls.Wait() // its functions return no errors
	members := make([]consensus.Member, 0, len(peers))
	for i, a := range answers {
		if a.Empty {
			members = append(members, consensus.Member{ID: a.ID, Name: peers[i]})
		}
	}
	if len(peers) == 0 || len(members) < len(peers) || peers[0] != v.options.Name || !v.options.MayBootstrap() {
		return
	}
	_ = v.post(ctx, func(ctx context.Context, l *loop) {
		// Bootstrap fails if a log exists by now, or if the disk has failed, which Flush reports.
		if err := l.replica.Bootstrap(l.now(), consensus.Config{Members: members}); err == nil {
			event.Log(ctx, v.options.Logger, event.LogBootstrapped, slog.String("Group", v.options.Group),
				slog.Int("Voters", len(members)))
		}
	})
}

// receiveJoin answers whether this voter has a log, and adds the joining voter as a learner if this voter leads.
func (v *Voter) receiveJoin(ctx context.Context, p joinParams) (result joinResult, err error) {
	done := make(chan joinResult, 1)
	err = v.post(ctx, func(ctx context.Context, l *loop) {
		s := l.replica.Status()
		member := consensus.Member{ID: p.ID, Name: p.Name}
		known := slices.ContainsFunc(s.Config.Members, func(m consensus.Member) bool { return m.ID == p.ID })
		if s.Role == consensus.Leader && !known && slices.Contains(v.options.Peers(), p.Name) {
			l.change(ctx, consensus.Change{Kind: consensus.AddLearner, Member: member})
		}
		done <- joinResult{ID: l.replica.ID(), Empty: s.Last == 0, Leader: leaderName(s)}
	})
	if err != nil {
		return joinResult{}, err
	}
	select {
	case result = <-done:
		return result, nil
	case <-ctx.Done():
		return joinResult{}, ctx.Err()
	case <-v.stopped:
		return joinResult{}, ErrStopped
	}
}

// reconcile takes at most one step towards the wanted voters.
func (l *loop) reconcile(ctx context.Context, s consensus.Status) {
	if change, needed := NextChange(s, l.voter.options.Peers()); needed {
		l.change(ctx, change)
	}
}

// NextChange returns the leader's next step towards the wanted voters: it promotes a learner that has caught up, or
// removes a member that another identity of the same instance has replaced, or one that is no longer wanted once all
// wanted ones vote.
func NextChange(s consensus.Status, wanted []string) (change consensus.Change, needed bool) {
	votes := func(m consensus.Member) bool { return !m.Learner }
	for _, m := range s.Config.Members {
		if m.Learner && s.Match[m.ID] >= s.Commit {
			return consensus.Change{Kind: consensus.Promote, Member: m}, true
		}
	}
	complete := len(wanted) > 0 && !slices.ContainsFunc(wanted, func(name string) bool {
		return !slices.ContainsFunc(s.Config.Members, func(m consensus.Member) bool { return m.Name == name && votes(m) })
	})
	for i, m := range s.Config.Members {
		replaced := slices.ContainsFunc(s.Config.Members[i+1:], func(later consensus.Member) bool {
			return later.Name == m.Name && votes(later)
		})
		if replaced || (complete && !slices.Contains(wanted, m.Name)) {
			return consensus.Change{Kind: consensus.Remove, Member: m}, true
		}
	}
	return consensus.Change{}, false
}

// change proposes a membership change; the next reconcile or join repeats a refused one.
func (l *loop) change(ctx context.Context, change consensus.Change) {
	if err := l.replica.ChangeMember(l.now(), change); err != nil {
		return
	}
	event.Log(ctx, l.voter.options.Logger, event.MemberChanged, slog.String("Group", l.voter.options.Group),
		slog.String("Change", string(change.Kind)), slog.String("Instance", change.Member.Name),
		slog.String("Identity", change.Member.ID))
}
