package entry

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/zeebo/errs"

	"lycheevale/internal/base/event"
	"lycheevale/internal/limit/quota"
	"lycheevale/internal/member/report"
	"lycheevale/internal/node/control"
	"lycheevale/internal/state/document"
)

const (
	// borrowTimeout is above a round trip between regions, and well below the objective of any request.
	borrowTimeout = 250 * time.Millisecond
	// deputiesAsked bounds the time in which a request is held that nobody lends to.
	deputiesAsked = 2
)

// borrow asks the leader to admit requests that the tokens of their customer do not fit, and deputies while it does not answer.
func (e *Entry) borrow(ctx context.Context, l report.LoanRequest) (answer report.LoanReply, err error) {
	if e.outage.ExpectedEnd(e.options.Now()).IsZero() {
		if answer, err = e.borrowFromLeader(ctx, l); err == nil {
			return answer, nil
		}
	} else {
		err = ErrNoLeader
	}
	for _, address := range e.nearestDeputies(l.Customer) {
		answer, failed := e.ask(ctx, address, report.LendMethod, l)
		if failed == nil {
			return answer, nil
		}
		err = errs.Combine(err, failed)
	}
	return answer, err
}

func (e *Entry) borrowFromLeader(ctx context.Context, l report.LoanRequest) (answer report.LoanReply, err error) {
	e.mu.Lock()
	leader := e.leader
	e.mu.Unlock()
	if leader == "" {
		return answer, ErrNoLeader
	}
	answer, err = e.ask(ctx, leader, report.BorrowMethod, l)
	if err != nil {
		e.outage.CallFailed(e.options.Now())
	}
	return answer, err
}

func (e *Entry) ask(ctx context.Context, to, method string, l report.LoanRequest) (answer report.LoanReply, err error) {
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	if err := e.peers.Call(ctx, to, method, l, &answer); err != nil {
		return answer, err
	}
	if !answer.Leading || len(answer.Admitted) != len(l.Requests) {
		return answer, ErrNoLeader
	}
	return answer, nil
}

// limit returns what a customer may use, nothing if it is not known.
func (e *Entry) limit(customer string) (l quota.Limit) {
	index := e.view.Index()
	if index == nil {
		return l
	}
	if i := slices.IndexFunc(index.Customers, func(c document.Customer) bool { return c.Name == customer }); i >= 0 {
		l = control.Limit(index.Customers[i])
	}
	return l
}

// nearestDeputies returns those to ask that hold shares of a customer, nearest first; entries at the same distance ask different ones.
func (e *Entry) nearestDeputies(customer string) (addresses []string) {
	s := e.options.Settings
	list := slices.Clone(e.view.Deputies())
	list = list[:control.Tolerance(s).Deputies(e.limit(customer), len(list))]
	rank := func(d report.Deputy) uint64 { return xxhash.Sum64String(s.Name + d.Address.String()) }
	slices.SortFunc(list, func(a, b report.Deputy) int {
		return cmp.Or(
			cmp.Compare(s.Regions.Distance(s.DataCentre, a.DataCentre), s.Regions.Distance(s.DataCentre, b.DataCentre)),
			cmp.Compare(rank(a), rank(b)))
	})
	for _, d := range list {
		if d.Address != s.Address && len(addresses) < deputiesAsked {
			addresses = append(addresses, d.Address.String())
		}
	}
	return addresses
}

// lend admits requests of another entry: from this one's shares while no leader answers it, and otherwise from the leader, which the
// other one may not reach.
func (e *Entry) lend(ctx context.Context, from string, l report.LoanRequest) (report.LoanReply, error) {
	if answer, lends := e.handler.Lend(l); lends {
		event.Log(ctx, e.options.Logger, event.DeputyLent, slog.String("Entry", from), slog.String("Customer", l.Customer),
			slog.Any("Requests", l.Requests), slog.Any("Admitted", answer.Admitted), slog.Int64("InMillis", answer.InMillis))
		return answer, nil
	}
	return e.borrowFromLeader(ctx, l)
}
