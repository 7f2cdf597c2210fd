package forward

import (
	"log/slog"
	"time"

	"lycheevale/internal/base/event"
	"lycheevale/internal/limit/ceiling"
	"lycheevale/internal/limit/quota"
	"lycheevale/internal/member/report"
)

// admitToEndpoint charges a request to the rate that its endpoint has named, which all entries share. An endpoint that takes no more for now gets no
// further request of this entry until it may.
func (h *Handler) admitToEndpoint(x *exchange, c choice) bool {
	h.mu.Lock()
	now := h.options.Now()
	limit, limited := h.ceilings.Limit(c.ID)
	if !limited {
		h.mu.Unlock()
		return true
	}
	retryAt, admitted := h.endpointShares.Take(now, c.ID, ceiling.Unit)
	borrow := !admitted && h.endpointShares.MayBorrow(now, c.ID)
	h.mu.Unlock()
	var err error
	if borrow {
		retryAt, admitted, err = h.borrow(x, report.LoanRequest{Endpoint: c.ID}, ceiling.Unit, retryAt, quota.Later)
	}
	if admitted {
		return true
	}
	event.Log(x.ctx, h.options.Logger, event.EndpointAtLimit, slog.String("Attempt", x.request.Attempt), slog.String("Endpoint", c.ID),
		slog.Float64("PerSecond", limit.Rate/ceiling.Unit), slog.Time("RetryAt", retryAt), slog.Any("Error", err))
	h.mu.Lock()
	defer h.mu.Unlock()
	h.picker.Pause(now, c.ID, retryAt.Add(h.limitSpread(limit)))
	return false
}

// limitSpread returns a random time, so that the entries do not all ask for the next request that an endpoint takes. The caller holds h.mu.
func (h *Handler) limitSpread(limit quota.Limit) time.Duration {
	_, entries := h.options.View.Version()
	seconds := min(float64(max(entries, 1))*ceiling.Unit/limit.Rate, maxLimitSpread.Seconds())
	return time.Duration(h.random.Float64() * seconds * float64(time.Second))
}

// maxLimitSpread bounds the time for which an entry leaves an endpoint alone that may take requests again.
const maxLimitSpread = 3 * time.Second

// recordCeiling records the rate that an endpoint has named in an answer, or that it names none any more, which is a rate of 0.
func (h *Handler) recordCeiling(x *exchange, c choice, rate float64) {
	now := h.options.Now()
	h.mu.Lock()
	changed := h.ceilings.State(now, x.sentAt, c.ID, rate)
	h.mu.Unlock()
	if changed {
		event.Log(x.ctx, h.options.Logger, event.EndpointLimit, slog.String("Attempt", x.request.Attempt), slog.String("Endpoint", c.ID),
			slog.Float64("PerSecond", rate))
	}
}

// reportCeilings fills in the rates that endpoints have named here, and the use of shares of rates. The caller holds h.mu.
func (h *Handler) reportCeilings(now time.Time, r *report.Entry, elapsed time.Duration) {
	h.ceilings.Forget(now, h.options.View.HasEndpoint)
	h.endpointShares.Forget(func(id string) bool { _, limited := h.ceilings.Limit(id); return limited })
	r.Ceilings, r.CeilingRevision = h.ceilings.Own(now), h.ceilingRevision
	for id, u := range h.endpointShares.Report(now, elapsed) {
		if u.Held <= 0 {
			continue
		}
		if r.EndpointUses == nil {
			r.EndpointUses = map[string]quota.Use{}
		}
		r.EndpointUses[id] = quota.Use{Held: u.Held}
	}
}

// GrantEndpoints applies what the leader's answer to a report of that time says of rates that endpoints have named.
func (h *Handler) GrantEndpoints(reported time.Time, r report.Entry, u report.Update, terms quota.Terms) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.options.Now()
	switch {
	case u.Term != r.Term:
		h.ceilings.Merge(now, u.Ceilings) // a new leader may not have heard of all rates yet
	case u.CeilingRevision != r.CeilingRevision:
		h.ceilings.Replace(now, reported, u.Ceilings)
	}
	h.ceilingRevision = u.CeilingRevision
	h.endpointShares.Grant(now, terms, u.EndpointGrants, h.ceilings.Limits())
}

// EndpointLimit returns the limit of an endpoint that has named a rate, or the zero limit.
func (h *Handler) EndpointLimit(id string) quota.Limit {
	h.mu.Lock()
	defer h.mu.Unlock()
	limit, _ := h.ceilings.Limit(id)
	return limit
}
