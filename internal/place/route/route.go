// Package route chooses the endpoint for a request at an entry, based on the state that owners returned with earlier
// answers, which may be stale. It does no I/O and is not safe for concurrent use.
package route

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Candidate is an endpoint of the request's model that accepts work.
type Candidate struct {
	Endpoint   string
	DataCentre string
}

// Candidates holds the endpoints of one model, prepared for many choices.
type Candidates struct {
	centres []centre
}

type centre struct {
	name  string
	hash  uint64
	nodes []node
}

type node struct {
	name string
	hash uint64
}

// Prepare groups the endpoints of one model by data centre.
func Prepare(candidates []Candidate) *Candidates {
	c := &Candidates{}
	for _, one := range candidates {
		i := slices.IndexFunc(c.centres, func(d centre) bool { return d.name == one.DataCentre })
		if i < 0 {
			i = len(c.centres)
			c.centres = append(c.centres, centre{name: one.DataCentre, hash: xxhash.Sum64String(one.DataCentre)})
		}
		c.centres[i].nodes = append(c.centres[i].nodes, node{one.Endpoint, xxhash.Sum64String(one.Endpoint)})
	}
	slices.SortFunc(c.centres, func(a, b centre) int { return strings.Compare(a.name, b.name) })
	return c
}

// Request holds the properties of a request on which the choice depends.
type Request struct {
	ID      string
	Adapter string   // with its version; empty for the base model
	Bytes   int      // expected bytes of request and response, billed between data centres
	Exclude []string // endpoints that have already refused the request
}

// Answer is the state of an endpoint that an owner returned with a response.
type Answer struct {
	Endpoint  string
	Load      float64       // running and waiting requests per batch place
	Places    int           // batch places of the endpoint
	Wait      time.Duration // estimated wait for a place
	Service   time.Duration // mean time from dispatch to end
	SlotValue float64       // uses per second of the adapter that a load would evict
}

// Choice is the endpoint for a request.
type Choice struct {
	Endpoint   string
	DataCentre string
	Remote     bool
}

type observation struct {
	Answer
	at   time.Time
	sent int // requests sent there since the answer
}

type usage struct {
	count  float64
	recent float64 // count with the half-life recentHalfLife
	at     time.Time
	atHome bool // uses its home among all data centres
}

// Router is the state of one entry's choices.
type Router struct {
	options      Options
	observations map[string]*observation
	adapters     map[string]*usage
	adapterKeys  []string
	sweepCursor  int
}

// New returns a router without observations of loads and popularity.
func New(opts ...Option) *Router {
	r := &Router{options: Defaults(), observations: map[string]*observation{}, adapters: map[string]*usage{}}
	for _, opt := range opts {
		opt(&r.options)
	}
	return r
}

// Observe records an owner's answer.
func (r *Router) Observe(now time.Time, a Answer) {
	r.observations[a.Endpoint] = &observation{Answer: a, at: now}
}

// Choose returns the endpoint for a request, or false if there is no candidate.
func (r *Router) Choose(now time.Time, q Request, c *Candidates) (choice Choice, ok bool) {
	rate, u := r.countUse(now, q.Adapter)
	local := slices.IndexFunc(c.centres, func(d centre) bool { return d.name == r.options.DataCentre })
	hash := xxhash.Sum64String(q.Adapter)
	home := r.homeCentre(hash, c)
	where := local
	if local < 0 || home != local && q.Adapter != "" && r.usesHome(rate, q, u, &c.centres[local]) {
		where = home
	}
	if where >= 0 {
		choice, ok = r.chooseWithin(now, q, hash, rate, &c.centres[where])
	}
	if ok && !r.shouldTryElsewhere(now, q, choice) {
		return r.countSent(choice), true
	}
	if other, found := r.chooseElsewhere(now, q, hash, rate, c, where); found && (!ok || r.worthTransfer(now, q, other, choice)) {
		return r.countSent(other), true
	}
	if !ok {
		return Choice{}, false
	}
	return r.countSent(choice), true
}

// countUse adds one use and returns the adapter's uses per second in the whole data centre.
func (r *Router) countUse(now time.Time, adapter string) (float64, *usage) {
	u, known := r.adapters[adapter]
	if !known {
		r.sweep(now)
		u = &usage{at: now}
		r.adapters[adapter] = u
		r.adapterKeys = append(r.adapterKeys, adapter)
	}
	u.count = r.decayed(now, u) + 1
	u.recent = u.recent*math.Exp2(-now.Sub(u.at).Seconds()/recentHalfLife.Seconds()) + 1
	u.at = now
	rate := max(u.count/r.options.HalfLife.Seconds(), u.recent/recentHalfLife.Seconds())
	return math.Ln2 * rate * float64(max(r.options.Entries, 1)), u
}

// recentHalfLife lets an adapter that suddenly becomes popular get local slots and replicas within a minute. With HalfLife
// alone, its rate was underestimated for ten minutes.
const recentHalfLife = 30 * time.Second

func (r *Router) decayed(now time.Time, u *usage) float64 {
	return u.count * math.Exp2(-now.Sub(u.at).Seconds()/r.options.HalfLife.Seconds())
}

// sweep removes idle adapters. It checks two for each new adapter, so that no choice scans all of them.
func (r *Router) sweep(now time.Time) {
	const entries, idleUses = 2, 0.05
	for range min(entries, len(r.adapterKeys)) {
		r.sweepCursor = (r.sweepCursor + 1) % len(r.adapterKeys)
		key := r.adapterKeys[r.sweepCursor]
		if r.decayed(now, r.adapters[key]) > idleUses {
			continue
		}
		delete(r.adapters, key)
		last := len(r.adapterKeys) - 1
		r.adapterKeys[r.sweepCursor] = r.adapterKeys[last]
		r.adapterKeys = r.adapterKeys[:last]
		if last == 0 {
			return
		}
	}
}

func (r *Router) homeCentre(hash uint64, c *Candidates) int {
	best, highest := -1, uint64(0)
	for i := range c.centres {
		if score := mix(hash ^ c.centres[i].hash); best < 0 || score > highest {
			best, highest = i, score
		}
	}
	return best
}

// mix spreads the bits of a combined hash (finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// usesHome reports whether the adapter is used too rarely here to take a slot of this data centre: sending its requests to
// its home costs less, in delay and bytes, than the loads of other adapters that the free slot saves.
func (r *Router) usesHome(rate float64, q Request, u *usage, local *centre) bool {
	value, known := 0.0, 0
	for _, n := range local.nodes {
		if o := r.observations[n.name]; o != nil {
			value += o.SlotValue
			known++
		}
	}
	if known == 0 {
		return u.atHome
	}
	crossing := r.transferCost(q).Seconds() * rate
	saved := r.options.LoadCost.Seconds() * value / float64(known)
	if u.atHome {
		u.atHome = crossing < saved*r.options.Hysteresis
	} else {
		u.atHome = crossing*r.options.Hysteresis < saved
	}
	return u.atHome
}

// transferCost returns the cost of sending one request to another data centre, expressed as a delay.
func (r *Router) transferCost(q Request) time.Duration {
	return 2*r.options.Latency + time.Duration(q.Bytes)*r.options.PricePerByte
}

// chooseWithin returns the less loaded of two random endpoints among the first k of the ranking in a data centre.
func (r *Router) chooseWithin(now time.Time, q Request, hash uint64, rate float64, d *centre) (Choice, bool) {
	const most = 16
	var top [most]ranked
	k := min(r.replicas(now, q, rate, d), most)
	n := 0
	for i := range d.nodes {
		if slices.Contains(q.Exclude, d.nodes[i].name) {
			continue
		}
		n = insert(top[:k], n, ranked{mix(hash ^ d.nodes[i].hash), d.nodes[i].name})
	}
	if n == 0 {
		return Choice{}, false
	}
	random := mix(xxhash.Sum64String(q.ID))
	a := top[random%uint64(n)].name
	b := top[(random>>32)%uint64(n)].name
	if r.load(now, b) < r.load(now, a) {
		a = b
	}
	return Choice{Endpoint: a, DataCentre: d.name, Remote: d.name != r.options.DataCentre}, true
}

type ranked struct {
	score uint64
	name  string
}

// insert keeps the highest scores in descending order and returns their number.
func insert(top []ranked, n int, x ranked) int {
	if n < len(top) {
		top[n] = x
		n++
	} else if x.score > top[n-1].score {
		top[n-1] = x
	}
	for i := n - 1; i > 0 && top[i].score > top[i-1].score; i-- {
		top[i], top[i-1] = top[i-1], top[i]
	}
	return n
}

// replicas returns the number of endpoints that the adapter's demand needs, plus one while some, but not all, endpoints of
// the data centre are overloaded. The base model needs no slot and uses all endpoints.
func (r *Router) replicas(now time.Time, q Request, rate float64, d *centre) int {
	if q.Adapter == "" {
		return len(d.nodes)
	}
	places, service := 0, 0.0
	full := 0
	for _, n := range d.nodes {
		o := r.observations[n.name]
		if o == nil {
			continue
		}
		places = max(places, o.Places)
		service = max(service, o.Service.Seconds())
		if r.load(now, n.name) > 1 {
			full++
		}
	}
	if places == 0 {
		return 1
	}
	k := int(math.Ceil(rate * service / (r.options.FillTarget * float64(places))))
	if full > 0 && full < len(d.nodes) {
		k++
	}
	return min(max(k, 1), len(d.nodes))
}

// load estimates an endpoint's load from its last answer and the requests that this entry and its peers have sent since.
func (r *Router) load(now time.Time, endpoint string) float64 {
	const unknown = 0.5
	o := r.observations[endpoint]
	if o == nil || now.Sub(o.at) > r.options.MaxLoadAge {
		return unknown
	}
	return o.Load + float64(o.sent*max(r.options.Entries, 1))/float64(max(o.Places, 1))
}

// wait estimates the time that a request waits for a batch place.
func (r *Router) wait(now time.Time, endpoint string) time.Duration {
	o := r.observations[endpoint]
	if o == nil {
		return 0
	}
	return time.Duration(max(r.load(now, endpoint)-1, 0) * float64(o.Service))
}

// shouldTryElsewhere reports whether the choice is so overloaded that other data centres are considered.
func (r *Router) shouldTryElsewhere(now time.Time, q Request, c Choice) bool {
	return r.wait(now, c.Endpoint) > r.transferCost(q)+r.options.LoadCost
}

// chooseElsewhere returns the least loaded choice among the other data centres.
func (r *Router) chooseElsewhere(now time.Time, q Request, hash uint64, rate float64, c *Candidates, except int) (best Choice, ok bool) {
	for i := range c.centres {
		if i == except {
			continue
		}
		one, found := r.chooseWithin(now, q, hash, rate, &c.centres[i])
		if found && (!ok || r.load(now, one.Endpoint) < r.load(now, best.Endpoint)) {
			best, ok = one, true
		}
	}
	return best, ok
}

// worthTransfer reports whether sending the request to another data centre saves more waiting time than its delay, bytes
// and a possible load there cost.
func (r *Router) worthTransfer(now time.Time, q Request, other, chosen Choice) bool {
	return r.wait(now, other.Endpoint)+r.transferCost(q)+r.options.LoadCost < r.wait(now, chosen.Endpoint)
}

func (r *Router) countSent(c Choice) Choice {
	if o := r.observations[c.Endpoint]; o != nil {
		o.sent++
	}
	return c
}
