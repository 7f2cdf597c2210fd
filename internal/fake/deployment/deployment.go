// Package deployment starts a small deployment with fake endpoints in one process, on loopback sockets or on an
// in-memory network. The demo and the failure tests use it.
package deployment

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"lycheevale/internal/base/settings"
	fakeengine "lycheevale/internal/fake/engine"
	fakeservice "lycheevale/internal/fake/service"
	fakestore "lycheevale/internal/fake/store"
	"lycheevale/internal/node/instance"
	"lycheevale/internal/serve/engine"
)

// Error is the class of errors of this package.
var Error = errs.Class("deployment")

// Ports of an instance.
const (
	portCallers   = 8080
	portOperators = 8081
	portPeers     = 8082
	portStreams   = 8083
	portEndpoint  = 9000
)

// Instance is an instance with its settings. The value stays the same over restarts of the instance.
type Instance struct {
	current  atomic.Pointer[instance.Instance]
	Settings settings.Settings
	Host     netip.Addr
	stop     context.CancelFunc
	done     chan struct{}
	err      error
}

// Current returns the running instance, or the last one if it is stopped.
func (i *Instance) Current() *instance.Instance { return i.current.Load() }

// Address returns the address of the callers' listener.
func (i *Instance) Address() netip.AddrPort { return i.Current().Address() }

// OperatorAddress returns the address of the operators' listener.
func (i *Instance) OperatorAddress() netip.AddrPort { return i.Current().OperatorAddress() }

// Ready reports whether the instance accepts callers.
func (i *Instance) Ready() bool { return i.Current().Ready() }

// Deployment is a set of running instances and fake endpoints.
type Deployment struct {
	Options   Options
	Instances []*Instance
	Endpoints []*Endpoint
	Store     *fakestore.Store
	group     *errgroup.Group
	ctx       context.Context
	stop      context.CancelFunc
}

// Start opens all listeners and starts all instances and endpoints.
func Start(ctx context.Context, opts ...Option) (d *Deployment, err error) {
	defer func() { err = Error.Wrap(err) }()
	o := defaults()
	for _, opt := range opts {
		opt(&o)
	}
	if o.Listen == nil {
		loopback := newSockets()
		o.Listen, o.Dialer, o.Reserve = loopback.listen, dialer, loopback.reserve
	}
	ctx, stop := context.WithCancel(ctx)
	group, ctx := errgroup.WithContext(ctx)
	d = &Deployment{Options: o, Store: fakestore.New(), group: group, ctx: ctx, stop: stop}
	for dc := range o.DataCentres {
		count := o.Instances
		if dc == 0 {
			count += o.ExtraInstances
		}
		for n := range count {
			i, err := d.prepare(dc, n)
			if err != nil {
				return nil, err
			}
			d.Instances = append(d.Instances, i)
		}
	}
	d.addMembers()
	for _, i := range d.Instances {
		if err := d.launch(i); err != nil {
			return nil, err
		}
	}
	return d, d.startEndpoints()
}

// Stop stops all instances gracefully, then the endpoints, and returns the first error.
func (d *Deployment) Stop() error {
	for _, i := range d.Instances {
		i.stop()
	}
	for _, i := range d.Instances {
		<-i.done
	}
	d.stop()
	return d.group.Wait()
}

// prepare builds the settings of an instance; the first of each data centre is a voter.
func (d *Deployment) prepare(dc, n int) (*Instance, error) {
	o := d.Options
	host, err := o.Place(KindInstance, dc, n)
	if err != nil {
		return nil, err
	}
	s := settings.Defaults()
	s.Name = fmt.Sprintf("%s-entry-%d", o.DataCentres[dc], n+1)
	s.DataCentre, s.Region = o.DataCentres[dc], o.DataCentres[dc]
	for port, address := range map[uint16]*netip.AddrPort{
		portCallers: &s.Listen.Callers, portOperators: &s.Listen.Operators, portPeers: &s.Listen.Peers,
		portStreams: &s.Listen.Streams,
	} {
		if *address, err = d.at(host, port); err != nil {
			return nil, err
		}
	}
	s.Shutdown.LoadBalancer = 100 * time.Millisecond
	if n == 0 {
		s.DataFolder = filepath.Join(o.DataFolder, s.Name)
	}
	o.Settings(&s)
	return &Instance{Settings: s, Host: host}, nil
}

// at returns the address of a listener: the fixed port on an in-memory network, a free one on real sockets.
func (d *Deployment) at(host netip.Addr, port uint16) (netip.AddrPort, error) {
	if d.Options.Reserve != nil {
		return d.Options.Reserve(host)
	}
	return netip.AddrPortFrom(host, port), nil
}

// addMembers adds the keepers, voters and peers to the settings of all instances.
func (d *Deployment) addMembers() {
	for _, i := range d.Instances {
		for _, other := range d.Instances {
			m := settings.Member{
				Name: other.Settings.Name, Address: other.Settings.Listen.Peers, DataCentre: other.Settings.DataCentre,
			}
			if m.DataCentre == i.Settings.DataCentre {
				i.Settings.Keepers = append(i.Settings.Keepers, m)
			}
			if other.Settings.DataFolder != "" {
				i.Settings.Voters = append(i.Settings.Voters, m)
			}
			if m.Name != i.Settings.Name {
				i.Settings.Peers = append(i.Settings.Peers, m)
			}
		}
	}
}

func (d *Deployment) launch(i *Instance) (err error) {
	logger := d.Options.Logger
	if d.Options.NewLogger != nil {
		logger = d.Options.NewLogger(i.Settings.Name)
	}
	opts := append([]instance.Option{
		instance.WithLogger(logger), instance.WithNetwork(d.Options.Listen, d.Options.Dialer(i.Host)),
		instance.WithBootstrap(d.Options.Objects),
	}, d.Options.Instance...)
	if d.Options.Wall != nil {
		opts = append(opts, instance.WithWall(d.Options.Wall(i.Settings.Name)))
	}
	started, err := instance.New(i.Settings, opts...)
	if err != nil {
		return err
	}
	i.current.Store(started)
	ctx, stop := context.WithCancel(d.ctx)
	i.stop, i.done = stop, make(chan struct{})
	d.group.Go(func() error {
		defer close(i.done)
		i.err = started.Run(ctx)
		return i.err
	})
	return nil
}

// StopInstance stops an instance gracefully and waits until it has stopped.
func (d *Deployment) StopInstance(i *Instance) error {
	i.stop()
	<-i.done
	return i.err
}

// Restart starts a stopped instance with the same settings and data folder.
func (d *Deployment) Restart(i *Instance) error { return d.launch(i) }

func (d *Deployment) startEndpoints() error {
	o := d.Options
	for dc, name := range o.DataCentres {
		for n := range o.Engines {
			engineName := fmt.Sprintf("%s-engine-%d", name, n+1)
			e := fakeengine.New(append([]fakeengine.Option{
				fakeengine.WithName(engineName, name), fakeengine.WithModel(o.Model, o.Model),
				fakeengine.WithFetch(d.Store.Fetch),
			}, o.EngineOptions(engineName)...)...)
			if err := d.serve(KindEngine, dc, n, &Endpoint{Name: engineName, Engine: e}, e, e.Announcement); err != nil {
				return err
			}
		}
		for n := range o.Services {
			s := fakeservice.New(fmt.Sprintf("%s-%s-%d", name, o.Service, n+1))
			announcement := d.plainAnnouncement(s, name)
			if err := d.serve(KindService, dc, n, &Endpoint{Name: s.Name, Service: s}, s, announcement); err != nil {
				return err
			}
		}
	}
	return nil
}

func (d *Deployment) plainAnnouncement(s *fakeservice.Service, dataCentre string) func(netip.AddrPort) engine.Announcement {
	return func(a netip.AddrPort) engine.Announcement {
		return engine.Announcement{
			Name: s.Name, DataCentre: dataCentre, Address: a, Incarnation: s.Incarnation(), Kind: engine.KindPlain,
			Service: d.Options.Service,
		}
	}
}

// serve starts the server of an endpoint and announces the endpoint to the instances of its data centre.
func (d *Deployment) serve(kind Kind, dc, n int, e *Endpoint, h http.Handler,
	announcement func(netip.AddrPort) engine.Announcement,
) error {
	host, err := d.Options.Place(kind, dc, n)
	if err != nil {
		return err
	}
	e.DataCentre = d.Options.DataCentres[dc]
	if e.Address, err = d.at(host, portEndpoint); err != nil {
		return err
	}
	ctx, kill := context.WithCancel(d.ctx)
	e.Kill, e.listen = kill, func() (net.Listener, error) { return d.Options.Listen(e.Address) }
	if err := e.open(h); err != nil {
		return err
	}
	client := &http.Client{Transport: &http.Transport{DialContext: d.Options.Dialer(host)}}
	d.group.Go(func() error { return e.serve(ctx, h) })
	d.group.Go(func() error {
		<-ctx.Done()
		client.CloseIdleConnections()
		return nil
	})
	d.group.Go(func() error {
		return fakeengine.Announce(ctx, client, d.addresses(e.DataCentre), func() (a engine.Announcement, up bool) {
			return announcement(e.Address), !e.Down()
		})
	})
	d.Endpoints = append(d.Endpoints, e)
	return nil
}

func (d *Deployment) addresses(dataCentre string) (list []netip.AddrPort) {
	for _, i := range d.Instances {
		if i.Settings.DataCentre == dataCentre {
			list = append(list, i.Settings.Listen.Callers)
		}
	}
	return list
}

// WaitReady waits until every instance is ready and every engine is owned.
func (d *Deployment) WaitReady(ctx context.Context) error {
	for _, i := range d.Instances {
		for !i.Ready() || !i.Current().Serving(d.Options.Engines) {
			select {
			case <-ctx.Done():
				return context.Cause(ctx)
			case <-d.ctx.Done():
				return context.Cause(d.ctx)
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
	return nil
}
