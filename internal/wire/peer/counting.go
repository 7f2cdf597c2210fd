package peer

import (
	"sync"
	"sync/atomic"

	"github.com/sourcegraph/jsonrpc2"
)

// frameCounter counts the frames of one link by method.
type frameCounter struct {
	node *Node
	peer atomic.Pointer[string]
}

func newFrameCounter(n *Node, s *stream) *frameCounter {
	c := &frameCounter{node: n}
	s.countPing = func(d direction) { c.count(pingMethod, d, headerSize) }
	return c
}

func (c *frameCounter) count(method string, d direction, size int) {
	wide := false
	if name := c.peer.Load(); name != nil {
		wide = c.node.options.WideArea(*name)
	}
	c.node.meter.count(method, d, wide, size)
}

// countServed counts a frame of a call that this instance serves.
func (c *frameCounter) countServed(method string, d direction, size int) {
	if method != helloMethod && !c.node.options.Mux.Has(method) {
		method = unknownMethod
	}
	c.count(method, d, size)
}

// callCounter counts the frames of a dialled link. jsonrpc2 calls the hooks of a message immediately before it is written and after it has
// been read, so that its size and method are both known here.
type callCounter struct {
	*frameCounter

	mu      sync.Mutex
	sending string // method of the message about to be written
	size    int    // of the message just read
}

func newCallCounter(n *Node, s *stream) *callCounter {
	c := &callCounter{frameCounter: newFrameCounter(n, s)}
	s.countMessage = func(d direction, size int) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if d == received {
			c.size = size
			return
		}
		c.count(c.sending, sent, size)
	}
	return c
}

func (c *callCounter) options() []jsonrpc2.ConnOpt {
	return []jsonrpc2.ConnOpt{jsonrpc2.OnSend(c.onSend), jsonrpc2.OnRecv(c.onReceive), jsonrpc2.SetLogger(discardLog{})}
}

func (c *callCounter) onSend(req *jsonrpc2.Request, _ *jsonrpc2.Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sending = unknownMethod
	if req != nil {
		c.sending = req.Method
	}
}

func (c *callCounter) onReceive(req *jsonrpc2.Request, resp *jsonrpc2.Response) {
	method := unknownMethod
	if req != nil && resp != nil {
		method = req.Method
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count(method, received, c.size)
}

// discardLog discards the log lines of jsonrpc2, such as those about answers after the deadline of the
// call; events 7000 to 7999 state why a link was lost.
type discardLog struct{}

// Printf implements jsonrpc2.Logger.
func (discardLog) Printf(string, ...any) {}
