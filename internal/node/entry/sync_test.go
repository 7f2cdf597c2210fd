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

func runEntry(t *testing.T, answers map[string]func() report.Update, test func(f fixture)) {
	t.Helper()
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		group, ctx := errgroup.WithContext(ctx)
		f := fixture{C: quicktest.New(t), network: network.New(), group: group, ctx: ctx, entry: netip.MustParseAddr("127.1.0.9")}
		s := deployment.Settings{Name: "e", Address: f.entry, DataCentre: "d", Shutdown: 4000}
		s.Listen.Peers = netip.AddrPortFrom(f.entry, peerPort)
		s.Listen.Callers, s.Listen.Ready = netip.AddrPortFrom(f.entry, 80), netip.AddrPortFrom(f.entry, 81)
		for name, answer := range answers {
			s.Seeds = append(s.Seeds, netip.AddrPortFrom(netip.MustParseAddr(name), 90))
			f.startControl(name, answer)
		}
		time.Sleep(time.Second)
		e := entry.New(
			entry.WithSettings(s), entry.WithNow(time.Now), entry.WithListen(f.network.Listen), entry.WithLogger(slog.New(slog.DiscardHandler)),
			entry.WithPeer(f.links(f.entry)...),
		)
		group.Go(func() error { return e.Run(ctx) })
		test(f)
		cancel()
		f.Check(group.Wait(), quicktest.IsNil)
		f.network.Close()
	})
}

func (f fixture) links(from netip.Addr) []peer.Option {
	dial := f.network.Dialer(from)
	return []peer.Option{
		peer.WithDial(func(ctx context.Context, to netip.AddrPort) (net.Conn, error) { return dial(ctx, "tcp", to.String()) }),
		peer.WithListenTCP(f.network.Listen),
	}
}

func (f fixture) startControl(name string, answer func() report.Update) {
	mux := peer.NewMux()
	mux.Handle(report.SyncMethod, peer.Typed(func(context.Context, string, report.Entry) (report.Update, error) { return answer(), nil }))
	address := netip.MustParseAddr(name)
	node := peer.New(append([]peer.Option{
		peer.WithName(name), peer.WithListen(netip.AddrPortFrom(address, peerPort)), peer.WithMux(mux), peer.WithPrivateNetwork(),
		peer.WithLogger(slog.New(slog.DiscardHandler)), peer.WithResolve(control.Resolve(peerPort)),
	}, f.links(address)...)...)
	f.group.Go(func() error { return node.Run(f.ctx) })
}

// A new leader has been elected, and an entry reports to an instance that only names it. Guards against waiting for the next report
// interval, during which callers are refused.
func TestEntryReportsToNamedLeaderImmediately(t *testing.T) {
	var namedAt, reportedAt time.Time
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
		if reportedAt.IsZero() {
			reportedAt = time.Now()
		}
		return report.Update{Leading: true, Term: 1, EveryMillis: 200}
	}
	runEntry(t, answers, func(f fixture) {
		time.Sleep(2 * time.Second)
		f.Assert(namedAt.IsZero() || reportedAt.IsZero(), quicktest.IsFalse)
		f.Check(reportedAt.Sub(namedAt) < 50*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("%v", reportedAt.Sub(namedAt)))
	})
}

// Guards against an entry that is ready before it knows a configuration.
func TestEntryWithoutConfigurationIsNotReady(t *testing.T) {
	none := func() report.Update { return report.Update{} }
	runEntry(t, map[string]func() report.Update{"127.1.0.1": none}, func(f fixture) {
		time.Sleep(2 * time.Second)
		client := &http.Client{Transport: &http.Transport{DialContext: f.network.Dialer(f.entry), DisableKeepAlives: true}}
		request, err := http.NewRequestWithContext(f.ctx, http.MethodGet, "http://127.1.0.9:81/ready", nil)
		f.Assert(err, quicktest.IsNil)
		response, err := client.Do(request)
		f.Assert(err, quicktest.IsNil)
		f.Assert(response.Body.Close(), quicktest.IsNil)
		f.Check(response.StatusCode, quicktest.Equals, http.StatusServiceUnavailable)
	})
}
