package deployment

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	fakeengine "lycheevale/internal/fake/engine"
	fakeservice "lycheevale/internal/fake/service"
)

// Endpoint is a running fake engine or plain service.
type Endpoint struct {
	Name       string
	DataCentre string
	Address    netip.AddrPort
	Engine     *fakeengine.Engine   // nil for a plain endpoint
	Service    *fakeservice.Service // nil for an engine
	Kill       context.CancelFunc
	listen     func() (net.Listener, error)

	mu       sync.Mutex
	server   *http.Server
	listener net.Listener
	upAt     time.Time // end of the last crash
	crashes  int
}

// Crash ends the endpoint without answering its requests; it is back after a time, empty. A crash of an endpoint that is down does nothing.
func (e *Endpoint) Crash(down time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Now().Before(e.upAt) {
		return
	}
	e.upAt = time.Now().Add(down)
	e.crashes++
	_ = e.server.Close()
	if e.Engine != nil {
		e.Engine.Restart()
	} else {
		e.Service.Restart()
	}
}

// Crashes returns how often the endpoint has crashed.
func (e *Endpoint) Crashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashes
}

// Down reports whether the endpoint has crashed and is not back.
func (e *Endpoint) Down() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Now().Before(e.upAt)
}

// open opens the listener with a new server.
func (e *Endpoint) open(h http.Handler) (err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.server = &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	e.listener, err = e.listen()
	return err
}

// serve serves until ctx ends, again after each crash.
func (e *Endpoint) serve(ctx context.Context, h http.Handler) error {
	stop := context.AfterFunc(ctx, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		_ = e.server.Close()
	})
	defer stop()
	for {
		e.mu.Lock()
		server, listener := e.server, e.listener
		e.mu.Unlock()
		if err := server.Serve(listener); err != http.ErrServerClosed {
			return err
		}
		e.mu.Lock()
		down := time.Until(e.upAt)
		e.mu.Unlock()
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(max(0, down)):
		}
		if err := e.open(h); err != nil {
			return err
		}
		if ctx.Err() != nil {
			return e.server.Close()
		}
	}
}
