// Command standin runs a stand-in for a model engine or a plain service as a separate process, for trials and tests.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"golang.org/x/sync/errgroup"

	fakeengine "lycheevale/internal/fake/engine"
	fakeservice "lycheevale/internal/fake/service"
	fakestore "lycheevale/internal/fake/store"
	"lycheevale/internal/serve/engine"
)

type options struct {
	Kind       string   `long:"kind" choice:"Engine" choice:"Plain" default:"Engine" description:"what to stand in for"`
	Name       string   `long:"name" required:"yes" description:"name of the endpoint"`
	DataCentre string   `long:"data-centre" required:"yes" description:"data centre of the endpoint"`
	Service    string   `long:"service" default:"quill" description:"service, and model of an engine"`
	Listen     string   `long:"listen" default:"127.0.0.1:0" description:"address to listen on"`
	Announce   []string `long:"announce" required:"yes" description:"callers' address of an instance; repeat it for several"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context, o options) error {
	listener, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return err
	}
	address := listener.Addr().(*net.TCPAddr).AddrPort()
	var targets []netip.AddrPort
	for _, text := range o.Announce {
		target, err := netip.ParseAddrPort(text)
		if err != nil {
			return err
		}
		targets = append(targets, target)
	}
	handler, announcement := standIn(o, address)
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		if err := server.Serve(listener); err != http.ErrServerClosed {
			return err
		}
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		return server.Close()
	})
	group.Go(func() error { return fakeengine.Announce(ctx, http.DefaultClient, targets, announcement) })
	return group.Wait()
}

// standIn returns the handler of the endpoint and a function that returns its announcement; the endpoint is always up.
func standIn(o options, address netip.AddrPort) (http.Handler, func() (engine.Announcement, bool)) {
	if o.Kind == string(engine.KindPlain) {
		started := uint64(time.Now().UnixNano())
		return fakeservice.New(o.Name), func() (engine.Announcement, bool) {
			return engine.Announcement{
				Name: o.Name, DataCentre: o.DataCentre, Address: address, Incarnation: started, Kind: engine.KindPlain,
				Service: o.Service,
			}, true
		}
	}
	e := fakeengine.New(fakeengine.WithName(o.Name, o.DataCentre), fakeengine.WithModel(o.Service, o.Service),
		fakeengine.WithFetch(fakestore.New().Fetch))
	return e, func() (engine.Announcement, bool) { return e.Announcement(address), true }
}
