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

// Times of following the voters.
const (
	leaderInterval = 500 * time.Millisecond
	recordInterval = time.Second // between two attempts to write withdrawals to the log
)

// distribution brings the configuration and the withdrawn keys to this instance and on to others.
type distribution struct {
	settings settings.Settings
	options  Options
	state    *state
	members  func() node.View
	call     peer.Caller
	feed     *feed.Node
	revoke   *revoke.Node

	mu       sync.Mutex
	revision uint64          // up to which the log's withdrawals were observed
	pending  map[string]bool // withdrawn keys that the log may not hold yet
	leader   string          // of the configuration log, as a voter told
}

func newDistribution(st *state, mux *peer.Mux, call peer.Caller, members func() node.View) *distribution {
	s, o := st.settings, st.options
	d := &distribution{settings: s, options: o, state: st, members: members, call: call, pending: map[string]bool{}}
	d.revoke = revoke.New(revoke.WithName(s.Name), revoke.WithCaller(call), revoke.WithLogger(o.Logger),
		revoke.WithPeers(d.local, d.remote), revoke.WithWithdrawn(d.remember))
	opts := []feed.Option{
		feed.WithName(s.Name, s.DataCentre), feed.WithRegistry(st.registry),
		feed.WithCaller(st.traced(call, "Feed.Push", StepDistribute)),
		feed.WithLogger(o.Logger), feed.WithNow(o.Now), feed.WithInstalled(d.installed), feed.WithSources(d.sources),
	}
	if st.own() {
		opts = append(opts, feed.WithAge(d.age))
	}
	d.feed = feed.New(opts...)
	d.feed.Register(mux)
	d.revoke.Register(mux)
	return d
}

// installed is called after a delta came from another instance.
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

// age tells how long ago this voter knew that its log is current.
func (d *distribution) age() time.Duration {
	if d.state.config == nil {
		return 0
	}
	return d.state.config.Age()
}

// sources lists where the configuration comes from: the voters for the relay, which is the coordinator's instance, and
// the relay, then the voters, then other instances of the data centre for the others. While the relay is lost, its
// subscribers go to the voters before they go to each other, because a ring of them would learn nothing for 5 s.
func (d *distribution) sources() []string {
	if d.state.own() {
		return nil
	}
	view := d.members()
	voters := d.state.voters()
	if view.Coordinator == d.settings.Name {
		return slices.Concat(voters, d.local())
	}
	list := []string{}
	if view.Coordinator != "" {
		list = append(list, view.Coordinator)
	}
	return unique(slices.Concat(list, voters, d.local()))
}

func unique(names []string) (list []string) {
	for _, name := range names {
		if !slices.Contains(list, name) {
			list = append(list, name)
		}
	}
	return list
}

// local lists the other instances of the data centre.
func (d *distribution) local() (names []string) {
	for _, i := range d.members().Instances {
		names = append(names, i.Name)
	}
	for _, m := range d.known() {
		if m.DataCentre == d.settings.DataCentre {
			names = append(names, m.Name)
		}
	}
	return slices.DeleteFunc(unique(names), func(name string) bool { return name == d.settings.Name })
}

func (d *distribution) known() []settings.Member {
	return slices.Concat(d.settings.Keepers, d.settings.Peers, d.settings.Voters)
}

// remote lists one instance of each other data centre, another one each time, so that a lost one is left out soon.
func (d *distribution) remote() (names []string) {
	byCentre := map[string][]string{}
	for _, m := range d.known() {
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

// remember keeps withdrawn keys until the log holds them.
func (d *distribution) remember(ids []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, id := range ids {
		d.pending[id] = true
	}
}

func (d *distribution) runners() []func(context.Context) error {
	return []func(context.Context) error{d.feed.Run, d.revoke.Run, d.record, d.followLeader}
}

// record makes the leader of the log write withdrawals that were accepted elsewhere, so that they survive the loss of
// all instances without disks.
func (d *distribution) record(ctx context.Context) error {
	return repeat.Every(ctx, recordInterval, func(ctx context.Context) {
		if !d.state.leading() {
			return
		}
		d.mu.Lock()
		ids := make([]string, 0, len(d.pending))
		for id := range d.pending {
			ids = append(ids, id)
		}
		d.mu.Unlock()
		for _, id := range ids {
			d.recordOne(ctx, id)
		}
	})
}

func (d *distribution) recordOne(ctx context.Context, id string) {
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

// followLeader asks the voters in turn who leads, on instances without a vote.
func (d *distribution) followLeader(ctx context.Context) error {
	if d.state.own() {
		return nil
	}
	next := 0
	return repeat.Every(ctx, leaderInterval, func(ctx context.Context) {
		voters := d.state.voters()
		name := voters[next%len(voters)]
		next++
		ctx, cancel := context.WithTimeout(ctx, leaderInterval)
		defer cancel()
		var description Description
		if d.call(ctx, name, describeMethod, struct{}{}, &description) != nil || description.Leader == "" {
			return
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		d.leader = description.Leader
		next-- // a voter that answers is asked again
	})
}
