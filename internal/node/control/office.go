package control

import (
	"context"
	"log/slog"
	"slices"
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
	control       *Control
	term          uint64
	since         time.Time
	ordersFrom    time.Time // no order is given before
	roster        *roster.Roster
	placer        *residency.Placer
	pool          *quota.Pool
	weights       *weights.Planner // nil until a configuration is known
	entries       map[string]*entry
	index         *document.Index
	limits        map[string]quota.Limit
	list          []report.Endpoint // of the revision listed
	listed        uint64
	planned       time.Time      // when base models were last planned
	active        map[string]int // requests that run, by endpoint
	versions      uint64         // changes of adapter versions that the placer knows
	lines         map[string]*line
	waiting       []chan struct{} // requests for adapters in line for a free place
	content       []byte          // packed document of packedVersion
	packedVersion uint64
	tellersHeard  int             // entries that have told
	asked         map[string]bool // entries that were asked what they know of endpoints
	appointing    bool            // an appointment of deputies is being stored
	appointedAt   time.Time       // when one was last proposed
	ended         bool
}

// entry is the last report of an entry.
type entry struct {
	deputy report.Deputy // as which it may serve
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
		control: c, term: term, since: now, ordersFrom: c.ordersFrom(now, term), roster: roster.New(roster.Defaults()), placer: residency.New(places),
		pool:    quota.NewPool(now, shareOptions(c.options.Settings)),
		entries: map[string]*entry{}, active: map[string]int{}, asked: map[string]bool{}, lines: map[string]*line{}, limits: map[string]quota.Limit{},
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

// Tolerance returns the bound on the use of all customers.
func Tolerance(s deployment.Settings) quota.Tolerance {
	return quota.Tolerance{Window: s.Rates.Window(), Overage: s.Rates.Overage, Slack: s.Rates.Slack}
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
		if !l.running && now.Sub(l.asked) >= refreshInterval && o.placer.Unsettled(now, id) {
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
			o.limits[c.Name] = quota.Limit{Rate: c.Rate, Burst: c.Burst}
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
		ID: a.ID, Service: a.Service, DataCentre: a.DataCentre, Models: a.Models, Slots: service.Engine.Places(a.Models),
		Accepting: !a.Leaving, Holdings: a.Holdings,
	})
}

// sync answers the report of an entry. While no leader is known, the report waits a moment for one, so that entries need not ask
// all instances in turn.
func (c *Control) sync(ctx context.Context, _ string, r report.Entry) (report.Update, error) {
	ctx, cancel := context.WithTimeout(ctx, leaderWait)
	defer cancel()
	for {
		c.mu.Lock()
		if c.office != nil && c.leading() != 0 {
			u := c.office.sync(r)
			c.mu.Unlock()
			return u, nil
		}
		elsewhere := report.Update{Leader: c.leader, Instances: c.instances()}
		news := c.news
		c.mu.Unlock()
		if elsewhere.Leader != "" && elsewhere.Leader != c.name {
			return elsewhere, nil
		}
		select {
		case <-ctx.Done():
			return elsewhere, nil
		case <-news:
		}
	}
}

// leaderWait leaves an entry most of the time of its question.
const leaderWait = 300 * time.Millisecond

// instances returns the names of control instances that live. c.mu is held.
func (c *Control) instances() []string {
	live := []string{c.name}
	now := c.options.Now()
	for name, at := range c.known {
		if now.Sub(at) < lostWait {
			live = append(live, name)
		}
	}
	slices.Sort(live)
	return live
}

func (o *office) sync(r report.Entry) report.Update {
	now := o.now()
	for _, u := range r.Uses {
		o.placer.Used(now, u)
	}
	o.count(now, r)
	if len(r.Known) > 0 {
		o.inherit(now, r)
	}
	u := report.Update{
		Leading: true, Instances: o.control.instances(), Term: o.term, Running: o.running(), Entries: len(o.entries),
		EveryMillis: reportEvery(len(o.entries)).Milliseconds(),
		Grants:      o.pool.Report(now, quota.Report{Entry: r.Name, DataCentre: r.DataCentre, Uses: r.Customers}, o.limits),
	}
	u.Tell = o.asksToTell(r)
	o.fillDeputies(&u, r)
	o.fillState(&u, r)
	o.fillPlacement(&u, r)
	return u
}

const (
	// shortestReport is a fifth of the time in which a change has to be in effect at every entry.
	shortestReport = 200 * time.Millisecond
	// longestReport leaves two reports within the time for which a use counts.
	longestReport = 600 * time.Millisecond
	// reportsPerSecond is what a leader answers with about a tenth of a core.
	reportsPerSecond = 150
)

// reportEvery spreads the reports of many entries, so that they take the same part of a leader's time.
func reportEvery(entries int) time.Duration {
	return min(max(time.Duration(entries)*time.Second/reportsPerSecond, shortestReport), longestReport)
}

// count keeps the number of requests that run at each endpoint up to date with a report.
func (o *office) count(now time.Time, r report.Entry) {
	if before := o.entries[r.Name]; before != nil {
		o.add(before.active, -1)
	}
	o.entries[r.Name] = &entry{
		deputy: report.Deputy{Address: r.Address, DataCentre: r.DataCentre}, active: r.Active, at: now,
	}
	o.add(r.Active, 1)
}

func (o *office) add(active map[string]int, sign int) {
	for id, n := range active {
		if o.active[id] += sign * n; o.active[id] <= 0 {
			delete(o.active, id)
		}
		if e, ok := o.roster.Get(id); ok && e.Slots > 0 {
			o.placer.SetLoad(id, float64(o.active[id])/float64(e.Slots))
		}
	}
}

// running returns the requests that run at each endpoint, in the order of the list.
func (o *office) running() []int {
	list := o.endpoints()
	counts := make([]int, len(list))
	for i, e := range list {
		counts[i] = o.active[e.ID]
	}
	return counts
}

// endpoints returns the list of endpoints, which is made anew only when it has changed.
func (o *office) endpoints() []report.Endpoint {
	if r := o.roster.Revision(); o.listed != r {
		o.listed, o.list = r, o.roster.Endpoints()
	}
	return o.list
}

// endpoint returns what entries are told of an endpoint; empty if it is not listed.
func (o *office) endpoint(id string) (e report.Endpoint) {
	list := o.endpoints()
	if i := slices.IndexFunc(list, func(e report.Endpoint) bool { return e.ID == id }); i >= 0 {
		e = list[i]
	}
	return e
}

// forgetSilent leaves out entries that do not report any more.
func (o *office) forgetSilent(now time.Time) {
	for name, e := range o.entries {
		if now.Sub(e.at) >= entrySilence {
			delete(o.entries, name)
			o.add(e.active, -1)
		}
	}
}

// fillDeputies names the entries that lend while no leader answers.
func (o *office) fillDeputies(u *report.Update, r report.Entry) {
	names, revision := o.pool.Deputies()
	u.DeputyChange = revision
	if r.Term == o.term && r.Deputies == revision {
		return
	}
	for _, name := range names {
		if e := o.entries[name]; e != nil {
			u.Deputies = append(u.Deputies, e.deputy)
		}
	}
}

func (o *office) fillState(u *report.Update, r report.Entry) {
	state := o.control.machine.Stored()
	u.Document, u.AdapterCount = state.Version, state.Changes
	if state.Version > r.Document {
		u.Content = o.packed(state.Version, state.Content)
	}
	if state.Changes > r.Adapters {
		for _, v := range state.Adapters {
			u.Adapters = append(u.Adapters, report.Version{
				Adapter: residency.Adapter{Model: v.Model, Name: v.Adapter}, Version: v.Version,
			})
		}
	}
}

// packed returns the document as entries get it, which is made once for each version.
func (o *office) packed(version uint64, content []byte) []byte {
	if o.packedVersion == version {
		return o.content
	}
	packed, err := document.Pack(content)
	if err != nil {
		event.Log(context.Background(), o.control.options.Logger, event.ViewRefused, slog.Uint64("Version", version), slog.Any("Error", err))
		return nil
	}
	o.packedVersion, o.content = version, packed
	return packed
}

func (o *office) fillPlacement(u *report.Update, r report.Entry) {
	u.Directory, u.Partial = o.directory(), o.partial()
	known := r.Term == o.term
	if !known || r.Directory != u.Directory {
		u.Endpoints = o.endpoints()
	}
	if known {
		events, next, lost := o.placer.Since(r.Placement)
		if !lost {
			u.Events, u.Placement = events, next
			return
		}
	}
	_, next, _ := o.placer.Since(0)
	u.Reset, u.Events, u.Placement = true, o.placer.Snapshot(), next
	if len(u.Endpoints) == 0 {
		u.Endpoints = o.endpoints()
	}
}

// want chooses a place. The channel tells whether the order that is needed was accepted; it is nil if none is. A choice that
// found no place is logged by whoever gives up on it.
func (o *office) want(ctx context.Context, from string, w report.Want) (placed report.Placed, accepted <-chan bool) {
	now := o.now()
	if w.Missing != "" && o.placer.Missing(now, w.Missing, w.Adapter) && o.lines[w.Missing] != nil {
		o.lines[w.Missing].known = false
	}
	choice, ok := o.placer.Want(now, w.Adapter, w.DataCentre, w.Replicate, w.Avoid...)
	if !ok {
		return report.Placed{Leading: true}, nil
	}
	o.logPlaced(ctx, from, w, choice)
	placed = report.Placed{
		Leading: true, Endpoint: choice.Endpoint, Details: o.endpoint(choice.Endpoint), Version: choice.Holding.Version,
		InMillis: max(choice.ReadyAt.Sub(now), 0).Milliseconds(),
	}
	if !choice.Order {
		return placed, nil
	}
	done := make(chan bool, 1)
	o.order(ctx, choice.Endpoint, job{load: true, holding: choice.Holding, done: done})
	return placed, done
}

func (o *office) logPlaced(ctx context.Context, from string, w report.Want, c residency.Choice) {
	attrs := []slog.Attr{
		slog.String("Entry", from), slog.String("Adapter", w.Adapter.Name), slog.String("DataCentre", w.DataCentre),
		slog.Bool("Replicate", w.Replicate), slog.String("Missing", w.Missing), slog.String("Endpoint", c.Endpoint),
		slog.Int("Version", c.Holding.Version), slog.Bool("Order", c.Order),
	}
	if c.Endpoint == "" {
		attrs = append(attrs, slog.Any("Places", o.placer.Summary(o.now())))
	}
	event.Log(ctx, o.control.options.Logger, event.AdapterPlaced, attrs...)
}
