// Package peer sends control messages between instances as JSON-RPC 2.0 over TCP. Each instance
// dials the links for its own calls. Two instances that call each other therefore have two links, and
// simultaneous dials need no arbitration.
package peer

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"sync"

	"github.com/zeebo/errs"

	"golang.org/x/sync/errgroup"

	"lycheevale/internal/limit/buffers"
)

// Node holds this instance's side of all links.
type Node struct {
	options  Options
	received *buffers.Budget // of messages that are being received
	process  uint64          // distinguishes restarts of this instance
	meter    *meter
	ready    chan struct{}
	address  netip.AddrPort
	ctx      context.Context
	cancel   context.CancelFunc

	mu         sync.Mutex // never held while dialling
	group      errgroup.Group
	ended      bool
	targets    map[string]*target
	incoming   map[string]*incoming // by name of the calling instance
	accepted   int
	linkNumber uint64 // number of the last link dialled
}

// New returns a node, which by default listens on a free loopback port.
func New(opts ...Option) *Node {
	n := &Node{
		options:  newOptions(opts),
		ready:    make(chan struct{}),
		targets:  map[string]*target{},
		incoming: map[string]*incoming{},
	}
	n.received = buffers.New(int64(n.options.MaxReceived))
	n.process = uint64(n.options.Now().UnixNano())
	n.meter = newMeter(n.options.Scope)
	n.ctx, n.cancel = context.WithCancel(context.Background())
	return n
}

// Address waits for the listener and returns its address, which is not valid if Run has failed.
func (n *Node) Address() netip.AddrPort {
	<-n.ready
	return n.address
}

// Run accepts links until ctx ends, and then closes all links.
func (n *Node) Run(ctx context.Context) (err error) {
	defer func() { err = Error.Wrap(err) }()
	listener, err := n.listen()
	close(n.ready)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() {
		n.end()
		_ = listener.Close()
	})
	defer stop()
	err = n.acceptAll(listener)
	n.end()
	if ctx.Err() != nil && errs.Is(err, net.ErrClosed) {
		err = nil
	}
	return errs.Combine(err, n.group.Wait())
}

func (n *Node) listen() (net.Listener, error) {
	if n.options.Keys == nil && !n.options.Private && !n.options.Listen.Addr().IsLoopback() {
		return nil, ErrInsecure
	}
	listener, err := n.options.ListenTCP(n.options.Listen)
	if err != nil {
		return nil, err
	}
	n.address = n.options.Listen
	if a, ok := listener.Addr().(*net.TCPAddr); ok {
		n.address = a.AddrPort()
	}
	return listener, nil
}

// end closes all links and prevents new goroutines from starting.
func (n *Node) end() {
	n.mu.Lock()
	n.ended = true
	n.mu.Unlock()
	n.cancel()
}

// spawn starts f in the group of the node, unless the node has ended.
func (n *Node) spawn(f func()) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ended {
		return false
	}
	n.group.Go(func() error {
		f()
		return nil
	})
	return true
}

// Call implements Caller; a call to the node's own name is served in process. Without a deadline in
// ctx, a default one applies. The deadline is sent with the call. NotSent reports whether an error
// proves that no handler was reached.
func (n *Node) Call(ctx context.Context, to, method string, params, result any) (err error) {
	defer func() { err = Error.Wrap(err) }()
	if _, ok := ctx.Deadline(); !ok {
		limited, cancel := context.WithTimeout(ctx, n.options.CallTimeout)
		defer cancel()
		ctx = limited
	}
	if to == n.options.Name {
		return n.callLocal(ctx, method, params, result)
	}
	t, err := n.target(to)
	if err != nil {
		return err
	}
	l, err := t.get(ctx)
	if err != nil {
		return err
	}
	return l.call(ctx, method, params, result)
}

func (n *Node) callLocal(ctx context.Context, method string, params, result any) error {
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	answer, err := n.options.Mux.Serve(ctx, n.options.Name, method, raw)
	if err != nil || result == nil {
		return err
	}
	raw, err = json.Marshal(answer)
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, result)
}

// target returns the state of the links to an instance. It fails if the instance is new and has no known address.
func (n *Node) target(name string) (*target, error) {
	n.mu.Lock()
	t, ok := n.targets[name]
	n.mu.Unlock()
	if ok {
		return t, nil
	}
	if _, known := n.options.Resolve(name); !known {
		return nil, ErrUnknownInstance
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if t, ok = n.targets[name]; !ok {
		t = newTarget(n, name)
		n.targets[name] = t
	}
	return t, nil
}

func (n *Node) nextLinkNumber() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.linkNumber++
	return n.linkNumber
}
