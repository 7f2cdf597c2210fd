package scheduler

import "time"

// AdapterRef names one version of an adapter; the zero value is the base model.
type AdapterRef struct {
	Adapter string `json:"Adapter"`
	Version string `json:"Version"`
}

// Base tells whether the reference is the base model, which needs no slot.
func (a AdapterRef) Base() bool { return a.Adapter == "" }

// Request is one request that waits for an endpoint.
type Request struct {
	ID           string // attempt identifier, unique
	Customer     string
	Model        string
	Adapter      AdapterRef
	PrefixHash   uint64 // 0 when unknown
	PromptTokens int
	MaxTokens    int
	Priority     int // higher first within a customer and passed to the engine
	Arrived      time.Time
	Deadline     time.Time
	Endpoint     string // the only endpoint allowed, empty for any
}

// Cost returns the upper bound of the tokens that the request uses.
func (r Request) Cost() int { return r.PromptTokens + r.MaxTokens }

// Endpoint is what the owner knows of an engine when it is added or its state is read anew.
type Endpoint struct {
	Name        string
	Model       string
	Incarnation uint64
	Slots       int // adapters resident at once
	BatchSize   int // requests decoded at once
	Resident    []AdapterRef
	Draining    bool
}

// Finish tells that a dispatched request ended.
type Finish struct {
	ID     string
	Tokens int  // prompt and output tokens used
	Failed bool // the endpoint did not complete it
}

// LoadResult tells that an ordered load ended.
type LoadResult struct {
	Endpoint    string
	Adapter     AdapterRef
	Incarnation uint64
	Failed      bool
}

// LoadReport is an engine's own report; it lags, so the owner's count goes before it.
type LoadReport struct {
	Endpoint    string
	Incarnation uint64
	Running     int
	Waiting     int
	At          time.Time // when the engine measured it
	Resident    []AdapterRef
}

// ActionKind names what the owner must do.
type ActionKind string

// Kinds of actions.
const (
	Dispatch ActionKind = "Dispatch"
	Load     ActionKind = "Load"
	Unload   ActionKind = "Unload"
	Refuse   ActionKind = "Refuse"
)

// Action is one decision of the scheduler.
type Action struct {
	Kind     ActionKind
	ID       string // request, for Dispatch and Refuse
	Endpoint string
	Adapter  AdapterRef // for Load and Unload
	Evict    AdapterRef // for Load, zero when a slot is free
	Err      error      // for Refuse
}
