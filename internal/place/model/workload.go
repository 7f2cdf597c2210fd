package model

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Site describes the engines, the weight store and the callers of one reference user.
type Site struct {
	Name           string
	Model          string
	DataCentres    []string
	Endpoints      int // per data centre
	Slots          int
	BatchSize      int
	StepBase       time.Duration // one batch step with no sequence
	StepSequence   time.Duration // added for each sequence in the batch
	StepPrompt     time.Duration // added for each prompt token that is not cached
	PromptChunk    int           // prompt tokens processed in one step
	CachedPrefixes int           // prefixes that an engine keeps
	LoadTime       time.Duration
	MaxTransfers   int
	LoadsPerSecond float64
	Latency        time.Duration // one way between data centres
	LocalLatency   time.Duration // one way within a data centre
	Adapters       int
	Skew           float64   // exponent of the popularity of adapters
	Shares         []float64 // share of each customer in demand
	Rate           float64   // requests per second
	Turns          float64   // mean requests of a conversation
	Think          time.Duration
	HomeShare      float64 // share of an adapter's conversations that come from its main data centre
	PromptTokens   int     // median
	OutputTokens   int     // median
	Deadline       time.Duration
	BytesPerToken  int
}

// Banksia is the site of Banksia Hand Lettering.
func Banksia() Site {
	return Site{
		Name: "banksia", Model: "quill", DataCentres: []string{"brisbane-a", "townsville-a", "toowoomba-a"},
		Endpoints: 3, Slots: 16, BatchSize: 16,
		StepBase: 20 * time.Millisecond, StepSequence: 300 * time.Microsecond, StepPrompt: 40 * time.Microsecond,
		PromptChunk: 512, CachedPrefixes: 64,
		LoadTime: 250 * time.Millisecond, MaxTransfers: 8, LoadsPerSecond: 3,
		Latency: 30 * time.Millisecond, LocalLatency: time.Millisecond,
		Adapters: 3000, Skew: 1.4, Shares: []float64{0.4, 0.3, 0.15, 0.1, 0.05},
		Rate: 18, Turns: 4, Think: 8 * time.Second, HomeShare: 0.6,
		PromptTokens: 250, OutputTokens: 90, Deadline: 10 * time.Second, BytesPerToken: 6,
	}
}

// Koro is the site of Koro Flex Surfaces Group.
func Koro() Site {
	s := Banksia()
	s.Name, s.Model = "koro", "koro-lm"
	s.DataCentres = []string{"suva-a", "labasa-a", "vunisea-a"}
	s.LoadsPerSecond = 4
	s.LocalLatency = 1500 * time.Microsecond
	s.Rate, s.Turns = 22, 3
	s.PromptTokens, s.OutputTokens = 400, 70
	return s
}

// Scenario is what happens to a site in one run.
type Scenario struct {
	Seed     uint64
	Length   time.Duration
	Warmup   time.Duration // not measured
	ShiftAt  time.Duration // the popular set changes, zero for never
	BurstAt  time.Duration // Burster sends five times its rate, zero for never
	BurstFor time.Duration
	Burster  int
	Faults   bool // engines restart empty, loads fail
	Only     int  // customer to keep alone, -1 for all
}

// Standard is the scenario of the benchmark.
func Standard(seed uint64, length time.Duration) Scenario {
	return Scenario{
		Seed: seed, Length: length, Warmup: length / 4, ShiftAt: length / 2,
		BurstAt: length * 5 / 8, BurstFor: length / 8, Only: -1,
	}
}

// Call is one request of the workload.
type Call struct {
	ID         string
	At         time.Duration
	Customer   int
	Adapter    int
	Prompt     int
	Output     int
	Prefix     uint64
	DataCentre int
	OverRate   bool // its customer is sending more than its rate
	measured   bool
}

const burstFactor = 5

// Generate returns the calls of a scenario in the order of their times. The calls of a customer are the same
// whether it is alone or not.
func Generate(site Site, sc Scenario) []*Call {
	var calls []*Call
	for customer, share := range site.Shares {
		if sc.Only >= 0 && sc.Only != customer {
			continue
		}
		calls = append(calls, newStream(site, sc, customer, 0).generate(share, 0, sc.Length, false)...)
		if sc.BurstAt > 0 && customer == sc.Burster && sc.Only < 0 {
			extra := newStream(site, sc, customer, 1)
			calls = append(calls, extra.generate(share*(burstFactor-1), sc.BurstAt, sc.BurstAt+sc.BurstFor, true)...)
		}
	}
	for _, c := range calls {
		burst := sc.BurstAt > 0 && c.Customer == sc.Burster
		// What the customer sent over its rate waits until its deadline, so its queue counts as over the rate.
		c.OverRate = c.OverRate || burst && c.At >= sc.BurstAt && c.At < sc.BurstAt+sc.BurstFor+site.Deadline
		c.measured = c.At >= sc.Warmup
	}
	slices.SortFunc(calls, func(a, b *Call) int { return int(a.At - b.At) })
	return calls
}

// stream generates the calls of one customer from its own random source.
type stream struct {
	site     Site
	sc       Scenario
	customer int
	part     int
	random   *rand.Rand
	ranks    [2][]int // adapters by popularity before and after the shift
	weights  []float64
}

func newStream(site Site, sc Scenario, customer, part int) *stream {
	s := &stream{site: site, sc: sc, customer: customer, part: part}
	order := rand.New(rand.NewPCG(sc.Seed, uint64(customer)))
	s.random = rand.New(rand.NewPCG(sc.Seed, uint64(1000+10*customer+part)))
	first := 0.0
	for _, share := range site.Shares[:customer] {
		first += share
	}
	from := int(first * float64(site.Adapters))
	count := int(site.Shares[customer] * float64(site.Adapters))
	before := order.Perm(count)
	for i := range before {
		before[i] += from
	}
	s.ranks[0] = before
	s.ranks[1] = shifted(order, before)
	sum := 0.0
	for i := range count {
		sum += math.Pow(float64(i+1), -site.Skew)
		s.weights = append(s.weights, sum)
	}
	return s
}

// shifted swaps half of the popular tenth of the adapters with random others.
func shifted(r *rand.Rand, ranks []int) []int {
	next := slices.Clone(ranks)
	popular := max(len(ranks)/10, 2)
	for i := 0; i < popular; i += 2 {
		j := popular + r.IntN(len(ranks)-popular)
		next[i], next[j] = next[j], next[i]
	}
	return next
}

func (s *stream) adapter(at time.Duration) int {
	set := 0
	if s.sc.ShiftAt > 0 && at >= s.sc.ShiftAt {
		set = 1
	}
	x := s.random.Float64() * s.weights[len(s.weights)-1]
	i, _ := slices.BinarySearch(s.weights, x)
	return s.ranks[set][min(i, len(s.weights)-1)]
}

// generate starts conversations as a Poisson process and adds their turns.
func (s *stream) generate(share float64, from, to time.Duration, over bool) (calls []*Call) {
	starts := share * s.site.Rate / s.site.Turns
	at := from
	for n := 0; ; n++ {
		at += seconds(s.random.ExpFloat64() / starts)
		if at >= to {
			return calls
		}
		calls = append(calls, s.conversation(n, at, to, over)...)
	}
}

func (s *stream) conversation(n int, at, to time.Duration, over bool) (calls []*Call) {
	adapter := s.adapter(at)
	dc := adapter % len(s.site.DataCentres)
	if s.random.Float64() > s.site.HomeShare {
		dc = s.random.IntN(len(s.site.DataCentres))
	}
	prefix := uint64(s.customer+1)<<48 | uint64(s.part+1)<<40 | uint64(n)
	for turn := 0; at < to; turn++ {
		calls = append(calls, &Call{
			ID: fmt.Sprintf("%d-%d-%d-%d", s.customer, s.part, n, turn), At: at, Customer: s.customer, Adapter: adapter,
			Prompt: s.tokens(s.site.PromptTokens), Output: s.tokens(s.site.OutputTokens), Prefix: prefix,
			DataCentre: dc, OverRate: over,
		})
		if s.random.Float64() > 1-1/s.site.Turns {
			break
		}
		at += seconds(s.random.ExpFloat64() * s.site.Think.Seconds())
	}
	return calls
}

// tokens draws a length from a log-normal distribution around the median.
func (s *stream) tokens(median int) int {
	const spread, limit = 0.6, 4
	return min(max(int(float64(median)*math.Exp(spread*s.random.NormFloat64())), 1), limit*median)
}

func seconds(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }
