package caller_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	fakeengine "lycheevale/internal/fake/engine"
	"lycheevale/internal/serve/caller"
	"lycheevale/internal/serve/engine"
	"lycheevale/internal/serve/owner"
)

const (
	// For 8 tokens: the target of 1 ms is shared by an entry and an owner, and an allocation takes about 1 µs including
	// its share of garbage collection.
	maxAllocationsRequest = 500
)

// benchStep is the time between two tokens. It must not saturate the machine, or the benchmark measures scheduling
// delays instead of the proxy.
const benchStep = 25 * time.Millisecond

// benchSetup is an engine reachable directly and through an entry with its owner, over loopback sockets.
type benchSetup struct {
	direct, proxied string
	stop            func()
	engineTimes     *sync.Map // time.Duration spent in the engine, by attempt; complete after stop
}

// recordEngineTimes records the duration of the engine's handler for each attempt.
func recordEngineTimes(engineTimes *sync.Map, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		begin := time.Now()
		h.ServeHTTP(w, r)
		engineTimes.Store(r.Header.Get(engine.HeaderAttempt), time.Since(begin))
	})
}

func startBenchSetup(tb testing.TB, step time.Duration, remote bool) benchSetup {
	tb.Helper()
	e := fakeengine.New(fakeengine.WithSize(4, 100_000), fakeengine.WithStepTime(step))
	engineTimes := &sync.Map{}
	engineServer := httptest.NewServer(recordEngineTimes(engineTimes, e))
	address := engineServer.Listener.Addr().(*net.TCPAddr).AddrPort()
	logger := slog.New(slog.DiscardHandler)
	o := owner.New(owner.WithLogger(logger))
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return o.Run(ctx) })
	o.Acquire(owner.Grant{Endpoint: e.Announcement(address), Fence: 1, Deadline: time.Now().Add(time.Hour)})
	dispatch := o.Dispatch
	ownerServer := httptest.NewUnstartedServer(o.Handler())
	owner.Configure(ownerServer.Config)
	ownerServer.Start()
	if remote {
		dispatch = owner.NewRemote(ownerServer.Listener.Addr().(*net.TCPAddr).AddrPort(), time.Minute, owner.NewTransport()).Dispatch
	}
	server := caller.New(caller.With(func(c *caller.Options) {
		c.Logger, c.Registry = logger, testRegistry()
		c.Choose = func(time.Time, owner.Request, []string) (caller.Target, error) {
			return caller.Target{Endpoint: "engine-1", Dispatch: dispatch}, nil
		}
	}))
	entry := httptest.NewServer(server)
	return benchSetup{direct: engineServer.URL, proxied: entry.URL, engineTimes: engineTimes, stop: func() {
		cancel()
		entry.Close()
		ownerServer.Close()
		engineServer.CloseClientConnections()
		engineServer.Close()
		_ = group.Wait()
	}}
}

var benchClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512, DialContext: (&net.Dialer{}).DialContext}}

// send runs one streamed completion.
func send(tb testing.TB, url, attempt string, tokens int) sample {
	body := fmt.Sprintf(`{"model":"quill","prompt":"hello","stream":true,"max_tokens":%d}`, tokens)
	req, err := http.NewRequest("POST", url+"/v1/completions", bytes.NewReader([]byte(body)))
	if err != nil {
		tb.Fatal(err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+key1)
	req.Header.Set(engine.HeaderAttempt, attempt)
	begin := time.Now()
	resp, err := benchClient.Do(req)
	if err != nil {
		tb.Fatal(err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil || !bytes.HasSuffix(raw, []byte("[DONE]\n\n")) {
		tb.Fatalf("incomplete answer: %v %d %s", err, resp.StatusCode, raw)
	}
	took := time.Since(begin)
	_, rest, _ := bytes.Cut(raw, []byte(`"id":"`))
	served, _, _ := bytes.Cut(rest, []byte(`"`))
	return sample{took, string(served)}
}

// sample is one completion: the time to its end, and the attempt that the engine served.
type sample struct {
	duration time.Duration
	attempt  string
}

// timeOutsideEngine returns the time that a completion spent outside the engine. The engine's timers between tokens vary
// by milliseconds on a loaded machine, which would hide the proxy's share in the total time.
func (p benchSetup) timeOutsideEngine(s sample) time.Duration {
	inside, _ := p.engineTimes.Load(s.attempt)
	return s.duration - inside.(time.Duration)
}

func median(samples []sample, of func(sample) time.Duration) time.Duration {
	times := make([]time.Duration, len(samples))
	for i, s := range samples {
		times[i] = of(s)
	}
	slices.Sort(times)
	return times[len(times)/2]
}

// BenchmarkOverhead compares calls through the proxy with direct calls of the same engine in the same run. Rounds of
// direct and proxied calls alternate, so that a change of the machine's load affects both.
func BenchmarkOverhead(b *testing.B) {
	for _, remote := range []bool{false, true} {
		for _, streams := range []int{1, 256} {
			b.Run(fmt.Sprintf("remote=%t/streams=%d", remote, streams), func(b *testing.B) {
				p := startBenchSetup(b, benchStep, remote)
				for n := range 4 {
					send(b, p.proxied, fmt.Sprintf("warm-up-%d", n), 1)
				}
				size := min(streams*streams, 4*streams) // of a round; one stream alternates with each completion
				round := func(name, url string) []sample {
					samples := make([]sample, size)
					var group errgroup.Group
					for s := range streams {
						group.Go(func() error {
							for i := s; i < size; i += streams {
								samples[i] = send(b, url, fmt.Sprintf("%s-%d", name, i), 8)
							}
							return nil
						})
					}
					_ = group.Wait()
					return samples
				}
				var direct, proxied []sample
				b.ResetTimer()
				for i := range max(1, b.N/size) {
					direct = append(direct, round(fmt.Sprintf("direct-%d", i), p.direct)...)
					proxied = append(proxied, round(fmt.Sprintf("proxied-%d", i), p.proxied)...)
				}
				p.stop()
				whole := func(s sample) time.Duration { return s.duration }
				report := func(name string, of func(sample) time.Duration) {
					added := median(proxied, of) - median(direct, of)
					b.ReportMetric(float64(added.Microseconds()), name+"-added-µs-median")
				}
				report("whole", whole)
				report("outside-engine", p.timeOutsideEngine)
				b.ReportMetric(float64(median(direct, whole).Microseconds()), "direct-µs-median")
			})
		}
	}
}

// Guards against an increase of allocations per request.
func TestAllocationsPerRequest(t *testing.T) {
	p := startBenchSetup(t, 0, false)
	defer p.stop()
	n := 0
	measure := func(url string) float64 {
		return testing.AllocsPerRun(200, func() {
			n++
			send(t, url, fmt.Sprintf("allocs-%d", n), 8)
		})
	}
	direct, proxied := measure(p.direct), measure(p.proxied)
	t.Logf("allocations for each request: direct %.0f, proxied %.0f", direct, proxied)
	if added := proxied - direct; added > maxAllocationsRequest {
		t.Errorf("the proxy adds %.0f allocations, bound %d", added, maxAllocationsRequest)
	}
}
