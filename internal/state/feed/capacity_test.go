package feed_test

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net/netip"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"lycheevale/internal/base/knownred"
	"lycheevale/internal/base/measure"
	"lycheevale/internal/base/virtualtime"
	"lycheevale/internal/state/feed"
	"lycheevale/internal/state/registry"
	"lycheevale/internal/wire/peer"
)

// allSizes selects every size of docs/CAPACITY.md instead of the target size only.
var allSizes = flag.Bool("all", false, "measure all sizes of the capacity page")

// fleetSize is a size of TestFleetTraffic: instances of each of 12 data centres and changes per second.
type fleetSize struct {
	instances int
	perSecond float64
}

// targetSize is 1,093 instances and 16,000 changes a day, rounded up from 0.185 per second.
var targetSize = fleetSize{91, 0.2}

// Relays and instances have to stay below the 12 KB per second of design 1.7 at 1,100 instances and 16,000 changes a day
// (0.185 per second). The test prints the traffic for docs/CAPACITY.md.
func TestFleetTraffic(t *testing.T) {
	sizes := []fleetSize{targetSize}
	if *allSizes {
		sizes = []fleetSize{{9, 0}, {30, 0}, {91, 0}, {182, 0}, {9, 1}, {30, 1}, targetSize, {91, 1}, {91, 5}, {182, 1}}
	}
	for _, size := range sizes {
		name := fmt.Sprintf("instances=%d/changes=%g", size.instances, size.perSecond)
		relay, other := traffic{}, traffic{}
		t.Run(name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) { relay, other = fleetTraffic(t, size) })
			qt.Check(t, other.bytes < trafficBudget, qt.IsTrue)
			if size != targetSize {
				return
			}
			knownred.Target(t, relay.bytes < trafficBudget, "relay %.0f B/s, bound %d", relay.bytes, trafficBudget)
		})
	}
}

const (
	trafficBudget = 12_000 // bytes per second and node for control (design 1.7)
	headers       = 74     // bytes of TLS, TCP and IP for each message, as in docs/membership.md
)

func fleetTraffic(t *testing.T, size fleetSize) (relay, other traffic) {
	const dataCentres, span = 12, 20 * time.Second
	var names []string
	for i := range dataCentres {
		names = append(names, fmt.Sprint("dc", i))
	}
	f := newFleet(30*time.Millisecond, size.instances-1, names...)
	defer f.run()()
	time.Sleep(10 * time.Second)
	f.resetTraffic()
	begin := measure.ProcessorTime(t)
	end := time.Now().Add(span)
	for i := range int(size.perSecond * span.Seconds()) {
		f.change(i)
		time.Sleep(time.Duration(float64(time.Second) / size.perSecond))
	}
	time.Sleep(time.Until(end))
	cost := measure.ProcessorTime(t) - begin
	voter, relay, other := f.busiest(span, headers)
	t.Logf("%d instances: voter %.0f B/s (%.1f calls/s), relay %.0f B/s (%.1f), other %.0f B/s (%.1f); "+
		"processor time of the fleet with its network %.1f µs per instance and second", len(f.nodes),
		voter.bytes, voter.calls, relay.bytes, relay.calls, other.bytes, other.calls,
		float64(cost.Microseconds())/span.Seconds()/float64(len(f.nodes)))
	for _, method := range slices.Sorted(maps.Keys(relay.methods)) {
		part := relay.methods[method]
		t.Logf("relay: %s %.2f calls/s, %.0f B each without headers", method, part.calls/span.Seconds(), part.bytes/part.calls)
	}
	return relay, other
}

// A restarted instance has to receive the configuration with 140,000 adapters of the target size (design 1.7) over links
// with default settings.
func TestRestartAtTargetSize(t *testing.T) {
	for _, adapters := range []int{3_000, 140_000} {
		t.Run(fmt.Sprint("adapters=", adapters), func(t *testing.T) {
			logger := slog.New(slog.NewTextHandler(io.Discard, nil))
			source := addAdapters(t, registry.New(), adapters, false)
			mux := peer.NewMux()
			feed.New(feed.WithName("voter", "brisbane-a"), feed.WithRegistry(source), feed.WithLogger(logger),
				feed.WithAge(func() time.Duration { return 0 })).Register(mux)
			server := peer.New(peer.WithName("voter"), peer.WithMux(mux), peer.WithLogger(logger))
			ctx, cancel := context.WithCancel(t.Context())
			var group errgroup.Group
			group.Go(func() error { return server.Run(ctx) })
			client := peer.New(peer.WithName("a"), peer.WithLogger(logger),
				peer.WithResolve(func(string) (netip.AddrPort, bool) { return server.Address(), true }))
			restarted := registry.New()
			call := func(ctx context.Context, to, method string, params, result any) error {
				err := client.Call(ctx, to, method, params, result)
				if err != nil {
					t.Logf("%s: %v", method, err)
				}
				return err
			}
			n := feed.New(feed.WithName("a", "suva-a"), feed.WithRegistry(restarted), feed.WithLogger(logger),
				feed.WithCaller(call), feed.WithSources(func() []string { return []string{"voter"} }))
			// If the snapshot never arrives, the timeout of go test ends the loop.
			for restarted.Revision() < source.Revision() {
				n.Poll(ctx)
				time.Sleep(10 * time.Millisecond)
			}
			cancel()
			qt.Check(t, group.Wait(), qt.IsNil)
			got := restarted.Count(registry.KindAdapter)
			knownred.Target(t, got == adapters && restarted.Revision() == source.Revision(),
				"%d of %d adapters arrived", got, adapters)
		})
	}
}
