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
	// borrowTimeout is longer than a round trip between regions, and well below the latency objective of any request.
	borrowTimeout = 250 * time.Millisecond
	// maxDeputiesAsked limits the time for which a request waits if no deputy lends.
	maxDeputiesAsked = 2
)

// borrow asks the leader to admit requests that exceed this entry's tokens of their customer. While the leader does not answer it
// asks deputies.
func (e *Entry) borrow(ctx context.Context, l report.LoanRequest) (answer report.LoanReply, err error) {
	if e.outage.ExpectedEnd(e.options.Now()).IsZero() {
		if answer, err = e.borrowFromLeader(ctx, l); err == nil {
			return answer, nil
		}
	} else {
		err = ErrNoLeader
	}
	for _, address := range e.nearestDeputies(e.deputyCount(l)) {
		answer, callErr := e.callLender(ctx, address, report.LendMethod, l)
		if callErr == nil {
			return answer, nil
		}
		err = errs.Combine(err, callErr)
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
	answer, err = e.callLender(ctx, leader, report.BorrowMethod, l)
	if err != nil {
		e.outage.CallFailed(e.options.Now())
	}
	return answer, err
}

func (e *Entry) callLender(ctx context.Context, to, method string, l report.LoanRequest) (answer report.LoanReply, err error) {
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

// limit returns the rate limit of a customer, or the zero limit if the customer is not known.
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

// deputyCount returns how many of the deputies hold shares of the rate of a customer or an endpoint.
func (e *Entry) deputyCount(l report.LoanRequest) int {
	available := len(e.view.Deputies())
	if l.Endpoint != "" {
		return control.EndpointTolerance().Deputies(e.handler.EndpointLimit(l.Endpoint), available)
	}
	return control.Tolerance(e.options.Settings).Deputies(e.limit(l.Customer), available)
}

// nearestDeputies returns the deputies to ask, nearest first, among the first ones of the list. Deputies at the same
// distance are ordered by a hash with this entry's name, so that entries ask different ones.
func (e *Entry) nearestDeputies(count int) (addresses []string) {
	s := e.options.Settings
	list := slices.Clone(e.view.Deputies())
	list = list[:min(count, len(list))]
	rank := func(d report.Deputy) uint64 { return xxhash.Sum64String(s.Name + d.Address.String()) }
	slices.SortFunc(list, func(a, b report.Deputy) int {
		return cmp.Or(
			cmp.Compare(s.Regions.Distance(s.DataCentre, a.DataCentre), s.Regions.Distance(s.DataCentre, b.DataCentre)),
			cmp.Compare(rank(a), rank(b)))
	})
	for _, d := range list {
		if d.Address != s.Address && len(addresses) < maxDeputiesAsked {
			addresses = append(addresses, d.Address.String())
		}
	}
	return addresses
}

// lend admits requests of another entry: from this entry's shares while no leader answers it, and otherwise by asking the leader,
// which the other entry may be unable to reach.
func (e *Entry) lend(ctx context.Context, from string, l report.LoanRequest) (report.LoanReply, error) {
	if answer, lends := e.handler.Lend(l); lends {
		event.Log(ctx, e.options.Logger, event.DeputyLent, slog.String("Entry", from), slog.String("Customer", l.Customer),
			slog.String("Endpoint", l.Endpoint), slog.Any("Requests", l.Requests), slog.Any("Admitted", answer.Admitted), slog.Int64("InMillis", answer.InMillis))
		return answer, nil
	}
	return e.borrowFromLeader(ctx, l)
}
