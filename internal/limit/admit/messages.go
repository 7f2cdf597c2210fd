package admit

import "time"

// Methods of the messages of this package.
const (
	MethodBorrow  = "Limit.Borrow"
	MethodLend    = "Limit.Lend"
	MethodReturn  = "Limit.Return"
	MethodDemand  = "Limit.Demand"
	MethodConfirm = "Limit.Confirm"
)

// Millis is a duration in messages. It is rounded down, so that deadlines end early, never late.
type Millis int64

func millis(d time.Duration) Millis { return Millis(d / time.Millisecond) }

// millisUp rounds up; it is used for the earliest time at which asking again is useful.
func millisUp(d time.Duration) Millis { return millis(d + time.Millisecond - 1) }

func (m Millis) duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Header identifies a message of an instance. An instance has at most one unanswered message of each method;
// it resends that message unchanged until it is answered.
type Header struct {
	Epoch       uint64 // coordinator's term as the instance knows it, 0 when unknown
	Incarnation uint64 // grows with each start and each new session of the instance
	Sequence    uint64 // from 1 in each session and method
}

// Answer is the common part of replies.
type Answer struct {
	Epoch uint64
	Reset bool   // nothing was applied; the instance starts a new session at Epoch
	Known uint64 // with Reset, the incarnation of the last session; the new one must be higher
}

// BorrowRequest asks for tokens. Times are durations because clocks of instances are not compared.
type BorrowRequest struct {
	Header
	Items  []BorrowItem
	Return *ReturnRequest // applied first, as if it were sent by itself
}

// BorrowItem concerns one customer; an item without claims asks for the state of earlier claims.
type BorrowItem struct {
	Customer  string
	Claims    []Claim
	Cancelled []uint64 // claims that are no longer wanted
	Prefetch  float64  // tokens wanted beyond the claims
	Room      float64  // used instead of Prefetch if the customer has room
}

// Claim is a request that waits for tokens.
type Claim struct {
	ID     uint64
	Tokens float64
	Left   Millis // time until the request's deadline
	Again  bool   // an earlier claim of the request was accepted: it is not refused by a later estimate
}

// BorrowReply answers a BorrowRequest.
type BorrowReply struct {
	Answer
	Items  []BorrowAnswer
	Return *ReturnReply
}

// BorrowAnswer concerns one customer.
type BorrowAnswer struct {
	Customer string
	Batch    *Batch
	Granted  []uint64 // claims that the batch covers
	Refused  []RefusedClaim
	Next     Millis // time until the next claim of the instance may be granted
}

// Batch is a set of tokens lent to an instance.
type Batch struct {
	ID     uint64
	Tokens float64
	Life   Millis // counted by the instance from the first sending of its request
	Room   bool   // the customer has room: use may be reported late
}

// RefusedClaim is a claim that cannot be granted before its deadline.
type RefusedClaim struct {
	ID    uint64
	Retry Millis // 0 when no time is known
}

// ReturnRequest reports use of batches and returns tokens.
type ReturnRequest struct {
	Header
	Items []ReturnItem
}

// ReturnItem concerns one customer.
type ReturnItem struct {
	Customer string
	Batches  []BatchReport
	Credits  []Credit
}

// BatchReport reports how much of a batch is spent; the rest of a closed batch is returned.
type BatchReport struct {
	ID    uint64
	Spent float64 // total since the batch was lent
	Keep  bool    // the batch stays lent; otherwise its rest is returned
}

// Credit returns the unused remainder of reservations that were reported as spent under Mark.
type Credit struct {
	Mark   uint64
	Tokens float64
	More   bool // other reservations of this mark are open
}

// ReturnReply answers a ReturnRequest.
type ReturnReply struct {
	Answer
	Mark  uint64   // under which the reported spending can be credited later
	Final []string // customers whose spending cannot be credited
}

// LendRequest asks the lender of a customer for the tokens of one request.
type LendRequest struct {
	Number   uint32 // chosen by the asking instance, not used by it again within hours
	Tokens   uint32 // 0 when only Settled matters
	Customer string
	Settled  []Settlement
}

// Settlement ends a loan.
type Settlement struct {
	Number uint32
	Used   uint32 // tokens
}

// LendReply grants the tokens unless Life is 0. The asking instance admits its request within Life of sending
// LendRequest, or not at all.
type LendReply struct {
	Life time.Duration
}
