package forward

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"lycheevale/internal/base/event"
	"lycheevale/internal/base/refusal"
	"lycheevale/internal/member/report"
	"lycheevale/internal/place/origin"
	"lycheevale/internal/state/document"
)

// findOrigin finds the software version that began a stream which the caller continues. The request is refused if that is not known, or if no endpoint
// of the version is left.
func (h *Handler) findOrigin(x *exchange) *refusal.Error {
	if x.request.LastEvent == "" {
		return nil
	}
	asked := h.options.Now()
	age := h.options.View.Age(asked)
	versions, _ := h.options.View.Software(x.service.Name, asked)
	software, source, refused := h.lookUpOrigin(x)
	x.software = software
	version := ""
	if software != nil {
		version = *software
	}
	event.Log(x.ctx, h.options.Logger, event.StreamContinued, slog.String("Attempt", x.request.Attempt), slog.String("Continues", x.request.Continues),
		slog.String("LastEvent", x.request.LastEvent), slog.String("Service", x.service.Name), slog.Bool("Known", software != nil), slog.String("Software", version),
		slog.String("Source", string(source)), slog.Any("Versions", versions),
		slog.Int64("ViewAgeMillis", age.Milliseconds()), slog.Int64("AfterMillis", h.options.Now().Sub(asked).Milliseconds()))
	if refused != nil || software == nil {
		return refused
	}
	if !slices.ContainsFunc(h.options.View.Endpoints(x.service.Name), func(e report.Endpoint) bool { return e.Software == version }) {
		return h.refuseWithRetry(refusal.Unavailable, "no endpoint of software version %q, which began the stream, is in service", version)
	}
	return nil
}

// lookUpOrigin returns the software version that began a stream, or nil if the leader does not follow versions.
func (h *Handler) lookUpOrigin(x *exchange) (software *string, source origin.Source, refused *refusal.Error) {
	k := origin.Knowledge{Service: x.service.Name, Endpoints: !h.options.View.Empty()}
	k.Versions, k.Current = h.options.View.Software(x.service.Name, h.options.Now())
	h.mu.Lock()
	if s, known := h.streams.Find(x.request.Continues); known {
		k.Recorded = &s
	}
	h.mu.Unlock()
	s, source := k.Decide()
	if source == origin.Leader {
		if s, refused = h.askOrigin(x); refused != nil {
			return nil, source, refused
		}
	}
	if s == nil {
		return nil, source, nil
	}
	return h.moveToOrigin(x, *s), source, nil
}

// askOrigin asks the leader which software version began a stream.
func (h *Handler) askOrigin(x *exchange) (s *origin.Software, refused *refusal.Error) {
	ctx, cancel := context.WithTimeout(x.ctx, originTimeout)
	defer cancel()
	reply, err := h.options.FindOrigin(ctx, report.OriginRequest{Service: x.service.Name, Attempt: x.request.Continues})
	if err != nil {
		refused = h.refuseWithRetry(refusal.Unavailable, "software version that began the stream: %v", err)
		return nil, refused.WithRetryAt(h.retryAtWithLeader(x, refused.RetryAt))
	}
	if s = origin.DecideByReply(x.service.Name, reply.Software, reply.Versions); s == nil {
		return nil, refusal.New(refusal.Unavailable, "which of the software versions %q began the stream is not known", reply.Versions)
	}
	return s, nil
}

// moveToOrigin returns the software version that began a stream, and sends the stream to the service of that version if its route allows it. It returns
// nil if the route leads to other services now, which have versions of their own.
func (h *Handler) moveToOrigin(x *exchange, s origin.Software) *string {
	if s.Service != x.service.Name {
		if !slices.ContainsFunc(x.route.Targets, func(t document.Target) bool { return t.Service == s.Service && t.Weight > 0 }) {
			return nil
		}
		x.service = x.index.Service(s.Service)
	}
	return &s.Version
}

// originTimeout covers the call to the leader and the next reports of the other entries.
const originTimeout = 1500 * time.Millisecond

// recordOrigin records that the first events of a stream were delivered, which only endpoints of the same software version may continue; none if the
// version is not known.
func (h *Handler) recordOrigin(x *exchange, s *attempt) {
	if x.delivered {
		return
	}
	if !s.identified {
		event.Log(x.ctx, h.options.Logger, event.SoftwareUnknown, slog.String("Attempt", x.request.Attempt), slog.String("Endpoint", s.ID), slog.Int64("Born", s.Born))
		return
	}
	attempt := x.request.Attempt
	if x.request.LastEvent != "" {
		attempt = x.request.Continues
	}
	if x.software == nil {
		x.software = &s.Software
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	s.inFlight.software = x.software
	if !x.route.Repeatable() {
		return // no caller takes it up
	}
	h.streams.Record(h.options.Now(), origin.Stream{Attempt: attempt, Software: origin.Software{Service: x.service.Name, Version: s.Software}})
}

// reportStreams fills in the streams that the leader has to know. The caller holds h.mu.
func (h *Handler) reportStreams(now time.Time, r *report.Entry) {
	retention := origin.Retention(0)
	if index := h.options.View.Index(); index != nil {
		retention = origin.Retention(index.LongestTimeout())
	}
	h.streams.Forget(now, retention)
	r.Streams = h.streams.Unconfirmed(r.Term, h.options.View.MixedServices(), maxReportedStreams, maxEarlyStreams)
}

const (
	// maxReportedStreams limits the size of a report; the rest follows with the next ones.
	maxReportedStreams = 1000
	// maxEarlyStreams limits the streams of services with one software version in a report. The leader needs them only if another version appears after
	// the entry has fallen silent.
	maxEarlyStreams = 50
)

// continuing returns those of the endpoints that may continue what was delivered of a stream.
func (x *exchange) continuing(list []report.Endpoint) []report.Endpoint {
	return sameSoftware(list, x.software)
}

// sameSoftware returns the endpoints of a software version, or all of them if it is nil.
func sameSoftware(list []report.Endpoint, software *string) (same []report.Endpoint) {
	if software == nil {
		return list
	}
	for _, e := range list {
		if e.Software == *software {
			same = append(same, e)
		}
	}
	return same
}

// withOtherSoftware adds those of the endpoints to a list that must not continue the stream.
func (x *exchange) withOtherSoftware(list []string, endpoints []report.Endpoint) []string {
	if x.software == nil {
		return list
	}
	for _, e := range endpoints {
		if e.Software != *x.software && !slices.Contains(list, e.ID) {
			list = append(slices.Clip(list), e.ID)
		}
	}
	return list
}
