package matrix

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"lycheevale/internal/base/refusal"
	"lycheevale/internal/fake/deployment"
	fakeengine "lycheevale/internal/fake/engine"
	"lycheevale/internal/node/instance"
	"lycheevale/internal/serve/engine"
	"lycheevale/internal/state/registry"
	"lycheevale/internal/tool/demo"
)

// Figures of a schedule.
const (
	scheduleSteps = 40
	tightCustomer = 0 // index of the customer whose limit the schedule exhausts
	tightRate     = 3 // tokens per second
	tightBurst    = 90
	revokedKey    = 2 // index of the key that a schedule withdraws
	orderNames    = 4
	maxSkew       = time.Hour
	maxSlower     = 120 * time.Millisecond
	longestPause  = 900 * time.Millisecond
	longestOutage = 4 * time.Second
)

// schedule is a random sequence of requests, changes and faults, and what their answers said.
type schedule struct {
	*Harness
	work  errgroup.Group // requests and changes
	draw  func(n int) int
	steps []string

	lock      sync.Mutex
	skew      map[string]time.Duration // of wall clocks
	sent      []registry.Command
	results   map[string]uint64             // revision by request identifier, of accepted changes
	winners   map[uint64]string             // request identifier by expected revision
	refused   map[*instance.Instance]string // the answer with which an instance refused the withdrawn key
	fences    map[string]uint64             // highest fencing number that an endpoint received
	fenced    []string                      // commands of former owners
	began     map[string]bool               // prompts of completions that an engine began to run
	requests  int
	whole     int // answers to completions
	withdrawn bool
	wiped     bool // one voter loses its disk in a schedule
}

// RunSchedule runs the schedule that the seed draws, with log, distribution, withdrawal, ownership, limits and claims
// of a whole deployment at work, and returns the violations of promises and the steps taken. The disks of the voters
// are in folder; opts go to every instance.
func RunSchedule(ctx context.Context, seed uint64, folder string, opts ...instance.Option) (violations, steps []string, err error) {
	objects := demo.Changes()
	for n, o := range objects {
		if o.Kind == registry.KindCustomer && o.Name == demo.Customers()[tightCustomer] {
			objects[n].Customer = &registry.Customer{Rate: tightRate, Burst: tightBurst}
		}
	}
	s := &schedule{
		draw: rand.New(rand.NewPCG(seed, 0)).IntN, skew: map[string]time.Duration{}, results: map[string]uint64{},
		winners: map[uint64]string{}, refused: map[*instance.Instance]string{}, fences: map[string]uint64{}, began: map[string]bool{},
	}
	s.Harness, err = start(ctx, Cell{}, folder, objects, s.watchFences, deployment.With(func(o *deployment.Options) {
		o.Wall, o.Instance = s.wall, append(o.Instance, opts...)
		common := o.EngineOptions
		o.EngineOptions = func(name string) []fakeengine.Option { return append(common(name), fakeengine.WithBegan(s.noteBegun)) }
	}))
	if err != nil {
		return nil, nil, err
	}
	stop := s.watchRevisions()
	for range scheduleSteps {
		s.step()
		time.Sleep(time.Duration(s.draw(int(longestPause))))
	}
	s.settleDown()
	close(stop)
	violations = s.violations(s.evidence())
	s.lock.Lock()
	violations = append(violations, s.fenced...)
	s.lock.Unlock()
	return violations, s.steps, s.end()
}

func (s *schedule) wall(name string) func() time.Time {
	return func() time.Time {
		s.lock.Lock()
		defer s.lock.Unlock()
		return time.Now().Add(s.skew[name])
	}
}

func (s *schedule) note(format string, args ...any) {
	s.steps = append(s.steps, fmt.Sprintf("%v "+format, append([]any{time.Since(s.begin).Round(time.Millisecond)}, args...)...))
}

// concurrently runs what later steps of the schedule do not wait for.
func (s *schedule) concurrently(f func()) {
	s.work.Go(func() error {
		f()
		return nil
	})
}

func (s *schedule) any() *deployment.Instance { return s.Instances[s.draw(len(s.Instances))] }

// step takes one random step; requests and changes go on while later steps are taken.
func (s *schedule) step() {
	i := s.any()
	switch kind := s.draw(34); {
	case kind < 8:
		s.request(i)
	case kind < 12:
		s.order(i)
	case kind < 20:
		s.change(i)
	case kind < 21:
		s.note("withdraw at %s", i.Settings.Name)
		s.concurrently(func() { s.withdrawAt(i) })
	case kind < 23:
		s.note("isolate %s", i.Settings.Name)
		s.isolate(i)
	case kind < 24:
		s.note("cut the first data centre off")
		s.cutDataCentre()
	case kind < 26:
		s.note("heal")
		s.healNetwork()
	case kind < 27:
		s.note("silence connections")
		s.silenceConnections()
	case kind < 28:
		s.slower.Store(int64(s.draw(int(maxSlower))))
		s.note("latency rises by %v", time.Duration(s.slower.Load()))
	case kind < 29:
		s.stepClock(i)
	case kind < 30:
		s.note("restart engines of the first data centre")
		s.restartEngines()
	case kind < 31:
		s.note("loads fail, answers are late or crossed")
		s.failLoads.Store(2)
		s.crossed.Store(1)
	case kind < 32:
		s.note("stop and start %s", i.Settings.Name)
		s.must(s.StopInstance(i))
		time.Sleep(time.Duration(s.draw(int(longestOutage))))
		s.must(s.Restart(i))
	default:
		s.note("crash %s", i.Settings.Name)
		s.crash(i)
		if !s.wiped && i.Settings.DataFolder != "" && s.draw(2) == 0 {
			s.note("the disk of %s is lost", i.Settings.Name)
			s.wiped = true
			s.must(s.wipe(i))
		}
		time.Sleep(time.Duration(s.draw(int(longestOutage))))
		s.must(s.Restart(i))
	}
}

func (s *schedule) stepClock(i *deployment.Instance) {
	skew := time.Duration(s.draw(int(2*maxSkew))) - maxSkew
	s.note("the wall clock of %s is off by %v", i.Settings.Name, skew)
	s.lock.Lock()
	defer s.lock.Unlock()
	s.skew[i.Settings.Name] = skew
}

// request sends several completions, most of them for the customer with the tight limit.
func (s *schedule) request(i *deployment.Instance) {
	const atOnce, most = 8, 12
	for range 1 + s.draw(atOnce) {
		s.requests++
		key := []int{tightCustomer, tightCustomer, tightCustomer, 1, revokedKey}[s.draw(5)]
		adapter, tokens, prompt := fmt.Sprintf("draft-%02d", key+3*s.draw(8)), 1+s.draw(most), fmt.Sprintf("p%d.", s.requests)
		s.note("completion %s of %s at %s", prompt, adapter, i.Settings.Name)
		s.concurrently(func() { s.completion(i, key, adapter, prompt, tokens) })
	}
}

func (s *schedule) completion(i *deployment.Instance, key int, adapter, prompt string, tokens int) {
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":true}`, adapter, prompt, tokens)
	at := i.Current()
	s.lock.Lock()
	refused := s.refused[at]
	s.lock.Unlock()
	r := s.send(i, "/v1/completions", demo.Key(key), body, nil)
	s.checkAnswer(r, adapter, tokens)
	if r.ran() == string(refusal.NotRun) && s.hasBegun(prompt) {
		s.violate("P8: completion %s, which an engine began to run, was refused as not run: %s", prompt, r.body)
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	if r.whole() {
		s.whole++
	}
	if key != revokedKey || at != i.Current() {
		return
	}
	if refused != "" && r.err == nil && r.status == http.StatusOK {
		s.violate("P5: %s accepts a key again that it had refused: %s", i.Settings.Name, refused)
	}
	if r.status == http.StatusForbidden {
		s.refused[at] = fmt.Sprint(time.Since(s.begin), r.body)
	}
}

func (s *schedule) noteBegun(prompt string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.began[prompt] = true
}

func (s *schedule) hasBegun(prompt string) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.began[prompt]
}

// order sends one of a few orders, so that later steps send it again elsewhere.
func (s *schedule) order(i *deployment.Instance) {
	name := fmt.Sprintf("order-%d.", s.draw(orderNames))
	s.note("%s at %s", name, i.Settings.Name)
	s.concurrently(func() {
		body := fmt.Sprintf(`{"reference":%q}`, name)
		r := s.send(i, "/ledger/orders", demo.Key(1), body, map[string]string{"Idempotency-Key": name})
		if r.err == nil && r.status == http.StatusOK && s.runs(name) == 0 {
			s.violate("P7: %s was answered and did not run", name)
		}
	})
}

// change proposes a change, often two under one expected revision, or resends an earlier one.
func (s *schedule) change(i *deployment.Instance) {
	if n := len(s.sent); n > 0 && s.draw(3) == 0 {
		s.propose(i, s.sent[s.draw(n)])
		return
	}
	expected := uint64(0)
	if s.draw(2) == 0 {
		expected = i.Current().Revision()
	}
	for _, at := range []*deployment.Instance{i, s.any()}[:1+s.draw(2)] {
		name := fmt.Sprintf("new-%d", len(s.sent))
		c := s.command(name, name)
		c.ExpectedRevision = expected
		s.sent = append(s.sent, c)
		s.propose(at, c)
	}
}

func (s *schedule) propose(at *deployment.Instance, c registry.Command) {
	s.note("change %s on revision %d at %s", c.RequestID, c.ExpectedRevision, at.Settings.Name)
	s.concurrently(func() {
		result, err := s.Harness.propose(at, c)
		if err != nil {
			return // the outcome is open
		}
		s.lock.Lock()
		defer s.lock.Unlock()
		first, accepted := s.results[c.RequestID]
		if accepted && (result.Err() != nil || result.Revision != first) {
			s.violate("P12: change %s was accepted at revision %d, a resend got %v", c.RequestID, first, result)
		}
		if result.Err() != nil {
			return
		}
		s.results[c.RequestID] = result.Revision
		winner, taken := s.winners[c.ExpectedRevision]
		if taken && winner != c.RequestID && c.ExpectedRevision != 0 {
			s.violate("P12: changes %s and %s both won on revision %d", winner, c.RequestID, c.ExpectedRevision)
		}
		s.winners[c.ExpectedRevision] = c.RequestID
	})
}

// withdrawAt withdraws the key; a withdrawal that was accepted must be in force everywhere in the end.
func (s *schedule) withdrawAt(i *deployment.Instance) {
	ctx, cancel := context.WithTimeout(s.ctx, changeWait)
	defer cancel()
	if _, err := i.Current().Withdraw(ctx, demo.KeyID(revokedKey)); err == nil {
		s.lock.Lock()
		defer s.lock.Unlock()
		s.withdrawn = true
	}
}

// watchFences finds two instances that act as owners of one engine in turn. The engines
// of a schedule ignore fencing numbers, so that a command of a former owner must not even arrive.
func (s *schedule) watchFences(r *http.Request, body []byte) {
	var c engine.Command
	if r.URL.Path != "/v1/commands" || json.Unmarshal(body, &c) != nil {
		return
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	if c.Fence < s.fences[r.Host] {
		s.fenced = append(s.fenced, fmt.Sprintf("P2: engine %s received fencing number %d after %d", r.Host, c.Fence, s.fences[r.Host]))
	}
	s.fences[r.Host] = max(s.fences[r.Host], c.Fence)
}

// settleDown ends all faults and demands that everything works again.
func (s *schedule) settleDown() {
	s.note("all faults end")
	s.healNetwork()
	s.slower.Store(0)
	s.failLoads.Store(0)
	s.crossed.Store(0)
	s.lock.Lock()
	clear(s.skew)
	withdrawn := s.withdrawn
	s.lock.Unlock()
	_ = s.work.Wait()
	if ok, why := s.recovers(); !ok {
		s.violate("the deployment does not recover: %s", why)
	}
	if !withdrawn {
		return
	}
	for _, i := range s.Instances {
		refused := s.waitFor(func() bool { return s.complete(i, demo.Key(revokedKey), "draft-02", 1).status == http.StatusForbidden })
		if !refused {
			s.violate("P5: %s accepts a withdrawn key after all faults have ended", i.Settings.Name)
		}
	}
}

// evidence collects what the end of a schedule shows.
func (s *schedule) evidence() Evidence {
	e := s.Harness.evidence()
	for n := range orderNames {
		e.OrderRuns = max(e.OrderRuns, s.runs(fmt.Sprintf("order-%d.", n)))
	}
	s.lock.Lock()
	accepted := slices.Sorted(maps.Keys(s.results))
	s.lock.Unlock()
	s.note("%d of %d completions whole, %d of %d changes accepted, %g of %g tokens used, %d engines commanded",
		s.whole, s.requests, len(accepted), len(s.sent), e.Used, e.Allowance, len(s.fences))
	for _, name := range accepted {
		if !s.waitFor(func() bool { return s.everywhere(name) }) {
			e.Accepted[fmt.Sprint(name, s.missing(name))] = false
		}
	}
	return e
}
