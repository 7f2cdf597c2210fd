package lease

import "time"

// Acceptor casts the vote of one keeper. It grants the lease to one holder at a time, for one lease length by its
// own clock. Any two majorities share a keeper, so there is at most one holder. It is not safe for
// concurrent use.
type Acceptor struct {
	options      Options
	silentUntil  time.Time
	promised     Ballot
	granted      Ballot
	grantedUntil time.Time
	fence        uint64
}

// NewAcceptor returns an acceptor that does not answer for one lease plus margin from now, since it may
// have granted a lease before a restart.
func NewAcceptor(now time.Time, opts ...Option) *Acceptor {
	a := &Acceptor{options: newOptions(opts)}
	if a.options.Silence() {
		a.silentUntil = now.Add(a.options.silenceTime())
	}
	return a
}

// Prepare handles a Prepare message; the error is ErrSilent.
func (a *Acceptor) Prepare(now time.Time, m Prepare) (Promise, error) {
	if a.Silent(now) {
		return Promise{}, Error.Wrap(ErrSilent)
	}
	p := Promise{Ballot: m.Ballot, Fence: a.fence}
	if a.heldByOther(now, m.Ballot) {
		// The promise does not change, so that the holder can renew.
		p.Holder = a.granted.Proposer
		p.Promised = a.promised.Round
		return p, nil
	}
	if !m.Ballot.Less(a.promised) {
		a.promised = m.Ballot
		p.OK = true
	}
	p.Promised = a.promised.Round
	return p, nil
}

// Accept grants or renews the lease; the error is ErrSilent. A silent acceptor still records the
// fencing numbers.
func (a *Acceptor) Accept(now time.Time, m Accept) (Accepted, error) {
	a.fence = max(a.fence, m.Fence)
	if a.Silent(now) {
		return Accepted{}, Error.Wrap(ErrSilent)
	}
	answer := Accepted{Ballot: m.Ballot, Sequence: m.Sequence, Promised: a.promised.Round}
	if a.heldByOther(now, m.Ballot) || m.Ballot.Less(a.promised) {
		return answer, nil
	}
	a.promised, a.granted = m.Ballot, m.Ballot
	a.grantedUntil = now.Add(a.options.Length)
	answer.OK, answer.Promised = true, m.Ballot.Round
	return answer, nil
}

// Release ends the grant of a holder that resigns. A delayed release does not end a later grant of the same
// keeper.
func (a *Acceptor) Release(b Ballot) {
	if a.granted.sameHolder(b) && !b.Less(a.granted) {
		a.granted, a.grantedUntil = Ballot{}, time.Time{}
	}
}

// Holder returns the keeper that currently has this acceptor's grant, or an empty string.
func (a *Acceptor) Holder(now time.Time) string {
	if !now.Before(a.grantedUntil) {
		return ""
	}
	return a.granted.Proposer
}

// Silent reports whether the acceptor does not answer yet after its start.
func (a *Acceptor) Silent(now time.Time) bool {
	return now.Before(a.silentUntil)
}

func (a *Acceptor) heldByOther(now time.Time, b Ballot) bool {
	return a.options.Exclusive() && now.Before(a.grantedUntil) && !a.granted.sameHolder(b)
}
