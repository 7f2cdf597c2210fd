// Package instance wires up one instance of the system from its settings.
package instance

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"path/filepath"
	"slices"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"lycheevale/internal/base/event"
	"lycheevale/internal/base/listener"
	"lycheevale/internal/base/metrics"
	"lycheevale/internal/base/repeat"
	"lycheevale/internal/base/settings"
	"lycheevale/internal/limit/admit"
	"lycheevale/internal/member/assign"
	"lycheevale/internal/member/node"
	"lycheevale/internal/place/policy"
	"lycheevale/internal/place/scheduler"
	"lycheevale/internal/serve/caller"
	"lycheevale/internal/serve/engine"
	"lycheevale/internal/serve/operator"
	"lycheevale/internal/serve/owner"
	"lycheevale/internal/tool/burn"
	"lycheevale/internal/wire/peer"
	"lycheevale/internal/wire/strict"
)

// Error is the class of errors of this package.
var Error = errs.Class("instance")

// Instance is one process of the system.
type Instance struct {
	settings         settings.Settings
	options          Options
	started          time.Time
	keys             *peer.Keys
	mux              *peer.Mux
	links            *peer.Node
	state            *state
	members          *node.Node
	owner            *owner.Owner
	targets          *targets
	admit            *admit.Admission
	permits          *permits
	duties           *duties
	isolation        *isolation
	caller           *caller.Server
	metrics          metrics.Metrics
	burn             *burn.Recorder
	policy           policy.Policy
	credentials      *operator.Credentials
	audit            *operator.Audit
	closeAudit       func() error // nil without an audit file
	ready            atomic.Bool
	draining         atomic.Bool
	callerListener   *listener.Draining
	streamListener   net.Listener
	operatorListener net.Listener
}

// New returns an instance and opens its listeners.
func New(s settings.Settings, opts ...Option) (i *Instance, err error) {
	defer func() { err = Error.Wrap(err) }()
	o := defaults()
	for _, opt := range opts {
		opt(&o)
	}
	i = &Instance{settings: s, options: o, started: o.Wall(), mux: peer.NewMux(), metrics: metrics.New()}
	if err := i.loadKeys(); err != nil {
		return nil, err
	}
	i.policy = policy.Defaults()
	if s.PolicyFile != "" {
		if i.policy, err = policy.Load(s.PolicyFile); err != nil {
			return nil, err
		}
	}
	i.links = i.newLinks()
	i.state = newState(s, o, i.mux, i.links.Call, func() node.View { return i.members.View() })
	i.burn = burn.New(burn.WithObjective(i.objective))
	i.members = i.newMembers()
	i.permits = newPermits(s.Name, o, i.coordinator, i.links.Call)
	i.isolation = newIsolation(i)
	i.owner = i.newOwner()
	i.targets = newTargets(i)
	i.admit = admit.New(admit.WithNow(o.Now), admit.WithLimit(i.state.limit), admit.WithCoordinator(i.coordinator),
		admit.WithLender(func(customer string) (string, bool) { return i.duties.lender(customer) }),
		admit.WithCall(i.links.Call), admit.WithLogger(o.Logger), admit.WithIncarnation(uint64(o.Wall().UnixNano())))
	admit.HandleLender(i.mux, i.admit)
	i.duties = newDuties(i)
	i.caller = i.newCaller()
	i.handleDescribe()
	if err := i.openOperators(); err != nil {
		return nil, err
	}
	return i, i.listen()
}

func (i *Instance) loadKeys() (err error) {
	p := i.settings.TLS.Peers
	if p.CertificateFile == "" {
		return nil
	}
	i.keys, err = peer.LoadKeys(p.CertificateFile, p.KeyFile, p.AuthorityFile)
	return err
}

func (i *Instance) newLinks() *peer.Node {
	centres := map[string]string{}
	for _, m := range slices.Concat(i.settings.Keepers, i.settings.Peers, i.settings.Voters) {
		centres[m.Name] = m.DataCentre
	}
	opts := []peer.Option{
		peer.WithName(i.settings.Name), peer.WithMux(i.mux), peer.WithListen(i.settings.Listen.Peers),
		peer.WithResolve(i.resolve), peer.WithLogger(i.options.Logger), peer.WithScope(i.metrics.Scope),
		peer.WithListenTCP(i.options.Listen), peer.WithNow(i.options.Now),
		peer.WithDial(func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
			return i.options.Dial(ctx, "tcp", to.String())
		}),
		peer.WithWideArea(func(name string) bool {
			centre, known := centres[name]
			return known && centre != i.settings.DataCentre
		}),
	}
	if i.keys != nil {
		opts = append(opts, peer.WithKeys(i.keys))
	}
	return peer.New(opts...)
}

// resolve finds an instance in the settings first and in the view of the data centre otherwise.
func (i *Instance) resolve(name string) (netip.AddrPort, bool) {
	for _, m := range slices.Concat(i.settings.Keepers, i.settings.Peers, i.settings.Voters) {
		if m.Name == name {
			return m.Address, true
		}
	}
	return i.members.Resolve(name)
}

func (i *Instance) coordinator() (string, bool) {
	name := i.members.View().Coordinator
	return name, name != ""
}

// endpointsPerOwner allows a single owner for all engines of a small data centre: in the placement benchmark an owner for
// each engine had 40% more load stalls.
const endpointsPerOwner = 4

func (i *Instance) newMembers() *node.Node {
	keepers := map[string]netip.AddrPort{}
	for _, k := range i.settings.Keepers {
		keepers[k.Name] = k.Address
	}
	if len(keepers) == 0 {
		keepers[i.settings.Name] = i.settings.Listen.Peers
	}
	return node.New(node.WithName(i.settings.Name), node.WithDataCentre(i.settings.DataCentre),
		node.WithAddress(i.settings.Listen.Peers), node.WithKeepers(keepers), node.WithCaller(i.links.Call),
		node.WithMux(i.mux), node.WithAssign(assign.WithEndpointsPerOwner(endpointsPerOwner)), node.WithLogger(i.options.Logger), node.WithClocks(i.options.Now, i.options.Wall),
		node.WithCallbacks(node.Callbacks{
			Acquired: i.acquire,
			Renewed:  i.acquire,
			Leaving:  i.acquire,
			Drain:    func(o node.Owned) { i.owner.Drain(o.Name, i.stoppedCallback(o)) },
			Released: func(o node.Owned) { i.owner.Release(o.Name, i.stoppedCallback(o)) },
		}))
}

// acquire passes engines to the owner; plain endpoints need no owner, because nothing on them can be evicted.
func (i *Instance) acquire(o node.Owned) {
	if o.Kind != engine.KindEngine {
		return
	}
	i.owner.Acquire(owner.Grant{
		Endpoint: o.Announcement, Fence: o.Fence, Deadline: o.Deadline, NoWorkAfter: o.NoWorkAfter,
	})
}

func (i *Instance) stoppedCallback(o node.Owned) func() {
	return func() { i.members.Stopped(o.Name, o.Fence) }
}

func (i *Instance) newOwner() *owner.Owner {
	transport := engine.NewTransport()
	transport.DialContext = i.options.Dial
	placement := i.policy.SchedulerOptions()
	placement.LoadInterval = time.Duration(float64(time.Second) / i.storeShare().Rate)
	opts := append([]scheduler.Option{
		scheduler.WithOptions(placement), scheduler.WithPermit(i.permits.request), scheduler.WithWeight(i.state.weight),
	}, i.options.Scheduler...)
	o := owner.New(owner.WithLogger(i.options.Logger), owner.WithScheduler(scheduler.New(opts...)),
		owner.WithRecorder(i.isolation.recorder), owner.WithSource(i.state.source), owner.WithLoadEnded(i.permits.release),
		owner.WithIdleTimeout(i.settings.Timeouts.EndpointRead),
		owner.WithClient(func(a netip.AddrPort) *engine.Client { return engine.New(a, engine.WithTransport(transport)) }))
	i.permits.onGranted = o.Wake
	return o
}

func (i *Instance) newCaller() *caller.Server {
	return caller.New(caller.With(func(c *caller.Options) {
		c.Logger = i.options.Logger
		c.Registry = i.state.registry
		c.Now = i.options.Now
		c.Withdrawn = i.state.withdrawn
		c.Known = i.state.initialised
		c.Stale = i.state.stale
		c.Reserve = i.reserve
		c.Choose = i.targets.choose
		c.ChoosePlain = i.targets.choosePlain
		c.Claim = i.state.claim
		c.Observe = i.observe
		c.Recorder = i.isolation.recorder
		c.MaxResponse = i.settings.Limits.ResponseBytes
		c.MaxBody = i.settings.Limits.BodyBytes
		c.DefaultTimeout = i.settings.Timeouts.Request
		c.WriteTimeout = i.settings.Timeouts.Write
		c.PlainTransport = strict.Transport{RoundTripper: &http.Transport{
			DialContext: i.options.Dial, DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: engine.MaxHeadBytes,
		}}
		i.options.Caller(c)
	}))
}

func (i *Instance) reserve(ctx context.Context, customer string, tokens int) (caller.Reservation, error) {
	r, err := i.admit.Reserve(ctx, customer, float64(tokens))
	return caller.Reservation{Settle: func(used int) { r.Settle(float64(used)) }}, err
}

func (i *Instance) listen() (err error) {
	listen := i.settings.Listen
	callers, err := i.options.Listen(listen.Callers)
	if err != nil {
		return err
	}
	i.callerListener = listener.New(callers)
	if i.streamListener, err = i.options.Listen(listen.Streams); err != nil {
		return err
	}
	i.operatorListener, err = i.options.Listen(listen.Operators)
	return err
}

// Address returns the address of the callers' listener.
func (i *Instance) Address() netip.AddrPort { return addressOf(i.callerListener) }

// OperatorAddress returns the address of the operators' listener.
func (i *Instance) OperatorAddress() netip.AddrPort { return addressOf(i.operatorListener) }

func addressOf(l net.Listener) netip.AddrPort { return l.Addr().(*net.TCPAddr).AddrPort() }

// Ready reports whether the instance accepts callers.
func (i *Instance) Ready() bool { return i.ready.Load() }

// Run serves until ctx ends and then shuts down gracefully.
func (i *Instance) Run(ctx context.Context) (err error) {
	defer func() { err = Error.Wrap(err) }()
	event.Log(ctx, i.options.Logger, event.InstanceStarted, slog.String("Instance", i.settings.Name),
		slog.String("Address", i.Address().String()))
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	group, work := errgroup.WithContext(work)
	servers := i.servers(work)
	for _, run := range slices.Concat(i.runners(), servers.runners()) {
		group.Go(func() error { return run(work) })
	}
	group.Go(func() error { return i.watchReady(work) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-work.Done():
		}
		defer stopWork()
		return i.drain(work, servers)
	})
	err = errs.Combine(group.Wait(), i.metrics.Closer.Close())
	if i.closeAudit != nil {
		err = errs.Combine(err, i.closeAudit())
	}
	event.Log(ctx, i.options.Logger, event.InstanceStopped, slog.String("Instance", i.settings.Name))
	return err
}

// runners returns the loops of all components, in the order of their dependencies; each returns when its context ends.
func (i *Instance) runners() []func(context.Context) error {
	return slices.Concat([]func(context.Context) error{
		i.links.Run, i.owner.Run, i.members.Run, i.admit.Run, i.permits.run, i.duties.run, i.isolation.run, i.caller.Run, i.targets.run, i.targets.followRemote,
	}, i.state.runners())
}

// readyInterval is the time between checks of readiness, and of running requests during a hand-over.
const readyInterval = 50 * time.Millisecond

// watchReady marks the instance as ready once it has the configuration and the withdrawn keys.
func (i *Instance) watchReady(ctx context.Context) error {
	ticker := time.NewTicker(readyInterval)
	defer ticker.Stop()
	for !i.state.initialised() {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
	if !i.draining.Load() {
		i.ready.Store(true)
		event.Log(ctx, i.options.Logger, event.InstanceReady, slog.String("Instance", i.settings.Name))
	}
	return nil
}

// drain marks the instance as not ready, waits for the load balancer, lets running requests finish and hands over the
// endpoints. The rest of the instance stops when it returns, at the latest after Shutdown.Bound.
func (i *Instance) drain(ctx context.Context, servers *servers) error {
	i.draining.Store(true)
	i.ready.Store(false)
	event.Log(ctx, i.options.Logger, event.InstanceDraining, slog.String("Instance", i.settings.Name))
	ctx, cancel := context.WithTimeout(ctx, i.settings.Shutdown.Bound)
	defer cancel()
	select {
	case <-ctx.Done():
	case <-time.After(i.settings.Shutdown.LoadBalancer):
	}
	err := servers.shutdown(ctx, servers.callers)
	// Streams of other entries on endpoints owned here finish during the hand-over of these endpoints.
	if leaveErr := i.leave(ctx); leaveErr != nil {
		event.Log(ctx, i.options.Logger, event.HandOverFailed, slog.Any("Error", leaveErr))
	}
	return errs.Combine(err, servers.shutdown(ctx, servers.streams), servers.shutdown(ctx, servers.operators))
}

// leave hands over the endpoints once their running requests have finished.
func (i *Instance) leave(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	var group errgroup.Group
	group.Go(func() error {
		begin := i.options.Now()
		return repeat.Every(ctx, readyInterval, func(ctx context.Context) {
			if i.options.Now().Sub(begin) > i.options.LeaveWait && i.owner.Idle() {
				cancel()
			}
		})
	})
	err := i.members.Leave(ctx)
	cancel()
	return errs.Combine(err, group.Wait())
}

func dataDir(s settings.Settings, group string) string { return filepath.Join(s.DataFolder, group) }
