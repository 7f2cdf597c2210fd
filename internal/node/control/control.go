// Package control runs an instance with a disk: it takes part in the log of the configuration, takes announcements of
// endpoints, and, while it leads, places adapters, gives orders to endpoints and brings entries up to date.
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
	"lycheevale/internal/member/report"
	"lycheevale/internal/state/consensus"
	"lycheevale/internal/state/document"
	"lycheevale/internal/state/voter"
	"lycheevale/internal/wire/peer"
)

// Error is the class of errors of this package.
var Error = errs.Class("control")

// ErrUnavailable means that no leader answered, so that it is not known whether something has been done.
var ErrUnavailable = errs.New("no leader answers")

// logGroup names the replicated log.
const logGroup = "Config"

// Control is one instance.
type Control struct {
	options Options
	name    string
	mux     *peer.Mux
	peers   *peer.Node
	router  *voter.Router
	group   *errgroup.Group

	mu      sync.Mutex
	seeds   []netip.AddrPort
	voter   *voter.Voter
	machine *document.Machine
	known   map[string]time.Time // other control instances by name, last sign of life
	office  *office              // nil unless this instance leads
	leader  string               // the leader that was heard a moment ago, "" if none
	news    chan struct{}        // closed when leader or office change
	led     stint                // the last time in which this instance led
}

// stint is a time in which an instance led.
type stint struct {
	term  uint64
	until time.Time
}

// New returns an instance; Run starts it.
func New(opts ...Option) *Control {
	o := build(opts)
	c := &Control{
		options: o, name: o.Settings.Address.String(), mux: peer.NewMux(), known: map[string]time.Time{},
		seeds: o.Settings.Seeds, machine: document.NewMachine(), news: make(chan struct{}),
	}
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
	maxMessage  = 16 << 20               // bytes; a configuration of 4 MiB, encoded twice
	linkIdle    = 2 * time.Second        // several dozen links cost little at this interval
	linkBusy    = 400 * time.Millisecond // over six round trips between regions
	linkSilence = 500 * time.Millisecond // the same, so that a silent link is found within a second
	firstDial   = 50 * time.Millisecond
	lastDial    = 400 * time.Millisecond // an instance that is back is found well within its catch-up time
)

// WithLinkTimes sets how soon a lost link between instances is noticed and made again, and the largest message.
func WithLinkTimes() peer.Option {
	return func(o *peer.Options) {
		peer.WithHeartbeat(linkIdle, linkBusy, linkSilence)(o)
		peer.WithRetry(firstDial, lastDial)(o)
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
	// Every greets at once: the first election needs the links.
	group.Go(func() error { return repeat.Every(ctx, greetInterval, c.greet) })
	return group.Wait()
}

const (
	// tickInterval is the resolution of loads of adapters, the shortest of which take 25 ms.
	tickInterval  = 25 * time.Millisecond
	greetInterval = 500 * time.Millisecond
	voterRestart  = 500 * time.Millisecond
)

// runVoter takes part in the log, and starts again after a failure of the disk, which may pass.
func (c *Control) runVoter(ctx context.Context) error {
	for ctx.Err() == nil {
		machine := document.NewMachine()
		v := voter.New(
			voter.WithGroup(logGroup), voter.WithName(c.name), voter.WithDir(filepath.Join(c.options.Settings.DataFolder, "log")),
			voter.WithMachine(voter.StateMachine{Apply: machine.Apply, View: machine.View, Restore: machine.Restore}),
			voter.WithCaller(c.peers.Call), voter.WithPeers(c.wanted), voter.WithLogger(c.options.Logger),
			voter.WithSnapshotEvery(snapshotEvery, keepEntries), voter.WithMayBootstrap(c.mayFound), voter.WithNow(c.options.Now),
			voter.WithConsensus(consensus.WithElection(election), consensus.WithHeartbeat(heartbeat), consensus.WithQuickStart()),
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
	// snapshotEvery and keepEntries bound the log on a disk of 128 MB with configurations of 100 KB.
	snapshotEvery = 64
	keepEntries   = 32
	// election is over ten round trips between regions, and well below the second that an operator waits.
	election  = 700 * time.Millisecond
	heartbeat = 150 * time.Millisecond
)

// SetSeeds replaces the seeds.
func (c *Control) SetSeeds(seeds []netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = seeds
}

func names(seeds []netip.AddrPort) (list []string) {
	for _, s := range seeds {
		list = append(list, s.Addr().String())
	}
	return list
}

// mayFound tells whether this instance belongs to those that create the log at the first start of the whole system.
func (c *Control) mayFound() bool {
	return c.options.Settings.Bootstrap && slices.Contains(names(c.options.Settings.Seeds), c.name)
}

// wanted returns the names of the instances that should vote, as far as this instance can tell.
func (c *Control) wanted() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.voter == nil {
		return nil
	}
	status := c.voter.Status()
	if status.Role == consensus.Leader {
		return c.wantedVoters(status)
	}
	if status.Last == 0 && c.mayFound() {
		return slices.Sorted(slices.Values(names(c.options.Settings.Seeds)))
	}
	all := map[string]bool{c.name: true}
	for _, name := range names(c.seeds) {
		all[name] = true
	}
	for name := range c.known {
		all[name] = true
	}
	for _, m := range status.Config.Members {
		all[m.Name] = true
	}
	return slices.Sorted(maps.Keys(all))
}

// lostWait is the silence after which a voter is replaced; an instance that only restarts is back before.
const lostWait = 2500 * time.Millisecond

func (c *Control) wantedVoters(status voter.Status) []string {
	now := c.options.Now()
	heard := maps.Clone(c.known)
	heard[c.name] = now
	var instances []council.Instance
	voters := map[string]bool{}
	for _, m := range status.Config.Members {
		if !m.Learner {
			voters[m.Name] = true
		}
		if _, ok := heard[m.Name]; !ok {
			heard[m.Name] = time.Time{}
		}
	}
	for name, at := range heard {
		instances = append(instances, council.Instance{Name: name, Voter: voters[name], LastContact: at})
	}
	return council.SelectVoters(now, instances, council.Options{Voters: council.VotersFor(c.options.Settings.Losses), ReplaceAfter: lostWait})
}

// hello is exchanged by control instances.
type hello struct {
	Known []string `json:"Known"`
}

// greet tells the other control instances that this one lives, and learns of further ones.
func (c *Control) greet(ctx context.Context) {
	for _, name := range c.others() {
		c.group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, greetInterval)
			defer cancel()
			var answer hello
			if err := c.peers.Call(ctx, name, report.GossipMethod, hello{Known: c.others()}, &answer); err == nil {
				c.hear(name, answer)
			}
			return nil // a lost link is logged by the peer
		})
	}
}

// forgetAfter is the silence after which an instance is not greeted any more, unless a seed or a voter names it.
const forgetAfter = 30 * time.Second

func (c *Control) others() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := map[string]bool{}
	for _, name := range names(c.seeds) {
		all[name] = true
	}
	now := c.options.Now()
	for name, at := range c.known {
		if now.Sub(at) < forgetAfter {
			all[name] = true
		} else {
			delete(c.known, name)
		}
	}
	if c.voter != nil {
		for _, m := range c.voter.Status().Config.Members {
			all[m.Name] = true
		}
	}
	delete(all, c.name)
	return slices.Sorted(maps.Keys(all))
}

// hear records a sign of life. Instances that it names are greeted, and count as alive once they answer.
func (c *Control) hear(name string, h hello) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.known[name] = c.options.Now()
	for _, other := range h.Known {
		if _, known := c.known[other]; !known && other != c.name {
			c.known[other] = c.options.Now().Add(-lostWait)
		}
	}
}

// leadership is what the voter last told. c.mu is held.
func (c *Control) leadership() council.Leadership {
	if c.voter == nil {
		return council.Leadership{}
	}
	s := c.voter.Status()
	return council.Leadership{Leads: s.Role == consensus.Leader && s.Err == nil, Term: s.Term, CheckedAt: s.LeaderKnownAt}
}

// leading returns the term in which this instance leads and may act, or 0. c.mu is held.
func (c *Control) leading() uint64 {
	l := c.leadership()
	if !l.MayAct(c.options.Now(), freshStatus) {
		return 0
	}
	return l.Term
}

// freshStatus is several ticks of the voter.
const freshStatus = 300 * time.Millisecond

// tick follows changes of the leader and lets the office work.
func (c *Control) tick(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l := c.leadership(); c.office != nil && !l.KeepsState(c.office.term) {
		event.Log(ctx, c.options.Logger, event.ControlFollowing, slog.Uint64("Term", c.office.term), slog.Uint64("NewTerm", l.Term))
		c.office.end()
		c.led = stint{term: c.office.term, until: c.options.Now()}
		c.office = nil
		c.announceNews()
	}
	if term := c.leading(); c.office == nil && term > 0 {
		c.office = newOffice(c, term)
		event.Log(ctx, c.options.Logger, event.ControlLeading, slog.Uint64("Term", term),
			slog.Uint64("Document", c.machine.Stored().Version))
		c.announceNews()
	}
	if leader := c.heardLeader(); leader != c.leader {
		c.leader = leader
		c.announceNews()
	}
	if c.office != nil && c.leading() == c.office.term {
		c.office.tick(ctx)
	}
}

// heardLeader returns the leader, unless it has been silent for a few heartbeats: whoever asks for it would wait in vain. c.mu is
// held.
func (c *Control) heardLeader() string {
	if c.voter == nil {
		return ""
	}
	s := c.voter.Status()
	if s.Role != consensus.Leader && c.options.Now().Sub(s.LastContact) > leaderSilence {
		return ""
	}
	return s.Leader
}

// leaderSilence is three heartbeats.
const leaderSilence = 3 * heartbeat

// announceNews wakes those that wait for a leader. c.mu is held.
func (c *Control) announceNews() {
	close(c.news)
	c.news = make(chan struct{})
}

// toLeader calls a method of the leader, wherever it is. The call is repeated while no instance leads.
func (c *Control) toLeader(ctx context.Context, method string, params any, result any, leading func() bool) error {
	for {
		c.mu.Lock()
		leader := c.leader
		if c.office != nil {
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
