package clients

import (
	"bytes"
	"container/list"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"lycheevale/internal/limit/buffers"
)

// conn is an accepted connection. It counts what its server reads of a head before the server has parsed it.
type conn struct {
	net.Conn
	listener *Listener
	place    *list.List // that holds the connection, or nil; guarded by the mutex of the listener, like the next two
	element  *list.Element
	removed  bool

	mu     sync.Mutex
	inHead bool             // the server reads a head, or waits for one
	head   int              // bytes of the head that is read
	heads  *buffers.Account // memory of the head, until its request ends
	left   int64            // memory for what the server may hold of the next request
}

const (
	// serverBuffer is the size of the read buffer of net/http in bytes. The beginning of a request may come with the end of the one before.
	serverBuffer = 4 << 10
	// byteMemory and lineMemory are what a byte and a line of a head take in memory: a field has a name, a list of values and an entry in the caller's head and in
	// that of the request to the endpoint.
	byteMemory = 2
	lineMemory = 300
	// ordinaryHead is the memory of a head that is no larger than usual; larger ones leave half of the memory to these.
	ordinaryHead = 32 << 10
)

func memoryOf(content []byte) int64 {
	return int64(len(content))*byteMemory + int64(bytes.Count(content, []byte{'\n'}))*lineMemory
}

// errRefused ends the reading of a connection; net/http does not answer a failed read.
var errRefused = errs.New("the head of the request exceeds a limit")

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 || c.listener.head == nil {
		return n, err
	}
	if status := c.count(p[:n], len(p) <= serverBuffer); status != 0 {
		c.refuse(status, p)
		return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: errRefused}
	}
	return n, err
}

// count charges what was read, and returns the status of a refusal or 0.
func (c *conn) count(content []byte, buffered bool) (status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	memory := memoryOf(content)
	if !c.inHead {
		if buffered {
			c.left = max(c.left, memory)
		}
		return 0
	}
	left := c.left
	c.left = memory
	if c.head == 0 {
		memory += left
	}
	c.head += len(content)
	if c.head > c.listener.head()+serverBuffer {
		return http.StatusRequestHeaderFieldsTooLarge
	}
	if !c.take(memory) {
		return http.StatusServiceUnavailable
	}
	return 0
}

// take is called with the mutex.
func (c *conn) take(memory int64) bool {
	priority := 0
	if c.heads.Used()+memory > ordinaryHead {
		priority = buffers.Lowest
	}
	return c.heads.Take(memory, priority)
}

const (
	// retryAfterSeconds is the time after which most heads that are being read have become requests.
	retryAfterSeconds = 1
	// refusalTime and refusalBytes bound what is read after a refusal. Closing a connection with unread bytes resets it, and its client would lose the answer.
	refusalTime  = 500 * time.Millisecond
	refusalBytes = 256 << 10
)

// refuse answers instead of the server, and reads on for a moment without keeping what it reads. The request has not run.
func (c *conn) refuse(status int, buffer []byte) {
	c.listener.log(http.StatusText(status), c.Conn, c.listener.head())
	retry := ""
	if status == http.StatusServiceUnavailable {
		retry = fmt.Sprintf("Retry-After: %d\r\n", retryAfterSeconds)
	}
	text := http.StatusText(status) + "\n"
	end := time.Now().Add(refusalTime)
	if c.SetDeadline(end) != nil {
		return // the connection is closed
	}
	_, err := fmt.Fprintf(c.Conn, "HTTP/1.1 %d %sContent-Type: text/plain; charset=utf-8\r\n%sConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status)+"\r\n", retry, len(text), text)
	if err != nil || c.CloseWrite() != nil {
		return // the client has disconnected
	}
	for read := 0; read < refusalBytes; {
		n, err := c.Conn.Read(buffer)
		if err != nil {
			return
		}
		read += n
	}
}

// observe records the state of the connection at its server.
func (c *conn) observe(state http.ConnState) {
	switch state {
	case http.StateActive:
		if c.listener.head == nil {
			c.move(nil) // the requests of an encrypted connection are not told apart
			return
		}
		c.move(&c.listener.reading)
		c.begin()
	case http.StateIdle:
		c.endRequest()
		c.move(&c.listener.idle)
	case http.StateClosed, http.StateHijacked:
		c.endRequest()
		c.remove()
	case http.StateNew:
	}
}

// begin records that the head has been read. A head that came with the request before it has not been charged.
func (c *conn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inHead = false
	if c.head == 0 && c.left > 0 && !c.take(c.left) {
		_ = c.Close() // its server notices
	}
}

// endRequest returns the memory of the head.
func (c *conn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heads.Close()
	c.inHead, c.head = true, 0
}

// move puts the connection at the end of a list, or of none.
func (c *conn) move(to *list.List) {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.removed {
		return
	}
	if c.place != nil {
		c.place.Remove(c.element)
	}
	if c.place = to; to != nil {
		c.element = to.PushBack(c)
	}
}

func (c *conn) remove() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.removeLocked()
}

// removeLocked is called with the mutex of the listener.
func (c *conn) removeLocked() {
	if c.removed {
		return
	}
	c.removed = true
	if c.place != nil {
		c.place.Remove(c.element)
		c.place = nil
	}
	c.listener.open--
}

// CloseWrite closes the writing side, with which http.Server ends answers to requests that it has not read completely.
func (c *conn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil
	}
	return half.CloseWrite()
}
