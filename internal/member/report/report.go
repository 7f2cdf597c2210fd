// Package report defines what entries and the leader tell each other: an entry reports its use several times a second, and
// the answer brings it up to date.
package report

import (
	"net/netip"
	"time"

	"lycheevale/internal/limit/quota"
	"lycheevale/internal/place/residency"
)

// Methods of the leader. A control instance that does not lead answers with the leader it knows.
const (
	SyncMethod     = "Fleet.Sync"
	PlaceMethod    = "Fleet.Want"
	BorrowMethod   = "Fleet.Borrow"
	LendMethod     = "Fleet.Lend" // of an entry that is a deputy
	AnnounceMethod = "Fleet.Announce"
	GossipMethod   = "Fleet.Gossip"
	ReadMethod     = "Fleet.Read"
)

// Entry is the report of an entry.
type Entry struct {
	Name       string               `json:"Name"`
	Address    netip.Addr           `json:"Address"`
	DataCentre string               `json:"DataCentre"`
	Deputies   uint64               `json:"Deputies,omitempty"` // revision of the deputies known, as the leader of Term counts
	Term       uint64               `json:"Term,omitempty"`     // of the leader that Placement counts for
	Document   uint64               `json:"Document,omitempty"` // version in effect
	Adapters   uint64               `json:"Adapters,omitempty"` // changes of adapter versions known
	Directory  uint64               `json:"Directory,omitempty"`
	Placement  uint64               `json:"Placement,omitempty"` // next event of the placement
	Active     map[string]int       `json:"Active,omitempty"`    // requests that run, by endpoint
	Uses       []residency.Use      `json:"Uses,omitempty"`
	Customers  map[string]quota.Use `json:"Customers,omitempty"`
	Known      []KnownEndpoint      `json:"Known,omitempty"` // if the leader has asked to be told
}

// KnownEndpoint is what an entry knows of an endpoint from an earlier leader.
type KnownEndpoint struct {
	Endpoint Endpoint            `json:"Endpoint"`
	Holdings []residency.Holding `json:"Holdings,omitempty"`
}

// Update answers an Entry. Parts that the entry has already are left out.
type Update struct {
	Leading      bool                   `json:"Leading"`
	Leader       string                 `json:"Leader,omitempty"` // if another instance leads
	Instances    []string               `json:"Instances,omitempty"`
	Term         uint64                 `json:"Term,omitempty"`
	Document     uint64                 `json:"Document,omitempty"`
	Content      []byte                 `json:"Content,omitempty"` // packed document
	AdapterCount uint64                 `json:"AdapterCount,omitempty"`
	Adapters     []Version              `json:"Adapters,omitempty"` // all of them
	Directory    uint64                 `json:"Directory,omitempty"`
	Endpoints    []Endpoint             `json:"Endpoints,omitempty"` // all of them, if Directory has changed
	Partial      bool                   `json:"Partial,omitempty"`   // a new leader may not know all endpoints yet
	Tell         bool                   `json:"Tell,omitempty"`      // the next report is to hold what the entry knows of endpoints
	Placement    uint64                 `json:"Placement,omitempty"`
	Reset        bool                   `json:"Reset,omitempty"` // Events replace everything
	Events       []residency.Event      `json:"Events,omitempty"`
	Running      []int                  `json:"Running,omitempty"`      // requests that run at each endpoint, in the order of the list of Directory
	Grants       map[string]quota.Grant `json:"Grants,omitempty"`       // by customer
	DeputyChange uint64                 `json:"DeputyChange,omitempty"` // revision of Deputies
	Deputies     []Deputy               `json:"Deputies,omitempty"`     // all of them, if their revision has changed
	Entries      int                    `json:"Entries,omitempty"`
	EveryMillis  int64                  `json:"EveryMillis,omitempty"` // time between two reports
}

// Deputy is an entry that lends tokens while no leader answers.
type Deputy struct {
	_ struct{} `cbor:",toarray"`

	Address    netip.Addr `json:"Address"`
	DataCentre string     `json:"DataCentre"`
}

// Version is the newest version of an adapter.
type Version struct {
	_ struct{} `cbor:",toarray"`

	residency.Adapter
	Version int `json:"Version"`
}

// Endpoint is what entries know of an endpoint.
type Endpoint struct {
	_ struct{} `cbor:",toarray"`

	ID         string         `json:"ID"`
	Service    string         `json:"Service"`
	DataCentre string         `json:"DataCentre"`
	Address    netip.AddrPort `json:"Address"`
	Slots      int            `json:"Slots"`
	Born       int64          `json:"Born"` // Unix milliseconds of the start of its life
	Leaving    bool           `json:"Leaving,omitempty"`
	Models     []string       `json:"Models,omitempty"`
}

// PlacementRequest asks the leader to place an adapter.
type PlacementRequest struct {
	Adapter    residency.Adapter `json:"Adapter"`
	DataCentre string            `json:"DataCentre"`
	Replicate  bool              `json:"Replicate,omitempty"` // another copy, since those there are too busy
	Avoid      []string          `json:"Avoid,omitempty"`     // endpoints that have failed the request
	Missing    string            `json:"Missing,omitempty"`   // endpoint that answered that it does not hold the adapter
}

// PlacementReply answers Want.
type PlacementReply struct {
	Leading  bool     `json:"Leading"`
	Leader   string   `json:"Leader,omitempty"`
	Endpoint string   `json:"Endpoint,omitempty"` // "" if no endpoint has room
	Details  Endpoint `json:"Details,omitzero"`   // of Endpoint, which the entry may not know yet
	Version  int      `json:"Version,omitempty"`
	InMillis int64    `json:"InMillis,omitempty"` // milliseconds from the answer until requests can be sent
}

// LoanRequest asks the leader to admit requests of a customer.
type LoanRequest struct {
	Customer string    `json:"Customer"`
	Requests []float64 `json:"Requests"` // tokens of each
}

// LoanReply answers Loan.
type LoanReply struct {
	Leading  bool   `json:"Leading"`
	Admitted []bool `json:"Admitted,omitempty"` // in the order of Loan.Requests
	InMillis int64  `json:"InMillis,omitempty"` // milliseconds until those that were not admitted may come back
}

// Add appends the decision on the next request; retryAt counts where it was not admitted.
func (l *LoanReply) Add(now, retryAt time.Time, admitted bool) {
	l.Admitted = append(l.Admitted, admitted)
	if !admitted {
		l.InMillis = max(l.InMillis, retryAt.Sub(now).Milliseconds())
	}
}
