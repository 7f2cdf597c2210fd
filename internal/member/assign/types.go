package assign

import (
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("assign")

// Errors of Table.Renew; test with errors.Is.
var (
	ErrOutdated = errs.New("a newer incarnation of the instance is known")
	ErrLate     = errs.New("a later renewal of the instance was received before")
)

// Held is an endpoint held by an owner under a fencing number.
type Held struct {
	Endpoint string `json:"Endpoint"`
	Fence    uint64 `json:"Fence"`
}

// Renewal is an owner's periodic message to the coordinator. Sequence increases with each renewal of
// an incarnation. Held is set only when Full is true; otherwise Digest is sent in its place.
type Renewal struct {
	Incarnation uint64 `json:"Incarnation"`
	Sequence    uint64 `json:"Sequence"`
	Full        bool   `json:"Full,omitempty"`
	Held        []Held `json:"Held,omitempty"`
	Digest      uint64 `json:"Digest"`
	Released    []Held `json:"Released,omitempty"` // no command to them is in flight
	Leaving     bool   `json:"Leaving,omitempty"`  // the instance wants to release all endpoints
}

// Reply answers a renewal. Same reports that the owner's digest matches the table, which renews
// everything that the owner holds; otherwise Grants lists what the owner may hold. NeedFull asks for a
// full renewal.
type Reply struct {
	Same     bool    `json:"Same,omitempty"`
	NeedFull bool    `json:"NeedFull,omitempty"`
	Grants   []Grant `json:"Grants,omitempty"`
}

// Grant is an endpoint that an owner may hold for one lease. Release asks the owner to drain it.
type Grant struct {
	Endpoint string `json:"Endpoint"`
	Fence    uint64 `json:"Fence"`
	Release  bool   `json:"Release,omitempty"`
}

// Endpoint holds the properties of an endpoint that the table uses.
type Endpoint struct {
	Name          string
	HighestFence  uint64
	ChecksFencing bool
	Leaving       bool
}

// Assignment is the state of an endpoint in the table. Owner is empty while the endpoint has none. The
// owner may act until Deadline, by the clock of the table.
type Assignment struct {
	Endpoint string
	Owner    string
	Fence    uint64
	State    State
	Deadline time.Time
}

// Digest returns a hash of held endpoints that does not depend on their order.
func Digest(held []Held) uint64 {
	sorted := slices.SortedFunc(slices.Values(held), func(a, b Held) int { return strings.Compare(a.Endpoint, b.Endpoint) })
	h := xxhash.New()
	var number [8]byte
	for _, e := range sorted {
		binary.BigEndian.PutUint64(number[:], uint64(len(e.Endpoint)))
		_, _ = h.Write(number[:])
		_, _ = h.WriteString(e.Endpoint)
		binary.BigEndian.PutUint64(number[:], e.Fence)
		_, _ = h.Write(number[:])
	}
	return h.Sum64()
}
