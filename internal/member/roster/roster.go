// Package roster maintains the leader's list of endpoints from their announcements. Announcements may be late, repeated,
// from an earlier incarnation of an endpoint, or for an address that another endpoint uses now.
package roster

import (
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"lycheevale/internal/member/report"
	"lycheevale/internal/place/residency"
)

// Error is the class of errors of this package.
var Error = errs.Class("roster")

// Errors of Roster.Announce; test with errs.Is.
var (
	ErrInvalid  = errs.New("announcement is not valid")
	ErrOutdated = errs.New("a newer announcement of the endpoint or the address is known")
	ErrFull     = errs.New("roster is full")
)

// Announcement is the state of an endpoint as announced by the endpoint.
type Announcement struct {
	ID         string         `json:"ID"`
	Service    string         `json:"Service,omitempty"`
	DataCentre string         `json:"DataCentre,omitempty"`
	Address    netip.AddrPort `json:"Address,omitzero"`
	Born       int64          `json:"Born"`     // start time of this incarnation in Unix milliseconds
	Sequence   uint64         `json:"Sequence"` // increases with each announcement of this incarnation
	Slots      int            `json:"Slots,omitempty"`
	Software   string         `json:"Software,omitempty"` // version of the endpoint's software, empty if it names none
	// SoftwareStated is set by instances that pass on Software; an earlier release leaves both out.
	SoftwareStated bool `json:"SoftwareStated,omitempty"`

	Leaving bool `json:"Leaving,omitempty"`
	Gone    bool `json:"Gone,omitempty"` // the endpoint has stopped; only ID and Born are set

	Models   []string            `json:"Models,omitempty"`
	Holdings []residency.Holding `json:"Holdings,omitempty"`
}

type entry struct {
	Announcement
	announcedAt time.Time
	inherited   bool   // the endpoint has not announced itself to this leader yet
	displaced   string // endpoint that had the address before, until this one has announced itself twice
}

// Options are the settings of a Roster.
type Options struct {
	ExpireAfter  time.Duration // time without an announcement after which an endpoint is removed
	Retention    time.Duration // time for which ended incarnations are remembered
	MaxEndpoints int           // largest number of endpoints
}

// DefaultOptions returns options for announcements about every 1.2 s, each of which may be late by seconds.
func DefaultOptions() Options {
	return Options{ExpireAfter: 6 * time.Second, Retention: 2 * time.Minute, MaxEndpoints: 20_000}
}

// Roster is a table of endpoints. It reads no clock and does no I/O. It is not safe for concurrent use.
type Roster struct {
	options    Options
	entries    map[string]*entry
	byAddress  map[netip.AddrPort]string
	ended      map[string]incarnation // newest ended incarnation, by ID
	leaving    map[string]incarnation // newest incarnation that is leaving by a stored departure, by ID
	revision   uint64
	lastExpire time.Time
}

// incarnation is the newest one of an endpoint that has ended or is leaving.
type incarnation struct {
	born int64     // 0 if it is not known
	at   time.Time // when that was recorded
}

// covers reports whether an incarnation that has not announced itself since is this one or an earlier one.
func (p incarnation) covers(born int64) bool { return p.born == 0 || born <= p.born }

// New returns an empty roster.
func New(o Options) *Roster {
	return &Roster{
		options: o, entries: map[string]*entry{}, byAddress: map[netip.AddrPort]string{}, ended: map[string]incarnation{},
		leaving: map[string]incarnation{}, revision: 1,
	}
}

// Announce records an announcement. Errors are ErrInvalid, ErrOutdated and ErrFull.
func (r *Roster) Announce(now time.Time, a Announcement) (changed bool, err error) {
	defer func() { err = Error.Wrap(err) }()
	if err := a.Check(); err != nil {
		return false, err
	}
	old := r.entries[a.ID]
	if a.Gone {
		return r.handleGone(now, a, old)
	}
	if r.Outdated(a) {
		return false, ErrOutdated
	}
	displaced := ""
	if other := r.entries[r.byAddress[a.Address]]; other != nil && other.ID != a.ID {
		r.remove(now, other)
		displaced = other.ID
	}
	if old == nil && len(r.entries) >= r.options.MaxEndpoints {
		return false, ErrFull
	}
	if p, leaving := r.leaving[a.ID]; (old != nil && old.Born == a.Born && old.Leaving) || (leaving && a.Born <= p.born) {
		a.Leaving = true // a leaving incarnation does not serve again
	}
	if old != nil && old.Born == a.Born && old.Software != "" {
		a.Software = old.Software // it does not change within one incarnation
	}
	r.store(now, a, old)
	r.entries[a.ID].displaced = displaced
	return old == nil || !sameState(old.Announcement, a), nil
}

// Outdated reports whether something newer than an announcement is known of the endpoint or its address.
func (r *Roster) Outdated(a Announcement) bool {
	if p, ended := r.ended[a.ID]; ended && a.Born <= p.born {
		return true
	}
	if old := r.entries[a.ID]; old != nil && (a.Born < old.Born || (a.Born == old.Born && a.Sequence <= old.Sequence && !old.inherited)) {
		return true
	}
	other := r.entries[r.byAddress[a.Address]]
	return other != nil && other.ID != a.ID && a.Born < other.Born
}

// Inherit records an endpoint that an earlier leader has listed, until the endpoint announces itself. It reports whether the
// endpoint was recorded; it is not if something newer is known, or the roster is full.
func (r *Roster) Inherit(now time.Time, a Announcement) bool {
	_, addressInUse := r.byAddress[a.Address]
	p, ended := r.ended[a.ID]
	if a.Check() != nil || a.Gone || r.entries[a.ID] != nil || addressInUse || (ended && p.covers(a.Born)) || len(r.entries) >= r.options.MaxEndpoints {
		return false
	}
	if p, leaving := r.leaving[a.ID]; leaving && p.covers(a.Born) {
		a.Leaving = true
	}
	r.store(now, a, nil)
	r.entries[a.ID].inherited = true
	return true
}

// Departure returns the departure that an announcement has caused, if there is one: it must outlive this roster before the endpoint relies on
// it. A departure of an endpoint that is not known is returned if others may know it.
func (r *Roster) Departure(a Announcement, othersMayKnow bool) (d report.Departure, departs bool) {
	e, p := r.entries[a.ID], r.ended[a.ID]
	switch {
	case a.Gone && e == nil && (!p.at.IsZero() || othersMayKnow):
		return report.Departure{ID: a.ID, Born: max(p.born, a.Born), Gone: true}, true
	case a.Leaving && e != nil && e.Leaving && e.Born == a.Born:
		return report.Departure{ID: a.ID, Born: a.Born}, true
	}
	return d, false
}

// Depart applies a departure that an earlier leader may have recorded, and reports whether that changes the list of endpoints, or what may be added
// to it.
func (r *Roster) Depart(now time.Time, d report.Departure) (changed bool) {
	e := r.entries[d.ID]
	if e != nil && (!d.Covers(e.ID, e.Born) || (d.Born == 0 && !e.inherited)) {
		return false
	}
	if d.Gone && e != nil {
		r.remove(now, e)
		return true
	}
	list := r.leaving
	if d.Gone {
		list = r.ended
	}
	if known := list[d.ID]; known.at.IsZero() || known.born < d.Born {
		list[d.ID] = incarnation{born: d.Born, at: now}
		changed = e == nil
	}
	if e != nil && !e.Leaving {
		e.Leaving, changed = true, true
	}
	if changed {
		r.revision++
	}
	return changed
}

// RemoveInherited removes an endpoint that was inherited and has not announced itself, and reports whether it removed one.
func (r *Roster) RemoveInherited(id string) bool {
	e := r.entries[id]
	if e == nil || !e.inherited {
		return false
	}
	delete(r.entries, id)
	delete(r.byAddress, e.Address)
	r.revision++
	return true
}

// sameState reports whether two announcements agree in all fields that are sent to entries.
func sameState(a, b Announcement) bool {
	return a.Service == b.Service && a.DataCentre == b.DataCentre && a.Address == b.Address && a.Born == b.Born &&
		a.Slots == b.Slots && a.Software == b.Software && a.Leaving == b.Leaving &&
		slices.Equal(a.Models, b.Models)
}

func (r *Roster) store(now time.Time, a Announcement, old *entry) {
	if old != nil && old.Address != a.Address {
		delete(r.byAddress, old.Address)
	}
	if old == nil || !sameState(old.Announcement, a) {
		r.revision++
	}
	r.entries[a.ID] = &entry{Announcement: a, announcedAt: now}
	r.byAddress[a.Address] = a.ID
}

func (r *Roster) handleGone(now time.Time, a Announcement, old *entry) (changed bool, err error) {
	if old == nil {
		if a.Born > r.ended[a.ID].born {
			r.remember(now, a.ID, a.Born)
		}
		return false, nil
	}
	if a.Born != 0 && a.Born < old.Born {
		return false, ErrOutdated
	}
	r.remove(now, old)
	return true, nil
}

func (r *Roster) remove(now time.Time, e *entry) {
	delete(r.entries, e.ID)
	if r.byAddress[e.Address] == e.ID {
		delete(r.byAddress, e.Address)
	}
	r.remember(now, e.ID, e.Born)
	r.revision++
}

// remember records an ended incarnation. At the largest number of them, it replaces the oldest.
func (r *Roster) remember(now time.Time, id string, born int64) {
	if _, known := r.ended[id]; !known && len(r.ended) >= r.options.MaxEndpoints {
		oldest, at := "", time.Time{}
		for other, p := range r.ended {
			if oldest == "" || p.at.Before(at) || (p.at.Equal(at) && other < oldest) {
				oldest, at = other, p.at
			}
		}
		delete(r.ended, oldest)
	}
	r.ended[id] = incarnation{born: born, at: now}
}

// maxExpireGap is the longest normal time between two calls of Expire. After a longer one, this process was suspended, and
// the endpoints may have sent announcements that it did not receive.
const maxExpireGap = time.Second

// Expire removes endpoints that have not announced themselves for ExpireAfter and returns their IDs.
func (r *Roster) Expire(now time.Time) (expired []string) {
	if gap := now.Sub(r.lastExpire); !r.lastExpire.IsZero() && gap > maxExpireGap {
		for _, e := range r.entries {
			e.announcedAt = e.announcedAt.Add(gap)
		}
	}
	r.lastExpire = now
	for id, e := range r.entries {
		if now.Sub(e.announcedAt) >= r.options.ExpireAfter {
			expired = append(expired, id)
		}
	}
	for _, id := range expired {
		e := r.entries[id]
		r.remove(now, e)
		delete(r.ended, id) // the same incarnation may return, since it may only have been cut off
		if e.displaced != "" {
			delete(r.ended, e.displaced) // one announcement does not show that the other endpoint has stopped
		}
	}
	for _, list := range []map[string]incarnation{r.ended, r.leaving} {
		maps.DeleteFunc(list, func(_ string, p incarnation) bool { return now.Sub(p.at) >= r.options.Retention })
	}
	return expired
}

// Revision increases with each change that must be sent to entries.
func (r *Roster) Revision() uint64 { return r.revision }

// Endpoints returns all endpoints, sorted by ID.
func (r *Roster) Endpoints() (list []report.Endpoint) {
	for _, e := range r.entries {
		list = append(list, e.endpoint())
	}
	slices.SortFunc(list, func(a, b report.Endpoint) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// Endpoint returns the description of an endpoint that is sent to entries.
func (r *Roster) Endpoint(id string) (endpoint report.Endpoint, ok bool) {
	e := r.entries[id]
	if e == nil {
		return endpoint, false
	}
	return e.endpoint(), true
}

func (e *entry) endpoint() report.Endpoint {
	return report.Endpoint{
		ID: e.ID, Service: e.Service, DataCentre: e.DataCentre, Address: e.Address, Slots: e.Slots,
		Born: e.Born, Leaving: e.Leaving, Models: e.Models, Software: e.Software,
	}
}

// Get returns the last announcement of an endpoint.
func (r *Roster) Get(id string) (a Announcement, ok bool) {
	e := r.entries[id]
	if e == nil {
		return a, false
	}
	return e.Announcement, true
}
