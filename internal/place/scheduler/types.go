package scheduler

import "time"

// AdapterRef names one version of an adapter; the zero value is the base model.
type AdapterRef struct {
	Adapter string `json:"Adapter"`
	Version string `json:"Version"`
}

// IsBase reports whether the reference is the base model, which needs no slot.
func (a AdapterRef) IsBase() bool { return a.Adapter == "" }

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
	Deadline     time.Time // latest time of dispatch
	Endpoint     string    // the only endpoint allowed, empty for any
	Preferred    string    // the entry's choice; a load for the request prefers it at similar cost
}

// Cost returns the upper bound of the tokens that the request uses.
func (r Request) Cost() int { return r.PromptTokens + r.MaxTokens }

// Endpoint is the state of an engine when it is added or its state is read again.
type Endpoint struct {
	Name        string
	Model       string
	Incarnation uint64
	Slots       int // adapters resident at once
	BatchSize   int // requests decoded at once
	Resident    []AdapterRef
	Draining    bool
	Fence       uint64 // fencing number of the ownership, copied into every action for the endpoint
}

// Finish reports that a dispatched request has ended.
type Finish struct {
	ID     string
	Tokens int  // prompt and output tokens used
	Failed bool // the endpoint did not complete it
}

// LoadResult reports that an ordered load has ended.
type LoadResult struct {
	Endpoint    string
	Adapter     AdapterRef
	Incarnation uint64
	Failed      bool
}

// LoadReport is an engine's report of its load. It lags, so the owner's own count takes precedence.
type LoadReport struct {
	Endpoint    string
	Incarnation uint64
	Running     int
	Waiting     int
	At          time.Time // when the engine measured it
	Resident    []AdapterRef
}

// ActionKind is the kind of an action that the owner has to execute.
type ActionKind string

// Kinds of actions.
const (
	Dispatch ActionKind = "Dispatch"
	Load     ActionKind = "Load"
	Unload   ActionKind = "Unload"
	Refuse   ActionKind = "Refuse"
	SetModel ActionKind = "SetModel"
	SetRole  ActionKind = "SetRole"
)

// Action is one decision of the scheduler.
type Action struct {
	Kind        ActionKind
	ID          string // request for Dispatch and Refuse, command for SetModel and SetRole
	Endpoint    string
	Incarnation uint64     // of the endpoint; an engine of another incarnation must not run the action
	Fence       uint64     // fencing number of the ownership, or the command's own if that is higher
	Priority    int        // for Dispatch, passed to the engine
	Adapter     AdapterRef // for Dispatch, Load and Unload
	Evict       AdapterRef // for Load, zero when a slot is free
	Value       string     // model for SetModel, role for SetRole
	Speculative bool       // Load without a waiting request
	Err         error      // for Refuse
}

// LoadOrder describes a load that needs a permit of the budget.
type LoadOrder struct {
	Endpoint    string
	Adapter     AdapterRef
	Speculative bool // prefetch: granted only from budget that no waiting request needs
	Yield       bool // for a bursting customer: granted after the loads of all other customers
}

// CacheEvent is an engine's notification that a prompt prefix entered or left its cache.
type CacheEvent struct {
	Endpoint    string
	Incarnation uint64
	Sequence    uint64 // increases by one with each event of an incarnation
	Prefix      uint64
	Removed     bool
}

// View is the state of an endpoint that the owner returns to entries with each answer.
type View struct {
	Load      float64       // running and waiting requests over batch places
	Wait      time.Duration // estimated wait of a new request whose adapter is resident
	Service   time.Duration // mean time from dispatch to end
	SlotValue float64       // expected uses per second of the adapter that a load would evict
	Resident  bool          // the request's adapter is resident or being loaded
}
