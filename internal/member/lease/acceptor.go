package lease

import "time"

// Acceptor is one keeper's vote. It grants the lease to one holder at a time, for one length by its
// own clock; as any two majorities share a keeper, there is one holder. It is not safe for
// concurrent use.
type Acceptor struct {
	options  Options
	silent   time.Time
	promised Ballot
	granted  Ballot
	until    time.Time
	fence    uint64
}

// NewAcceptor returns an acceptor that stays silent for one lease plus margin from now, since it may
// have granted a lease before it was restarted.
func NewAcceptor(now time.Time, opts ...Option) *Acceptor {
	a := &Acceptor{options: build(opts)}
	if a.options.Silence() {
		a.silent = now.Add(a.options.silence())
	}
	return a
}

// Prepare answers whether the lease is free; the error is ErrSilent.
func (a *Acceptor) Prepare(now time.Time, m Prepare) (Promise, error) {
	if a.Silent(now) {
		return Promise{}, Error.Wrap(ErrSilent)
	}
	p := Promise{Ballot: m.Ballot, Fence: a.fence}
	if a.heldByOther(now, m.Ballot) {
		// The promise stays as it is, so that the holder can renew.
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

// Accept grants or renews the lease; the error is ErrSilent. A silent acceptor still learns the
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
	a.until = now.Add(a.options.Length)
	answer.OK, answer.Promised = true, m.Ballot.Round
	return answer, nil
}

// Release ends the grant of a holder that stops in an orderly way. A delayed release does not end a
// grant that the same keeper has obtained since.
func (a *Acceptor) Release(b Ballot) {
	if a.granted.sameHolder(b) && !b.Less(a.granted) {
		a.granted, a.until = Ballot{}, time.Time{}
	}
}

// Holder returns the keeper that has this acceptor's grant, or an empty string.
func (a *Acceptor) Holder(now time.Time) string {
	if !now.Before(a.until) {
		return ""
	}
	return a.granted.Proposer
}

// Silent tells whether the acceptor does not answer yet.
func (a *Acceptor) Silent(now time.Time) bool {
	return now.Before(a.silent)
}

func (a *Acceptor) heldByOther(now time.Time, b Ballot) bool {
	return a.options.Exclusive() && now.Before(a.until) && !a.granted.sameHolder(b)
}
