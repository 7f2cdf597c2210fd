package instance_test

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"lycheevale/internal/base/knownred"
	"lycheevale/internal/fake/deployment"
	fakeengine "lycheevale/internal/fake/engine"
	"lycheevale/internal/place/quarantine"
	"lycheevale/internal/state/registry"
)

const (
	deadlyText = "deadly" // endpoints that begin to run a request with this text crash
	downTime   = 3 * time.Second
)

// deadly is a deployment whose endpoints crash when they begin to run a request with deadlyText.
type deadly struct {
	*system
	harmless atomic.Bool  // requests with deadlyText no longer crash endpoints
	delay    atomic.Int64 // time from the beginning of a deadly request to the crash, in nanoseconds
	wait     atomic.Int64 // time until an endpoint begins to answer a sound request, in nanoseconds

	mu   sync.Mutex
	seen []string // texts with deadlyText that endpoints have received
}

func runDeadly(t *testing.T, test func(d *deadly), opts ...deployment.Option) {
	t.Helper()
	d := &deadly{}
	crash := func(name, text string) {
		if !strings.Contains(text, deadlyText) {
			time.Sleep(time.Duration(d.wait.Load()))
			return
		}
		d.mu.Lock()
		d.seen = append(d.seen, text)
		d.mu.Unlock()
		time.Sleep(time.Duration(d.delay.Load()))
		if !d.harmless.Load() {
			d.endpoint(name).Crash(downTime)
		}
	}
	runSystem(t, func(s *system) {
		d.system = s
		for _, e := range s.Endpoints {
			if e.Service != nil {
				e.Service.Inspect = func(r *http.Request, body []byte) { crash(e.Name, r.URL.Path+string(body)) }
			}
		}
		test(d)
	}, append([]deployment.Option{deployment.With(func(o *deployment.Options) {
		o.Instances, o.ExtraInstances, o.Services = 1, 1, 2
		o.EngineOptions = func(name string) []fakeengine.Option {
			return []fakeengine.Option{fakeengine.WithFaults(fakeengine.Faults{Run: func(prompt string) { crash(name, prompt) }})}
		}
	})}, opts...)...)
}

func (d *deadly) endpoint(name string) *deployment.Endpoint {
	for _, e := range d.Endpoints {
		if e.Name == name {
			return e
		}
	}
	return nil
}

// received returns how many requests with a text endpoints have received.
func (d *deadly) received(text string) (n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, seen := range d.seen {
		if strings.Contains(seen, text) {
			n++
		}
	}
	return n
}

func (d *deadly) crashes() (n int) {
	for _, e := range d.Endpoints {
		n += e.Crashes()
	}
	return n
}

// call is a request that can be repeated at any instance.
type call struct {
	path, text string
	adapter    string // of a completion; empty for draft-00
}

// body returns the body, which contains the text.
func (c call) body() string {
	if c.path == completionsPath {
		return fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":5,"stream":true}`, cmp.Or(c.adapter, "draft-00"), c.text)
	}
	return fmt.Sprintf(`{"reference":%q}`, c.text)
}

// deadlyCalls are requests that crash endpoints, by the kind of the service.
var deadlyCalls = map[string]call{
	modelService: {path: completionsPath, text: "a deadly request"},
	plainService: {path: ordersPath, text: "a deadly request"},
}

const (
	modelService    = "model"
	plainService    = "plain"
	completionsPath = "/v1/completions"
	ordersPath      = "/ledger/orders"
	lookupPath      = "/ledger/orders/" // calls may be repeated
)

var serviceKinds = []string{modelService, plainService}

// soundCall is a request of a service that crashes nothing.
func soundCall(kind string, n int) call {
	if kind == modelService {
		return call{path: completionsPath, text: fmt.Sprintf("sound %d", n)}
	}
	return call{path: ordersPath, text: fmt.Sprintf("sound %d", n)}
}

// answer is what a caller received.
type answer struct {
	status    int
	retryTime string
	text      string
	Error     struct{ Code, Ran string }
}

func methodOf(c call) string {
	if strings.HasPrefix(c.path, lookupPath) {
		return http.MethodGet
	}
	return http.MethodPost
}

func (d *deadly) call(at int, c call) (a answer) {
	i, method := d.Instances[at%len(d.Instances)], methodOf(c)
	before := d.received(c.text)
	a.status, a.retryTime, a.text = d.send(i, method, c.path, c.body())
	if text := strings.TrimPrefix(a.text, "data: "); strings.HasPrefix(text, `{"error"`) {
		d.Check(json.Unmarshal([]byte(text), &a), qt.IsNil)
	}
	if strings.Contains(c.text, deadlyText) {
		d.Check(a.Error.Ran == "NotRun" && d.received(c.text) > before, qt.IsFalse, qt.Commentf("P8: an endpoint has received it: %s", a.text))
	}
	return a
}

// Guards against a refusal as not run of a request that an engine had begun when it crashed: the owner took the refused connection of the
// resumption for the fate of the request.
func TestRequestOfCrashedEngineMayHaveRun(t *testing.T) {
	runDeadly(t, func(d *deadly) {
		for n := range d.Instances {
			c := call{path: completionsPath, text: fmt.Sprintf("deadly %d", n)}
			a := d.call(n, c)
			d.Check(a.Error.Ran, qt.Equals, "Unknown", qt.Commentf("%s", a.text))
			time.Sleep(2 * downTime)
		}
	})
}

// Guards against a request that crashes the endpoints which begin to run it: repeated at several instances, it reached up to three
// endpoints each time.
func TestRepeatedDeadlyRequestIsQuarantined(t *testing.T) {
	const (
		repeats  = 20
		interval = 2 * time.Second
	)
	for _, kind := range serviceKinds {
		t.Run(kind, func(t *testing.T) {
			crashes, received, served := 0, 0, 0
			runDeadly(t, func(d *deadly) {
				for n := range repeats {
					a := d.call(n, deadlyCalls[kind])
					d.Check(a.status, qt.Not(qt.Equals), http.StatusOK)
					if a.Error.Code == "Quarantined" {
						d.Check(a.Error.Ran, qt.Equals, "NotRun")
						d.Check(a.status, qt.Equals, http.StatusServiceUnavailable)
						d.Check(a.retryTime, qt.Not(qt.Equals), "")
					}
					time.Sleep(interval)
					if d.call(n+1, soundCall(kind, n)).status == http.StatusOK {
						served++
					}
				}
				crashes, received = d.crashes(), d.received(deadlyText)
			})
			limit := quarantine.DefaultOptions().MinRounds
			knownred.Target(t, crashes <= limit && served == repeats, "%d crashes, want at most %d; %d of %d sound requests were served; endpoints received the request %d times",
				crashes, limit, served, repeats, received)
		})
	}
}

// The callers of a deadly request leave before its endpoint crashes. Guards against an instance that lets go of such a request without a trace, so that it
// crashes one endpoint after the other.
func TestDeadlyRequestWhoseCallersLeaveIsBounded(t *testing.T) {
	const (
		repeats  = 20
		interval = 2 * time.Second
		patience = 150 * time.Millisecond
	)
	for name, c := range map[string]call{
		"order": {path: ordersPath, text: "a deadly request"}, "lookup": {path: lookupPath + "7", text: "a deadly request"},
		"completion": deadlyCalls[modelService],
	} {
		t.Run(name, func(t *testing.T) {
			crashes, served := 0, 0
			runDeadly(t, func(d *deadly) {
				d.delay.Store(int64(250 * time.Millisecond))
				for n := range repeats {
					ctx, leave := context.WithTimeout(d.ctx, patience)
					d.sendContext(ctx, d.Instances[n%len(d.Instances)], methodOf(c), c.path, c.body())
					leave()
					time.Sleep(interval - patience)
					if n >= repeats/2 && d.call(n+1, soundCall(plainService, n)).status == http.StatusOK {
						served++
					}
				}
				crashes = d.crashes()
			})
			limit := quarantine.DefaultOptions().MinRounds
			knownred.Target(t, crashes <= limit && served == repeats/2, "%d crashes, want at most %d; %d of %d sound requests were served", crashes, limit, served, repeats/2)
		})
	}
}

// quarantined returns the signatures that the last instance refuses.
func (d *deadly) quarantined() []registry.Object {
	return d.Instances[len(d.Instances)-1].Current().Objects(registry.KindQuarantine)
}

// Guards against two requests that crash endpoints at the same time and hide each other, or take the sound ones with them.
func TestTwoDeadlyRequestsAreQuarantined(t *testing.T) {
	const (
		repeats  = 30
		interval = 500 * time.Millisecond
	)
	for _, kind := range serviceKinds {
		t.Run(kind, func(t *testing.T) {
			runDeadly(t, func(d *deadly) {
				other := deadlyCalls[kind]
				other.text = "another deadly request"
				both := []call{deadlyCalls[kind], other}
				var group errgroup.Group
				refused := make([]bool, len(both))
				served := 0
				for at, c := range both {
					group.Go(func() error {
						for n := range repeats {
							refused[at] = d.call(n+at, c).Error.Code == "Quarantined"
							time.Sleep(interval)
						}
						return nil
					})
				}
				d.Check(group.Wait(), qt.IsNil)
				time.Sleep(downTime)
				for n := range d.Instances {
					if d.call(n, soundCall(kind, n)).status == http.StatusOK {
						served++
					}
				}
				d.Check(refused, qt.DeepEquals, []bool{true, true})
				d.Check(d.quarantined(), qt.HasLen, len(both))
				d.Check(served, qt.Equals, len(d.Instances))
				d.Check(d.crashes() <= len(both)*quarantine.DefaultOptions().Decisive, qt.IsTrue, qt.Commentf("%d crashes", d.crashes()))
			})
		})
	}
}

// Guards against a request that is blamed for crashes of another cause, such as requests that are often repeated.
func TestOtherCrashesBlameNoRequest(t *testing.T) {
	const (
		seeds   = 5
		callers = 8
		length  = 30 * time.Second
		wait    = 300 * time.Millisecond // many requests have not begun when their endpoint crashes
	)
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runDeadly(t, func(d *deadly) {
				d.wait.Store(int64(wait))
				end := time.Now().Add(length)
				random := rand.New(rand.NewPCG(seed, 1))
				var group errgroup.Group
				for n := range callers {
					pause := 100*time.Millisecond + time.Duration(random.Int64N(int64(200*time.Millisecond)))
					kind := serviceKinds[n%2]
					group.Go(func() error {
						for i := n; time.Now().Before(end); i++ {
							d.call(i, soundCall(kind, n%4)) // four requests that are repeated all the time
							d.call(i, soundCall(kind, 1000*n+i))
							time.Sleep(pause)
						}
						return nil
					})
				}
				for time.Now().Before(end) {
					time.Sleep(time.Duration(random.Int64N(int64(2 * time.Second))))
					for range 1 + random.IntN(4) {
						d.Endpoints[random.IntN(len(d.Endpoints))].Crash(downTime)
					}
				}
				d.Check(group.Wait(), qt.IsNil)
				d.Check(d.quarantined(), qt.HasLen, 0)
				d.Check(d.crashes() > seeds, qt.IsTrue)
			}, deployment.With(func(o *deployment.Options) { o.DataCentres, o.ExtraInstances = []string{"brisbane-a"}, 2 }))
		})
	}
}

// Guards against what was learned of crashes, or the decision, that is lost with the instance that leads or coordinates. An instance that is
// replaced may take along the crashes that only it has seen, those of one request.
func TestQuarantineOutlivesInstances(t *testing.T) {
	for _, kind := range serviceKinds {
		t.Run(kind, func(t *testing.T) {
			runDeadly(t, func(d *deadly) {
				const (
					replaced = 2
					attempts = 2 // of a request that may crash endpoints
				)
				const withoutVote = 1
				for range replaced {
					before := d.crashes()
					d.call(withoutVote, deadlyCalls[kind])
					d.Check(d.crashes() > before, qt.IsTrue)
					time.Sleep(time.Second)
					d.replace(d.leader())
					time.Sleep(2 * downTime)
				}
				var a answer
				for n := 0; a.Error.Code != "Quarantined" && n < 2*len(d.Instances); n++ {
					a = d.call(n, deadlyCalls[kind])
					time.Sleep(2 * downTime)
				}
				d.Check(d.crashes() <= quarantine.DefaultOptions().MinRounds+attempts*replaced, qt.IsTrue, qt.Commentf("%d crashes", d.crashes()))
				for _, i := range d.Instances {
					d.replace(i)
				}
				time.Sleep(2 * downTime)
				before := d.received(deadlyText)
				for n := range d.Instances {
					d.Check(d.call(n, deadlyCalls[kind]).Error.Code, qt.Equals, "Quarantined")
				}
				d.Check(d.received(deadlyText), qt.Equals, before)
			})
		})
	}
}

// leader returns the instance that leads the configuration log.
func (d *deadly) leader() *deployment.Instance {
	for {
		for _, i := range d.Instances {
			if i.Current().Leads() {
				return i
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// replace ends an instance without a hand-over and starts it again.
func (d *deadly) replace(i *deployment.Instance) {
	for _, other := range d.Instances {
		if other != i {
			d.net.Cut(i.Host, other.Host)
		}
	}
	d.Check(d.StopInstance(i), qt.IsNil)
	d.net.HealAll()
	d.Assert(d.Restart(i), qt.IsNil)
	d.Assert(d.WaitReady(d.ctx), qt.IsNil)
}

// Guards against a wrongly blamed request that is refused for ever.
func TestWronglyBlamedRequestIsReleased(t *testing.T) {
	const interval = 5 * time.Second
	for _, kind := range serviceKinds {
		t.Run(kind, func(t *testing.T) {
			runDeadly(t, func(d *deadly) {
				for n := 0; len(d.quarantined()) == 0; n++ {
					d.call(n, deadlyCalls[kind])
					time.Sleep(interval)
				}
				d.harmless.Store(true)
				end := time.Now().Add(2 * quarantine.DefaultOptions().TrialAfter)
				status := 0
				for n := 0; status != http.StatusOK && time.Now().Before(end); n++ {
					status = d.call(n, deadlyCalls[kind]).status
					time.Sleep(interval)
				}
				d.Check(status, qt.Equals, http.StatusOK)
				d.Check(d.quarantined(), qt.HasLen, 0)
				for n := range d.Instances {
					d.Check(d.call(n, deadlyCalls[kind]).status, qt.Equals, http.StatusOK)
				}
			})
		})
	}
}

// Guards against a request that crashes an endpoint with each of its attempts. The first broken attempt may be due to another crash, and is
// repeated; an exact request that was exposed before, and has begun nowhere, is not.
func TestSuspectIsNotSentAgain(t *testing.T) {
	for name, c := range map[string]call{"model": deadlyCalls[modelService], "lookup": {path: lookupPath + "deadly", text: "deadly"}} {
		t.Run(name, func(t *testing.T) {
			runDeadly(t, func(d *deadly) {
				d.Check(d.call(0, c).Error.Ran, qt.Equals, "Unknown")
				d.Check(d.crashes(), qt.Equals, 2)
				time.Sleep(2 * downTime)
				for at := range 2 { // the second instance knows the suspect from the leader
					before := d.crashes()
					a := d.call(at, c)
					d.Check(a.Error.Code == "OutcomeUnknown" && d.crashes() == before+1 || a.Error.Code == "Quarantined" && d.crashes() == before, qt.IsTrue,
						qt.Commentf("%d crashes: %s", d.crashes()-before, a.text))
					time.Sleep(2 * downTime)
				}
			})
		})
	}
}

// Guards against a sound request that is given up because its endpoint crashes once.
func TestSoundRequestSurvivesCrash(t *testing.T) {
	runDeadly(t, func(d *deadly) {
		d.wait.Store(int64(time.Second))
		for n := range d.Instances {
			var group errgroup.Group
			var a answer
			group.Go(func() error {
				a = d.call(n, soundCall(modelService, n))
				return nil
			})
			time.Sleep(800 * time.Millisecond) // the adapter is loaded at first
			for _, e := range d.Endpoints {
				if e.Engine != nil && e.Engine.Running() > 0 {
					e.Crash(downTime)
				}
			}
			d.Check(group.Wait(), qt.IsNil)
			d.Check(a.status, qt.Equals, http.StatusOK, qt.Commentf("%s", a.text))
			time.Sleep(2 * downTime)
		}
		d.Check(d.crashes(), qt.Equals, len(d.Instances))
	})
}

// Guards against an adapter whose requests, each of them different, crash endpoints, and against blame for its customer.
func TestDeadlyAdapterIsQuarantined(t *testing.T) {
	const repeats = 20
	runDeadly(t, func(d *deadly) {
		var a answer
		for n := range repeats {
			sound := call{path: completionsPath, text: fmt.Sprint("sound ", n), adapter: "draft-03"} // of the same customer
			d.Check(d.call(n, sound).status, qt.Equals, http.StatusOK)
			if a = d.call(n, call{path: completionsPath, text: fmt.Sprint("deadly ", n)}); a.Error.Code == "Quarantined" {
				break
			}
			time.Sleep(2 * downTime)
		}
		d.Check(a.Error.Ran, qt.Equals, "NotRun")
		var blamed []string
		for _, o := range d.quarantined() {
			blamed = append(blamed, o.Quarantine.Signature)
		}
		d.Check(blamed, qt.DeepEquals, []string{quarantine.Adapter("quill", "draft-00@v1")})
	})
}

// Guards against a resend of an order that may have run and is then refused as not run, because its signature was quarantined since.
func TestClaimedOrderStaysUnknownInQuarantine(t *testing.T) {
	runDeadly(t, func(d *deadly) {
		order := deadlyCalls[plainService]
		send := func(at int, key string) string {
			_, _, text := d.send(d.Instances[at], http.MethodPost, order.path, order.body(), "Idempotency-Key", key)
			return text
		}
		d.Check(send(0, "first"), qt.Contains, `"ran":"Unknown"`)
		for n := 0; len(d.quarantined()) == 0; n++ {
			time.Sleep(2 * downTime)
			d.call(n, order)
		}
		before := d.received(deadlyText)
		for at := range d.Instances {
			d.Check(send(at, "first"), qt.Contains, `"ran":"Unknown"`)
			other := send(at, "second") // its claim is released each time
			d.Check(other, qt.Contains, `"Quarantined"`)
			d.Check(other, qt.Contains, `"ran":"NotRun"`)
		}
		d.Check(d.received(deadlyText), qt.Equals, before)
	})
}
