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

// Reasons for which a renewal is ignored; test with errors.Is.
var (
	ErrOutdated = errs.New("a newer incarnation of the instance is known")
	ErrLate     = errs.New("a later renewal of the instance was received before")
)

// Held is an endpoint held by an owner under a fencing number.
type Held struct {
	Endpoint string `json:"Endpoint"`
	Fence    uint64 `json:"Fence"`
}

// Renewal is an owner's periodic message. Sequence rises with each renewal of an incarnation. Held
// is set only when Full is true; otherwise the digest stands for it.
type Renewal struct {
	Incarnation uint64 `json:"Incarnation"`
	Sequence    uint64 `json:"Sequence"`
	Full        bool   `json:"Full,omitempty"`
	Held        []Held `json:"Held,omitempty"`
	Digest      uint64 `json:"Digest"`
	Released    []Held `json:"Released,omitempty"` // without a command in flight
	Leaving     bool   `json:"Leaving,omitempty"`  // the instance wants to release all endpoints
}

// Reply answers a renewal. Same states that the owner's digest agrees with the table, so that all it
// holds is renewed; otherwise Grants lists what the owner may hold. NeedFull asks for a full renewal.
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

// Endpoint is what the table needs to know of an endpoint.
type Endpoint struct {
	Name          string
	HighestFence  uint64
	ChecksFencing bool
	Leaving       bool
}

// Assignment is the owner of an endpoint; Owner is empty while there is none. An owner may act until
// Deadline, by the clock of the table.
type Assignment struct {
	Endpoint string
	Owner    string
	Fence    uint64
	State    State
	Deadline time.Time
}

// Digest returns a hash of held endpoints that is independent of their order.
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
