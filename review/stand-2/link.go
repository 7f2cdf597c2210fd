package main

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// link stands for the path between two machines. While it is cut, no bytes pass, and nothing is reset.
type link struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	open     chan struct{} // closed while bytes pass
	conns    map[net.Conn]bool
}

func newLink(at, target string) (*link, error) {
	listener, err := net.Listen("tcp", at)
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, target: target, open: make(chan struct{}), conns: map[net.Conn]bool{}}
	close(l.open)
	go l.accept()
	return l, nil
}

func (l *link) accept() {
	for {
		from, err := l.listener.Accept()
		if err != nil {
			return // the link is closed at the end of the run
		}
		go l.serve(from)
	}
}

func (l *link) serve(from net.Conn) {
	l.pass()
	to, err := net.DialTimeout("tcp", l.target, time.Second)
	if err != nil {
		_ = from.Close()
		return
	}
	l.mu.Lock()
	l.conns[from], l.conns[to] = true, true
	l.mu.Unlock()
	go l.copy(to, from)
	l.copy(from, to)
}

// pass waits while the link is cut.
func (l *link) pass() {
	l.mu.Lock()
	open := l.open
	l.mu.Unlock()
	<-open
}

func (l *link) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		l.pass()
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_, _ = to.Close(), from.Close() // the connection has ended
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, to)
	delete(l.conns, from)
}

func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open = make(chan struct{})
}

func (l *link) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.open:
	default:
		close(l.open)
	}
}

func (l *link) close() {
	_ = l.listener.Close()
	l.heal()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		_ = c.Close()
	}
}

// coreLinks are the links between control instances, by the zones of the dialling and the accepting one.
type coreLinks map[[2]int]*link

// linksOfCore returns the links between control instances, and starts those from entries to them.
func (d *deployment) linksOfCore() (between coreLinks, others []*link, err error) {
	between = coreLinks{}
	for to := range zones {
		target := fmt.Sprintf("%s:%d", d.hidden(to), corePort+to)
		l, err := newLink(fmt.Sprintf("%s:%d", d.control(to), peerPort), target)
		if err != nil {
			return between, others, err
		}
		others = append(others, l)
		for from := range zones {
			if from == to {
				continue
			}
			l, err := newLink(fmt.Sprintf("%s:%d", d.control(to), corePort+from), target)
			if err != nil {
				return between, others, err
			}
			between[[2]int{from, to}] = l
			others = append(others, l)
		}
	}
	return between, others, nil
}

// isolate cuts a control instance off from the others, or heals that.
func (c coreLinks) isolate(zone int, cut bool) {
	for ends, l := range c {
		switch {
		case ends[0] != zone && ends[1] != zone:
		case cut:
			l.cut()
		default:
			l.heal()
		}
	}
}
