package instance

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"lycheevale/internal/limit/admit"
	"lycheevale/internal/limit/share"
	"lycheevale/internal/place/budget"
	"lycheevale/internal/state/registry"
	"lycheevale/internal/wire/peer"
)

// dutyInterval is the time between checks of the coordinator's lease and of the configuration.
const dutyInterval = 100 * time.Millisecond

// duties lends tokens and permits while the instance is the coordinator of its data centre. On the voter that leads the
// configuration log it also moves shares between data centres.
type duties struct {
	instance        *Instance
	records         *shareRecords
	mu              sync.Mutex
	term            uint64
	server          *admit.Server // nil unless this instance is the coordinator
	coord           *admit.Coordinator
	store           *budget.Server
	stop            context.CancelFunc
	revision        uint64
	applied         bool                              // whether a revision of the configuration was applied in this term
	lenders         atomic.Pointer[map[string]string] // by customer
	lendersRevision uint64                            // revision that lenders was computed from
	lenderInstances []string                          // instances that lenders was computed from
}

func newDuties(i *Instance) *duties {
	d := &duties{instance: i, records: newShareRecords(i)}
	admit.HandleCoordinator(i.mux, func() (*admit.Server, bool) {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.server, d.server != nil
	})
	budget.Handle(i.mux, func() (*budget.Server, bool) {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.store, d.store != nil
	})
	return d
}

func (d *duties) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return d.watch(ctx, group) })
	if d.instance.state.config != nil {
		leader := d.newLeader()
		group.Go(func() error { return leader.Run(ctx) })
	}
	return group.Wait()
}

func (d *duties) newLeader() *admit.Leader {
	i := d.instance
	leader := admit.NewLeader(admit.WithLeaderClock(i.options.Now), admit.WithLeaderLogger(i.options.Logger),
		admit.WithLog(i.state.isLeader, d.shareInput, d.proposeShares, uuid.NewString))
	leader.Handle(i.mux)
	return leader
}

// shareInput returns the configuration from which shares are planned.
func (d *duties) shareInput() share.Input {
	reg := d.instance.state.registry
	return share.NewInput(reg.Revision(), d.instance.dataCentres(), reg.List(registry.KindCustomer), reg.List(registry.KindShare))
}

func (d *duties) proposeShares(ctx context.Context, c registry.Command) error {
	c.At = d.instance.options.Wall()
	result, err := d.instance.state.change(ctx, c)
	if err != nil {
		return err
	}
	return result.Err()
}

// dataCentres lists the data centres of the deployment in alphabetical order.
func (i *Instance) dataCentres() []string {
	names := []string{i.settings.DataCentre}
	for _, m := range slices.Concat(i.settings.Peers, i.settings.Voters) {
		names = append(names, m.DataCentre)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// watch starts the coordinator when this instance acquires the lease and stops it when the lease ends.
func (d *duties) watch(ctx context.Context, group *errgroup.Group) error {
	ticker := time.NewTicker(dutyInterval)
	defer ticker.Stop()
	defer d.resign()
	for {
		term, ok := d.instance.members.IsCoordinator()
		switch {
		case !ok:
			d.resign()
		case term != d.term || d.server == nil:
			d.resign()
			d.assume(ctx, group, term)
		}
		d.apply()
		d.chooseLenders()
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (d *duties) resign() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stop != nil {
		d.stop()
	}
	d.stop, d.server, d.coord, d.store, d.applied = nil, nil, nil, nil, false
}

// assume starts the coordinator of a term. It does nothing until a majority of the keepers has returned the recorded
// shares: with an older configuration this instance would lend tokens that have since moved to another data centre.
func (d *duties) assume(ctx context.Context, group *errgroup.Group, term uint64) {
	i := d.instance
	recorded, ok := d.records.read(ctx)
	if !ok {
		return
	}
	now := i.options.Now()
	active := func(time.Time) bool {
		current, ok := i.members.IsCoordinator()
		return ok && current == term
	}
	coord := admit.NewCoordinator(now, term, admit.WithDataCentre(i.settings.DataCentre), admit.WithRecorded(recorded))
	server := admit.NewServer(coord, admit.WithActive(active), admit.WithServerClock(i.options.Now),
		admit.WithServerLogger(i.options.Logger), admit.WithRecord(d.records.write),
		admit.WithLeader(i.state.leader, i.links.Call))
	runCtx, stop := context.WithCancel(ctx)
	d.mu.Lock()
	d.term, d.coord, d.server, d.stop = term, coord, server, stop
	d.store = budget.NewServer(budget.New(now, i.storeShare()), i.options.Now, active)
	d.mu.Unlock()
	group.Go(func() error { return server.Run(runCtx) })
}

// storeShare returns the part of the weight store's capacity that this data centre may use. Every instance computes the
// same split.
func (i *Instance) storeShare() budget.Share {
	var weights []budget.Weight
	for _, name := range i.dataCentres() {
		weights = append(weights, budget.Weight{DataCentre: name, Weight: 1})
	}
	return budget.Split(budget.StoreTransfers, budget.StoreRate, weights)[i.settings.DataCentre]
}

// apply passes the configuration to the coordinator when it has changed.
func (d *duties) apply() {
	reg := d.instance.state.registry
	revision := reg.Revision()
	if d.coord == nil || d.applied && revision == d.revision {
		return
	}
	d.coord.Sync(d.instance.options.Now(), reg.List(registry.KindCustomer), reg.List(registry.KindShare))
	d.revision, d.applied = revision, true
}

// chooseLenders assigns the limited customers to the instances of the data centre when either has changed.
func (d *duties) chooseLenders() {
	reg := d.instance.state.registry
	revision := reg.Revision()
	var instances []string
	for _, m := range d.instance.members.View().Instances {
		if !m.Leaving {
			instances = append(instances, m.Name)
		}
	}
	if d.lenders.Load() != nil && revision == d.lendersRevision && slices.Equal(instances, d.lenderInstances) {
		return
	}
	var customers []string
	for _, o := range reg.List(registry.KindCustomer) {
		if !share.Unlimited(*o.Customer) {
			customers = append(customers, o.Name)
		}
	}
	lenders := admit.Lenders(customers, instances)
	d.lenders.Store(&lenders)
	d.lendersRevision, d.lenderInstances = revision, instances
}

// lender returns the other instance of the data centre that holds tokens of the customer.
func (d *duties) lender(customer string) (string, bool) {
	lenders := d.lenders.Load()
	if lenders == nil {
		return "", false
	}
	name, ok := (*lenders)[customer]
	return name, ok && name != d.instance.settings.Name
}

// shareRecords stores smaller shares at the keepers of a data centre for its next coordinator.
type shareRecords struct {
	instance *Instance
	mu       sync.Mutex
	shares   map[string]registry.Share // by customer
}

// Methods between the coordinator and the keepers.
const (
	methodRecordShares = "Limit.Record"
	methodReadShares   = "Limit.Recorded"
)

// recordTimeout bounds one exchange with all keepers.
const recordTimeout = 500 * time.Millisecond

type recordedShares struct {
	Complete bool             `json:"Complete"` // whether this keeper has received the configuration from the voters since it started
	Shares   []registry.Share `json:"Shares,omitempty"`
}

func newShareRecords(i *Instance) *shareRecords {
	r := &shareRecords{instance: i, shares: map[string]registry.Share{}}
	i.mux.Handle(methodRecordShares, peer.Typed(func(_ context.Context, _ string, p recordedShares) (struct{}, error) {
		r.mu.Lock()
		defer r.mu.Unlock()
		keepNewest(r.shares, p.Shares)
		return struct{}{}, nil
	}))
	i.mux.Handle(methodReadShares, peer.Typed(func(context.Context, string, struct{}) (recordedShares, error) {
		r.mu.Lock()
		defer r.mu.Unlock()
		p := recordedShares{Complete: i.state.synced()}
		for _, s := range r.shares {
			p.Shares = append(p.Shares, s)
		}
		return p, nil
	}))
	return r
}

// keepNewest replaces known shares by shares of the same customer with an equal or higher epoch.
func keepNewest(known map[string]registry.Share, shares []registry.Share) {
	for _, s := range shares {
		if s.Epoch >= known[s.Customer].Epoch {
			known[s.Customer] = s
		}
	}
}

// write records the shares at a majority of the keepers.
func (r *shareRecords) write(ctx context.Context, shares []registry.Share) error {
	stored := 0
	r.forEachKeeper(ctx, func(ctx context.Context, keeper string) {
		err := r.instance.links.Call(ctx, keeper, methodRecordShares, recordedShares{Shares: shares}, nil)
		if err == nil {
			r.mu.Lock()
			defer r.mu.Unlock()
			stored++
		}
	})
	if stored <= len(r.keepers())/2 {
		return Error.New("%d of %d keepers recorded the shares", stored, len(r.keepers()))
	}
	return nil
}

// read returns the newest recorded share of each customer; ok is false unless a majority of the keepers answered. A
// keeper that restarted counts only after it has received the configuration from the voters, because the log holds every
// smaller share before it is recorded.
func (r *shareRecords) read(ctx context.Context) (newest []registry.Share, ok bool) {
	answers := 0
	best := map[string]registry.Share{}
	r.forEachKeeper(ctx, func(ctx context.Context, keeper string) {
		var p recordedShares
		if r.instance.links.Call(ctx, keeper, methodReadShares, struct{}{}, &p) != nil || !p.Complete {
			return
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		answers++
		keepNewest(best, p.Shares)
	})
	for _, s := range best {
		newest = append(newest, s)
	}
	return newest, answers > len(r.keepers())/2
}

func (r *shareRecords) keepers() []string {
	var names []string
	for _, k := range r.instance.settings.Keepers {
		names = append(names, k.Name)
	}
	if len(names) == 0 {
		names = []string{r.instance.settings.Name}
	}
	return names
}

func (r *shareRecords) forEachKeeper(ctx context.Context, f func(ctx context.Context, keeper string)) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	var group errgroup.Group
	for _, keeper := range r.keepers() {
		group.Go(func() error {
			f(ctx, keeper)
			return nil
		})
	}
	_ = group.Wait()
}
