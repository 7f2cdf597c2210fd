package control

import (
	"context"
	"log/slog"
	"time"

	"lycheevale/internal/base/deployment"
	"lycheevale/internal/base/event"
	"lycheevale/internal/limit/quota"
	"lycheevale/internal/member/report"
	"lycheevale/internal/member/roster"
	"lycheevale/internal/place/residency"
	"lycheevale/internal/place/weights"
	"lycheevale/internal/state/document"
)

// office is what an instance keeps while it leads, in memory only: a new leader learns it from endpoints and entries. All
// of it is guarded by the mutex of its Control.
type office struct {
	control      *Control
	term         uint64
	since        time.Time
	ordersFrom   time.Time // no order is given before
	roster       *roster.Roster
	placer       *residency.Placer
	pool         *quota.Pool
	weights      *weights.Planner // nil until a configuration is known
	entries      map[string]*entry
	index        *document.Index
	limits       map[string]quota.Limit
	list         []report.Endpoint // of the revision listed
	listed       uint64
	planned      time.Time      // when base models were last planned
	active       map[string]int // requests that run, by endpoint
	versions     uint64         // changes of adapter versions that the placer knows
	lines        map[string]*line
	waiting      []chan struct{}          // requests for adapters in line for a free place
	tellersHeard int                      // entries that have told
	asked        map[string]bool          // entries that were asked what they know of endpoints
	addresses    map[string]report.Deputy // of entries that have reported; a deputy that is silent for a moment stays named
	appointing   bool                     // an appointment of deputies is being stored
	appointedAt  time.Time                // when one was last proposed
	ended        bool
}

// entry is the last report of an entry.
type entry struct {
	active map[string]int
	at     time.Time
}

const (
	// ShareLease is the time for which an entry may use its shares without contact to the leader. It is longer than the
	// losses of a majority that have to be borne, since an entry without shares serves no limited customer.
	ShareLease = 30 * time.Second
	// AloneAfter is the time without an answer of the leader after which an entry uses its shares: several reports.
	AloneAfter = time.Second
	// aloneNotice is the silence of an entry from which on the leader takes it that it does.
	aloneNotice = 800 * time.Millisecond
	// entrySilence is the time after which the use that an entry has reported counts no more.
	entrySilence = 1500 * time.Millisecond
	// partialBeats is the number of announcements after which a new leader knows all endpoints.
	partialBeats = 3
)

func newOffice(c *Control, term uint64) *office {
	now := c.options.Now()
	places := c.options.Placer
	places.Regions = c.options.Settings.Regions
	return &office{
		control: c, term: term, since: now, ordersFrom: c.ordersFrom(now, term), roster: roster.New(roster.DefaultOptions()), placer: residency.New(places),
		pool:    quota.NewPool(now, shareOptions(c.options.Settings)),
		entries: map[string]*entry{}, active: map[string]int{}, asked: map[string]bool{}, addresses: map[string]report.Deputy{}, lines: map[string]*line{}, limits: map[string]quota.Limit{},
	}
}

// ordersFrom is the time from which a new leader may give orders. Endpoints that do not check fencing numbers might follow two
// leaders in turns, so that a new one waits until the one before has certainly stopped. No endpoint is to get orders from two
// leaders in turns, so that an instance also waits that leads again after another one.
func (c *Control) ordersFrom(now time.Time, term uint64) time.Time {
	lease := c.options.Settings.OrderLease.Duration()
	returns := term > c.led.term+1 && now.Sub(c.led.until) < 2*lease
	if c.options.Settings.Fencing && !returns {
		return now
	}
	return now.Add(lease)
}

func shareOptions(s deployment.Settings) quota.Options {
	return quota.Options{
		Lease: ShareLease, AloneAfter: aloneNotice,
		Tolerance: Tolerance(s),
	}
}

// Limit returns what a customer may use.
func Limit(c document.Customer) quota.Limit { return quota.Limit{Rate: c.Rate, Burst: c.Burst} }

// Tolerance returns the bound on the use of all customers.
func Tolerance(s deployment.Settings) quota.Tolerance {
	return quota.Tolerance{Window: s.Rates.Window.Duration(), Overage: s.Rates.Overage, Slack: s.Rates.Slack}
}

// end lets no further order start.
func (o *office) end() { o.ended = true }

func (o *office) now() time.Time { return o.control.options.Now() }

// partial tells that endpoints may live that have not announced themselves to this leader yet.
func (o *office) partial() bool {
	return o.now().Sub(o.since) < partialBeats*o.control.options.Settings.Heartbeat.Duration()
}

// directory is the revision that entries compare; it changes when the list becomes complete.
func (o *office) directory() uint64 {
	revision := 2 * o.roster.Revision()
	if !o.partial() {
		revision++
	}
	return revision
}

func (o *office) tick(ctx context.Context) {
	now := o.now()
	o.follow(ctx)
	o.appoint(ctx, now)
	for _, id := range o.roster.Expire(now) {
		event.Log(ctx, o.control.options.Logger, event.EndpointGone, slog.String("Endpoint", id))
		o.drop(id)
	}
	o.forgetSilent(now)
	o.placer.Tick(now)
	o.callUp(o.placer.FreePlaces(now))
	if now.Sub(o.since) < useGather {
		return
	}
	for _, u := range o.placer.MakeRoom(now) {
		o.order(ctx, u.Endpoint, job{holding: u.Holding})
	}
	if now.Sub(o.planned) >= planInterval {
		o.planned = now
		o.loadModels(ctx)
	}
	for id, l := range o.lines {
		if !l.running && now.Sub(l.asked) >= refreshInterval && o.placer.NeedsReconcile(now, id) {
			l.asked = now
			o.order(ctx, id, job{refresh: true})
		}
	}
}

// appoint stores who may hold shares, before anybody gets them.
func (o *office) appoint(ctx context.Context, now time.Time) {
	if o.appointing || now.Sub(o.appointedAt) < appointInterval {
		return
	}
	o.appointedAt = now
	a, changed := o.pool.Propose(now)
	if !changed {
		return
	}
	o.appointing = true
	c := o.control
	c.group.Go(func() error {
		_, err := c.propose(ctx, document.Command{Action: document.Appoint, Appoint: document.Appointment{
			Term: o.term, Deputies: a.Deputies, Former: a.Former,
		}})
		event.Log(ctx, c.options.Logger, event.DeputiesAppointed, slog.Uint64("Term", o.term), slog.Any("Deputies", a.Deputies),
			slog.Any("Former", a.Former), slog.Any("Error", err))
		c.mu.Lock()
		defer c.mu.Unlock()
		o.appointing = false
		return nil
	})
}

// appointInterval bounds the changes of deputies while entries come and go.
const appointInterval = 500 * time.Millisecond

// planInterval is short beside the load of a base model.
const planInterval = 100 * time.Millisecond

// queue puts a request for an adapter in line for a free place.
func (o *office) queue() chan struct{} {
	turn := make(chan struct{})
	o.waiting = append(o.waiting, turn)
	return turn
}

// callUp lets the first requests in line try again, as many as there are free places. Those that have given up leave their
// place to the next tick.
func (o *office) callUp(places int) {
	n := min(places, len(o.waiting))
	for _, turn := range o.waiting[:n] {
		close(turn)
	}
	o.waiting = o.waiting[n:]
}

// loadModels orders base models for endpoints that hold none.
func (o *office) loadModels(ctx context.Context) {
	if o.index == nil {
		return
	}
	var rate float64
	var engines []weights.Endpoint
	for _, e := range o.endpoints() {
		service := o.index.Service(e.Service)
		if e.Leaving || service == nil || service.Engine == nil {
			continue
		}
		rate = max(rate, service.Engine.LoadsPerSecond)
		engine := weights.Endpoint{ID: e.ID, Models: e.Models, Room: service.Engine.WeightMB}
		for _, m := range service.Engine.Models {
			engine.Choice = append(engine.Choice, weights.Model{Name: m.Name, Size: m.WeightMB})
		}
		engines = append(engines, engine)
	}
	if o.weights == nil {
		o.weights = weights.New(o.now(), rate, weights.Defaults())
	}
	for _, l := range o.weights.Plan(o.now(), rate, engines) {
		o.order(ctx, l.Endpoint, job{load: true, holding: residency.Holding{Adapter: residency.Adapter{Model: l.Model}}})
	}
}

const (
	// useGather is the time in which a new leader hears from the entries which adapters are in use: they find it within 0.3 s.
	useGather = 600 * time.Millisecond
	// refreshInterval bounds what asking endpoints for their state costs.
	refreshInterval = time.Second
)

// follow takes over changes of the replicated state.
func (o *office) follow(ctx context.Context) {
	state := o.control.machine.Stored()
	o.pool.Appoint(quota.Appointment{Deputies: state.Appoint.Deputies, Former: state.Appoint.Former})
	if state.Changes > o.versions {
		o.versions = state.Changes
		for _, v := range state.Adapters {
			o.placer.SetVersion(residency.Adapter{Model: v.Model, Name: v.Adapter}, v.Version)
		}
	}
	if state.Version == 0 || (o.index != nil && o.index.Version == state.Version) {
		return
	}
	d, err := o.control.options.Decode(state.Content)
	if err != nil {
		event.Log(ctx, o.control.options.Logger, event.ViewRefused, slog.Uint64("Version", state.Version), slog.Any("Error", err))
		return
	}
	o.index = document.NewIndex(d)
	o.limits = map[string]quota.Limit{}
	for _, c := range d.Customers {
		if c.Rate > 0 {
			o.limits[c.Name] = Limit(c)
		}
	}
	for _, s := range d.Services {
		if s.Engine != nil {
			o.placer.SetStore(s.Engine.LoadsPerSecond)
		}
	}
	for _, e := range o.endpoints() {
		if a, ok := o.roster.Get(e.ID); ok {
			o.place(a)
		}
	}
}

// announce records an announcement.
func (o *office) announce(a roster.Announcement) (changed bool, err error) {
	previous, _ := o.roster.Get(a.ID)
	changed, err = o.roster.Announce(o.now(), a)
	if err != nil {
		return false, err
	}
	if changed {
		for _, id := range o.placer.Endpoints() {
			if _, still := o.roster.Get(id); !still {
				o.drop(id)
			}
		}
	}
	if current, ok := o.roster.Get(a.ID); ok {
		if current.Born != previous.Born {
			o.drop(a.ID) // another life holds nothing of what the one before held
		}
		o.place(current)
	}
	return changed, nil
}

func (o *office) drop(id string) {
	o.placer.RemoveEndpoint(id)
	delete(o.lines, id)
}

// place tells the placer of an endpoint of a model service.
func (o *office) place(a roster.Announcement) {
	if o.index == nil {
		return
	}
	service := o.index.Service(a.Service)
	if service == nil || service.Engine == nil {
		return
	}
	o.placer.SetEndpoint(o.now(), residency.Endpoint{
		ID: a.ID, Service: a.Service, DataCentre: a.DataCentre, Models: a.Models, Slots: service.Engine.AdapterCapacity(a.Models),
		Accepting: !a.Leaving, Holdings: a.Holdings,
	})
}
