package instance

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"lycheevale/internal/base/settings"
	"lycheevale/internal/member/directory"
	"lycheevale/internal/member/node"
	"lycheevale/internal/serve/engine"
	"lycheevale/internal/wire/peer"
)

// methodEndpoints asks an instance of another data centre for the engines of that data centre.
const methodEndpoints = "Instance.Endpoints"

// Intervals of polling other data centres. The interval grows with the number of engines, so that the bytes over slow
// links stay below about 3 KB/s for each instance at any size; an unchanged list costs about 100 bytes.
const (
	remoteInterval    = 2 * time.Second
	remotePerEndpoint = 30 * time.Millisecond
	remoteTimeout     = time.Second
)

type endpointsRequest struct {
	Hash uint64 `json:"Hash"` // of the list that the requesting instance holds
}

// remoteEndpoint is an owned engine that accepts work.
type remoteEndpoint struct {
	Name         string         `json:"Name"`
	Model        string         `json:"Model"`
	BatchSize    int            `json:"BatchSize"`
	Owner        string         `json:"Owner"`
	OwnerAddress netip.AddrPort `json:"OwnerAddress"`
}

type endpointsReply struct {
	Hash      uint64           `json:"Hash"`
	Endpoints []remoteEndpoint `json:"Endpoints,omitempty"` // omitted if Hash equals the requested one
}

// remoteCentre holds the engines of another data centre; it is empty while the polled instance there does not answer.
type remoteCentre struct {
	hash      uint64
	endpoints []node.Endpoint
}

// serveEndpoints registers the handler that lists the local engines for instances of other data centres.
func (t *targets) serveEndpoints(mux *peer.Mux) {
	mux.Handle(methodEndpoints, peer.Typed(func(_ context.Context, _ string, q endpointsRequest) (endpointsReply, error) {
		list := t.localEngines()
		raw, err := json.Marshal(list)
		if err != nil {
			return endpointsReply{}, err
		}
		reply := endpointsReply{Hash: xxhash.Sum64(raw)}
		if reply.Hash != q.Hash {
			reply.Endpoints = list
		}
		return reply, nil
	}))
}

func (t *targets) localEngines() (list []remoteEndpoint) {
	for _, e := range t.members.View().Endpoints {
		if e.Kind == engine.KindEngine && e.Owner != "" && e.NoWorkAfter.IsZero() {
			list = append(list, remoteEndpoint{e.Name, e.Model, e.BatchSize, e.Owner, e.OwnerAddress})
		}
	}
	return list
}

// followRemote polls every other data centre for its engines.
func (t *targets) followRemote(ctx context.Context) error {
	peers := map[string][]string{}
	for _, m := range slices.Concat(t.settings.Peers, t.settings.Voters) {
		if m.DataCentre != t.settings.DataCentre && !slices.Contains(peers[m.DataCentre], m.Name) {
			peers[m.DataCentre] = append(peers[m.DataCentre], m.Name)
		}
	}
	group, ctx := errgroup.WithContext(ctx)
	for centre, names := range peers {
		group.Go(func() error { return t.followCentre(ctx, centre, names) })
	}
	return group.Wait()
}

func (t *targets) followCentre(ctx context.Context, centre string, names []string) error {
	known := remoteCentre{}
	next := rand.N(len(names))
	for {
		var reply endpointsReply
		callCtx, cancel := context.WithTimeout(ctx, remoteTimeout)
		err := t.call(callCtx, names[next%len(names)], methodEndpoints, endpointsRequest{known.hash}, &reply)
		cancel()
		switch {
		case err != nil:
			known = remoteCentre{}
			next++
		case reply.Hash != known.hash:
			known = remoteCentre{reply.Hash, fromRemote(centre, reply.Endpoints)}
		}
		t.setRemote(centre, known)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(remoteInterval + time.Duration(len(known.endpoints))*remotePerEndpoint):
		}
	}
}

func fromRemote(centre string, list []remoteEndpoint) (endpoints []node.Endpoint) {
	for _, e := range list {
		endpoints = append(endpoints, node.Endpoint{
			Announcement: directory.Announcement{
				Name: e.Name, Model: e.Model, BatchSize: e.BatchSize, DataCentre: centre, Kind: engine.KindEngine,
			},
			Owner: e.Owner, OwnerAddress: e.OwnerAddress,
		})
	}
	return endpoints
}

func (t *targets) setRemote(centre string, known remoteCentre) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.centres[centre].hash == known.hash && len(t.centres[centre].endpoints) == len(known.endpoints) {
		return
	}
	t.centres[centre] = known
	t.rebuild(t.members.View())
}

// isLocal reports whether an endpoint is in the data centre of the settings.
func isLocal(s settings.Settings, e node.Endpoint) bool { return e.DataCentre == s.DataCentre }
