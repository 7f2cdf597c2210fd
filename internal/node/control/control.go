// Package control implements a control instance, which has a disk: it replicates the log of the configuration, accepts
// announcements of endpoints, and, while it leads, places adapters, sends orders to endpoints and updates entries.
package control

import (
	"context"
	"log/slog"
	"maps"
	"net/netip"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"lycheevale/internal/base/event"
	"lycheevale/internal/base/repeat"
	"lycheevale/internal/member/council"
	"lycheevale/internal/state/consensus"
	"lycheevale/internal/state/document"
	"lycheevale/internal/state/voter"
	"lycheevale/internal/wire/peer"
)

// Error is the class of errors of this package.
var Error = errs.Class("control")

// ErrUnavailable is returned if no leader answered; the outcome of the call is then unknown.
var ErrUnavailable = errs.New("no leader answers")

// logGroup names the replicated log.
const logGroup = "Config"

// Control is one control instance.
type Control struct {
	options Options
	name    string
	mux     *peer.Mux
	peers   *peer.Node
	router  *voter.Router
	group   *errgroup.Group

	mu            sync.Mutex
	seeds         []netip.AddrPort
	voter         *voter.Voter
	machine       *document.Machine
	lastContact   map[string]time.Time      // other control instances by name, with the time of their last message
	state         *leaderState              // nil unless this instance leads
	leader        string                    // the leader if it is reachable, "" if there is none
	reported      council.Contact           // the leader as other control instances know it
	gossiped      council.Contact           // the leader of the own voter that was gossiped last
	gossipNow     chan struct{}             // wakes the exchange of gossip
	leaderChanged chan struct{}             // closed when leader or state change
	lastLed       leadPeriod                // the last period in which this instance led
	leadership    func() council.Leadership // as the voter last reported it; called with mu held
}

// leadPeriod is a period in which an instance led.
type leadPeriod struct {
	term  uint64
	until time.Time
}

// New returns an instance; Run starts it.
func New(opts ...Option) *Control {
	o := newOptions(opts)
	c := &Control{
		options: o, name: o.Settings.Address.String(), mux: peer.NewMux(), lastContact: map[string]time.Time{},
		seeds: o.Settings.Seeds, machine: document.NewMachine(), leaderChanged: make(chan struct{}),
		gossipNow: make(chan struct{}, 1),
	}
	c.leadership = c.voterLeadership
	c.router = voter.NewRouter(c.mux)
	c.handle()
	peerOptions := append([]peer.Option{
		peer.WithName(c.name), peer.WithListen(o.Settings.Listen.Peers), peer.WithMux(c.mux), peer.WithLogger(o.Logger),
		peer.WithResolve(Resolve(o.Settings.Listen.Peers.Port())), peer.WithScope(o.Scope),
		peer.WithPrivateNetwork(), WithLinkTimes(),
	}, o.Peer...)
	c.peers = peer.New(peerOptions...)
	return c
}

// Settings of the links between instances.
const (
	maxMessage       = 16 << 20               // bytes; a configuration of 4 MiB, encoded twice
	linkIdleInterval = 2 * time.Second        // cheap even with several dozen links
	linkBusyInterval = 400 * time.Millisecond // over six round trips between regions
	linkTimeout      = 500 * time.Millisecond // the same, so that a broken link is detected within a second
	minRedialWait    = 50 * time.Millisecond
	maxRedialWait    = 400 * time.Millisecond // well below the time that a restarted instance needs to catch up
)

// WithLinkTimes sets how soon a broken link between instances is detected and re-established, and the largest message.
func WithLinkTimes() peer.Option {
	return func(o *peer.Options) {
		peer.WithHeartbeat(linkIdleInterval, linkBusyInterval, linkTimeout)(o)
		peer.WithRetry(minRedialWait, maxRedialWait)(o)
		peer.WithMaxMessage(maxMessage)(o)
	}
}

// Resolve returns the address of an instance that is named by its IP address.
func Resolve(port uint16) func(name string) (netip.AddrPort, bool) {
	return func(name string) (netip.AddrPort, bool) {
		a, err := netip.ParseAddr(name)
		return netip.AddrPortFrom(a, port), err == nil
	}
}

// Run serves until ctx ends.
func (c *Control) Run(ctx context.Context) (err error) {
	defer func() { err = Error.Wrap(err) }()
	group, ctx := errgroup.WithContext(ctx)
	c.group = group
	group.Go(func() error { return c.peers.Run(ctx) })
	group.Go(func() error { return c.runVoter(ctx) })
	group.Go(func() error { return repeat.Every(ctx, tickInterval, c.tick) })
	group.Go(func() error { return c.runGossip(ctx) })
	return group.Wait()
}

const (
	// tickInterval is the time resolution of adapter loads, the shortest of which take 25 ms.
	tickInterval = 25 * time.Millisecond
	voterRestart = 500 * time.Millisecond
)

// runVoter runs the voter of the log, and restarts it after a disk failure, which may be temporary.
func (c *Control) runVoter(ctx context.Context) error {
	for ctx.Err() == nil {
		machine := document.NewMachine()
		v := voter.New(
			voter.WithGroup(logGroup), voter.WithName(c.name), voter.WithDir(filepath.Join(c.options.Settings.DataFolder, "log")),
			voter.WithMachine(voter.StateMachine{Apply: machine.Apply, View: machine.View, Restore: machine.Restore}),
			voter.WithCaller(c.peers.Call), voter.WithPeers(c.desiredPeers), voter.WithLogger(c.options.Logger),
			voter.WithSnapshotEvery(snapshotEvery, keepEntries), voter.WithFirstVoters(c.firstVoters()), voter.WithMayBootstrap(func() bool { return false }), voter.WithNow(c.options.Now),
			voter.WithLeader(c.knownLeader),
			voter.WithConsensus(consensus.WithElectionTimeout(electionTimeout), consensus.WithHeartbeat(heartbeatInterval), consensus.WithQuickStart()),
		)
		c.mu.Lock()
		c.voter, c.machine = v, machine
		c.mu.Unlock()
		c.router.Add(c.mux, v)
		if err := v.Run(ctx); err == nil {
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(voterRestart):
		}
	}
	return nil
}

const (
	// snapshotEvery and keepEntries limit the size of the log: the disk has 128 MB and a configuration up to 100 KB.
	snapshotEvery = 64
	keepEntries   = 32
	// electionTimeout is over ten round trips between regions, and well below the second for which an operator waits.
	electionTimeout   = 700 * time.Millisecond
	heartbeatInterval = 150 * time.Millisecond
)

// SetSeeds replaces the seeds.
func (c *Control) SetSeeds(seeds []netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = seeds
}

func seedNames(seeds []netip.AddrPort) (list []string) {
	for _, s := range seeds {
		list = append(list, s.Addr().String())
	}
	return list
}

// firstVoters returns the instances that create the log if this is the first start of the deployment and this instance is one of them.
func (c *Control) firstVoters() []string {
	if names := seedNames(c.options.Settings.Seeds); c.options.Settings.Bootstrap && slices.Contains(names, c.name) {
		return names
	}
	return nil
}

// desiredPeers returns the names of the instances that should vote, as far as known here.
func (c *Control) desiredPeers() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.voter == nil {
		return nil
	}
	status := c.voter.Status()
	if status.Role == consensus.Leader {
		return c.desiredVoters(status)
	}
	all := map[string]bool{c.name: true}
	for _, name := range seedNames(c.seeds) {
		all[name] = true
	}
	for name := range c.lastContact {
		all[name] = true
	}
	for _, m := range status.Config.Members {
		all[m.Name] = true
	}
	return slices.Sorted(maps.Keys(all))
}

// lostAfter is the time without a message after which a voter is replaced; a restart takes less.
const lostAfter = 2500 * time.Millisecond

func (c *Control) desiredVoters(status voter.Status) []string {
	now := c.options.Now()
	contacts := maps.Clone(c.lastContact)
	contacts[c.name] = now
	var instances []council.Instance
	voters := map[string]bool{}
	for _, m := range status.Config.Members {
		if !m.Learner {
			voters[m.Name] = true
		}
		if _, ok := contacts[m.Name]; !ok {
			contacts[m.Name] = time.Time{}
		}
	}
	for name, at := range contacts {
		instances = append(instances, council.Instance{Name: name, Voter: voters[name], LastContact: at})
	}
	return council.SelectVoters(now, instances, council.Options{Voters: council.VotersFor(c.options.Settings.Losses), ReplaceAfter: lostAfter})
}

// voterLeadership returns the leadership that the voter last reported. A leader acts once it has applied what its predecessors have committed. The
// caller holds c.mu.
func (c *Control) voterLeadership() council.Leadership {
	if c.voter == nil {
		return council.Leadership{}
	}
	s := c.voter.Status()
	return council.Leadership{
		Leads: s.Role == consensus.Leader && s.CommitTerm == s.Term && s.Err == nil, Term: s.Term, CheckedAt: s.CheckedAt, Resumed: s.ActingTerm != s.Term,
	}
}

// actingTerm returns the term in which this instance leads and may act, or 0. The caller holds c.mu.
func (c *Control) actingTerm() uint64 {
	l := c.leadership()
	if !l.MayAct(c.options.Now(), maxStatusAge) {
		return 0
	}
	return l.Term
}

// maxStatusAge is several ticks of the voter.
const maxStatusAge = 300 * time.Millisecond

// tick follows changes of leadership and runs the periodic work of the leader.
func (c *Control) tick(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l := c.leadership(); c.state != nil && !l.KeepsState(c.state.term) {
		event.Log(ctx, c.options.Logger, event.ControlFollowing, slog.Uint64("Term", c.state.term), slog.Uint64("NewTerm", l.Term))
		c.state.end()
		c.lastLed = leadPeriod{term: c.state.term, until: c.options.Now()}
		c.state = nil
		c.notifyLeaderChange()
	}
	if term := c.actingTerm(); c.state == nil && term > 0 {
		c.state = newLeaderState(c, term)
		event.Log(ctx, c.options.Logger, event.ControlLeading, slog.Uint64("Term", term),
			slog.Uint64("Document", c.machine.Stored().Version))
		c.notifyLeaderChange()
	}
	c.updateLeader()
	if own := c.gossipContact(); own.Leader != "" && (own.Leader != c.gossiped.Leader || own.Term != c.gossiped.Term) {
		c.gossiped = own
		select {
		case c.gossipNow <- struct{}{}:
		default:
		}
	}
	if ls := c.acting(); ls != nil {
		ls.tick(ctx)
	}
}

// notifyLeaderChange wakes goroutines that wait for a leader. The caller holds c.mu.
func (c *Control) notifyLeaderChange() {
	close(c.leaderChanged)
	c.leaderChanged = make(chan struct{})
}

// callLeader calls a method of the leader, which may be this instance. The call is repeated while no instance leads.
func (c *Control) callLeader(ctx context.Context, method string, params any, result any, leading func() bool) error {
	for {
		c.mu.Lock()
		leader := c.leader
		if c.state != nil {
			leader = c.name
		}
		c.mu.Unlock()
		if leader != "" {
			attempt, cancel := context.WithTimeout(ctx, callTimeout)
			err := c.peers.Call(attempt, leader, method, params, result)
			cancel()
			if err == nil && leading() {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return ErrUnavailable
		case <-time.After(leaderRetry):
		}
	}
}

const (
	callTimeout = 600 * time.Millisecond
	leaderRetry = 60 * time.Millisecond // one round trip between regions
)
