// Package lease implements a lease that one of several keepers holds with the consent of a majority. It keeps
// no state on disk.
package lease

import (
	"math/rand/v2"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("lease")

// ErrSilent is returned by a restarted keeper, which has lost its grants and does not answer until they have
// ended.
var ErrSilent = errs.New("keeper was restarted and does not answer until its earlier grants have ended")

// Ballot orders the attempts of all keepers. Nonce differs with each start of a keeper.
type Ballot struct {
	Round    uint64 `json:"Round"`
	Proposer string `json:"Proposer"`
	Nonce    uint64 `json:"Nonce"`
}

// Less orders ballots by round, proposer and nonce.
func (b Ballot) Less(c Ballot) bool {
	if b.Round != c.Round {
		return b.Round < c.Round
	}
	if b.Proposer != c.Proposer {
		return b.Proposer < c.Proposer
	}
	return b.Nonce < c.Nonce
}

// sameHolder reports whether both ballots belong to the same start of the same keeper.
func (b Ballot) sameHolder(c Ballot) bool {
	return b.Proposer == c.Proposer && b.Nonce == c.Nonce
}

// Prepare asks whether the lease is free, and for a promise to ignore lower ballots.
type Prepare struct {
	Ballot Ballot `json:"Ballot"`
}

// Promise answers Prepare. Promised is the round that the acceptor has promised. Holder is the other keeper
// that has the acceptor's grant, if any. Fence is the highest reserved fencing number that the acceptor knows.
type Promise struct {
	Ballot   Ballot `json:"Ballot"`
	OK       bool   `json:"OK"`
	Promised uint64 `json:"Promised"`
	Holder   string `json:"Holder,omitempty"`
	Fence    uint64 `json:"Fence"`
}

// Accept asks for a grant or its renewal, and reserves fencing numbers up to Fence. Sequence matches the
// answers with the time at which the message was sent.
type Accept struct {
	Ballot   Ballot `json:"Ballot"`
	Sequence uint64 `json:"Sequence"`
	Fence    uint64 `json:"Fence"`
}

// Accepted answers Accept.
type Accepted struct {
	Ballot   Ballot `json:"Ballot"`
	Sequence uint64 `json:"Sequence"`
	OK       bool   `json:"OK"`
	Promised uint64 `json:"Promised"`
}

func random() float64 {
	return rand.Float64()
}
