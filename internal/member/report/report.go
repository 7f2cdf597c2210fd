// Package report defines the messages between entries and the leader. An entry reports its use several times a second, and
// the answer contains what has changed since.
package report

import (
	"net/netip"
	"time"

	"lycheevale/internal/limit/ceiling"
	"lycheevale/internal/limit/quota"
	"lycheevale/internal/place/origin"
	"lycheevale/internal/place/quarantine"
	"lycheevale/internal/place/residency"
)

// Methods of the leader. A control instance that does not lead answers with the leader that it knows.
const (
	SyncMethod     = "Fleet.Sync"
	PlaceMethod    = "Fleet.Want"
	BorrowMethod   = "Fleet.Borrow"
	OriginMethod   = "Fleet.Origin"
	LendMethod     = "Fleet.Lend" // method of a deputy
	AnnounceMethod = "Fleet.Announce"
	GossipMethod   = "Fleet.Gossip"
	ReadMethod     = "Fleet.Read"
)

// Entry is the periodic report of an entry.
type Entry struct {
	Name       string               `json:"Name"`
	Address    netip.Addr           `json:"Address"`
	DataCentre string               `json:"DataCentre"`
	Deputies   uint64               `json:"Deputies,omitempty"` // known revision of the deputies, in Term
	Term       uint64               `json:"Term,omitempty"`     // term of the leader that sent the last update
	Document   uint64               `json:"Document,omitempty"` // version in effect
	Adapters   uint64               `json:"Adapters,omitempty"` // last known AdapterCount
	Directory  uint64               `json:"Directory,omitempty"`
	Placement  uint64               `json:"Placement,omitempty"` // next event of the placement
	Active     map[string]int       `json:"Active,omitempty"`    // running requests by endpoint
	Backlog    map[string]int       `json:"Backlog,omitempty"`   // milliseconds to read the prompts of requests that have not begun, by endpoint
	Uses       []residency.Use      `json:"Uses,omitempty"`
	Answers    []residency.Use      `json:"Answers,omitempty"` // Count is the number of answers that have begun since the last report
	Customers  map[string]quota.Use `json:"Customers,omitempty"`
	Known      []KnownEndpoint      `json:"Known,omitempty"`   // set if the leader has asked for it with Tell
	Leaving    []Departure          `json:"Leaving,omitempty"` // endpoints that have stated in an answer that they leave, unless the leader's list states it
	Crashes    []quarantine.Crash   `json:"Crashes,omitempty"`
	Begins     []quarantine.Begin   `json:"Begins,omitempty"`     // of the suspects
	Suspects   uint64               `json:"Suspects,omitempty"`   // known revision of the suspects
	Quarantine uint64               `json:"Quarantine,omitempty"` // known revision of the quarantined signatures
	// Ceilings lists the rates that endpoints have named, as far as known here, and EndpointUses the use of shares of them, by endpoint.
	Ceilings        []ceiling.Named      `json:"Ceilings,omitempty"`
	CeilingRevision uint64               `json:"CeilingRevision,omitempty"` // known revision of the leader's list, in Term
	EndpointUses    map[string]quota.Use `json:"EndpointUses,omitempty"`
	Versions        uint64               `json:"Versions,omitempty"` // known VersionsRevision, in Term
	// Streams lists streams that have begun at services with several software versions, unless the leader has confirmed them.
	Streams []origin.Stream `json:"Streams,omitempty"`
	// Refused counts requests since the last report, by identifier of a quarantined signature.
	Refused map[string]quarantine.Refusals `json:"Refused,omitempty"`
	// Waiting lists the held exact requests of which copies wait for a turn.
	Waiting []string `json:"Waiting,omitempty"`
}

// KnownEndpoint is an endpoint that an earlier leader has listed to an entry, with the adapters that it holds.
type KnownEndpoint struct {
	Endpoint Endpoint            `json:"Endpoint"`
	Software string              `json:"Software,omitempty"`
	Holdings []residency.Holding `json:"Holdings,omitempty"`
}

// VersionsLease is the time after the leader's last answer for which an entry takes its list of software versions as complete: several intervals of
// reports, and the time without a leader after most of its failures.
const VersionsLease = 3 * time.Second

// Update answers an Entry. Parts that the entry already has are left out.
type Update struct {
	Leading      bool                   `json:"Leading"`
	Leader       string                 `json:"Leader,omitempty"` // set if another instance leads
	Instances    []string               `json:"Instances,omitempty"`
	Term         uint64                 `json:"Term,omitempty"`
	Document     uint64                 `json:"Document,omitempty"`
	Content      []byte                 `json:"Content,omitempty"` // packed document
	AdapterCount uint64                 `json:"AdapterCount,omitempty"`
	Adapters     []Version              `json:"Adapters,omitempty"` // all adapters
	Directory    uint64                 `json:"Directory,omitempty"`
	Endpoints    []Endpoint             `json:"Endpoints,omitempty"` // all endpoints, if Directory has changed
	Software     []string               `json:"Software,omitempty"`  // of each of the Endpoints; omitted if none names its software
	Partial      bool                   `json:"Partial,omitempty"`   // a new leader may not know all endpoints yet
	Departed     []Departure            `json:"Departed,omitempty"`  // with Endpoints, if the list is partial
	Tell         bool                   `json:"Tell,omitempty"`      // the next report must contain Known
	Placement    uint64                 `json:"Placement,omitempty"`
	Reset        bool                   `json:"Reset,omitempty"` // Events replace everything
	Events       []residency.Event      `json:"Events,omitempty"`
	Running      []int                  `json:"Running,omitempty"`      // running requests of each endpoint, in the order of Endpoints for this Directory
	Backlog      []int                  `json:"Backlog,omitempty"`      // milliseconds to read the waiting prompts of all entries, in the same order
	Grants       map[string]quota.Grant `json:"Grants,omitempty"`       // by customer
	DeputyChange uint64                 `json:"DeputyChange,omitempty"` // revision of Deputies
	Deputies     []Deputy               `json:"Deputies,omitempty"`     // all deputies, if their revision has changed
	Versions     map[string][]string    `json:"Versions,omitempty"`     // software versions that may have begun streams, by service
	Entries      int                    `json:"Entries,omitempty"`

	VersionsRevision uint64 `json:"VersionsRevision,omitempty"` // of Versions
	EveryMillis      int64  `json:"EveryMillis,omitempty"`      // interval of reports in milliseconds

	CeilingRevision uint64                 `json:"CeilingRevision,omitempty"`
	Ceilings        []ceiling.Named        `json:"Ceilings,omitempty"`       // all rates that endpoints have named, if their revision has changed
	EndpointGrants  map[string]quota.Grant `json:"EndpointGrants,omitempty"` // shares of these rates, by endpoint; only those of deputies

	SuspectRevision    uint64                 `json:"SuspectRevision,omitempty"`
	Suspects           []quarantine.Signature `json:"Suspects,omitempty"` // signatures whose begins are to be reported, if their revision has changed
	QuarantineRevision uint64                 `json:"QuarantineRevision,omitempty"`
	Quarantine         []quarantine.Signature `json:"Quarantine,omitempty"` // all quarantined signatures, if their revision has changed
	Trials             []string               `json:"Trials,omitempty"`     // identifiers of quarantined signatures that one request each may try
	Held               []string               `json:"Held,omitempty"`       // exact requests of which only one copy at a time may be sent
	Turns              []string               `json:"Turns,omitempty"`      // of these, the ones of which the entry may send one copy now
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

// Endpoint describes an endpoint to entries.
type Endpoint struct {
	_ struct{} `cbor:",toarray"`

	ID         string         `json:"ID"`
	Service    string         `json:"Service"`
	DataCentre string         `json:"DataCentre"`
	Address    netip.AddrPort `json:"Address"`
	Slots      int            `json:"Slots"`
	Born       int64          `json:"Born"` // start time of this incarnation in Unix milliseconds
	Leaving    bool           `json:"Leaving,omitempty"`
	Models     []string       `json:"Models,omitempty"`
	Software   string         `json:"Software,omitempty" cbor:"-"` // Update and KnownEndpoint hold it apart, for instances of earlier releases
}

// Departure states that an endpoint accepts no more work. It applies to all incarnations of the endpoint up to one.
type Departure struct {
	_ struct{} `cbor:",toarray"`

	ID   string `json:"ID"`
	Born int64  `json:"Born"`           // start time of the last incarnation in Unix milliseconds, 0 if it is not known
	Gone bool   `json:"Gone,omitempty"` // it has left; otherwise it is leaving, and its answers may still arrive
}

// Covers reports whether a departure applies to an incarnation that has not announced itself since.
func (d Departure) Covers(id string, born int64) bool {
	return d.ID == id && (d.Born == 0 || born <= d.Born)
}

// PlacementRequest asks the leader to choose an endpoint for an adapter.
type PlacementRequest struct {
	Adapter    residency.Adapter `json:"Adapter"`
	DataCentre string            `json:"DataCentre"`
	Replicate  bool              `json:"Replicate,omitempty"` // load another copy, because the endpoints that hold the adapter are too busy
	Avoid      []string          `json:"Avoid,omitempty"`     // endpoints on which the request has failed
	Missing    string            `json:"Missing,omitempty"`   // endpoint that answered that it does not hold the adapter
}

// PlacementReply answers a PlacementRequest.
type PlacementReply struct {
	Leading  bool     `json:"Leading"`
	Leader   string   `json:"Leader,omitempty"`
	Endpoint string   `json:"Endpoint,omitempty"` // empty if no endpoint has room
	Details  Endpoint `json:"Details,omitzero"`   // description of Endpoint, which the entry may not know yet
	Version  int      `json:"Version,omitempty"`
	InMillis int64    `json:"InMillis,omitempty"` // milliseconds from this reply until requests can be sent
}

// OriginRequest asks the leader which software version of a service began a stream.
type OriginRequest struct {
	Service string `json:"Service"`
	Attempt string `json:"Attempt"` // the caller's attempt that brought the first event
}

// OriginReply answers an OriginRequest.
type OriginReply struct {
	Leading  bool             `json:"Leading"`
	Leader   string           `json:"Leader,omitempty"`
	Known    bool             `json:"Known"`
	Software *origin.Software `json:"Software,omitempty"` // set if Known
	Versions []string         `json:"Versions,omitempty"` // that may have begun streams of the service
}

// LoanRequest asks the leader to admit requests of a customer, or requests to an endpoint that has named a rate.
type LoanRequest struct {
	Customer string    `json:"Customer,omitempty"`
	Endpoint string    `json:"Endpoint,omitempty"`
	Requests []float64 `json:"Requests"` // tokens of each request
	// Precedence holds that of each request; omitted if all are of quota.Later.
	Precedence []quota.Precedence `json:"Precedence,omitempty"`
}

// Order returns the precedence of a request.
func (l LoanRequest) Order(i int) quota.Precedence {
	if i >= len(l.Precedence) {
		return quota.Later
	}
	return l.Precedence[i]
}

// LoanReply answers a LoanRequest.
type LoanReply struct {
	Leading  bool   `json:"Leading"`
	Admitted []bool `json:"Admitted,omitempty"` // in the order of LoanRequest.Requests
	InMillis int64  `json:"InMillis,omitempty"` // milliseconds until the requests that were not admitted may be retried
}

// Add appends the decision on the next request. If it was not admitted, InMillis is raised to the time until retryAt.
func (l *LoanReply) Add(now, retryAt time.Time, admitted bool) {
	l.Admitted = append(l.Admitted, admitted)
	if !admitted {
		l.InMillis = max(l.InMillis, retryAt.Sub(now).Milliseconds())
	}
}
