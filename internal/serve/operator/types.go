package operator

import (
	"net/netip"
	"time"

	"lycheevale/internal/base/refusal"
	"lycheevale/internal/state/registry"
)

// Outcome is the result of a change, with the instances that applied it.
type Outcome struct {
	registry.Result
	InForce   []string `json:"InForce,omitempty"`
	Unreached []string `json:"Unreached,omitempty"` // not reached or not confirmed before the deadline
}

// Change is the body of a change; a resend must carry the same RequestID.
type Change struct {
	RequestID        string            `json:"RequestID"`
	ExpectedRevision uint64            `json:"ExpectedRevision,omitempty"` // 0 accepts any revision
	DryRun           bool              `json:"DryRun,omitempty"`
	Changes          []registry.Object `json:"Changes"`
}

// Action is what a change does to one object.
type Action string

// Actions of a change.
const (
	ActionCreate Action = "Create"
	ActionUpdate Action = "Update"
	ActionDelete Action = "Delete"
	ActionNone   Action = "None"
)

// Effect is what a change does to one object.
type Effect struct {
	Kind   registry.Kind `json:"Kind"`
	Name   string        `json:"Name"`
	Action Action        `json:"Action"`
}

// ChangeAnswer answers a change; for a dry run Revision is the one it was checked against.
type ChangeAnswer struct {
	RequestID string `json:"RequestID"`
	DryRun    bool   `json:"DryRun,omitempty"`
	Outcome
	Effects []Effect `json:"Effects,omitempty"` // relative to the state that this instance had before
}

// KeyRequest requests a new key. With ID and Hash the client has generated the secret, and a resend is
// safe; otherwise the instance generates it.
type KeyRequest struct {
	RequestID string `json:"RequestID"`
	Customer  string `json:"Customer"`
	ID        string `json:"ID,omitempty"`
	Hash      string `json:"Hash,omitempty"` // hexadecimal SHA-256 of the secret
}

// KeyAnswer answers a KeyRequest; Key is returned only here, and only if the instance generated it.
type KeyAnswer struct {
	RequestID string `json:"RequestID"`
	ID        string `json:"ID"`
	Customer  string `json:"Customer"`
	Key       string `json:"Key,omitempty"`
	Outcome
}

// WithdrawRequest is the body of a withdrawal.
type WithdrawRequest struct {
	RequestID string `json:"RequestID"`
}

// Objects answers a request for objects; Revision is at most the revision of the objects.
type Objects struct {
	Revision uint64            `json:"Revision"`
	Objects  []registry.Object `json:"Objects"`
}

// Limit is a customer's limit with the shares of the data centres.
type Limit struct {
	Customer string           `json:"Customer"`
	Rate     float64          `json:"Rate"`  // tokens per second
	Burst    float64          `json:"Burst"` // tokens
	Shares   []registry.Share `json:"Shares,omitempty"`
}

// Limits answers a request for limits.
type Limits struct {
	Revision uint64  `json:"Revision"`
	Limits   []Limit `json:"Limits"`
}

// Member is the state of another instance as seen by the instance that answers.
type Member struct {
	Name       string         `json:"Name"`
	DataCentre string         `json:"DataCentre"`
	Address    netip.AddrPort `json:"Address"`
	Roles      []string       `json:"Roles,omitempty"`
	Reachable  bool           `json:"Reachable"`
	Revision   uint64         `json:"Revision"` // last revision that it confirmed
}

// Status is the state of the instance that answers.
type Status struct {
	Instance    string    `json:"Instance"`
	DataCentre  string    `json:"DataCentre"`
	Region      string    `json:"Region"`
	Version     string    `json:"Version"`
	Started     time.Time `json:"Started"`
	Ready       bool      `json:"Ready"`
	Draining    bool      `json:"Draining,omitempty"`
	Revision    uint64    `json:"Revision"`
	Leader      string    `json:"Leader,omitempty"`      // of the configuration log
	Coordinator string    `json:"Coordinator,omitempty"` // of this data centre
	VoterHeard  time.Time `json:"VoterHeard"`            // last contact with a voter's feed
	Owned       int       `json:"Owned"`                 // endpoints that this instance owns
	Members     []Member  `json:"Members,omitempty"`
}

// Endpoint is an endpoint as seen by the instance that answers.
type Endpoint struct {
	Name        string         `json:"Name"`
	Service     string         `json:"Service"`
	Model       string         `json:"Model,omitempty"`
	DataCentre  string         `json:"DataCentre"`
	Address     netip.AddrPort `json:"Address"`
	State       string         `json:"State"`
	Owner       string         `json:"Owner,omitempty"`
	Incarnation uint64         `json:"Incarnation"`
	Slots       int            `json:"Slots,omitempty"`
	Resident    int            `json:"Resident,omitempty"` // adapters in slots
	Running     int            `json:"Running"`
	Queued      int            `json:"Queued"`
	Reported    time.Time      `json:"Reported"` // last load report
}

// Endpoints answers a request for endpoints.
type Endpoints struct {
	Endpoints []Endpoint `json:"Endpoints"`
}

// WatchEvent holds the objects written by the revisions up to Revision.
type WatchEvent struct {
	Revision uint64            `json:"Revision"`
	Objects  []registry.Object `json:"Objects"`
}

// ErrorDetail is a refusal in the format of this API.
type ErrorDetail struct {
	Code    refusal.Code `json:"Code"`
	Ran     refusal.Ran  `json:"Ran"`
	Message string       `json:"Message"`
	RetryAt *time.Time   `json:"RetryAt,omitempty"`
	Faults  []Fault      `json:"Faults,omitempty"`
	// Decided reports whether the log has decided; the decision applies to every request with the same
	// RequestID.
	Decided bool `json:"Decided,omitempty"`
}

// ErrorAnswer is the body of every answer with a status of 400 or more.
type ErrorAnswer struct {
	Error    ErrorDetail `json:"Error"`
	Revision uint64      `json:"Revision,omitempty"` // current revision, with Conflict
}
