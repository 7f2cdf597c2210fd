package directory

import (
	"net/netip"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("directory")

// Errors of Directory.Announce and Directory.Heartbeat; test with errors.Is.
var (
	ErrInvalid         = errs.New("announcement is not valid")
	ErrOutdated        = errs.New("a newer incarnation is known")
	ErrConflict        = errs.New("the same incarnation is known at another address")
	ErrWrongDataCentre = errs.New("announcement belongs to another data centre")
	ErrFull            = errs.New("directory is full")
	ErrIncomplete      = errs.New("address or incarnation is missing")
)

// Kind distinguishes model engines from plain services.
type Kind string

// Kinds of endpoints.
const (
	Engine Kind = "Engine"
	Plain  Kind = "Plain"
)

// Announcement is the state of an endpoint as announced by the endpoint. Incarnation increases with each
// restart of the endpoint. HighestFence is the highest fencing number in any command that it has accepted.
type Announcement struct {
	Name          string         `json:"Name"`
	DataCentre    string         `json:"DataCentre"`
	Address       netip.AddrPort `json:"Address"`
	Incarnation   uint64         `json:"Incarnation"`
	Kind          Kind           `json:"Kind"`
	Service       string         `json:"Service,omitempty"`
	Model         string         `json:"Model,omitempty"`
	Slots         int            `json:"Slots,omitempty"`
	BatchSize     int            `json:"BatchSize,omitempty"`
	ChecksFencing bool           `json:"ChecksFencing,omitempty"`
	HighestFence  uint64         `json:"HighestFence,omitempty"`
	Leaving       bool           `json:"Leaving,omitempty"`
}

// State is the state of an endpoint in its life cycle.
type State string

// States of an endpoint. An endpoint drains after it announced that it is leaving.
const (
	Serving  State = "Serving"
	Draining State = "Draining"
)

// Endpoint is a known endpoint. The entry is removed at Deadline unless it is announced again;
// NoWorkAfter is zero unless the endpoint is leaving.
type Endpoint struct {
	Announcement
	State       State
	Deadline    time.Time
	NoWorkAfter time.Time
}

// AcceptsWork reports whether the endpoint may get new work at now.
func (e Endpoint) AcceptsWork(now time.Time) bool {
	if !now.Before(e.Deadline) {
		return false
	}
	return e.State == Serving || now.Before(e.NoWorkAfter)
}

// Instance is a known instance of the data centre; the entry is removed at Deadline.
type Instance struct {
	Name        string         `json:"Name"`
	Address     netip.AddrPort `json:"Address"`
	Incarnation uint64         `json:"Incarnation"`
	Leaving     bool           `json:"Leaving,omitempty"`
	Deadline    time.Time      `json:"-"`
}

// Snapshot is the content of a directory, sorted by name.
type Snapshot struct {
	Endpoints []Endpoint
	Instances []Instance
}

// Removed names the entries that a call of Expire removed.
type Removed struct {
	Endpoints []string
	Instances []string
}
