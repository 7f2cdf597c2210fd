package entry_test

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"lycheevale/internal/base/deployment"
	"lycheevale/internal/base/virtualtime"
	"lycheevale/internal/fake/network"
	"lycheevale/internal/member/report"
	"lycheevale/internal/node/control"
	"lycheevale/internal/node/entry"
	"lycheevale/internal/wire/peer"
)

const peerPort = 7600

// fixture holds one entry, and control instances that answer reports as a test specifies.
type fixture struct {
	*quicktest.C
	network *network.Network
	group   *errgroup.Group
	ctx     context.Context
	entry   netip.Addr
}

func runEntry(t *testing.T, answers map[string]func() report.Update, test func(w fixture)) {
	t.Helper()
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		group, ctx := errgroup.WithContext(ctx)
		w := fixture{C: quicktest.New(t), network: network.New(), group: group, ctx: ctx, entry: netip.MustParseAddr("127.1.0.9")}
		s := deployment.Settings{Name: "e", Address: w.entry, DataCentre: "d", Shutdown: 4000}
		s.Listen.Peers = netip.AddrPortFrom(w.entry, peerPort)
		s.Listen.Callers, s.Listen.Ready = netip.AddrPortFrom(w.entry, 80), netip.AddrPortFrom(w.entry, 81)
		for name, answer := range answers {
			s.Seeds = append(s.Seeds, netip.AddrPortFrom(netip.MustParseAddr(name), 90))
			w.startControl(name, answer)
		}
		time.Sleep(time.Second)
		e := entry.New(
			entry.WithSettings(s), entry.WithNow(time.Now), entry.WithListen(w.network.Listen), entry.WithLogger(slog.New(slog.DiscardHandler)),
			entry.WithPeer(w.links(w.entry)...),
		)
		group.Go(func() error { return e.Run(ctx) })
		test(w)
		cancel()
		w.Check(group.Wait(), quicktest.IsNil)
		w.network.Close()
	})
}

func (w fixture) links(from netip.Addr) []peer.Option {
	dial := w.network.Dialer(from)
	return []peer.Option{
		peer.WithDial(func(ctx context.Context, to netip.AddrPort) (net.Conn, error) { return dial(ctx, "tcp", to.String()) }),
		peer.WithListenTCP(w.network.Listen),
	}
}

func (w fixture) startControl(name string, answer func() report.Update) {
	mux := peer.NewMux()
	mux.Handle(report.SyncMethod, peer.Typed(func(context.Context, string, report.Entry) (report.Update, error) { return answer(), nil }))
	address := netip.MustParseAddr(name)
	node := peer.New(append([]peer.Option{
		peer.WithName(name), peer.WithListen(netip.AddrPortFrom(address, peerPort)), peer.WithMux(mux), peer.WithPrivateNetwork(),
		peer.WithLogger(slog.New(slog.DiscardHandler)), peer.WithResolve(control.Resolve(peerPort)),
	}, w.links(address)...)...)
	w.group.Go(func() error { return node.Run(w.ctx) })
}

// A new leader has been elected, and an entry reports to an instance that only names it. Guards against waiting for the next report
// interval, during which callers are refused.
func TestEntryReportsToNamedLeaderImmediately(t *testing.T) {
	var namedAt, askedAt time.Time
	answers := map[string]func() report.Update{}
	for _, name := range []string{"127.1.0.1", "127.1.0.2"} {
		answers[name] = func() report.Update {
			if namedAt.IsZero() {
				namedAt = time.Now()
			}
			return report.Update{Leader: "127.1.0.3", Instances: []string{name}}
		}
	}
	answers["127.1.0.3"] = func() report.Update {
		if askedAt.IsZero() {
			askedAt = time.Now()
		}
		return report.Update{Leading: true, Term: 1, EveryMillis: 200}
	}
	runEntry(t, answers, func(w fixture) {
		time.Sleep(2 * time.Second)
		w.Assert(namedAt.IsZero() || askedAt.IsZero(), quicktest.IsFalse)
		w.Check(askedAt.Sub(namedAt) < 50*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("%v", askedAt.Sub(namedAt)))
	})
}

// Guards against an entry that is ready before it knows a configuration.
func TestEntryWithoutConfigurationIsNotReady(t *testing.T) {
	none := func() report.Update { return report.Update{} }
	runEntry(t, map[string]func() report.Update{"127.1.0.1": none}, func(w fixture) {
		time.Sleep(2 * time.Second)
		client := &http.Client{Transport: &http.Transport{DialContext: w.network.Dialer(w.entry), DisableKeepAlives: true}}
		request, err := http.NewRequestWithContext(w.ctx, http.MethodGet, "http://127.1.0.9:81/ready", nil)
		w.Assert(err, quicktest.IsNil)
		response, err := client.Do(request)
		w.Assert(err, quicktest.IsNil)
		w.Assert(response.Body.Close(), quicktest.IsNil)
		w.Check(response.StatusCode, quicktest.Equals, http.StatusServiceUnavailable)
	})
}
