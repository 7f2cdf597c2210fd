package admit

import "time"

// Methods of the messages of this package. Messages of instances have short names, because they are most of the
// control traffic of a node.
const (
	MethodBorrow  = "Limit.Borrow"
	MethodReturn  = "Limit.Return"
	MethodDemand  = "Limit.Demand"
	MethodConfirm = "Limit.Confirm"
)

// Millis is a length of time in messages; it is rounded down, which ends deadlines early, never late.
type Millis int64

func millis(d time.Duration) Millis { return Millis(d / time.Millisecond) }

// millisUp rounds up, for times before which asking again is useless.
func millisUp(d time.Duration) Millis { return millis(d + time.Millisecond - 1) }

func (m Millis) duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Header identifies a message of an instance. An instance has at most one unanswered message of each method;
// it resends that message unchanged until it is answered.
type Header struct {
	Epoch       uint64 `json:"e"` // coordinator's term as the instance knows it, 0 when unknown
	Incarnation uint64 `json:"n"` // grows with each start and each new session of the instance
	Sequence    uint64 `json:"s"` // from 1 in each session and method
}

// Answer is the common part of replies.
type Answer struct {
	Epoch uint64 `json:"e"`
	Reset bool   `json:"x,omitempty"` // nothing was applied; the instance starts a new session at Epoch
	Known uint64 `json:"k,omitempty"` // with Reset, the incarnation of the session known; the new one is higher
}

// BorrowRequest asks for tokens. Times are lengths because clocks of instances are not compared.
type BorrowRequest struct {
	Header
	Items  []BorrowItem   `json:"i,omitempty"`
	Return *ReturnRequest `json:"u,omitempty"` // applied first, as if it were sent by itself
}

// BorrowItem concerns one customer; an item without claims asks for the state of earlier claims.
type BorrowItem struct {
	Customer  string   `json:"c"`
	Claims    []Claim  `json:"q,omitempty"`
	Cancelled []uint64 `json:"x,omitempty"` // claims that are no longer wanted
	Prefetch  float64  `json:"p,omitempty"` // tokens wanted beyond the claims
	Room      float64  `json:"m,omitempty"` // the same if the customer has room
}

// Claim is a request that waits for tokens.
type Claim struct {
	ID     uint64  `json:"i"`
	Tokens float64 `json:"t"`
	Left   Millis  `json:"l"`           // time until the request's deadline
	Again  bool    `json:"a,omitempty"` // an earlier claim of the request was accepted: it is not refused by a later estimate
}

// BorrowReply answers a BorrowRequest.
type BorrowReply struct {
	Answer
	Items  []BorrowAnswer `json:"i,omitempty"`
	Return *ReturnReply   `json:"u,omitempty"`
}

// BorrowAnswer concerns one customer.
type BorrowAnswer struct {
	Customer string         `json:"c"`
	Batch    *Batch         `json:"b,omitempty"`
	Granted  []uint64       `json:"g,omitempty"` // claims that the batch covers
	Refused  []RefusedClaim `json:"r,omitempty"`
	Next     Millis         `json:"n,omitempty"` // time until the next claim of the instance may be granted
}

// Batch is a number of lent tokens.
type Batch struct {
	ID     uint64  `json:"i"`
	Tokens float64 `json:"t"`
	Life   Millis  `json:"l"`           // counted by the instance from the first sending of its request
	Room   bool    `json:"m,omitempty"` // the customer has room: use may be reported late
}

// RefusedClaim is a claim that cannot be granted before its deadline.
type RefusedClaim struct {
	ID    uint64 `json:"i"`
	Retry Millis `json:"r,omitempty"` // 0 when no time is known
}

// ReturnRequest reports use of batches and returns tokens.
type ReturnRequest struct {
	Header
	Items []ReturnItem `json:"i,omitempty"`
}

// ReturnItem concerns one customer.
type ReturnItem struct {
	Customer string        `json:"c"`
	Batches  []BatchReport `json:"b,omitempty"`
	Credits  []Credit      `json:"k,omitempty"`
}

// BatchReport tells how much of a batch is spent; the rest of a closed batch is returned.
type BatchReport struct {
	ID    uint64  `json:"i"`
	Spent float64 `json:"s"`           // total since the batch was lent
	Keep  bool    `json:"o,omitempty"` // the batch stays lent; otherwise its rest is returned
}

// Credit returns the unused remainder of reservations that were reported as spent under Mark.
type Credit struct {
	Mark   uint64  `json:"m"`
	Tokens float64 `json:"t"`
	More   bool    `json:"o,omitempty"` // other reservations of this mark are open
}

// ReturnReply answers a ReturnRequest.
type ReturnReply struct {
	Answer
	Mark  uint64   `json:"m,omitempty"` // under which the reported spending can be credited later
	Final []string `json:"f,omitempty"` // customers whose spending cannot be credited
}
