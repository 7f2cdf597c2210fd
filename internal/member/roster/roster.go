// Package roster is the leader's list of endpoints, made from what they announce. Announcements may be late, repeated, from
// an earlier life of an endpoint, or for an address that another one has taken over.
package roster

import (
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

// Reasons for which an announcement is ignored; test with errs.Is.
var (
	ErrInvalid  = errs.New("announcement is not valid")
	ErrOutdated = errs.New("something newer is known")
	ErrFull     = errs.New("roster is full")
)

// Announcement is what an endpoint states about itself.
type Announcement struct {
	ID         string         `json:"ID"`
	Service    string         `json:"Service,omitempty"`
	DataCentre string         `json:"DataCentre,omitempty"`
	Address    netip.AddrPort `json:"Address,omitzero"`
	Born       int64          `json:"Born"`     // Unix milliseconds of the start of this life
	Sequence   uint64         `json:"Sequence"` // rises with each announcement of this life
	Slots      int            `json:"Slots,omitempty"`
	Leaving    bool           `json:"Leaving,omitempty"`
	Gone       bool           `json:"Gone,omitempty"` // it takes no more requests; only ID and Born are set

	Models   []string            `json:"Models,omitempty"`
	Holdings []residency.Holding `json:"Holdings,omitempty"`
}

type entry struct {
	Announcement
	heardAt   time.Time
	inherited bool // it has not announced itself yet
}

// Options are the settings of a Roster.
type Options struct {
	Silence time.Duration // after which an endpoint that says nothing is dropped
	Past    time.Duration // for which lives that have ended are remembered
	Most    int           // endpoints
}

// DefaultOptions returns settings for announcements about every 1.2 s, each of which may be seconds late.
func DefaultOptions() Options {
	return Options{Silence: 6 * time.Second, Past: 2 * time.Minute, Most: 20_000}
}

// Roster is a pure table; it is not safe for concurrent use.
type Roster struct {
	options  Options
	entries  map[string]*entry
	byPlace  map[netip.AddrPort]string
	ended    map[string]past // newest life that has ended, by identity
	revision uint64
	ticked   time.Time
}

type past struct {
	born int64
	at   time.Time
}

// New returns an empty roster.
func New(o Options) *Roster {
	return &Roster{
		options: o, entries: map[string]*entry{}, byPlace: map[netip.AddrPort]string{}, ended: map[string]past{}, revision: 1,
	}
}

// maxName bounds names, in bytes.
const maxName = 128

func (a Announcement) check() error {
	if a.ID == "" || len(a.ID) > maxName || len(a.Service) > maxName || len(a.DataCentre) > maxName {
		return ErrInvalid
	}
	if a.Gone {
		return nil
	}
	if a.Service == "" || !a.Address.IsValid() || a.Slots < 0 {
		return ErrInvalid
	}
	return nil
}

// Announce records an announcement. Errors are ErrInvalid, ErrOutdated and ErrFull.
func (r *Roster) Announce(now time.Time, a Announcement) (changed bool, err error) {
	defer func() { err = Error.Wrap(err) }()
	if err := a.check(); err != nil {
		return false, err
	}
	old := r.entries[a.ID]
	if a.Gone {
		return r.end(now, a, old)
	}
	if p, ended := r.ended[a.ID]; ended && a.Born <= p.born {
		return false, ErrOutdated
	}
	if old != nil && (a.Born < old.Born || (a.Born == old.Born && a.Sequence <= old.Sequence && !old.inherited)) {
		return false, ErrOutdated
	}
	if other := r.entries[r.byPlace[a.Address]]; other != nil && other.ID != a.ID {
		if a.Born < other.Born {
			return false, ErrOutdated
		}
		r.remove(now, other)
	}
	if old == nil && len(r.entries) >= r.options.Most {
		return false, ErrFull
	}
	if old != nil && old.Born == a.Born && old.Leaving {
		a.Leaving = true // a life that has begun to end does not return
	}
	r.store(now, a, old)
	return old == nil || !same(old.Announcement, a), nil
}

// Inherit records an endpoint that an earlier leader has listed, until it announces itself. It tells whether nothing newer is
// known.
func (r *Roster) Inherit(now time.Time, a Announcement) bool {
	_, taken := r.byPlace[a.Address]
	p, ended := r.ended[a.ID]
	if a.check() != nil || a.Gone || r.entries[a.ID] != nil || taken || (ended && a.Born <= p.born) || len(r.entries) >= r.options.Most {
		return false
	}
	r.store(now, a, nil)
	r.entries[a.ID].inherited = true
	return true
}

// RemoveInherited drops an endpoint that was inherited and has not announced itself. It tells whether it did so.
func (r *Roster) RemoveInherited(id string) bool {
	e := r.entries[id]
	if e == nil || !e.inherited {
		return false
	}
	delete(r.entries, id)
	delete(r.byPlace, e.Address)
	r.revision++
	return true
}

// same compares what entries know of an endpoint.
func same(a, b Announcement) bool {
	return a.Service == b.Service && a.DataCentre == b.DataCentre && a.Address == b.Address && a.Born == b.Born &&
		a.Slots == b.Slots && a.Leaving == b.Leaving && slices.Equal(a.Models, b.Models)
}

func (r *Roster) store(now time.Time, a Announcement, old *entry) {
	if old != nil && old.Address != a.Address {
		delete(r.byPlace, old.Address)
	}
	if old == nil || !same(old.Announcement, a) {
		r.revision++
	}
	r.entries[a.ID] = &entry{Announcement: a, heardAt: now}
	r.byPlace[a.Address] = a.ID
}

func (r *Roster) end(now time.Time, a Announcement, old *entry) (changed bool, err error) {
	if old == nil {
		if a.Born > r.ended[a.ID].born {
			r.ended[a.ID] = past{born: a.Born, at: now}
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
	if r.byPlace[e.Address] == e.ID {
		delete(r.byPlace, e.Address)
	}
	r.ended[e.ID] = past{born: e.Born, at: now}
	r.revision++
}

// tickGap is the time between two calls of Expire from which on this process, and not the endpoints, was silent.
const tickGap = time.Second

// Expire drops endpoints that have been silent and returns their identities.
func (r *Roster) Expire(now time.Time) (gone []string) {
	if gap := now.Sub(r.ticked); !r.ticked.IsZero() && gap > tickGap {
		for _, e := range r.entries {
			e.heardAt = e.heardAt.Add(gap)
		}
	}
	r.ticked = now
	for id, e := range r.entries {
		if now.Sub(e.heardAt) >= r.options.Silence {
			gone = append(gone, id)
		}
	}
	for _, id := range gone {
		e := r.entries[id]
		r.remove(now, e)
		delete(r.ended, id) // it may only have been cut off
	}
	for id, p := range r.ended {
		if now.Sub(p.at) >= r.options.Past {
			delete(r.ended, id)
		}
	}
	return gone
}

// Revision rises with each change that entries have to know.
func (r *Roster) Revision() uint64 { return r.revision }

// Endpoints returns all endpoints in the order of their identities.
func (r *Roster) Endpoints() (list []report.Endpoint) {
	for _, e := range r.entries {
		list = append(list, e.endpoint())
	}
	slices.SortFunc(list, func(a, b report.Endpoint) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// Endpoint returns what entries are told of an endpoint.
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
		Born: e.Born, Leaving: e.Leaving, Models: e.Models,
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
