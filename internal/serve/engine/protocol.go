// Package engine is the client of the protocol that model endpoints speak: completions as server-sent events,
// state, control commands, cancellation, resume and probes over HTTP.
package engine

import (
	"time"

	"lycheevale/internal/member/directory"
)

// Header names of the engine protocol.
const (
	HeaderAttempt  = "X-Attempt-Id" // sent by the client and echoed by the engine
	HeaderModel    = "X-Served-Model"
	HeaderPriority = "X-Priority"
	HeaderDeadline = "X-Deadline"      // RFC 3339 with nanoseconds
	HeaderNotRun   = "X-Not-Run"       // "true" on a rejection of a request that was not started
	HeaderEventID  = "Last-Event-ID"   // last event received, on resume
	HeaderEndpoint = "X-Endpoint"      // endpoint that serves the attempt, set by owners
	HeaderView     = "X-Endpoint-View" // scheduler.View as JSON, set by owners
)

// DoneMarker is the data of the event that ends a complete stream.
const DoneMarker = "[DONE]"

// Announcement is what an endpoint posts to any instance of its data centre about once a second.
type Announcement = directory.Announcement

// Kinds of endpoints.
const (
	KindEngine = directory.Engine
	KindPlain  = directory.Plain
)

// State is an engine's state or load report, as reported by the engine.
type State struct {
	Name         string         `json:"Name"`
	Incarnation  uint64         `json:"Incarnation"`
	Model        string         `json:"Model"`
	Role         string         `json:"Role"`
	Slots        int            `json:"Slots"`
	BatchSize    int            `json:"BatchSize"`
	Resident     []string       `json:"Resident"` // adapter@version
	InUse        map[string]int `json:"InUse"`    // running requests by adapter@version
	Running      int            `json:"Running"`
	Waiting      int            `json:"Waiting"`
	HighestFence uint64         `json:"HighestFence"`
	MeasuredAt   time.Time      `json:"MeasuredAt"`
}

// CommandKind names a control command.
type CommandKind string

// Kinds of control commands.
const (
	LoadAdapter   CommandKind = "LoadAdapter"
	UnloadAdapter CommandKind = "UnloadAdapter"
	LoadModel     CommandKind = "LoadModel"
	ChangeRole    CommandKind = "ChangeRole"
)

// Command is a control command; the engine runs commands with the same ID only once.
type Command struct {
	ID       string      `json:"ID"`
	Kind     CommandKind `json:"Kind"`
	Fence    uint64      `json:"Fence"`
	Deadline time.Time   `json:"Deadline"`
	Target   string      `json:"Target"`          // adapter@version, model or role
	Evict    string      `json:"Evict,omitempty"` // adapter@version to unload first
	Source   string      `json:"Source,omitempty"`
}

// Attempt is one try to run a completion.
type Attempt struct {
	ID       string
	Path     string // /v1/completions or /v1/chat/completions
	Model    string // adapter@version or base model
	Priority int
	Deadline time.Time
	Body     []byte
	Header   map[string][]string // additional headers
}

// Event is one event of a stream; Seq counts from 1. Data is valid until the next event is read.
type Event struct {
	Seq  uint64
	Data []byte
}
