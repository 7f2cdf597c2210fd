package control

import (
	"context"
	"log/slog"
	"time"

	"lycheevale/internal/base/event"
	"lycheevale/internal/member/report"
	"lycheevale/internal/member/roster"
)

// maxInheritSources is the number of entries that a new leader asks for the endpoints that they know. It is more than one because an
// entry may have missed the previous leader's last update.
const maxInheritSources = 3

// requestsKnownEndpoints reports whether an entry should send the endpoints that it knows. Without them a new leader knows no endpoint, and
// can load no adapter, until the endpoints have announced themselves.
func (ls *leaderState) requestsKnownEndpoints(r report.Entry) bool {
	if !ls.partial() || r.Directory == 0 || r.Term == ls.term || ls.inheritAsked[r.Name] || len(ls.inheritAsked) >= maxInheritSources {
		return false
	}
	ls.inheritAsked[r.Name] = true
	return true
}

// inherit adds the endpoints that an entry knows from the previous leader. Endpoints that an earlier entry reported and this
// one does not know may have stopped: they are removed until they announce themselves.
func (ls *leaderState) inherit(now time.Time, r report.Entry) {
	reported := map[string]bool{}
	inherited, removed := 0, 0
	first := ls.inheritSources == 0
	for _, k := range r.Known {
		reported[k.Endpoint.ID] = true
		a := roster.Announcement{
			ID: k.Endpoint.ID, Service: k.Endpoint.Service, DataCentre: k.Endpoint.DataCentre, Address: k.Endpoint.Address,
			Born: k.Endpoint.Born, Slots: k.Endpoint.Slots, Software: k.Software, Models: k.Endpoint.Models, Holdings: k.Holdings,
		}
		ls.census.ObserveListed(now, softwareOf(a))
		if first && ls.roster.Inherit(now, a) {
			taken, _ := ls.roster.Get(a.ID) // it may be leaving, by a stored departure
			ls.updatePlacer(taken)
			inherited++
		}
	}
	for _, e := range ls.endpoints() {
		if !reported[e.ID] && ls.roster.RemoveInherited(e.ID) {
			ls.removeEndpoint(e.ID)
			removed++
		}
	}
	ls.inheritSources++
	event.Log(context.Background(), ls.control.options.Logger, event.EndpointsInherited, slog.String("Entry", r.Name),
		slog.Uint64("Term", ls.term), slog.Int("Known", len(r.Known)), slog.Int("Taken", inherited), slog.Int("Disowned", removed))
}
