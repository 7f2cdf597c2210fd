package instance

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"lycheevale/internal/base/event"
	"lycheevale/internal/base/repeat"
	"lycheevale/internal/base/settings"
	"lycheevale/internal/member/node"
	"lycheevale/internal/state/feed"
	"lycheevale/internal/state/registry"
	"lycheevale/internal/state/revoke"
	"lycheevale/internal/wire/peer"
)

// Intervals of polling the voters for the leader and of writing withdrawals to the log.
const (
	leaderPollInterval = 500 * time.Millisecond
	recordInterval     = time.Second // between attempts to write withdrawals to the log
)

// distribution receives the configuration and the withdrawn keys and forwards them to other instances.
type distribution struct {
	settings settings.Settings
	options  Options
	state    *state
	members  func() node.View
	call     peer.Caller
	feed     *feed.Node
	revoke   *revoke.Node

	mu       sync.Mutex
	revision uint64          // up to which withdrawals in the log were passed to revoke
	pending  map[string]bool // withdrawn keys that may not be in the log yet
	leader   string          // of the configuration log, as last reported by a voter
}

func newDistribution(st *state, mux *peer.Mux, call peer.Caller, members func() node.View) *distribution {
	s, o := st.settings, st.options
	d := &distribution{settings: s, options: o, state: st, members: members, call: call, pending: map[string]bool{}}
	d.revoke = revoke.New(revoke.WithName(s.Name), revoke.WithCaller(call), revoke.WithLogger(o.Logger),
		revoke.WithPeers(d.localInstances, d.remoteInstances), revoke.WithWithdrawn(d.addPending))
	opts := []feed.Option{
		feed.WithName(s.Name, s.DataCentre), feed.WithRegistry(st.registry),
		feed.WithCaller(st.traced(call, "Feed.Push", StepDistribute)),
		feed.WithLogger(o.Logger), feed.WithNow(o.Now), feed.WithInstalled(d.installed), feed.WithSources(d.sources),
	}
	if st.ownsLog() {
		opts = append(opts, feed.WithAge(d.logAge))
	}
	d.feed = feed.New(opts...)
	d.feed.Register(mux)
	d.revoke.Register(mux)
	return d
}

// installed is called after a delta from another instance was installed.
func (d *distribution) installed(delta registry.Delta) {
	d.options.Trace(StepApply)
	d.revoke.Observe(delta)
}

// logRestored is called after a snapshot replaced the configuration of this voter.
func (d *distribution) logRestored() {
	d.mu.Lock()
	d.revision = 0
	d.mu.Unlock()
	d.logChanged()
}

// logChanged is called after the log of this voter has changed the configuration.
func (d *distribution) logChanged() {
	d.mu.Lock()
	delta := d.state.registry.DeltaSince(d.revision)
	d.revision = delta.To
	d.mu.Unlock()
	d.revoke.Observe(delta)
	d.feed.Changed()
}

// logAge returns the time since this voter last confirmed that its log is current.
func (d *distribution) logAge() time.Duration {
	if d.state.config == nil {
		return 0
	}
	return d.state.config.Age()
}

// sources lists the instances to read the configuration from, in order of preference. The relay, which is the
// coordinator's instance, reads from the voters, then from other instances of its data centre. The others read from the
// relay, then from the voters, then from each other. While the relay is unreachable, its subscribers try the voters
// before each other, because subscribers that read from each other in a ring would receive no change for 5 s.
func (d *distribution) sources() []string {
	if d.state.ownsLog() {
		return nil
	}
	view := d.members()
	voters := d.state.voters()
	if view.Coordinator == d.settings.Name {
		return slices.Concat(voters, d.localInstances())
	}
	list := []string{}
	if view.Coordinator != "" {
		list = append(list, view.Coordinator)
	}
	return unique(slices.Concat(list, voters, d.localInstances()))
}

func unique(names []string) (list []string) {
	for _, name := range names {
		if !slices.Contains(list, name) {
			list = append(list, name)
		}
	}
	return list
}

// localInstances lists the other instances of the data centre.
func (d *distribution) localInstances() (names []string) {
	for _, i := range d.members().Instances {
		names = append(names, i.Name)
	}
	for _, m := range d.configuredMembers() {
		if m.DataCentre == d.settings.DataCentre {
			names = append(names, m.Name)
		}
	}
	return slices.DeleteFunc(unique(names), func(name string) bool { return name == d.settings.Name })
}

func (d *distribution) configuredMembers() []settings.Member {
	return slices.Concat(d.settings.Keepers, d.settings.Peers, d.settings.Voters)
}

// remoteInstances lists one instance of each other data centre. Each call picks at random, so that an unreachable instance
// is soon replaced by another.
func (d *distribution) remoteInstances() (names []string) {
	byCentre := map[string][]string{}
	for _, m := range d.configuredMembers() {
		if m.DataCentre != d.settings.DataCentre && !slices.Contains(byCentre[m.DataCentre], m.Name) {
			byCentre[m.DataCentre] = append(byCentre[m.DataCentre], m.Name)
		}
	}
	for _, list := range byCentre {
		names = append(names, list[rand.N(len(list))])
	}
	slices.Sort(names)
	return names
}

// addPending stores withdrawn keys until they are written to the log.
func (d *distribution) addPending(ids []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, id := range ids {
		d.pending[id] = true
	}
}

func (d *distribution) runners() []func(context.Context) error {
	return []func(context.Context) error{d.feed.Run, d.revoke.Run, d.recordWithdrawals, d.followLeader}
}

// recordWithdrawals writes withdrawals that were accepted elsewhere to the log while this instance leads it, so that
// they survive the loss of all instances without disks.
func (d *distribution) recordWithdrawals(ctx context.Context) error {
	return repeat.Every(ctx, recordInterval, func(ctx context.Context) {
		if !d.state.isLeader() {
			return
		}
		d.mu.Lock()
		ids := make([]string, 0, len(d.pending))
		for id := range d.pending {
			ids = append(ids, id)
		}
		d.mu.Unlock()
		for _, id := range ids {
			d.recordWithdrawal(ctx, id)
		}
	})
}

func (d *distribution) recordWithdrawal(ctx context.Context, id string) {
	o, ok := d.state.registry.Get(registry.KindKey, id)
	if ok && !o.Key.Withdrawn {
		if _, err := d.state.change(ctx, withdrawal(o, d.options.Wall())); err != nil {
			event.Log(ctx, d.options.Logger, event.WithdrawalPending, slog.String("Key", id), slog.Any("Error", err))
			return
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.pending, id)
}

func withdrawal(o registry.Object, at time.Time) registry.Command {
	spec := *o.Key
	spec.Withdrawn = true
	return registry.Command{
		RequestID: "withdraw/" + o.Name, Operator: "withdraw", At: at,
		Changes: []registry.Object{{Kind: registry.KindKey, Name: o.Name, Key: &spec}},
	}
}

// followLeader polls the voters in turn for the leader of the configuration log, on instances that are not voters.
func (d *distribution) followLeader(ctx context.Context) error {
	if d.state.ownsLog() {
		return nil
	}
	next := 0
	return repeat.Every(ctx, leaderPollInterval, func(ctx context.Context) {
		voters := d.state.voters()
		name := voters[next%len(voters)]
		next++
		ctx, cancel := context.WithTimeout(ctx, leaderPollInterval)
		defer cancel()
		var description Description
		if d.call(ctx, name, describeMethod, struct{}{}, &description) != nil || description.Leader == "" {
			return
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		d.leader = description.Leader
		next-- // keep polling a voter that answers
	})
}
