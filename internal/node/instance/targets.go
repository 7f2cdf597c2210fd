package instance

import (
	"cmp"
	"context"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"lycheevale/internal/base/refusal"
	"lycheevale/internal/base/settings"
	"lycheevale/internal/member/node"
	"lycheevale/internal/place/quarantine"
	"lycheevale/internal/place/route"
	"lycheevale/internal/serve/caller"
	"lycheevale/internal/serve/engine"
	"lycheevale/internal/serve/owner"
	"lycheevale/internal/wire/peer"
)

// Parameters of endpoint selection.
const (
	bytesPerToken     = 200 // of a streamed event, for the cost of slow links
	remoteIdleTimeout = 8 * time.Second
	refreshInterval   = 100 * time.Millisecond
	describeTimeout   = time.Second
	describeMethod    = "Instance.Describe"
)

// targets selects endpoints and dispatches requests to their owners.
type targets struct {
	settings  settings.Settings
	members   *node.Node
	owner     *owner.Owner
	call      peer.Caller
	transport func(name string) *http.Transport // to the instance with the name
	mu        sync.Mutex
	router    *route.Router
	view      node.ViewID
	byModel   map[string]*route.Candidates
	owners    map[string]node.Endpoint // by endpoint
	plain     map[string][]node.Endpoint
	running   map[string]int // running plain requests by endpoint
	remotes   map[string]remoteOwner
	centres   map[string]remoteCentre // other data centres
}

type remoteOwner struct {
	address netip.AddrPort // of its peer listener, which changes with a replacement
	remote  *owner.Remote
}

func newTargets(i *Instance) *targets {
	t := &targets{
		settings: i.settings, members: i.members, owner: i.owner, call: i.links.Call, transport: i.streamTransport,
		router: newRouter(i), running: map[string]int{},
		remotes: map[string]remoteOwner{}, centres: map[string]remoteCentre{},
	}
	t.serveEndpoints(i.mux)
	t.rebuild(i.members.View())
	return t
}

func newRouter(i *Instance) *route.Router {
	o := i.policy.RouteOptions()
	o.DataCentre = i.settings.DataCentre
	o.Entries = max(1, len(i.settings.Keepers))
	return route.New(route.WithOptions(o))
}

// run updates the candidates when the view of the data centre changes.
func (t *targets) run(ctx context.Context) error {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	defer t.closeIdle()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			t.refresh()
		}
	}
}

// serves reports whether an incarnation of an endpoint is known and does not leave.
func (t *targets) serves(i quarantine.Incarnation) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	is := func(e node.Endpoint) bool { return e.Name == i.Endpoint && int64(e.Incarnation) == i.Born }
	for _, list := range t.plain {
		if slices.ContainsFunc(list, is) {
			return true
		}
	}
	return is(t.owners[i.Endpoint])
}

func (t *targets) refresh() {
	view := t.members.View()
	t.mu.Lock()
	defer t.mu.Unlock()
	if view.ID != t.view {
		t.rebuild(view)
	}
}

func (t *targets) rebuild(view node.View) {
	t.view = view.ID
	t.owners, t.plain = map[string]node.Endpoint{}, map[string][]node.Endpoint{}
	candidates := map[string][]route.Candidate{}
	endpoints := slices.Clone(view.Endpoints)
	for _, centre := range t.centres {
		endpoints = append(endpoints, centre.endpoints...)
	}
	for _, e := range endpoints {
		switch {
		case !e.NoWorkAfter.IsZero():
		case e.Kind == engine.KindPlain:
			t.plain[e.Service] = append(t.plain[e.Service], e)
		case e.Owner != "":
			t.owners[e.Name] = e
			candidates[e.Model] = append(candidates[e.Model], route.Candidate{Endpoint: e.Name, DataCentre: e.DataCentre})
		}
	}
	t.byModel = map[string]*route.Candidates{}
	for model, list := range candidates {
		t.byModel[model] = route.Prepare(list)
	}
}

// choose selects the endpoint of a completion.
func (t *targets) choose(now time.Time, r owner.Request, tried []string) (caller.Target, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	candidates := t.byModel[r.Model]
	if candidates == nil {
		return caller.Target{}, refusal.New(refusal.Unavailable, "no endpoint of model %s is available", r.Model)
	}
	q := route.Request{ID: r.Attempt, Bytes: len(r.Body) + r.MaxTokens*bytesPerToken, Exclude: tried}
	if !r.Adapter.IsBase() {
		q.Adapter = r.Target()
	}
	choice, ok := t.router.Choose(now, q, candidates)
	if !ok {
		return caller.Target{}, refusal.New(refusal.Unavailable, "no endpoint of model %s is available", r.Model)
	}
	e := t.owners[choice.Endpoint]
	return caller.Target{Endpoint: e.Name, Dispatch: func(ctx context.Context, r owner.Request) (*owner.Stream, error) {
		return t.dispatch(ctx, e, r)
	}}, nil
}

func (t *targets) dispatch(ctx context.Context, e node.Endpoint, r owner.Request) (stream *owner.Stream, err error) {
	if e.Owner == t.settings.Name {
		stream, err = t.owner.Dispatch(ctx, r)
	} else {
		var remote *owner.Remote
		if remote, err = t.remote(ctx, e); err != nil {
			return nil, err
		}
		stream, err = remote.Dispatch(ctx, r)
	}
	if err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	v := stream.View
	t.router.Observe(time.Now(), route.Answer{
		Endpoint: stream.Endpoint, Load: v.Load, Places: e.BatchSize, Wait: v.Wait, Service: v.Service, SlotValue: v.SlotValue,
	})
	return stream, nil
}

// Description is an instance's answer to Instance.Describe.
type Description struct {
	Name       string         `json:"Name"`
	DataCentre string         `json:"DataCentre"`
	Region     string         `json:"Region"`
	Streams    netip.AddrPort `json:"Streams"`
	Revision   uint64         `json:"Revision"`
	Roles      []string       `json:"Roles"`
	Leader     string         `json:"Leader,omitempty"` // of the configuration log, if known to the instance

	StoresQuarantine bool `json:"StoresQuarantine,omitempty"` // a voter that knows the kind Quarantine
}

// remote returns the client for another owner. It requests the owner's stream address once per peer
// address.
func (t *targets) remote(ctx context.Context, e node.Endpoint) (*owner.Remote, error) {
	t.mu.Lock()
	known, ok := t.remotes[e.Owner]
	t.mu.Unlock()
	if ok && known.address == e.OwnerAddress {
		return known.remote, nil
	}
	d, err := t.describe(ctx, e.Owner)
	if err != nil {
		return nil, refusal.New(refusal.Unavailable, "owner %s cannot be reached: %v", e.Owner, err)
	}
	next := remoteOwner{e.OwnerAddress, owner.NewRemote(d.Streams, remoteIdleTimeout, t.transport(e.Owner))}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.remotes[e.Owner] = next
	return next.remote, nil
}

// describe requests the description of an instance. It retries once, because the first call fails if the link has
// silently dropped; the second call then opens a new link.
func (t *targets) describe(ctx context.Context, name string) (d Description, err error) {
	const tries = 2
	for range tries {
		callCtx, cancel := context.WithTimeout(ctx, describeTimeout)
		err = t.call(callCtx, name, describeMethod, struct{}{}, &d)
		cancel()
		if err == nil {
			break
		}
	}
	return d, err
}

func (t *targets) closeIdle() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.remotes {
		r.remote.CloseIdle()
	}
}

// choosePlain selects the endpoint of the service with the fewest running requests from this entry.
func (t *targets) choosePlain(service string, tried []string) (caller.PlainTarget, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	usable := slices.DeleteFunc(slices.Clone(t.plain[service]), func(e node.Endpoint) bool {
		return slices.Contains(tried, e.Name)
	})
	if len(usable) == 0 {
		return caller.PlainTarget{}, refusal.New(refusal.Unavailable, "no endpoint of service %s is available", service)
	}
	best := slices.MinFunc(usable, func(a, b node.Endpoint) int {
		return cmp.Or(cmp.Compare(t.running[a.Name], t.running[b.Name]), cmp.Compare(a.Name, b.Name))
	})
	t.running[best.Name]++
	return caller.PlainTarget{Endpoint: best.Name, Address: best.Address.String(), Born: best.Incarnation, Done: func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.running[best.Name]--; t.running[best.Name] == 0 {
			delete(t.running, best.Name)
		}
	}}, nil
}

// Serving reports whether at least n engines of the data centre have an owner.
func (i *Instance) Serving(n int) bool {
	i.targets.mu.Lock()
	defer i.targets.mu.Unlock()
	for _, e := range i.targets.owners {
		if isLocal(i.settings, e) {
			n--
		}
	}
	return n <= 0
}
