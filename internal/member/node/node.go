// Package node runs the membership of an instance in its data centre. It combines failure detection, the
// directory, the coordinator's lease and the assignment of endpoints over the links between instances.
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

// Endpoint is an endpoint of a View. Owner is empty while no instance owns the endpoint; NoWorkAfter is
// zero unless the endpoint is leaving.
type Endpoint struct {
	directory.Announcement
	Owner        string
	OwnerAddress netip.AddrPort
	NoWorkAfter  time.Time
}

// View is an instance's copy of the state of its data centre, sorted by name.
type View struct {
	ID          ViewID
	Coordinator string
	Endpoints   []Endpoint
	Instances   []directory.Instance
}

// Owned is an endpoint that this instance owns. The instance may act until Deadline, by its own clock;
// NoWorkAfter is zero unless the endpoint is leaving.
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

	mu               sync.Mutex
	incarnation      uint64
	holder           *assign.Holder
	details          map[string]directory.Announcement // of held endpoints
	leaving          map[string]time.Time              // last new work by endpoint
	announced        *directory.Directory              // endpoints that announced themselves here
	announcedDigest  uint64                            // digest of announced
	sendAnnounced    bool
	view             *view
	coordinator      string // last known coordinator; empty if unknown
	lookups          int    // keepers asked for the coordinator so far
	acceptor         *lease.Acceptor
	proposer         *lease.Proposer
	coordinatorState *coordinator
	callbacks        []func()

	renewSignal, expireSignal, leaseSignal, decideSignal, callbackSignal chan struct{}
}

// New returns a node and registers its methods with the Mux. A keeper does not vote for one lease after
// this call, because it may have granted a lease before a restart.
func New(opts ...Option) *Node {
	o := newOptions(opts)
	n := &Node{
		options:     o,
		incarnation: uint64(max(1, o.Wall().UnixNano())),
		details:     map[string]directory.Announcement{},
		leaving:     map[string]time.Time{},
		announced:   directory.New(o.directoryOptions(announcementLifetime)...),
		view:        newView(),
	}
	n.announcedDigest = digestAnnounced(nil)
	n.holder = assign.NewHolder(n.incarnation, o.assignOptions()...)
	for _, c := range []*chan struct{}{&n.renewSignal, &n.expireSignal, &n.leaseSignal, &n.decideSignal, &n.callbackSignal} {
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

// Run runs the loops of the node until ctx is done.
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

// View returns the last view that this instance received. It stays available while the coordinator or the
// rest of the data centre cannot be reached.
func (n *Node) View() View {
	n.mu.Lock()
	defer n.mu.Unlock()
	v := View{ID: n.view.id, Coordinator: n.coordinator}
	for _, name := range sortedKeys(n.view.endpoints) {
		p := n.view.endpoints[name]
		v.Endpoints = append(v.Endpoints, Endpoint{
			Announcement: p.Announcement,
			Owner:        p.Owner,
			OwnerAddress: n.view.instances[p.Owner].Address,
			NoWorkAfter:  n.leaving[name],
		})
	}
	for _, name := range sortedKeys(n.view.instances) {
		v.Instances = append(v.Instances, n.view.instances[name])
	}
	return v
}

// Resolve returns the address of a keeper or of an instance in the view, for use with peer.WithResolve.
func (n *Node) Resolve(name string) (netip.AddrPort, bool) {
	if a, ok := n.options.Keepers[name]; ok {
		return a, true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.coordinatorState != nil {
		if i, ok := n.coordinatorState.directory.Instance(name); ok {
			return i.Address, true
		}
	}
	i, ok := n.view.instances[name]
	return i.Address, ok
}

// IsCoordinator reports whether this instance may act as the coordinator now, and in which term.
func (n *Node) IsCoordinator() (term uint64, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.currentTerm(n.options.Now())
}

// currentTerm returns the term while this instance holds the coordinator's lease. The caller holds the
// mutex.
func (n *Node) currentTerm(now time.Time) (term uint64, ok bool) {
	if n.coordinatorState == nil || !n.proposer.Holds(now) {
		return 0, false
	}
	return n.coordinatorState.term, true
}

func (n *Node) isKeeper() bool {
	_, ok := n.options.Keepers[n.options.Name]
	return ok
}

// queueCallback queues a callback. The caller holds the mutex.
func (n *Node) queueCallback(f func(Owned), o Owned) {
	if f == nil {
		return
	}
	n.callbacks = append(n.callbacks, func() { f(o) })
	signal(n.callbackSignal)
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
		case <-n.callbackSignal:
		}
	}
}

// call calls a method of another instance with a time limit.
func (n *Node) call(ctx context.Context, limit time.Duration, to, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return n.options.Caller(ctx, to, method, params, result)
}

func (n *Node) log(ctx context.Context, id event.ID, attrs ...slog.Attr) {
	event.Log(ctx, n.options.Logger, id, attrs...)
}

// spawn runs f in the errgroup of the node, so that Run waits for it. The calls that f makes have a time
// limit.
func (n *Node) spawn(f func()) {
	n.group.Go(func() error {
		f()
		return nil
	})
}

// signal wakes a loop. It does nothing if a signal is already pending.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// wait blocks until the time limit, a signal or the end of ctx; it returns false in the last case.
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
