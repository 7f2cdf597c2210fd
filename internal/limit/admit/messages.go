package admit

import "time"

// Methods of the messages of this package.
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
	Epoch       uint64 `json:"Epoch"`       // coordinator's term as the instance knows it, 0 when unknown
	Incarnation uint64 `json:"Incarnation"` // grows with each start and each new session of the instance
	Sequence    uint64 `json:"Sequence"`    // from 1 in each session and method
}

// Answer is the common part of replies.
type Answer struct {
	Epoch uint64 `json:"Epoch"`
	Reset bool   `json:"Reset,omitempty"` // nothing was applied; the instance starts a new session at Epoch
	Known uint64 `json:"Known,omitempty"` // with Reset, the incarnation of the session known; the new one is higher
}

// BorrowRequest asks for tokens. Times are lengths because clocks of instances are not compared.
type BorrowRequest struct {
	Header
	Items []BorrowItem `json:"Items,omitempty"`
}

// BorrowItem concerns one customer; an item without claims asks for the state of earlier claims.
type BorrowItem struct {
	Customer  string   `json:"Customer"`
	Claims    []Claim  `json:"Claims,omitempty"`
	Cancelled []uint64 `json:"Cancelled,omitempty"` // claims that are no longer wanted
	Prefetch  float64  `json:"Prefetch,omitempty"`  // tokens wanted beyond the claims
}

// Claim is a request that waits for tokens.
type Claim struct {
	ID     uint64  `json:"ID"`
	Tokens float64 `json:"Tokens"`
	Left   Millis  `json:"Left"` // time until the request's deadline
}

// BorrowReply answers a BorrowRequest.
type BorrowReply struct {
	Answer
	Items []BorrowAnswer `json:"Items,omitempty"`
}

// BorrowAnswer concerns one customer.
type BorrowAnswer struct {
	Customer string         `json:"Customer"`
	Batch    *Batch         `json:"Batch,omitempty"`
	Granted  []uint64       `json:"Granted,omitempty"` // claims that the batch covers
	Refused  []RefusedClaim `json:"Refused,omitempty"`
	Next     Millis         `json:"Next,omitempty"` // time until the next claim of the instance may be granted
}

// Batch is a number of lent tokens.
type Batch struct {
	ID     uint64  `json:"ID"`
	Tokens float64 `json:"Tokens"`
	Life   Millis  `json:"Life"` // counted by the instance from the first sending of its request
}

// RefusedClaim is a claim that cannot be granted before its deadline.
type RefusedClaim struct {
	ID    uint64 `json:"ID"`
	Retry Millis `json:"Retry,omitempty"` // 0 when no time is known
}

// ReturnRequest reports use of batches and returns tokens.
type ReturnRequest struct {
	Header
	Items []ReturnItem `json:"Items,omitempty"`
}

// ReturnItem concerns one customer.
type ReturnItem struct {
	Customer string        `json:"Customer"`
	Batches  []BatchReport `json:"Batches,omitempty"`
	Credits  []Credit      `json:"Credits,omitempty"`
}

// BatchReport tells how much of a batch is spent; the rest of a closed batch is returned.
type BatchReport struct {
	ID    uint64  `json:"ID"`
	Spent float64 `json:"Spent"`          // total since the batch was lent
	Keep  bool    `json:"Keep,omitempty"` // the batch stays lent; otherwise its rest is returned
}

// Credit returns the unused remainder of reservations that were reported as spent under Mark.
type Credit struct {
	Mark   uint64  `json:"Mark"`
	Tokens float64 `json:"Tokens"`
	More   bool    `json:"More,omitempty"` // other reservations of this mark are open
}

// ReturnReply answers a ReturnRequest.
type ReturnReply struct {
	Answer
	Mark  uint64   `json:"Mark,omitempty"`  // under which the reported spending can be credited later
	Final []string `json:"Final,omitempty"` // customers whose spending cannot be credited
}
