// Package instance wires up one instance of the system.
package instance

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"lycheevale/internal/base/event"
	"lycheevale/internal/serve/caller"
	"lycheevale/internal/serve/engine"
	"lycheevale/internal/serve/owner"
	"lycheevale/internal/state/registry"
)

// Error is the class of errors of this package.
var Error = errs.Class("instance")

// Limits of the HTTP server for callers.
const (
	maxHeaderBytes    = 32 << 10
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	maxAnnouncement   = 4 << 10 // bytes
)

// Instance is one process of the system.
type Instance struct {
	options  Options
	owner    *owner.Owner
	caller   *caller.Server
	targets  *targets
	ready    atomic.Bool
	listener net.Listener
}

// New returns an instance and opens its listeners.
func New(opts ...Option) (i *Instance, err error) {
	defer func() { err = Error.Wrap(err) }()
	o := Options{
		Name: "instance-1", DataCentre: "dc-a", Callers: netip.MustParseAddrPort("127.0.0.1:0"), Logger: slog.Default(),
		Registry: registry.New(), StopBound: time.Minute,
	}
	for _, opt := range opts {
		opt(&o)
	}
	listener, err := net.Listen("tcp", o.Callers.String())
	if err != nil {
		return nil, err
	}
	i = &Instance{options: o, listener: listener, owner: owner.New(owner.WithLogger(o.Logger))}
	i.targets = newTargets(i.owner)
	i.caller = caller.New(caller.With(func(c *caller.Options) {
		c.Logger = o.Logger
		c.Registry = o.Registry
		c.Choose = i.targets.choose
		c.ChoosePlain = i.targets.choosePlain
	}))
	return i, nil
}

// Address returns where callers reach the instance.
func (i *Instance) Address() netip.AddrPort {
	return i.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Run serves until ctx ends and then shuts down gracefully.
func (i *Instance) Run(ctx context.Context) (err error) {
	defer func() { err = Error.Wrap(err) }()
	event.Log(ctx, i.options.Logger, event.InstanceStarted, slog.String("Instance", i.options.Name),
		slog.String("Address", i.Address().String()))
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	group, work := errgroup.WithContext(work)
	group.Go(func() error { return i.owner.Run(work) })
	group.Go(func() error { return i.caller.Run(work) })
	server := &http.Server{
		Handler: i.handler(), MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout: readTimeout, ErrorLog: slog.NewLogLogger(i.options.Logger.Handler(), slog.LevelDebug),
	}
	group.Go(func() error {
		if err := server.Serve(i.listener); err != http.ErrServerClosed {
			return err
		}
		return nil
	})
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-work.Done():
		}
		defer stopWork()
		return i.drain(work, server)
	})
	i.ready.Store(true)
	event.Log(ctx, i.options.Logger, event.InstanceReady, slog.String("Instance", i.options.Name))
	err = group.Wait()
	event.Log(ctx, i.options.Logger, event.InstanceStopped, slog.String("Instance", i.options.Name))
	return err
}

// drain lowers readiness, waits for the balancer, and ends when no request is running.
func (i *Instance) drain(ctx context.Context, server *http.Server) error {
	i.ready.Store(false)
	event.Log(ctx, i.options.Logger, event.InstanceDraining, slog.String("Instance", i.options.Name))
	ctx, cancel := context.WithTimeout(ctx, i.options.StopBound)
	defer cancel()
	select {
	case <-ctx.Done():
	case <-time.After(i.options.DrainWait):
	}
	return server.Shutdown(ctx)
}

func (i *Instance) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	mux.HandleFunc("GET /readyz", i.showReady)
	mux.HandleFunc("POST /v1/endpoints/announce", i.announce)
	mux.Handle("/", i.caller)
	return mux
}

func (i *Instance) showReady(w http.ResponseWriter, _ *http.Request) {
	if !i.ready.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (i *Instance) announce(w http.ResponseWriter, r *http.Request) {
	var a engine.Announcement
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncement)).Decode(&a); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	i.targets.announce(time.Now(), a)
	w.WriteHeader(http.StatusNoContent)
}
