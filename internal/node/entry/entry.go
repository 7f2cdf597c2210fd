// Package entry implements an entry, an instance without a disk that serves callers: it reports to the leader, updates its view of
// the deployment from the answers, and forwards requests directly to endpoints.
package entry

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"lycheevale/internal/base/event"
	"lycheevale/internal/base/guard"
	"lycheevale/internal/base/httpserver"
	"lycheevale/internal/base/listener"
	"lycheevale/internal/base/repeat"
	"lycheevale/internal/limit/buffers"
	"lycheevale/internal/limit/clients"
	"lycheevale/internal/limit/retry"
	"lycheevale/internal/member/outage"
	"lycheevale/internal/member/report"
	"lycheevale/internal/member/view"
	"lycheevale/internal/node/control"
	"lycheevale/internal/serve/forward"
	"lycheevale/internal/wire/peer"
)

// Error is the class of errors of this package.
var Error = errs.Class("entry")

// Entry is one entry instance.
type Entry struct {
	options    Options
	peers      *peer.Node
	view       *view.View
	handler    *forward.Handler
	outage     *outage.Outage
	background errgroup.Group // calls to the leader, which end with their timeouts; a stop does not wait for them
	draining   atomic.Bool
	serving    atomic.Bool // a configuration is known

	mu            sync.Mutex
	seeds         []netip.AddrPort
	leader        string
	instances     []string  // live control instances, as last named by one of them
	nextCandidate int       // index of the candidate that gets the next report
	failedReports int       // consecutive reports that no leader answered
	reportedAt    time.Time // time of the last report; only used by sync, as is nextReportAt
	nextReportAt  time.Time // time of the next report
	sendEndpoints bool      // the leader has asked for the endpoints known here; only used by sync
}

// New returns an instance; Run starts it.
func New(opts ...Option) *Entry {
	o := newOptions(opts)
	e := &Entry{options: o, view: view.New(), outage: outage.New(o.Now()), seeds: o.Settings.Seeds}
	mux := peer.NewMux()
	mux.Handle(report.LendMethod, peer.Typed(e.lend))
	peerOptions := append([]peer.Option{
		peer.WithName(o.Settings.Address.String()), peer.WithListen(o.Settings.Listen.Peers), peer.WithMux(mux), peer.WithLogger(o.Logger),
		peer.WithResolve(control.Resolve(o.Settings.Listen.Peers.Port())), peer.WithScope(o.Scope),
		peer.WithPrivateNetwork(), control.WithLinkTimes(), peer.WithMaxLinks(o.Clients.Links()),
	}, o.Peer...)
	e.peers = peer.New(peerOptions...)
	r := o.Settings.Retry
	e.handler = forward.New(
		forward.WithDataCentre(o.Settings.DataCentre), forward.WithRegions(o.Settings.Regions), forward.WithCodec(o.Codec), forward.WithView(e.view),
		forward.WithPool(o.Pool), forward.WithLogger(o.Logger), forward.WithNow(o.Now), forward.WithRequestPlacement(e.requestPlacement), forward.WithBorrow(e.borrow),
		forward.WithFindOrigin(e.findOrigin), forward.WithStartTime(o.StartTime),
		forward.WithLeaderExpectedAt(func() time.Time { return e.outage.ExpectedEnd(o.Now()) }),
		forward.WithBuffers(buffers.New(bufferLimit(o.Settings.MemoryMB))),
		forward.WithSeed(uint64(time.Now().UnixNano())), forward.WithObserve(e.observe), forward.WithSpawn(e.spawn),
		forward.WithRetry(retry.Options{Ratio: r.Ratio * ratioMargin, Window: r.Window.Duration(), Slack: r.Slack * slackMargin}),
	)
	return e
}

// bufferLimit returns the memory for bodies of requests and answers in bytes: a quarter of what the process may use.
func bufferLimit(memoryMB int64) int64 {
	if memoryMB <= 0 {
		memoryMB = defaultMemoryMB
	}
	return memoryMB << 20 / 4
}

// defaultMemoryMB is assumed if the settings name no limit of memory.
const defaultMemoryMB = 256

const (
	// ratioMargin allows for requests that the users count in another window than this entry.
	ratioMargin = 0.9
	// slackMargin keeps all entries together within the retry budget while they disagree about their number.
	slackMargin = 0.7
)

func (e *Entry) spawn(f func()) {
	e.background.Go(func() error {
		guard.Run(context.Background(), e.options.Logger, "request", f)
		return nil
	})
}

// guarded returns a periodic task that is repeated after a panic.
func (e *Entry) guarded(task string, f func(ctx context.Context)) func(ctx context.Context) {
	return func(ctx context.Context) { guard.Run(ctx, e.options.Logger, task, func() { f(ctx) }) }
}

// Run serves until ctx ends, and then until the active requests are answered or the shutdown time has elapsed.
func (e *Entry) Run(ctx context.Context) (err error) {
	defer func() { err = Error.Wrap(err) }()
	s := e.options.Settings
	inner, err := e.options.Listen(s.Listen.Callers)
	if err != nil {
		return err
	}
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, work := errgroup.WithContext(work)
	callers := httpserver.New(e.handler)
	callers.ReadHeaderTimeout, callers.IdleTimeout, callers.MaxHeaderBytes = headerTimeout, idleTimeout, maxHeaderBytes
	callers.ErrorLog = slog.NewLogLogger(e.options.Logger.Handler(), slog.LevelDebug)
	limited := e.options.Clients.Limit(inner, callers, clients.WithName("callers"), clients.WithHeads(e.headSize))
	accepting := listener.Track(limited, callers)
	ready := httpserver.New(e.readiness())
	group.Go(func() error { return e.peers.Run(work) })
	group.Go(func() error { return repeat.Every(work, syncInterval, e.guarded("sync", e.sync)) })
	group.Go(func() error { return repeat.Every(work, sweepInterval, e.guarded("sweep", e.sweep)) })
	group.Go(func() error { return e.serveReadiness(ready) })
	group.Go(func() error { return serveUntilClosed(callers, accepting) })
	group.Go(func() error {
		defer stop()
		select {
		case <-ctx.Done():
			e.drain(ctx, callers, accepting)
		case <-work.Done():
			_ = callers.Close() // another part has failed, and its error is returned
		}
		return ready.Close()
	})
	return group.Wait()
}

const (
	syncInterval  = 200 * time.Millisecond // a fifth of the time in which a change must take effect
	sweepInterval = 100 * time.Millisecond
	// headerTimeout and idleTimeout exceed the values that any configuration sets for callers.
	headerTimeout  = 10 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 64 << 10
)

// headSize returns the maximum size of a head that the configuration allows callers, in bytes.
func (e *Entry) headSize() int {
	if index := e.view.Index(); index != nil && index.Limits.MaxHeaderBytes > 0 {
		return min(index.Limits.MaxHeaderBytes, maxHeaderBytes)
	}
	return maxHeaderBytes
}

// serveReadiness serves the readiness checks.
func (e *Entry) serveReadiness(s *http.Server) error {
	l, err := e.options.Listen(e.options.Settings.Listen.Ready)
	if err != nil {
		return err
	}
	return serveUntilClosed(s, e.options.Clients.Limit(l, s, clients.WithName("readiness"), clients.WithHeads(httpserver.HeadSize), clients.WithFewConns()))
}

func serveUntilClosed(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); !errs.Is(err, http.ErrServerClosed) && !errs.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

func (e *Entry) sweep(context.Context) {
	e.handler.Sweep()
	e.options.Pool.Sweep()
	e.options.Sweep()
}

// readiness answers the readiness checks of the load balancer.
func (e *Entry) readiness() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+e.options.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if e.draining.Load() || !e.serving.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return mux
}

const (
	// readinessDelay is the time in which the load balancer detects that this instance is not ready: two checks at one-second
	// intervals, and half a second for transmission.
	readinessDelay = 2500 * time.Millisecond
	// exitMargin is the part of the shutdown time that remains for the process to exit by itself.
	exitMargin = 500 * time.Millisecond
)

// drain reports not ready until the load balancer has detected it, then accepts the connections that wait and no more, and answers the requests on
// open connections.
func (e *Entry) drain(ctx context.Context, callers *http.Server, accepting *listener.Tracked) {
	started := e.options.Now()
	e.draining.Store(true)
	event.Log(ctx, e.options.Logger, event.InstanceDraining, slog.String("Instance", e.options.Settings.Name))
	remaining := e.options.Settings.Shutdown.Duration() - exitMargin
	deadline := time.Now().Add(remaining)
	e.handler.Close(started.Add(readinessDelay), started.Add(remaining))
	time.Sleep(readinessDelay)
	end, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()
	err := accepting.Shutdown(end) // http.Server.Shutdown would read requests and close their connections without an answer
	event.Log(ctx, e.options.Logger, event.InstanceStopped, slog.String("Instance", e.options.Settings.Name),
		slog.Int64("AfterMillis", e.options.Now().Sub(started).Milliseconds()), slog.Any("CutRequests", err))
	_ = callers.Close() // aborts requests that are still active
}

// SetSeeds replaces the seeds.
func (e *Entry) SetSeeds(seeds []netip.AddrPort) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seeds = seeds
}

// observe records the metrics of a finished request.
func (e *Entry) observe(o forward.Outcome) {
	scope := e.options.Scope.Tagged(map[string]string{"Kind": string(o.Kind), "Service": o.Service, "Code": o.Code})
	scope.Counter("Requests").Inc(1)
	scope.Histogram("RequestSeconds", latencyBuckets).RecordDuration(o.Duration)
	if o.FirstByte > 0 {
		scope.Histogram("FirstByteSeconds", latencyBuckets).RecordDuration(o.FirstByte)
	}
}

// latencyBuckets range from the time of a local answer to the longest timeout.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 13)
