package control

import (
	"context"
	"log/slog"
	"time"

	"lycheevale/internal/base/event"
	"lycheevale/internal/member/report"
	"lycheevale/internal/member/roster"
)

// tellers is the number of entries that a new leader asks what they know of endpoints. More than one, because an entry may have
// missed what the leader before told last.
const tellers = 3

// asksToTell tells whether an entry is to report what it knows of endpoints. Without that a new leader knows none until they
// have announced themselves, and can load no adapter.
func (o *office) asksToTell(r report.Entry) bool {
	if !o.partial() || r.Directory == 0 || r.Term == o.term || o.asked[r.Name] || len(o.asked) >= tellers {
		return false
	}
	o.asked[r.Name] = true
	return true
}

// inherit takes over endpoints that an entry knows from the leader before. Endpoints that another entry has told of, and this
// one does not know, may have left meanwhile: they have to announce themselves.
func (o *office) inherit(now time.Time, r report.Entry) {
	named := map[string]bool{}
	taken, disowned := 0, 0
	first := o.tellersHeard == 0
	for _, k := range r.Known {
		named[k.Endpoint.ID] = true
		a := roster.Announcement{
			ID: k.Endpoint.ID, Service: k.Endpoint.Service, DataCentre: k.Endpoint.DataCentre, Address: k.Endpoint.Address,
			Born: k.Endpoint.Born, Slots: k.Endpoint.Slots, Models: k.Endpoint.Models, Holdings: k.Holdings,
		}
		if first && o.roster.Inherit(now, a) {
			o.place(a)
			taken++
		}
	}
	for _, e := range o.endpoints() {
		if !named[e.ID] && o.roster.RemoveInherited(e.ID) {
			o.drop(e.ID)
			disowned++
		}
	}
	o.tellersHeard++
	event.Log(context.Background(), o.control.options.Logger, event.EndpointsInherited, slog.String("Entry", r.Name),
		slog.Uint64("Term", o.term), slog.Int("Known", len(r.Known)), slog.Int("Taken", taken), slog.Int("Disowned", disowned))
}
