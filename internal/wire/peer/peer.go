// Package peer carries control messages between instances as JSON-RPC 2.0 over TCP.
package peer

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"sync"

	"github.com/sourcegraph/jsonrpc2"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"
)

// Error is the class of errors of this package.
var Error = errs.Class("peer")

// helloMethod introduces the dialling instance on a new connection.
const helloMethod = "Peer.Hello"

type hello struct {
	Name string `json:"Name"`
}

// Node is this instance's end of all links.
type Node struct {
	options Options
	mu      sync.Mutex
	links   map[string]*jsonrpc2.Conn
	ready   chan struct{}
	address netip.AddrPort
}

// New returns a node that listens on a free loopback port unless told otherwise.
func New(opts ...Option) *Node {
	o := Options{
		Listen:  netip.MustParseAddrPort("127.0.0.1:0"),
		Resolve: func(string) (netip.AddrPort, bool) { return netip.AddrPort{}, false },
		Mux:     NewMux(),
		Logger:  slog.Default(),
	}
	for _, opt := range opts {
		opt(&o)
	}
	return &Node{options: o, links: map[string]*jsonrpc2.Conn{}, ready: make(chan struct{})}
}

// Address waits for the listener and returns its address.
func (n *Node) Address() netip.AddrPort {
	<-n.ready
	return n.address
}

// Run accepts links until ctx ends.
func (n *Node) Run(ctx context.Context) (err error) {
	defer func() { err = Error.Wrap(err) }()
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(n.options.Listen))
	if err != nil {
		return err
	}
	n.address = listener.Addr().(*net.TCPAddr).AddrPort()
	close(n.ready)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		n.closeLinks()
		return listener.Close()
	})
	for {
		conn, err := listener.Accept()
		if err != nil {
			break
		}
		in := &incoming{node: n}
		link := jsonrpc2.NewConn(ctx, jsonrpc2.NewPlainObjectStream(conn), jsonrpc2.AsyncHandler(in))
		group.Go(func() error {
			select {
			case <-ctx.Done():
			case <-link.DisconnectNotify():
			}
			_ = link.Close()
			return nil
		})
	}
	return group.Wait()
}

func (n *Node) closeLinks() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, link := range n.links {
		_ = link.Close()
	}
}

// Call implements Caller; a call to the node's own name is served in process.
func (n *Node) Call(ctx context.Context, to, method string, params, result any) (err error) {
	defer func() { err = Error.Wrap(err) }()
	if to == n.options.Name {
		return n.callLocal(ctx, method, params, result)
	}
	link, err := n.link(ctx, to)
	if err != nil {
		return err
	}
	return link.Call(ctx, method, params, result)
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

func (n *Node) link(ctx context.Context, to string) (*jsonrpc2.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if link, ok := n.links[to]; ok {
		select {
		case <-link.DisconnectNotify():
		default:
			return link, nil
		}
	}
	address, ok := n.options.Resolve(to)
	if !ok {
		return nil, fmt.Errorf("address of instance %q is unknown", to)
	}
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}
	link := jsonrpc2.NewConn(context.WithoutCancel(ctx), jsonrpc2.NewPlainObjectStream(conn), &incoming{node: n, from: to})
	if err := link.Notify(ctx, helloMethod, hello{Name: n.options.Name}); err != nil {
		return nil, err
	}
	n.links[to] = link
	return link, nil
}

// incoming serves the calls of one connection.
type incoming struct {
	node *Node
	mu   sync.Mutex
	from string
}

// Handle implements jsonrpc2.Handler.
func (i *incoming) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	if req.Method == helloMethod {
		var h hello
		if json.Unmarshal(params, &h) == nil {
			i.mu.Lock()
			i.from = h.Name
			i.mu.Unlock()
		}
		return
	}
	i.mu.Lock()
	from := i.from
	i.mu.Unlock()
	result, err := i.node.options.Mux.Serve(ctx, from, req.Method, params)
	if req.Notif {
		return
	}
	if err != nil {
		_ = conn.ReplyWithError(ctx, req.ID, toRPC(err))
		return
	}
	_ = conn.Reply(ctx, req.ID, result)
}

func toRPC(err error) *jsonrpc2.Error {
	if e, ok := err.(*jsonrpc2.Error); ok {
		return e
	}
	return &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
}
