package control

import (
	"context"
	"encoding/json"

	"github.com/zeebo/errs"

	"lycheevale/internal/state/document"
	"lycheevale/internal/wire/upstream"
)

// errNotActing refuses the acts of an instance that does not lead any more, or was suspended and has not heard a majority since.
var errNotActing = errs.New("this instance does not lead")

// acting returns the state of the leader if this instance leads in its term and may act now, or nil. Each act of a leader asks for it after its last
// wait. The caller holds c.mu.
func (c *Control) acting() *leaderState {
	if c.state == nil || c.state.ended || c.actingTerm() != c.state.term {
		return nil
	}
	return c.state
}

// acts reports whether this leader may act now. The caller holds the mutex of Control.
func (ls *leaderState) acts() bool { return ls.control.acting() == ls }

// permitOrder returns an error unless this leader may send an order to an endpoint now.
func (ls *leaderState) permitOrder() error {
	ls.control.mu.Lock()
	defer ls.control.mu.Unlock()
	if !ls.acts() || !ls.mayOrder() {
		return errs.Combine(upstream.ErrNotSent, errNotActing)
	}
	return nil
}

// end ends this leader, and what waits for it.
func (ls *leaderState) end() {
	ls.ended = true
	ls.endLife()
	ls.wakeWaiters(len(ls.waiters))
}

// endsWith returns a context that also ends with this leader.
func (ls *leaderState) endsWith(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(ls.life, func() { cancel(errNotActing) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// propose proposes a decision of this leader, which only its own voter may append, in its term: another leader may know better.
func (ls *leaderState) propose(ctx context.Context, command document.Command) (err error) {
	defer func() { err = Error.Wrap(err) }()
	data, err := json.Marshal(command)
	if err != nil {
		return err
	}
	c := ls.control
	c.mu.Lock()
	v, acts := c.voter, ls.acts()
	c.mu.Unlock()
	if v == nil || !acts {
		return errNotActing
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	_, err = v.ProposeInTerm(ctx, ls.term, data)
	return err
}
