package forward

import (
	"context"
	"slices"
	"time"

	"github.com/zeebo/errs"

	"lycheevale/internal/base/locality"
	"lycheevale/internal/base/refusal"
	"lycheevale/internal/member/report"
	"lycheevale/internal/place/pick"
	"lycheevale/internal/place/residency"
)

// placement is a placement request to the leader, whose answer several requests may share.
type placement struct {
	done       chan struct{}
	placed     report.PlacementReply
	err        error
	answeredAt time.Time
	waiting    int // requests that wait for it; guarded by the mutex of the Handler
}

// candidates converts endpoints to candidates with their load as known here. The caller holds h.mu.
func (h *Handler) candidates(list []report.Endpoint) (candidates []pick.Endpoint) {
	for _, e := range list {
		candidates = append(candidates, h.candidate(e))
	}
	return candidates
}

func (h *Handler) candidate(e report.Endpoint) pick.Endpoint {
	h.picker.SetBorn(e.ID, e.Born)
	slots := e.Slots
	if len(e.Models) == 0 {
		slots *= requestsPerPlainSlot
	}
	return pick.Endpoint{
		ID: e.ID, Slots: slots, Distance: h.distance(e),
		OtherEntries: max(h.options.View.Running(e.ID)-h.reportedActive[e.ID], 0), Backlog: h.backlog(e.ID),
	}
}

// backlog returns how long an endpoint will take to read the prompts that wait there. The caller holds h.mu.
func (h *Handler) backlog(id string) time.Duration {
	others := h.options.View.Backlog(id) - time.Duration(h.reportedBacklog[id])*time.Millisecond
	return h.reading.Delay(h.unread[id]) + max(others, 0)
}

func (h *Handler) distance(e report.Endpoint) locality.Distance {
	return h.options.Regions.Distance(h.options.DataCentre, e.DataCentre)
}

// requestsPerPlainSlot is the number of requests for each slot that a plain service accepts: its requests are short, so
// that queueing behind two others costs little.
const requestsPerPlainSlot = 3

// choice is the endpoint chosen for an attempt.
type choice struct {
	report.Endpoint
	version  int  // of the adapter, 0 for any
	loaded   bool // the adapter has just been loaded and may not be ready yet
	unlisted bool // the view does not list the endpoint yet, which the leader has named
}

// accepts reports whether a chosen endpoint still accepts work, for which a request may have waited.
func (h *Handler) accepts(c choice) bool {
	h.mu.Lock()
	paused := !h.picker.PausedUntil(h.options.Now(), c.ID).IsZero()
	h.mu.Unlock()
	if paused {
		return false
	}
	e, ok := h.options.View.Endpoint(c.ID)
	return (ok && e.Born == c.Born) || (c.unlisted && !h.options.View.HasEndpoint(c.ID) && !h.options.View.HasLeft(c.Endpoint))
}

// placeAdmitted chooses the endpoint of the next attempt, among those that still take requests when it is their turn.
func (h *Handler) placeAdmitted(x *exchange) (c choice, refused *refusal.Error) {
	for {
		if c, refused = h.place(x, x.exclude); refused != nil {
			return c, refused
		}
		reason := reasonUnavailable
		if h.accepts(c) && h.admitToEndpoint(x, c) {
			if h.incarnationChecked(x, c) {
				return c, nil
			}
			reason = reasonRestarted
		}
		h.logRetry(x, c, notRun, reason)
		x.exclude = append(slices.Clip(x.exclude), c.ID)
	}
}

// place chooses the endpoint of the next attempt. If no endpoint holds the adapter, it asks the leader to have it loaded
// and waits for that.
func (h *Handler) place(x *exchange, exclude []string) (c choice, refused *refusal.Error) {
	if x.request.Adapter.Name == "" || x.service.Engine == nil {
		list := h.options.View.Endpoints(x.service.Name)
		if x.service.Engine != nil {
			list = slices.DeleteFunc(list, func(e report.Endpoint) bool { return !slices.Contains(e.Models, x.request.Adapter.Model) })
		}
		list = x.continuing(list)
		e, ok := h.choose(x, list, exclude)
		if !ok {
			return c, h.refuseUntilPauseEnds(list)
		}
		return choice{Endpoint: e}, nil
	}
	holders, version := h.options.View.Holders(x.service.Name, x.request.Adapter)
	holders = x.continuing(holders)
	if e, ok := h.choose(x, holders, exclude); ok {
		h.requestReplica(x, e)
		return choice{Endpoint: e, version: version}, nil
	}
	return h.load(x, x.withOtherSoftware(h.withPaused(exclude, holders), h.options.View.Endpoints(x.service.Name)), h.holdersFree(x, holders))
}

// withPaused adds those of the endpoints to a list that want no requests now.
func (h *Handler) withPaused(list []string, endpoints []report.Endpoint) []string {
	now := h.options.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, e := range endpoints {
		if !h.picker.PausedUntil(now, e.ID).IsZero() && !slices.Contains(list, e.ID) {
			list = append(slices.Clip(list), e.ID)
		}
	}
	return list
}

// refuseUntilPauseEnds returns a refusal of a request that none of its endpoints takes. If all of them want no requests now, the request may be
// retried when the first one does.
func (h *Handler) refuseUntilPauseEnds(list []report.Endpoint) *refusal.Error {
	refused := h.refuseWithRetry(refusal.Overloaded, "no endpoint of the service has room")
	now := h.options.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	first := time.Time{}
	for _, e := range list {
		until := h.picker.PausedUntil(now, e.ID)
		if until.IsZero() {
			return refused
		}
		if first.IsZero() || until.Before(first) {
			first = until
		}
	}
	if first.IsZero() {
		return refused
	}
	return refused.WithRetryAt(refused.RetryAt.Add(first.Sub(now)))
}

// refuseWithRetry returns a refusal with a time to retry.
func (h *Handler) refuseWithRetry(code refusal.Code, format string, args ...any) *refusal.Error {
	return refusal.New(code, format, args...).WithRetryAt(h.options.Now().Add(h.retryWait()))
}

func (h *Handler) choose(x *exchange, list []report.Endpoint, exclude []string) (e report.Endpoint, ok bool) {
	h.mu.Lock()
	id, ok := h.picker.Choose(h.options.Now(), h.candidates(list), exclude)
	h.mu.Unlock()
	if !ok {
		return e, false
	}
	return h.options.View.Endpoint(id)
}

// retryWait returns a random wait, which spreads the retries of callers.
func (h *Handler) retryWait() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return retryBase + time.Duration(h.random.Int64N(int64(retryBase)))
}

// retryBase is roughly the time in which an endpoint with a full batch frees a slot.
const retryBase = 400 * time.Millisecond

// retryAtWithLeader returns the time at which a caller should retry a request that needs the leader: when a leader is expected to
// answer again, but early enough in the caller's timeout. Callers retry once or twice, so a retry that comes too early fails
// the request.
func (h *Handler) retryAtWithLeader(x *exchange, at time.Time) time.Time {
	expected := h.options.LeaderExpectedAt()
	if expected.IsZero() {
		return at
	}
	h.mu.Lock()
	expected = expected.Add(time.Duration(h.random.Int64N(int64(leaderRetrySpread))))
	h.mu.Unlock()
	within := x.request.Timeout
	if within <= 0 && x.route != nil {
		within = x.route.Timeout
	}
	if latest := x.arrived.Add(time.Duration(maxRetryFraction * float64(within))); within > 0 && expected.After(latest) {
		expected = latest
	}
	if expected.Before(at) {
		return at
	}
	return expected
}

const (
	// leaderRetrySpread spreads the retries of callers refused in an outage, since adapters have to be loaded again after it.
	leaderRetrySpread = time.Second
	// maxRetryFraction is the fraction of a caller's timeout after which it should have retried.
	maxRetryFraction = 0.6
)

// requestReplica asks for a replica of the adapter, without waiting for it, if the chosen endpoint is far away or busy.
func (h *Handler) requestReplica(x *exchange, chosen report.Endpoint) {
	a := x.request.Adapter
	h.mu.Lock()
	candidate := h.candidate(chosen)
	busy := h.picker.Load(candidate) > replicaLoad
	slow := candidate.Backlog > replicaBacklog
	uses := 0
	if u := h.uses[[2]string{chosen.ID, a.Name}]; u != nil {
		uses = u.count + u.active
	}
	h.mu.Unlock()
	far := h.distance(chosen) == locality.Far
	if (far && uses >= localReplicaUses) || (busy && uses > 0) || slow {
		h.requestReplicaPlacement(report.PlacementRequest{Adapter: a, DataCentre: h.options.DataCentre, Replicate: busy && !far})
	}
}

const (
	// replicaLoad is the load of an endpoint above which an adapter in use there gets a replica.
	replicaLoad = 0.6
	// replicaBacklog is the time to read the waiting prompts of an endpoint above which the leader is asked for another one: the time
	// to fetch an adapter.
	replicaBacklog = 250 * time.Millisecond
	// localReplicaUses is the number of requests since the last report after which an adapter that is only held far away gets a local replica.
	localReplicaUses = 2
)

// holdersFree returns a channel that is readable once those of the holders that have refused a begun stream may take it, or nil if that is too late or
// there are none.
func (h *Handler) holdersFree(x *exchange, holders []report.Endpoint) <-chan time.Time {
	waits := x.headSent || len(x.silent) > 0
	refused := slices.ContainsFunc(holders, func(e report.Endpoint) bool { return !slices.Contains(x.silent, e.ID) })
	if !waits || !refused || h.options.Now().Add(retryBase).Sub(x.interruptedAt) >= streamWait {
		return nil
	}
	return time.After(retryBase)
}

// load asks the leader to have the adapter loaded and waits until it is, or until holders of the adapter may be asked again before the leader has answered.
func (h *Handler) load(x *exchange, exclude []string, holdersFree <-chan time.Time) (c choice, refused *refusal.Error) {
	w := h.requestPlacement(report.PlacementRequest{Adapter: x.request.Adapter, DataCentre: h.options.DataCentre, Missing: x.missingAt, Avoid: exclude})
	x.missingAt = ""
	defer h.stopWaiting(w)
	select {
	case <-w.done:
	case <-holdersFree:
		return c, h.refuseWithRetry(refusal.Unavailable, "the leader has not named an endpoint for the adapter within %v", retryBase)
	case <-x.ctx.Done():
		return c, h.refuseWithRetry(refusal.Unavailable, "no endpoint got the adapter in time")
	}
	if w.err != nil || w.placed.Endpoint == "" {
		refused = h.refuseWithRetry(refusal.Unavailable, "no endpoint can load the adapter: %v", w.err)
		if w.err != nil {
			refused = refused.WithRetryAt(h.retryAtWithLeader(x, refused.RetryAt))
		}
		return c, refused
	}
	e, ok := h.options.View.Endpoint(w.placed.Endpoint)
	unlisted := !h.options.View.HasEndpoint(w.placed.Endpoint) && w.placed.Details.Address.IsValid()
	if unlisted {
		// After a restart the leader may name an endpoint that the entry only learns with the answer to its next report.
		e, ok = w.placed.Details, !w.placed.Details.Leaving && !h.options.View.HasLeft(w.placed.Details)
	}
	if !ok || slices.Contains(exclude, e.ID) || (x.software != nil && e.Software != *x.software) {
		return c, h.refuseWithRetry(refusal.Unavailable, "endpoint %q, which loads the adapter, is not available", w.placed.Endpoint)
	}
	ready := w.answeredAt.Add(time.Duration(w.placed.InMillis) * time.Millisecond)
	select {
	case <-x.ctx.Done():
		return c, h.refuseWithRetry(refusal.Unavailable, "the adapter was not loaded in time")
	case <-time.After(ready.Sub(h.options.Now())):
	}
	return choice{Endpoint: e, version: w.placed.Version, loaded: true, unlisted: unlisted}, nil
}

// requestPlacement asks the leader to place an adapter, for a request that waits for the answer until stopWaiting. Requests that may use any
// endpoint share one call for each adapter.
func (h *Handler) requestPlacement(q report.PlacementRequest) *placement {
	h.mu.Lock()
	defer h.mu.Unlock()
	shared := len(q.Avoid) == 0
	if w := h.placements[q.Adapter]; w != nil && shared {
		w.waiting++
		return w
	}
	w := &placement{done: make(chan struct{}), waiting: 1}
	if shared {
		h.placements[q.Adapter] = w
	}
	h.options.Spawn(func() { h.callPlacement(w, q, shared) })
	return w
}

// requestReplicaPlacement asks the leader for a replica, for which no request waits, unless others use all calls.
func (h *Handler) requestReplicaPlacement(q report.PlacementRequest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.placements[q.Adapter] != nil || !h.placing.TryAcquire(1) {
		return
	}
	w := &placement{done: make(chan struct{})}
	h.placements[q.Adapter] = w
	h.options.Spawn(func() {
		h.askLeader(w, q)
		h.finishPlacement(w, q, true)
	})
}

// callPlacement calls the leader once it is this call's turn.
func (h *Handler) callPlacement(w *placement, q report.PlacementRequest, shared bool) {
	ctx, cancel := context.WithTimeout(context.Background(), placementTimeout)
	defer cancel()
	w.err = h.placing.Acquire(ctx, 1)
	switch {
	case w.err != nil:
		w.err = errTurn
	case h.abandon(w, q.Adapter):
		h.placing.Release(1)
		w.err = errTurn
	default:
		h.askLeader(w, q)
	}
	h.finishPlacement(w, q, shared)
}

// errTurn ends requests for a place that others at this entry have kept from the leader.
var errTurn = errs.New("other requests for adapters wait for the leader")

// askLeader calls the leader and records its answer. The caller has acquired one of the calls.
func (h *Handler) askLeader(w *placement, q report.PlacementRequest) {
	defer h.placing.Release(1)
	ctx, cancel := context.WithTimeout(context.Background(), placementTimeout)
	defer cancel()
	w.placed, w.err = h.options.RequestPlacement(ctx, q)
	w.placed.InMillis = min(w.placed.InMillis, maxLoadTime.Milliseconds())
}

func (h *Handler) finishPlacement(w *placement, q report.PlacementRequest, shared bool) {
	w.answeredAt = h.options.Now()
	close(w.done)
	if !shared {
		return
	}
	// Requests that arrive while the adapter is being loaded share the answer.
	time.Sleep(time.Duration(w.placed.InMillis) * time.Millisecond)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.forgetPlacement(w, q.Adapter)
}

// forgetPlacement makes later requests for the adapter ask anew. The caller holds h.mu.
func (h *Handler) forgetPlacement(w *placement, a residency.Adapter) {
	if h.placements[a] == w {
		delete(h.placements, a)
	}
}

// abandon reports whether no request waits for a placement any more, and forgets it then.
func (h *Handler) abandon(w *placement, a residency.Adapter) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if w.waiting > 0 {
		return false
	}
	h.forgetPlacement(w, a)
	return true
}

func (h *Handler) stopWaiting(w *placement) {
	h.mu.Lock()
	defer h.mu.Unlock()
	w.waiting--
}

// maxPlacements is the number of requests for places that an entry has at the leader at a time; others wait here. A leader that is slower than
// they arrive would otherwise work on ever more of them at once, and have no time left to renew its leadership. It allows the requests of
// the busiest entry to wait for a place, each for the longest time.
const maxPlacements = 6

// maxLoadTime is above the time of any load; a longer one in an answer is an error that must not hold later requests.
const maxLoadTime = 10 * time.Second

// placementTimeout covers the call to the leader, the leader's order to an endpoint and one change of the leader.
const placementTimeout = 2500 * time.Millisecond
