package instance

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"lycheevale/internal/base/buildinfo"
	"lycheevale/internal/base/refusal"
	"lycheevale/internal/base/settings"
	"lycheevale/internal/member/node"
	"lycheevale/internal/serve/engine"
	"lycheevale/internal/serve/operator"
	"lycheevale/internal/serve/owner"
	"lycheevale/internal/state/feed"
	"lycheevale/internal/state/registry"
	"lycheevale/internal/tool/burn"
	"lycheevale/internal/wire/peer"
)

// watchInterval is the interval at which a watch polls the registry for new revisions.
const watchInterval = 100 * time.Millisecond

// handleDescribe registers the handlers that report this instance's description and loads to other instances.
func (i *Instance) handleDescribe() {
	i.mux.Handle(methodLoads, peer.Typed(func(context.Context, string, struct{}) ([]owner.Load, error) {
		return i.owner.Loads(), nil
	}))
	i.mux.Handle(describeMethod, peer.Typed(func(context.Context, string, struct{}) (Description, error) {
		leader, _ := i.state.leader()
		return Description{
			Leader: leader, Name: i.settings.Name, DataCentre: i.settings.DataCentre, Region: i.settings.Region,
			Streams: i.settings.Listen.Streams, Revision: i.state.registry.Revision(), Roles: i.roles(), StoresQuarantine: true,
		}, nil
	}))
}

func (i *Instance) roles() []string {
	roles := []string{"Entry", "Owner"}
	if i.state.config != nil {
		roles = append(roles, "Voter")
	}
	if _, ok := i.members.IsCoordinator(); ok {
		roles = append(roles, "Coordinator")
	}
	return roles
}

func (i *Instance) operatorHandler() http.Handler {
	api := operator.New(append(i.operatorOptions(), operator.WithSystem(i.system()),
		operator.WithLogger(i.options.Logger))...).Handler()
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", i.metrics.Handler)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	mux.HandleFunc("GET /readyz", i.showReady)
	mux.Handle("/", api)
	return mux
}

func (i *Instance) operatorOptions() []operator.Option {
	t, l := i.settings.Timeouts, i.settings.Limits
	return []operator.Option{
		operator.WithCredentials(i.credentials), operator.WithAudit(i.audit),
		operator.WithLimits(l.OperatorBodyBytes, l.HeaderBytes),
		operator.WithTimeouts(t.HeaderRead, t.BodyRead, t.Write, t.Idle, t.Change),
	}
}

func (i *Instance) openOperators() (err error) {
	i.credentials = operator.NewCredentials()
	if path := i.settings.Operators.CredentialsFile; path != "" {
		if i.credentials, err = operator.LoadCredentials(path); err != nil {
			return err
		}
	}
	i.audit = operator.NewAudit(nil)
	if path := i.settings.Operators.AuditFile; path != "" {
		i.audit, i.closeAudit, err = operator.OpenAudit(path)
	}
	return err
}

func (i *Instance) system() operator.System {
	reg := i.state.registry
	return operator.System{
		Propose:   i.propose,
		Withdraw:  i.withdraw,
		Objects:   reg.List,
		Object:    reg.Get,
		Revision:  reg.Revision,
		Status:    i.status,
		Endpoints: i.endpoints,
		Watch:     i.watch,
		Burn:      func() burn.Snapshot { return i.burn.Snapshot(i.options.Wall()) },
	}
}

// propose commits a change and waits until ctx ends for the instances to apply it.
func (i *Instance) propose(ctx context.Context, c registry.Command) (out operator.Outcome, err error) {
	result, err := i.state.change(ctx, c)
	if err != nil {
		return out, refusal.New(refusal.Unavailable, "change could not be committed: %v", err).WithUnknown()
	}
	out.Result = result
	if result.Err() == nil {
		out.InForce, out.Unreached = i.awaitInForce(ctx, result.Revision)
	}
	return out, nil
}

// Propose commits a change and waits until ctx ends for the instances to apply it.
func (i *Instance) Propose(ctx context.Context, c registry.Command) (operator.Outcome, error) {
	return i.propose(ctx, c)
}

// Withdraw withdraws a key at this instance and at all reachable ones.
func (i *Instance) Withdraw(ctx context.Context, keyID string) (operator.Outcome, error) {
	return i.withdraw(ctx, keyID)
}

// Revision returns the revision in force at this instance.
func (i *Instance) Revision() uint64 { return i.state.registry.Revision() }

// Object returns a configuration object in force at this instance.
func (i *Instance) Object(kind registry.Kind, name string) (registry.Object, bool) {
	return i.state.registry.Get(kind, name)
}

// Objects returns the configuration objects of a kind in force at this instance.
func (i *Instance) Objects(kind registry.Kind) []registry.Object { return i.state.registry.List(kind) }

// Leads reports whether this instance leads the configuration log.
func (i *Instance) Leads() bool { return i.state.isLeader() }

// Coordinator returns the coordinator of the data centre in this instance's view, or an empty string.
func (i *Instance) Coordinator() string { return i.members.View().Coordinator }

// withdraw withdraws the key at this instance and pushes the withdrawal to the others before it is written to the log. A
// withdrawal is accepted while the log is unreachable, for example in a partitioned data centre; the leader writes it to
// the log as soon as it receives it.
func (i *Instance) withdraw(ctx context.Context, keyID string) (out operator.Outcome, err error) {
	// An unknown key is withdrawn too: this instance may not have the change that issued it yet.
	o, known := i.state.registry.Get(registry.KindKey, keyID)
	reach := i.state.distribution.revoke.Withdraw(ctx, keyID)
	i.caller.Recheck(ctx)
	out.InForce, out.Unreached = append(reach.Reached, i.settings.Name), reach.NotReached
	out.Revision = i.state.registry.Revision()
	if !known {
		return out, nil
	}
	if result, err := i.state.change(ctx, withdrawal(o, i.options.Wall())); err == nil {
		out.Result = result
	}
	return out, nil
}

// awaitInForce waits until all instances have applied the revision or ctx ends.
func (i *Instance) awaitInForce(ctx context.Context, revision uint64) (inForce, unreached []string) {
	force := feed.Await(ctx, i.state.distribution.feed, i.state.voters(), revision)
	return force.InForce, append(force.Pending, force.NotReached...)
}

// knownInstances lists this instance and those in its view and in its settings.
func (i *Instance) knownInstances() []string {
	names := []string{i.settings.Name}
	for _, m := range i.members.View().Instances {
		names = append(names, m.Name)
	}
	for _, list := range [][]settings.Member{i.settings.Peers, i.settings.Voters, i.settings.Keepers} {
		for _, m := range list {
			names = append(names, m.Name)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func (i *Instance) status(ctx context.Context) (s operator.Status, err error) {
	s = operator.Status{
		Instance: i.settings.Name, DataCentre: i.settings.DataCentre, Region: i.settings.Region,
		Version: buildinfo.Text(), Started: i.started, Ready: i.Ready(), Draining: i.draining.Load(),
		Revision: i.state.registry.Revision(), Coordinator: i.members.View().Coordinator, Owned: len(i.members.Owned()),
	}
	s.Leader, _ = i.state.leader()
	s.VoterHeard = i.state.confirmedAt()
	for _, name := range i.knownInstances() {
		s.Members = append(s.Members, i.memberStatus(ctx, name))
	}
	return s, nil
}

func (i *Instance) memberStatus(ctx context.Context, name string) operator.Member {
	ctx, cancel := context.WithTimeout(ctx, describeTimeout)
	defer cancel()
	address, _ := i.resolve(name)
	m := operator.Member{Name: name, Address: address}
	var d Description
	if i.links.Call(ctx, name, describeMethod, struct{}{}, &d) == nil {
		m.Reachable, m.DataCentre, m.Revision, m.Roles = true, d.DataCentre, d.Revision, d.Roles
	}
	return m
}

func (i *Instance) endpoints(ctx context.Context) (list []operator.Endpoint, err error) {
	view := i.members.View().Endpoints
	loads := i.loads(ctx, view)
	for _, e := range view {
		l := loads[e.Name]
		list = append(list, operator.Endpoint{
			Name: e.Name, Service: e.Service, Model: e.Model, DataCentre: e.DataCentre, Address: e.Address,
			State: endpointState(e), Owner: e.Owner, Incarnation: e.Incarnation, Slots: e.Slots,
			Resident: l.Resident, Running: l.Running, Queued: l.Queued, Reported: l.Reported,
		})
	}
	return list, nil
}

// methodLoads asks an owner for the load of its endpoints.
const methodLoads = "Instance.Loads"

// loads queries all owners concurrently and omits the loads of owners that do not answer in time.
func (i *Instance) loads(ctx context.Context, view []node.Endpoint) map[string]owner.Load {
	ctx, cancel := context.WithTimeout(ctx, describeTimeout)
	defer cancel()
	var owners []string
	for _, e := range view {
		if e.Owner != "" && !slices.Contains(owners, e.Owner) {
			owners = append(owners, e.Owner)
		}
	}
	var mu sync.Mutex
	var group errgroup.Group
	all := map[string]owner.Load{}
	for _, name := range owners {
		group.Go(func() error {
			var loads []owner.Load
			if i.links.Call(ctx, name, methodLoads, struct{}{}, &loads) != nil {
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			for _, l := range loads {
				all[l.Endpoint] = l
			}
			return nil
		})
	}
	_ = group.Wait()
	return all
}

func endpointState(e node.Endpoint) string {
	switch {
	case !e.NoWorkAfter.IsZero():
		return "Leaving"
	case e.Kind == engine.KindEngine && e.Owner == "":
		return "Unowned"
	}
	return "Serving"
}

// watch sends every change after a revision until ctx ends or send fails.
func (i *Instance) watch(ctx context.Context, from uint64, send func(operator.WatchEvent) error) error {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		if i.state.registry.Revision() > from {
			delta := i.state.registry.DeltaSince(from)
			if err := send(operator.WatchEvent{Revision: delta.To, Objects: delta.Objects}); err != nil {
				return err
			}
			from = delta.To
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}
