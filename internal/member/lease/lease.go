// Package lease is a lease held by one of several keepers with the consent of a majority, without disks.
package lease

import (
	"math/rand/v2"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("lease")

// ErrSilent states that a restarted keeper does not answer yet, because it has forgotten its grants.
var ErrSilent = errs.New("keeper was restarted and is silent")

// Ballot orders the attempts of all keepers. Nonce differs between two lives of a keeper.
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

// sameHolder tells whether both ballots belong to one life of one keeper.
func (b Ballot) sameHolder(c Ballot) bool {
	return b.Proposer == c.Proposer && b.Nonce == c.Nonce
}

// Prepare asks whether the lease is free and for a promise to ignore lower ballots.
type Prepare struct {
	Ballot Ballot `json:"Ballot"`
}

// Promise answers Prepare. Holder is the other keeper that holds the acceptor's grant, if any; Fence
// is the highest fencing number that the acceptor has seen reserved.
type Promise struct {
	Ballot   Ballot `json:"Ballot"`
	OK       bool   `json:"OK"`
	Promised uint64 `json:"Promised"`
	Holder   string `json:"Holder,omitempty"`
	Fence    uint64 `json:"Fence"`
}

// Accept asks for a grant, or for its renewal, and reserves fencing numbers up to Fence. Sequence
// ties the answers to the time at which the message was sent.
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
