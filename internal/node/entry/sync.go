package entry

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/zeebo/errs"

	"lycheevale/internal/base/event"
	"lycheevale/internal/limit/quota"
	"lycheevale/internal/member/report"
	"lycheevale/internal/node/control"
)

// ErrNoLeader means that no control instance that leads has answered.
var ErrNoLeader = errs.New("no leader is known")

// syncTimeout is several round trips between regions.
const syncTimeout = 700 * time.Millisecond

// questionsInRow bounds the instances that are asked one right after the other, as long as they answer: with the leader that they
// name, or after a wait without one.
const questionsInRow = 4

// sync reports to the leader and takes over its answer.
func (e *Entry) sync(ctx context.Context) {
	now := e.options.Now()
	if now.Before(e.due) {
		return
	}
	r := report.Entry{
		Name: e.options.Settings.Name, Address: e.options.Settings.Address, DataCentre: e.options.Settings.DataCentre,
	}
	e.view.FillReport(&r)
	e.handler.Report(&r, now.Sub(e.reported))
	if e.tell {
		r.Known = e.view.KnownEndpoints()
	}
	e.reported = now
	for range questionsInRow {
		if !e.report(ctx, e.target(), r) {
			return
		}
	}
}

// report sends a report to an instance. It tells whether the next one should be asked at once, because this one has answered that it
// does not lead.
func (e *Entry) report(ctx context.Context, to string, r report.Entry) (askNext bool) {
	now := e.options.Now()
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	var u report.Update
	err := e.peers.Call(ctx, to, report.SyncMethod, r, &u)
	if err != nil || !u.Leading {
		e.lost(ctx, to, u, err)
		return err == nil
	}
	// Half a tick less, since the ticker fires a little late.
	e.due = now.Add(time.Duration(u.EveryMillis)*time.Millisecond - syncInterval/2)
	if e.tell = u.Tell; e.tell {
		e.due = now
	}
	e.found(ctx, to, u)
	e.apply(ctx, u, now)
	if e.view.Empty() {
		e.due = now // it can serve nobody until the leader knows endpoints
	}
	return false
}

// target returns the leader, or the next instance that may know it.
func (e *Entry) target() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leader != "" {
		return e.leader
	}
	candidates := slices.Clone(e.others)
	for _, s := range e.seeds {
		candidates = append(candidates, s.Addr().String())
	}
	slices.Sort(candidates)
	candidates = slices.Compact(candidates)
	e.next++
	return candidates[e.next%len(candidates)]
}

func (e *Entry) lost(ctx context.Context, to string, u report.Update, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failing++
	if e.failing == 1 {
		event.Log(ctx, e.options.Logger, event.LeaderSilent, slog.String("Instance", to), slog.String("Named", u.Leader),
			slog.Any("Error", err))
	}
	e.outage.LookupFailed(e.options.Now(), err == nil)
	e.leader = ""
	if err == nil && u.Leader != to {
		e.leader = u.Leader
	}
	if len(u.Instances) > 0 {
		e.others = u.Instances
	}
}

func (e *Entry) found(ctx context.Context, to string, u report.Update) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.failing > 0 || e.leader != to {
		event.Log(ctx, e.options.Logger, event.LeaderFound, slog.String("Instance", to), slog.Uint64("Term", u.Term),
			slog.Int("Failed", e.failing))
	}
	e.leader, e.failing, e.others = to, 0, u.Instances
	e.outage.Answered()
}

func (e *Entry) apply(ctx context.Context, u report.Update, asked time.Time) {
	changed, err := e.view.Apply(e.options.Now(), u, e.options.Decode)
	if err != nil {
		event.Log(ctx, e.options.Logger, event.ViewRefused, slog.Uint64("Version", u.Document), slog.Any("Error", err))
		return
	}
	for _, gone := range changed.Removed {
		e.options.Pool.Drop(gone.Address)
	}
	if changed.Document || changed.Directory {
		event.Log(ctx, e.options.Logger, event.ViewUpdated, slog.Uint64("Document", u.Document), slog.Uint64("Term", u.Term),
			slog.Uint64("Directory", u.Directory), slog.Int("Endpoints", len(u.Endpoints)), slog.Bool("Partial", u.Partial),
			slog.Int("Removed", len(changed.Removed)))
	}
	if changed.Deputies {
		event.Log(ctx, e.options.Logger, event.DeputiesNamed, slog.Uint64("Term", u.Term), slog.Uint64("Revision", u.DeputyChange),
			slog.Any("Deputies", u.Deputies))
	}
	index := e.view.Index()
	if index == nil {
		return
	}
	limits := map[string]quota.Limit{}
	for _, c := range index.Customers {
		limits[c.Name] = control.Limit(c)
	}
	// The leader may have held the report, and counts the silence of this entry from its answer.
	terms := quota.Terms{AloneFrom: e.options.Now().Add(control.AloneAfter), Expires: asked.Add(control.ShareLease)}
	e.handler.Grant(terms, u.Grants, limits)
	e.serving.Store(true)
}

// want asks the leader for an adapter, and follows one change of the leader.
func (e *Entry) want(ctx context.Context, w report.PlacementRequest) (p report.PlacementReply, err error) {
	for {
		e.mu.Lock()
		leader := e.leader
		e.mu.Unlock()
		if leader == "" {
			return p, ErrNoLeader
		}
		p = report.PlacementReply{}
		if err := e.peers.Call(ctx, leader, report.PlaceMethod, w, &p); err != nil {
			e.outage.CallFailed(e.options.Now())
			return p, err
		}
		if p.Leading {
			event.Log(ctx, e.options.Logger, event.AdapterAsked, slog.String("Adapter", w.Adapter.Name),
				slog.Bool("Replicate", w.Replicate), slog.String("Missing", w.Missing), slog.String("Endpoint", p.Endpoint),
				slog.Int64("InMillis", p.InMillis))
			return p, nil
		}
		select {
		case <-ctx.Done():
			return p, ErrNoLeader
		case <-time.After(syncInterval):
		}
	}
}
