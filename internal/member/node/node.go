// Package node is the runtime of membership in a data centre: it joins failure detection, directory,
// coordinator lease and endpoint assignment over the links between instances.
package node

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"lycheevale/internal/base/event"
	"lycheevale/internal/member/assign"
	"lycheevale/internal/member/directory"
	"lycheevale/internal/member/lease"
	"lycheevale/internal/wire/peer"
)

// Error is the class of errors of this package.
var Error = errs.Class("member")

// Reasons for a refused call; test with errors.Is.
var (
	ErrNotKeeper      = errs.New("instance is not a keeper")
	ErrNotCoordinator = errs.New("instance is not the coordinator")
)

// Endpoint is an endpoint as an entry sees it. Owner is empty while nobody owns the endpoint;
// NoWorkAfter is zero unless the endpoint leaves.
type Endpoint struct {
	directory.Announcement
	Owner        string
	OwnerAddress netip.AddrPort
	NoWorkAfter  time.Time
}

// View is what an instance knows of its data centre, in the order of names.
type View struct {
	ID          ViewID
	Coordinator string
	Endpoints   []Endpoint
	Instances   []directory.Instance
}

// Owned is an endpoint that this instance owns. It may act until Deadline, by its own clock;
// NoWorkAfter is zero unless the endpoint leaves.
type Owned struct {
	directory.Announcement
	Fence       uint64
	Deadline    time.Time
	NoWorkAfter time.Time
}

// Node is the membership of one instance.
type Node struct {
	options Options
	group   *errgroup.Group

	mu          sync.Mutex
	incarnation uint64
	holder      *assign.Holder
	details     map[string]directory.Announcement // of held endpoints
	leaving     map[string]time.Time              // last new work by endpoint
	heard       *directory.Directory              // endpoints that announced themselves here
	alive       uint64                            // digest of heard
	sendAlive   bool
	view        *view
	coordinator string // as last learned; empty if unknown
	asked       int    // keepers asked for the coordinator so far
	acceptor    *lease.Acceptor
	proposer    *lease.Proposer
	lead        *coordinator
	callbacks   []func()

	renewSoon, expireSoon, leaseSoon, decideSoon, callSoon chan struct{}
}

// New returns a node and registers its methods with the Mux. A keeper's silence after a restart
// starts here.
func New(opts ...Option) *Node {
	o := build(opts)
	n := &Node{
		options:     o,
		incarnation: uint64(max(1, o.Wall().UnixNano())),
		details:     map[string]directory.Announcement{},
		leaving:     map[string]time.Time{},
		heard:       directory.New(o.directoryOptions(heardLifetime)...),
		view:        newView(),
	}
	n.alive = aliveDigest(nil)
	n.holder = assign.NewHolder(n.incarnation, o.assignOptions()...)
	for _, c := range []*chan struct{}{&n.renewSoon, &n.expireSoon, &n.leaseSoon, &n.decideSoon, &n.callSoon} {
		*c = make(chan struct{}, 1)
	}
	if n.isKeeper() {
		now := o.Now()
		n.acceptor = lease.NewAcceptor(now, o.leaseOptions()...)
		n.proposer = lease.NewProposer(now, o.Name, rand.Uint64(), len(o.Keepers), o.leaseOptions()...)
	}
	n.register(o.Mux)
	return n
}

func (n *Node) register(m *peer.Mux) {
	m.Handle(methodView, peer.Typed(n.handleView))
	m.Handle(methodAnnounce, peer.Typed(n.handleAnnounce))
	m.Handle(methodRenew, peer.Typed(n.handleRenew))
	m.Handle(methodHeartbeat, peer.Typed(n.handleHeartbeat))
	m.Handle(methodPrepare, peer.Typed(n.handlePrepare))
	m.Handle(methodAccept, peer.Typed(n.handleAccept))
	m.Handle(methodRelease, peer.Typed(n.handleRelease))
}

// Run takes part in the membership until ctx ends.
func (n *Node) Run(ctx context.Context) (err error) {
	defer func() { err = Error.Wrap(err) }()
	n.group, ctx = errgroup.WithContext(ctx)
	loops := []func(context.Context){n.renewLoop, n.expireLoop, n.callbackLoop}
	if n.isKeeper() {
		loops = append(loops, n.leaseLoop, n.decideLoop)
	}
	for _, loop := range loops {
		n.group.Go(func() error {
			loop(ctx)
			return nil
		})
	}
	return n.group.Wait()
}

// View returns what this instance knows of its data centre; it stays usable while the data centre
// or the coordinator cannot be reached.
func (n *Node) View() View {
	n.mu.Lock()
	defer n.mu.Unlock()
	v := View{ID: n.view.id, Coordinator: n.coordinator}
	for _, name := range keys(n.view.endpoints) {
		p := n.view.endpoints[name]
		v.Endpoints = append(v.Endpoints, Endpoint{
			Announcement: p.Announcement,
			Owner:        p.Owner,
			OwnerAddress: n.view.instances[p.Owner].Address,
			NoWorkAfter:  n.leaving[name],
		})
	}
	for _, name := range keys(n.view.instances) {
		v.Instances = append(v.Instances, n.view.instances[name])
	}
	return v
}

// Resolve returns the address of a keeper or of an instance of the view; it suits peer.WithResolve.
func (n *Node) Resolve(name string) (netip.AddrPort, bool) {
	if a, ok := n.options.Keepers[name]; ok {
		return a, true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.lead != nil {
		if i, ok := n.lead.directory.Instance(name); ok {
			return i.Address, true
		}
	}
	i, ok := n.view.instances[name]
	return i.Address, ok
}

// IsCoordinator tells whether this instance may act as the coordinator now, and in which term.
func (n *Node) IsCoordinator() (term uint64, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leads(n.options.Now())
}

// leads returns the term while the lease lasts; the mutex is held.
func (n *Node) leads(now time.Time) (term uint64, ok bool) {
	if n.lead == nil || !n.proposer.Holds(now) {
		return 0, false
	}
	return n.lead.term, true
}

func (n *Node) isKeeper() bool {
	_, ok := n.options.Keepers[n.options.Name]
	return ok
}

// later queues a callback; the mutex is held.
func (n *Node) later(f func(Owned), o Owned) {
	if f == nil {
		return
	}
	n.callbacks = append(n.callbacks, func() { f(o) })
	signal(n.callSoon)
}

func (n *Node) callbackLoop(ctx context.Context) {
	for {
		n.mu.Lock()
		queue := n.callbacks
		n.callbacks = nil
		n.mu.Unlock()
		for _, f := range queue {
			f()
		}
		select {
		case <-ctx.Done():
			return
		case <-n.callSoon:
		}
	}
}

// call calls another instance with a time limit.
func (n *Node) call(ctx context.Context, limit time.Duration, to, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return n.options.Caller(ctx, to, method, params, result)
}

func (n *Node) log(ctx context.Context, id event.ID, attrs ...slog.Attr) {
	event.Log(ctx, n.options.Logger, id, attrs...)
}

// spawn runs f in the group of the node; the calls it makes have a time limit.
func (n *Node) spawn(f func()) {
	n.group.Go(func() error {
		f()
		return nil
	})
}

// signal wakes a loop; a wake-up that is pending already is enough.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// wait blocks until the time limit, a signal or the end of ctx, which it reports as false.
func wait(ctx context.Context, limit time.Duration, soon chan struct{}) bool {
	t := time.NewTimer(max(0, limit))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
	case <-soon:
	}
	return true
}
