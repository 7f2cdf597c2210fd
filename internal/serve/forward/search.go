package forward

import (
	"context"
	"slices"

	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"lycheevale/internal/base/guard"
	"lycheevale/internal/place/pick"
)

// search looks for another endpoint for a request whose endpoint is silent. The request stays where it is until the other endpoint has begun to
// answer: a sound endpoint may go on after a moment, and the others may refuse. The search works on a copy of the exchange and writes nothing to
// the caller.
type search struct {
	exchange exchange
	sent     int // requests that had reached an endpoint when the search began
	ran      int // of these, requests that may have run
	cancel   context.CancelFunc
	done     chan struct{} // closed at its end, after which found is set
	found    *attempt      // nil if no endpoint has begun
	runner   errgroup.Group
}

// errReplaced ends an attempt at a silent endpoint whose request another endpoint has begun to answer.
var errReplaced = errs.New("another endpoint has taken the request over")

// startSearch looks for another endpoint. The retry budget is charged already. The prompt no longer counts as one that the silent endpoint will
// have read soon.
func (h *Handler) startSearch(x *exchange, s *attempt) {
	h.observe(s.ID, pick.Silent, 0)
	h.mu.Lock()
	h.promptRead(s.inFlight)
	h.mu.Unlock()
	ctx, cancel := context.WithCancel(x.ctx)
	r := &search{exchange: *x, sent: x.sent, ran: x.ran, cancel: cancel, done: make(chan struct{})}
	y := &r.exchange
	y.ResponseWriter, y.ctx, y.charged, y.interruptedAt = nil, ctx, true, h.options.Now()
	y.silent = append(slices.Clip(x.silent), s.ID)
	y.exclude = append(slices.Clip(x.exclude), s.ID)
	x.search = r
	r.runner.Go(func() error {
		defer close(r.done)
		guard.Run(ctx, h.options.Logger, "search for another endpoint", func() {
			r.found, _ = h.begin(y) // without another endpoint, the request stays where it is
		})
		return nil
	})
}

// finished returns a channel that is closed at the end of the search, or nil without a search.
func (r *search) finished() <-chan struct{} {
	if r == nil {
		return nil
	}
	return r.done
}

// cancelSearch ends a search, if there is one, because the request stays at its endpoint. Refusals of others count no longer, so that it may be moved
// later.
func (h *Handler) cancelSearch(x *exchange, s *attempt) {
	r := x.search
	if r == nil {
		return
	}
	r.cancel()
	<-r.done
	if r.found != nil {
		h.endAttempt(&r.exchange, r.found)
	}
	x.mergeSearch()
	h.mu.Lock()
	defer h.mu.Unlock()
	s.inFlight.movable = h.movable(x)
}

// joinSearch waits for the end of a search, if there is one, because the attempt for which it began has ended. It returns the attempt that was found,
// or nil.
func (h *Handler) joinSearch(x *exchange) *attempt {
	r := x.search
	if r == nil {
		return nil
	}
	<-r.done
	x.mergeSearch()
	x.tries, x.exclude, x.missingAt, x.charged = r.exchange.tries, r.exchange.exclude, r.exchange.missingAt, r.exchange.charged
	if r.found != nil {
		x.lastEndpoint, x.sentAt = r.found.ID, r.found.started
	}
	return r.found
}

// mergeSearch adds what a search has sent to the exchange.
func (x *exchange) mergeSearch() {
	r := x.search
	x.search = nil
	y := &r.exchange
	x.sent += y.sent - r.sent
	x.ran += y.ran - r.ran
	x.mayCrash = x.mayCrash || y.mayCrash
	x.trial = x.trial || y.trial
	if y.failedAnswer != nil {
		x.failedAnswer = y.failedAnswer
	}
}

// cancelUnfinishedSearch ends a search that has not come to its end by itself.
func (h *Handler) cancelUnfinishedSearch(x *exchange, s *attempt) {
	select {
	case <-x.search.finished():
	default:
		h.cancelSearch(x, s)
	}
}
