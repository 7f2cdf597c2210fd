package control

import (
	"context"
	"log/slog"
	"time"

	"lycheevale/internal/base/deployment"
	"lycheevale/internal/base/event"
	"lycheevale/internal/limit/ceiling"
	"lycheevale/internal/limit/quota"
	"lycheevale/internal/member/report"
	"lycheevale/internal/member/roster"
	"lycheevale/internal/place/origin"
	"lycheevale/internal/place/quarantine"
	"lycheevale/internal/place/residency"
	"lycheevale/internal/place/weights"
	"lycheevale/internal/state/document"
)

// leaderState is the state of a leader. It is kept in memory only: a new leader rebuilds it from reports of endpoints and
// entries. The mutex of its Control guards all of it.
type leaderState struct {
	control        *Control
	term           uint64
	since          time.Time
	ordersFrom     time.Time // earliest time of an order
	roster         *roster.Roster
	placer         *residency.Placer
	pool           *quota.Pool
	endpointPool   *quota.Pool      // of requests to endpoints that name rates
	ceilings       *ceiling.Book    // rates that endpoints name
	weights        *weights.Planner // nil until a configuration is known
	entries        map[string]*entry
	index          *document.Index
	limits         map[string]quota.Limit
	list           []report.Endpoint // endpoints as of listRevision
	listRevision   uint64
	plannedAt      time.Time      // when base models were last planned
	active         map[string]int // active requests by endpoint
	backlog        map[string]int // milliseconds to read the waiting prompts, by endpoint
	adapterChanges uint64         // number of changes of adapter versions applied to the placer
	queues         map[string]*orderQueue
	waiters        []chan struct{}          // requests for adapters that wait for a free place
	inheritSources int                      // number of entries that have sent the endpoints that they know
	inheritAsked   map[string]bool          // entries that were asked for the endpoints that they know
	addresses      map[string]report.Deputy // of entries that have reported; kept while a deputy does not report
	appointing     bool                     // an appointment of deputies is being proposed
	appointedAt    time.Time                // when one was last proposed
	fenced         bool                     // an endpoint has followed a newer leader; no further orders are sent
	ended          bool
	life           context.Context // ends with this leader
	endLife        context.CancelFunc

	detector           *quarantine.Detector
	suspects           []quarantine.Signature
	suspectRevision    uint64 // checksum of suspects
	detectedAt         time.Time
	quarantineRevision uint64 // of the stored signatures that the detector knows
	quarantining       bool   // a change of the quarantined signatures is being proposed

	departed          map[string]time.Time // when stored departures were first seen here, by endpoint
	departureRevision uint64               // of the stored departures that the roster knows
	superseded        []report.Departure   // incarnations that newer ones have followed which are not listed yet, while the list is partial

	census           *origin.Census
	softwareRevision uint64 // of the stored software versions that the census knows
	storingSoftware  bool   // a change of the stored software versions is being proposed
	countedAt        time.Time
	informedAt       time.Time // when the entries that have stopped reporting do not rely on their lists of software versions any more
	outdatedAt       time.Time // when no entry relies on a list of an earlier leader any more
	streams          *origin.Book
}

// entry is the last report of an entry.
type entry struct {
	active  map[string]int
	backlog map[string]int
	at      time.Time
	// versions is the revision of the census that the entry knows.
	versions uint64
}

const (
	// ShareLease is the time for which an entry may use its shares without contact to the leader. It exceeds the longest loss of a
	// majority that must be tolerated, since an entry without shares serves no customer that has a limit.
	ShareLease = 30 * time.Second
	// LeaderlessAfter is the time without an answer of the leader after which an entry uses its shares: several report intervals.
	LeaderlessAfter = time.Second
	// assumedLeaderlessAfter is the time without a report after which the leader assumes that an entry uses its shares.
	assumedLeaderlessAfter = 800 * time.Millisecond
	// entrySilence is the time after which the reported use of an entry is discarded.
	entrySilence = 1500 * time.Millisecond
	// partialHeartbeats is the number of heartbeat intervals after which a new leader knows all endpoints.
	partialHeartbeats = 3
)

func newLeaderState(c *Control, term uint64) *leaderState {
	now := c.options.Now()
	placerOptions := c.options.Placer
	placerOptions.Regions = c.options.Settings.Regions
	life, endLife := context.WithCancel(context.Background())
	ls := &leaderState{
		control: c, term: term, life: life, endLife: endLife, since: now, ordersFrom: c.ordersFrom(now, term), roster: roster.New(roster.DefaultOptions()), placer: residency.New(placerOptions),
		pool: quota.NewPool(now, shareOptions(Tolerance(c.options.Settings))), endpointPool: quota.NewPool(now, shareOptions(EndpointTolerance())), ceilings: ceiling.New(),
		entries: map[string]*entry{}, active: map[string]int{}, backlog: map[string]int{}, inheritAsked: map[string]bool{}, addresses: map[string]report.Deputy{}, queues: map[string]*orderQueue{}, limits: map[string]quota.Limit{},
		detector: quarantine.NewDetector(quarantine.DefaultOptions()), census: origin.NewCensus(), outdatedAt: c.earlierListsUntil(now), streams: origin.New(origin.MaxStreams),
	}
	ls.census.Expect(ls.outdatedAt)
	return ls
}

// ordersFrom returns the time from which a new leader may send orders. Endpoints that do not check fencing numbers could accept
// orders of two leaders alternately, so a new leader waits until the lease of the previous one has expired. Endpoints that check them
// must not get such orders either, so an instance always waits if it leads again after another leader.
func (c *Control) ordersFrom(now time.Time, term uint64) time.Time {
	lease := c.options.Settings.OrderLease.Duration()
	leadsAgain := term > c.lastLed.term+1 && now.Sub(c.lastLed.until) < 2*lease
	if c.options.Settings.Fencing && !leadsAgain {
		return now
	}
	return now.Add(lease)
}

func shareOptions(t quota.Tolerance) quota.Options {
	return quota.Options{Lease: ShareLease, LeaderlessAfter: assumedLeaderlessAfter, Tolerance: t}
}

// Limit returns the rate limit of a customer.
func Limit(c document.Customer) quota.Limit { return quota.Limit{Rate: c.Rate, Burst: c.Burst} }

// Tolerance returns the permitted overage of the customers' limits.
func Tolerance(s deployment.Settings) quota.Tolerance {
	return quota.Tolerance{Window: s.Rates.Window.Duration(), Overage: s.Rates.Overage, Slack: s.Rates.Slack}
}

func (ls *leaderState) now() time.Time { return ls.control.options.Now() }

// partial reports whether there may be endpoints that have not announced themselves to this leader yet.
func (ls *leaderState) partial() bool {
	return ls.now().Sub(ls.since) < partialHeartbeats*ls.control.options.Settings.Heartbeat.Duration()
}

// directoryRevision returns the revision that entries compare; it also changes when the list becomes complete.
func (ls *leaderState) directoryRevision() uint64 {
	revision := 2 * ls.roster.Revision()
	if !ls.partial() {
		revision++
	}
	return revision
}

func (ls *leaderState) tick(ctx context.Context) {
	now := ls.now()
	ls.applyReplicated(ctx)
	ls.appoint(ctx, now)
	ls.detect(ctx, now)
	ls.countSoftware(ctx, now)
	for _, id := range ls.roster.Expire(now) {
		event.Log(ctx, ls.control.options.Logger, event.EndpointLost, slog.String("Endpoint", id))
		ls.removeEndpoint(id)
	}
	ls.ceilings.Forget(now, func(id string) bool { _, listed := ls.roster.Get(id); return listed || ls.partial() })
	ls.removeSilentEntries(now)
	ls.placer.Tick(now)
	ls.wakeWaiters(ls.placer.FreePlaces(now))
	if now.Sub(ls.since) < useReportTime {
		return
	}
	for _, u := range ls.placer.MakeRoom(now) {
		ls.enqueueOrder(ctx, u.Endpoint, orderJob{holding: u.Holding})
	}
	if now.Sub(ls.plannedAt) >= planInterval {
		ls.plannedAt = now
		ls.loadModels(ctx)
	}
	for id, l := range ls.queues {
		if !l.running && now.Sub(l.refreshedAt) >= refreshInterval && ls.placer.NeedsReconcile(now, id) {
			l.refreshedAt = now
			ls.enqueueOrder(ctx, id, orderJob{refresh: true})
		}
	}
}

// appoint replicates which entries may hold shares, before any of them gets one.
func (ls *leaderState) appoint(ctx context.Context, now time.Time) {
	if ls.appointing || now.Sub(ls.appointedAt) < appointInterval {
		return
	}
	ls.appointedAt = now
	a, changed := ls.pool.Propose(now)
	if !changed {
		return
	}
	ls.appointing = true
	c := ls.control
	c.group.Go(func() error {
		err := ls.propose(ctx, document.Command{Action: document.Appoint, Appoint: document.Appointment{
			Term: ls.term, Deputies: a.Deputies, Former: a.Former,
		}})
		event.Log(ctx, c.options.Logger, event.DeputiesAppointed, slog.Uint64("Term", ls.term), slog.Any("Deputies", a.Deputies),
			slog.Any("Former", a.Former), slog.Any("Error", err))
		c.mu.Lock()
		defer c.mu.Unlock()
		ls.appointing = false
		return nil
	})
}

// appointInterval limits how often deputies change while entries start and stop.
const appointInterval = 500 * time.Millisecond

// planInterval is short compared with the load time of a base model.
const planInterval = 100 * time.Millisecond

// addWaiter queues a request for an adapter until a place is free.
func (ls *leaderState) addWaiter() chan struct{} {
	ready := make(chan struct{})
	ls.waiters = append(ls.waiters, ready)
	return ready
}

// wakeWaiters wakes the longest waiting requests, one for each free place. A place whose request has ended in the meantime is
// used at the next tick.
func (ls *leaderState) wakeWaiters(places int) {
	n := min(places, len(ls.waiters))
	for _, ready := range ls.waiters[:n] {
		close(ready)
	}
	ls.waiters = ls.waiters[n:]
}

// loadModels orders base models for endpoints that hold none.
func (ls *leaderState) loadModels(ctx context.Context) {
	if ls.index == nil {
		return
	}
	var rate float64
	var engines []weights.Endpoint
	for _, e := range ls.endpoints() {
		service := ls.index.Service(e.Service)
		if e.Leaving || service == nil || service.Engine == nil {
			continue
		}
		rate = max(rate, service.Engine.LoadsPerSecond)
		engine := weights.Endpoint{ID: e.ID, Models: e.Models, FreeMB: service.Engine.WeightMB}
		for _, m := range service.Engine.Models {
			engine.Choice = append(engine.Choice, weights.Model{Name: m.Name, Size: m.WeightMB})
		}
		engines = append(engines, engine)
	}
	if ls.weights == nil {
		ls.weights = weights.New(ls.now(), rate, weights.Defaults())
	}
	for _, l := range ls.weights.Plan(ls.now(), rate, engines) {
		ls.enqueueOrder(ctx, l.Endpoint, orderJob{load: true, holding: residency.Holding{Adapter: residency.Adapter{Model: l.Model}}})
	}
}

const (
	// useReportTime is the time in which a new leader learns from entries which adapters are in use: they find it within 0.3 s.
	useReportTime = 600 * time.Millisecond
	// refreshInterval limits the cost of fetching the state of endpoints.
	refreshInterval = time.Second
)

// applyReplicated applies changes of the replicated state.
func (ls *leaderState) applyReplicated(ctx context.Context) {
	state := ls.control.machine.Stored()
	ls.applyQuarantine(state)
	ls.applyDepartures(state)
	ls.applySoftware(state)
	for _, pool := range []*quota.Pool{ls.pool, ls.endpointPool} {
		pool.Appoint(quota.Appointment{Deputies: state.Appoint.Deputies, Former: state.Appoint.Former})
	}
	if state.Changes > ls.adapterChanges {
		ls.adapterChanges = state.Changes
		for _, v := range state.Adapters {
			ls.placer.SetVersion(residency.Adapter{Model: v.Model, Name: v.Adapter}, v.Version)
		}
	}
	if state.Version == 0 || (ls.index != nil && ls.index.Version == state.Version) {
		return
	}
	d, err := ls.control.options.Decode(state.Content)
	if err != nil {
		event.Log(ctx, ls.control.options.Logger, event.ViewRefused, slog.Uint64("Version", state.Version), slog.Any("Error", err))
		return
	}
	ls.index = document.NewIndex(d)
	ls.limits = map[string]quota.Limit{}
	for _, c := range d.Customers {
		if c.Rate > 0 {
			ls.limits[c.Name] = Limit(c)
		}
	}
	for _, s := range d.Services {
		if s.Engine != nil {
			ls.placer.SetStore(s.Engine.LoadsPerSecond)
		}
	}
	for _, e := range ls.endpoints() {
		if a, ok := ls.roster.Get(e.ID); ok {
			ls.updatePlacer(a)
		}
	}
}

// announce records an announcement.
func (ls *leaderState) announce(a roster.Announcement) (changed bool, err error) {
	previous, _ := ls.roster.Get(a.ID)
	changed, err = ls.roster.Announce(ls.now(), a)
	if err != nil {
		return false, err
	}
	if changed {
		for _, id := range ls.placer.Endpoints() {
			if _, still := ls.roster.Get(id); !still {
				ls.removeEndpoint(id)
			}
		}
	}
	if current, ok := ls.roster.Get(a.ID); ok {
		if current.Born != previous.Born {
			ls.removeEndpoint(a.ID) // a restarted endpoint holds none of its previous adapters
		}
		ls.updatePlacer(current)
	}
	return changed, nil
}

func (ls *leaderState) removeEndpoint(id string) {
	ls.placer.RemoveEndpoint(id)
	delete(ls.queues, id)
}

// updatePlacer passes an endpoint of a model service to the placer.
func (ls *leaderState) updatePlacer(a roster.Announcement) {
	if ls.index == nil {
		return
	}
	service := ls.index.Service(a.Service)
	if service == nil || service.Engine == nil {
		return
	}
	ls.placer.SetEndpoint(ls.now(), residency.Endpoint{
		ID: a.ID, Service: a.Service, DataCentre: a.DataCentre, Models: a.Models, Slots: service.Engine.AdapterCapacity(a.Models),
		Accepting: !a.Leaving, Holdings: a.Holdings,
	})
}
