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

// ErrNoLeader is returned if no control instance answered as the leader.
var ErrNoLeader = errs.New("no leader is known")

// syncTimeout is several round trips between regions.
const syncTimeout = 700 * time.Millisecond

// maxReportPause limits the interval of reports that a leader may ask for; leaders forget entries that report less often.
const maxReportPause = time.Second

// maxReportAttempts limits the instances that are tried one after the other without a pause. Each of them has answered that it does not
// lead: it named the leader, or no leader was elected while it waited.
const maxReportAttempts = 4

// sync reports to the leader and applies its answer.
func (e *Entry) sync(ctx context.Context) {
	now := e.options.Now()
	if now.Before(e.nextReportAt) && !e.handler.HasCrash() {
		return
	}
	r := report.Entry{
		Name: e.options.Settings.Name, Address: e.options.Settings.Address, DataCentre: e.options.Settings.DataCentre,
	}
	e.view.FillReport(&r)
	e.handler.Report(&r, now.Sub(e.reportedAt))
	if e.sendEndpoints {
		r.Known = e.view.KnownEndpoints()
	}
	e.reportedAt = now
	for range maxReportAttempts {
		if !e.report(ctx, e.reportTarget(), r) {
			return
		}
	}
}

// report sends a report to an instance. It returns true if the next instance should be tried immediately because this one answered
// that it does not lead.
func (e *Entry) report(ctx context.Context, to string, r report.Entry) (tryNext bool) {
	now := e.options.Now()
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	var u report.Update
	err := e.peers.Call(ctx, to, report.SyncMethod, r, &u)
	if err != nil || !u.Leading {
		e.recordNoLeader(ctx, to, u, err)
		return err == nil
	}
	// Half a tick is subtracted, since the ticker fires slightly late.
	e.nextReportAt = now.Add(min(time.Duration(u.EveryMillis)*time.Millisecond, maxReportPause) - syncInterval/2)
	if e.sendEndpoints = u.Tell; e.sendEndpoints {
		e.nextReportAt = now
	}
	e.recordLeader(ctx, to, u)
	e.handler.Reported(e.reportedAt, r, u)
	e.apply(ctx, r, u, now)
	if e.view.Empty() {
		e.nextReportAt = now // no request can be served until the leader knows endpoints
	}
	return false
}

// reportTarget returns the leader, or else the next candidate that may know the leader.
func (e *Entry) reportTarget() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leader != "" {
		return e.leader
	}
	candidates := slices.Clone(e.instances)
	for _, s := range e.seeds {
		candidates = append(candidates, s.Addr().String())
	}
	slices.Sort(candidates)
	candidates = slices.Compact(candidates)
	e.nextCandidate++
	return candidates[e.nextCandidate%len(candidates)]
}

func (e *Entry) recordNoLeader(ctx context.Context, to string, u report.Update, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failedReports++
	if e.failedReports == 1 {
		event.Log(ctx, e.options.Logger, event.LeaderSilent, slog.String("Instance", to), slog.String("Named", u.Leader),
			slog.Any("Error", err))
	}
	e.outage.LookupFailed(e.options.Now(), err == nil)
	e.leader = ""
	if err == nil && u.Leader != to {
		e.leader = u.Leader
	}
	if len(u.Instances) > 0 {
		e.instances = u.Instances
	}
}

func (e *Entry) recordLeader(ctx context.Context, to string, u report.Update) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.failedReports > 0 || e.leader != to {
		event.Log(ctx, e.options.Logger, event.LeaderFound, slog.String("Instance", to), slog.Uint64("Term", u.Term),
			slog.Int("Failed", e.failedReports))
	}
	e.leader, e.failedReports, e.instances = to, 0, u.Instances
	e.outage.Answered()
}

func (e *Entry) apply(ctx context.Context, r report.Entry, u report.Update, sentAt time.Time) {
	changed, err := e.view.Apply(sentAt, u, e.options.Decode)
	if err != nil {
		event.Log(ctx, e.options.Logger, event.ViewRefused, slog.Uint64("Version", u.Document), slog.Any("Error", err))
		return
	}
	for _, removed := range changed.Removed {
		e.options.Pool.Drop(removed.Address)
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
	if changed.Quarantine {
		event.Log(ctx, e.options.Logger, event.QuarantineUpdated, slog.Uint64("Revision", u.QuarantineRevision), slog.Any("Parts", u.Quarantine))
	}
	index := e.view.Index()
	if index == nil {
		return
	}
	limits := map[string]quota.Limit{}
	for _, c := range index.Customers {
		limits[c.Name] = control.Limit(c)
	}
	// The leader may have delayed the answer, and measures the time since this entry's last report from it.
	terms := quota.Terms{LeaderlessFrom: e.options.Now().Add(control.LeaderlessAfter), Expires: sentAt.Add(control.ShareLease)}
	e.handler.Grant(terms, u.Grants, limits)
	e.handler.GrantEndpoints(sentAt, r, u, terms)
	e.serving.Store(true)
}

// requestPlacement asks the leader to place an adapter. If the leader changes meanwhile, it tries again until ctx ends.
func (e *Entry) requestPlacement(ctx context.Context, w report.PlacementRequest) (p report.PlacementReply, err error) {
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
			event.Log(ctx, e.options.Logger, event.AdapterRequested, slog.String("Adapter", w.Adapter.Name),
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

// findOrigin asks the leader which software version began a stream. While no leader answers, it tries again until ctx ends.
func (e *Entry) findOrigin(ctx context.Context, q report.OriginRequest) (reply report.OriginReply, err error) {
	for {
		e.mu.Lock()
		leader := e.leader
		e.mu.Unlock()
		err = ErrNoLeader
		if leader != "" {
			reply = report.OriginReply{}
			if err = e.peers.Call(ctx, leader, report.OriginMethod, q, &reply); err == nil && reply.Leading {
				return reply, nil
			}
		}
		select {
		case <-ctx.Done():
			return reply, errs.Combine(ErrNoLeader, err)
		case <-time.After(originRetry):
		}
	}
}

// originRetry is a quarter of the interval in which an entry looks for a leader.
const originRetry = syncInterval / 4
