package control

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"time"

	"lycheevale/internal/base/event"
	"lycheevale/internal/limit/quota"
	"lycheevale/internal/member/report"
	"lycheevale/internal/place/residency"
)

// handleSync answers the report of an entry. While no leader is known, it waits up to leaderWait for one, so that entries need not try
// all instances in turn.
func (c *Control) handleSync(ctx context.Context, _ string, r report.Entry) (report.Update, error) {
	ctx, cancel := context.WithTimeout(ctx, leaderWait)
	defer cancel()
	for {
		c.mu.Lock()
		if ls := c.acting(); ls != nil {
			u := ls.sync(r)
			c.mu.Unlock()
			return u, nil
		}
		redirect := report.Update{Leader: c.leader, Instances: c.liveInstances()}
		leaderChanged := c.leaderChanged
		c.mu.Unlock()
		if redirect.Leader != "" && redirect.Leader != c.name {
			return redirect, nil
		}
		select {
		case <-ctx.Done():
			return redirect, nil
		case <-leaderChanged:
		}
	}
}

// leaderWait is less than half of the timeout of an entry's report.
const leaderWait = 300 * time.Millisecond

// liveInstances returns the names of the control instances that are alive. The caller holds c.mu.
func (c *Control) liveInstances() []string {
	live := []string{c.name}
	now := c.options.Now()
	for name, at := range c.lastContact {
		if now.Sub(at) < lostAfter {
			live = append(live, name)
		}
	}
	slices.Sort(live)
	return live
}

func (ls *leaderState) sync(r report.Entry) report.Update {
	now := ls.now()
	ls.placer.RecordUses(now, r.Name, r.Uses)
	ls.placer.RecordAnswers(now, r.Answers)
	ls.recordActive(now, r)
	if len(r.Known) > 0 {
		ls.inherit(now, r)
	}
	ls.recordLeaving(now, r)
	ls.recordStreams(now, r)
	interval := reportInterval(len(ls.entries))
	ls.placer.SetReportInterval(interval)
	u := report.Update{
		Leading: true, Instances: ls.control.liveInstances(), Term: ls.term, Running: ls.listed(ls.active), Backlog: ls.listed(ls.backlog), Entries: len(ls.entries),
		EveryMillis: interval.Milliseconds(), Versions: ls.census.All(), VersionsRevision: ls.census.Revision(),
		Grants: ls.pool.Report(now, quota.Report{Entry: r.Name, DataCentre: r.DataCentre, Uses: r.Customers}, ls.limits),
	}
	u.Tell = ls.requestsKnownEndpoints(r)
	ls.fillCeilings(&u, now, r)
	ls.fillDeputies(&u, r)
	ls.fillState(&u, r)
	ls.fillPlacement(&u, r)
	ls.recordSignatures(&u, now, r)
	return u
}

const (
	// minReportInterval is a fifth of the time in which a change must take effect at every entry.
	minReportInterval = 200 * time.Millisecond
	// maxReportInterval allows two reports within entrySilence.
	maxReportInterval = 600 * time.Millisecond
	// reportsPerSecond is the rate that a leader answers with about a tenth of a core.
	reportsPerSecond = 150
)

// reportInterval lengthens the interval with the number of entries, so that the load on the leader stays constant.
func reportInterval(entries int) time.Duration {
	return min(max(time.Duration(entries)*time.Second/reportsPerSecond, minReportInterval), maxReportInterval)
}

// recordActive updates the number of active requests of each endpoint from a report.
func (ls *leaderState) recordActive(now time.Time, r report.Entry) {
	if before := ls.entries[r.Name]; before != nil {
		ls.addActive(before.active, -1)
		ls.addBacklog(before.backlog, -1)
	}
	maps.DeleteFunc(r.Active, notPositive)
	maps.DeleteFunc(r.Backlog, notPositive)
	e := &entry{active: r.Active, backlog: r.Backlog, at: now}
	if r.Term == ls.term {
		e.versions = r.Versions
	}
	ls.entries[r.Name] = e
	ls.addresses[r.Name] = report.Deputy{Address: r.Address, DataCentre: r.DataCentre}
	ls.addActive(r.Active, 1)
	ls.addBacklog(r.Backlog, 1)
}

func notPositive(_ string, n int) bool { return n <= 0 }

func (ls *leaderState) addBacklog(backlog map[string]int, sign int) {
	for id, ms := range backlog {
		if ls.backlog[id] += sign * ms; ls.backlog[id] <= 0 {
			delete(ls.backlog, id)
		}
		ls.placer.SetBacklog(id, time.Duration(ls.backlog[id])*time.Millisecond)
	}
}

func (ls *leaderState) addActive(active map[string]int, sign int) {
	for id, n := range active {
		if ls.active[id] += sign * n; ls.active[id] <= 0 {
			delete(ls.active, id)
		}
		if e, ok := ls.roster.Get(id); ok && e.Slots > 0 {
			ls.placer.SetLoad(id, float64(ls.active[id])/float64(e.Slots))
		}
	}
}

// listed returns a figure of each endpoint, in the order of the list.
func (ls *leaderState) listed(figures map[string]int) []int {
	list := ls.endpoints()
	ordered := make([]int, len(list))
	for i, e := range list {
		ordered[i] = figures[e.ID]
	}
	return ordered
}

// endpoints returns the list of endpoints, which is rebuilt only after a change.
func (ls *leaderState) endpoints() []report.Endpoint {
	if r := ls.roster.Revision(); ls.listRevision != r {
		ls.listRevision, ls.list = r, ls.roster.Endpoints()
	}
	return ls.list
}

// removeSilentEntries removes entries that have stopped reporting.
func (ls *leaderState) removeSilentEntries(now time.Time) {
	for name, e := range ls.entries {
		if now.Sub(e.at) >= entrySilence {
			ls.recordSilentEntry(e)
			delete(ls.entries, name)
			ls.placer.RemoveEntry(name)
			ls.addActive(e.active, -1)
			ls.addBacklog(e.backlog, -1)
		}
	}
}

// fillDeputies fills in the entries that lend while no leader answers. Deputies that have not reported yet are left out.
func (ls *leaderState) fillDeputies(u *report.Update, r report.Entry) {
	names, revision := ls.pool.Deputies()
	var list []report.Deputy
	for _, name := range names {
		if d, reported := ls.addresses[name]; reported {
			list = append(list, d)
		}
	}
	// The value changes with the names, and whenever another deputy has reported.
	u.DeputyChange = revision*uint64(len(names)+1) + uint64(len(list))
	if r.Term != ls.term || r.Deputies != u.DeputyChange {
		u.Deputies = list
	}
}

func (ls *leaderState) fillState(u *report.Update, r report.Entry) {
	state := ls.control.machine.Stored()
	u.Document, u.AdapterCount = state.Version, state.Changes
	if state.Version > r.Document {
		u.Content = state.Packed
	}
	if state.Changes > r.Adapters {
		for _, v := range state.Adapters {
			u.Adapters = append(u.Adapters, report.Version{
				Adapter: residency.Adapter{Model: v.Model, Name: v.Adapter}, Version: v.Version,
			})
		}
	}
}

func (ls *leaderState) fillPlacement(u *report.Update, r report.Entry) {
	u.Directory, u.Partial = ls.directoryRevision(), ls.partial()
	known := r.Term == ls.term
	if !known || r.Directory != u.Directory {
		u.Endpoints = ls.endpoints()
		u.Software = software(u.Endpoints)
		if u.Partial { // the entry must not keep these beyond the list
			u.Departed = slices.Concat(ls.control.machine.Stored().Departures, ls.superseded)
		}
	}
	if known {
		events, next, lost := ls.placer.Since(r.Placement)
		if !lost {
			u.Events, u.Placement = events, next
			return
		}
	}
	_, next, _ := ls.placer.Since(0)
	u.Reset, u.Events, u.Placement = true, ls.placer.Snapshot(), next
	if len(u.Endpoints) == 0 {
		u.Endpoints = ls.endpoints()
		u.Software = software(u.Endpoints)
	}
}

// placeAdapter chooses a place for an adapter. The channel receives whether the order was accepted; it is nil if no order is needed.
// If no place was found, the caller logs that once it gives up.
func (ls *leaderState) placeAdapter(ctx context.Context, from string, w report.PlacementRequest) (placed report.PlacementReply, accepted <-chan bool) {
	now := ls.now()
	if w.Missing != "" && ls.placer.RecordMissing(now, w.Missing, w.Adapter) && ls.queues[w.Missing] != nil {
		ls.queues[w.Missing].sequenceKnown = false
	}
	choice, ok := ls.placer.Want(now, w.Adapter, w.DataCentre, w.Replicate, w.Avoid...)
	if !ok {
		return report.PlacementReply{Leading: true}, nil
	}
	ls.logPlaced(ctx, from, w, choice)
	details, _ := ls.roster.Endpoint(choice.Endpoint) // empty if it has just been removed
	placed = report.PlacementReply{
		Leading: true, Endpoint: choice.Endpoint, Details: details, Version: choice.Holding.Version,
		InMillis: max(choice.ReadyAt.Sub(now), 0).Milliseconds(),
	}
	if !choice.Order {
		return placed, nil
	}
	done := make(chan bool, 1)
	ls.enqueueOrder(ctx, choice.Endpoint, orderJob{load: true, holding: choice.Holding, done: done})
	return placed, done
}

func (ls *leaderState) logPlaced(ctx context.Context, from string, w report.PlacementRequest, c residency.Choice) {
	attrs := []slog.Attr{
		slog.String("Entry", from), slog.String("Adapter", w.Adapter.Name), slog.String("DataCentre", w.DataCentre),
		slog.Bool("Replicate", w.Replicate), slog.String("Missing", w.Missing), slog.String("Endpoint", c.Endpoint),
		slog.Int("Version", c.Holding.Version), slog.Bool("Order", c.Order),
	}
	if c.Endpoint == "" {
		attrs = append(attrs, slog.Any("Places", placeSummary{ls}))
	}
	event.Log(ctx, ls.control.options.Logger, event.AdapterPlaced, attrs...)
}

// placeSummary counts the places of a leader only if its log line is written, since lines beyond a limit are left out.
type placeSummary struct{ state *leaderState }

// LogValue implements slog.LogValuer. The caller of the logger holds the mutex of Control.
func (p placeSummary) LogValue() slog.Value {
	return slog.AnyValue(p.state.placer.Summary(p.state.now()))
}
