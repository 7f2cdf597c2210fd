// Package registry holds the configuration objects and the state machine that applies changes to them.
package registry

import (
	"crypto/sha256"
	"encoding/hex"
	"net/netip"
	"time"
)

// Kind names a kind of configuration object.
type Kind string

// Kinds of configuration objects.
const (
	KindCustomer Kind = "Customer"
	KindKey      Kind = "Key"
	KindModel    Kind = "Model"
	KindAdapter  Kind = "Adapter"
	KindVersion  Kind = "Version"
	KindService  Kind = "Service"
	KindVoter    Kind = "Voter"
	KindShare    Kind = "Share"
	// KindQuarantine is unknown to voters of earlier releases, which refuse its changes; other instances pass over its objects.
	KindQuarantine Kind = "Quarantine"
)

// Object is one configuration object; exactly the spec that Kind names is set, none when Deleted.
type Object struct {
	Kind     Kind      `json:"Kind"`
	Name     string    `json:"Name"`
	Revision uint64    `json:"Revision,omitempty"` // revision of the change that wrote it
	Deleted  bool      `json:"Deleted,omitempty"`
	Customer *Customer `json:"Customer,omitempty"`
	Key      *Key      `json:"Key,omitempty"`
	Model    *Model    `json:"Model,omitempty"`
	Adapter  *Adapter  `json:"Adapter,omitempty"`
	Version  *Version  `json:"Version,omitempty"`
	Service  *Service  `json:"Service,omitempty"`
	Voter    *Voter    `json:"Voter,omitempty"`
	Share    *Share    `json:"Share,omitempty"`

	Quarantine *Quarantine `json:"Quarantine,omitempty"`
}

// Withdraws reports whether the object withdraws or deletes a key.
func (o Object) Withdraws() bool {
	return o.Kind == KindKey && (o.Deleted || (o.Key != nil && o.Key.Withdrawn))
}

// Customer is a party whose requests are limited and accounted together.
type Customer struct {
	Rate       float64 `json:"Rate"`  // tokens per second over the whole fleet
	Burst      float64 `json:"Burst"` // tokens
	Priority   int     `json:"Priority,omitempty"`
	StrictKeys bool    `json:"StrictKeys,omitempty"` // refuse requests with a key while recent withdrawals may be missing
}

// Key is a key issued to a caller; the Name of its object is the public identifier.
type Key struct {
	Customer  string `json:"Customer"`
	Hash      string `json:"Hash"` // hexadecimal SHA-256 of the secret
	Withdrawn bool   `json:"Withdrawn,omitempty"`
}

// Model is a base model.
type Model struct{}

// Adapter is a LoRA adapter of one customer.
type Adapter struct {
	Customer       string `json:"Customer"`
	Model          string `json:"Model"`
	DefaultVersion string `json:"DefaultVersion"`
	Open           bool   `json:"Open,omitempty"` // usable by every caller
}

// VersionState determines whether new requests may use a version.
type VersionState string

// States of a version.
const (
	VersionActive    VersionState = "Active"
	VersionWithdrawn VersionState = "Withdrawn"
)

// Version is one immutable version of an adapter; its object is named adapter@version.
type Version struct {
	Adapter string       `json:"Adapter"`
	Source  string       `json:"Source"` // identifier in the weight store
	State   VersionState `json:"State"`
}

// ServiceKind determines how requests of a service are routed.
type ServiceKind string

// Kinds of services.
const (
	ServiceModel ServiceKind = "Model" // routed by the model field
	ServicePlain ServiceKind = "Plain" // routed by method and path
)

// Service is a set of endpoints behind one name.
type Service struct {
	Kind      ServiceKind `json:"Kind"`
	Model     string      `json:"Model,omitempty"`
	Routes    []Route     `json:"Routes,omitempty"`
	Objective Objective   `json:"Objective"`
}

// Route is a path of a plain service.
type Route struct {
	Method     string `json:"Method"`
	Path       string `json:"Path"`
	Open       bool   `json:"Open,omitempty"`
	Idempotent bool   `json:"Idempotent,omitempty"`
}

// Objective is the service level objective that the burn report compares the service with.
type Objective struct {
	Availability float64 `json:"Availability"` // share of requests, 0 to 1
	FirstTokenMS int     `json:"FirstTokenMS"` // milliseconds, 95th percentile
}

// Voter is an instance that stores the replicated logs.
type Voter struct {
	Address    netip.AddrPort `json:"Address"`
	DataCentre string         `json:"DataCentre"`
}

// Share is the part of a customer's limit that one data centre may use; its object is named customer/data centre.
type Share struct {
	Customer   string  `json:"Customer"`
	DataCentre string  `json:"DataCentre"`
	Rate       float64 `json:"Rate"`  // tokens per second
	Burst      float64 `json:"Burst"` // tokens
	Epoch      uint64  `json:"Epoch"`
	Confirmed  bool    `json:"Confirmed"` // the data centre has applied this epoch
}

// Quarantine is a signature of requests that no endpoint gets, because endpoints crash when they begin to run such a request.
// Its object has the name QuarantineName.
type Quarantine struct {
	Service   string `json:"Service,omitempty"` // plain service or base model; empty for an exact request
	Signature string `json:"Signature"`
}

// QuarantineName returns the name of the object of a quarantined signature.
func QuarantineName(q Quarantine) string {
	sum := sha256.Sum256([]byte(q.Service + "\x00" + q.Signature))
	return hex.EncodeToString(sum[:16])
}

// Command is a change of one or more objects that is applied atomically.
type Command struct {
	RequestID        string    `json:"RequestID"`
	ExpectedRevision uint64    `json:"ExpectedRevision,omitempty"` // 0 accepts any revision
	Operator         string    `json:"Operator"`
	At               time.Time `json:"At"`
	Changes          []Object  `json:"Changes"`
}

// Result answers a command; a resend with the same RequestID receives the first result again.
type Result struct {
	Revision uint64    `json:"Revision"`
	Error    string    `json:"Error,omitempty"`
	Conflict bool      `json:"Conflict,omitempty"` // ExpectedRevision was no longer current
	Code     ErrorCode `json:"Code,omitempty"`
	Object   ID        `json:"Object,omitzero"` // object that caused the rejection
}
