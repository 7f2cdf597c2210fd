package control

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"lycheevale/internal/base/event"
	"lycheevale/internal/limit/quota"
	"lycheevale/internal/member/report"
	"lycheevale/internal/place/residency"
)

// sync answers the report of an entry. While no leader is known, the report waits a moment for one, so that entries need not ask
// all instances in turn.
func (c *Control) sync(ctx context.Context, _ string, r report.Entry) (report.Update, error) {
	ctx, cancel := context.WithTimeout(ctx, leaderWait)
	defer cancel()
	for {
		c.mu.Lock()
		if c.office != nil && c.leading() != 0 {
			u := c.office.sync(r)
			c.mu.Unlock()
			return u, nil
		}
		elsewhere := report.Update{Leader: c.leader, Instances: c.instances()}
		news := c.news
		c.mu.Unlock()
		if elsewhere.Leader != "" && elsewhere.Leader != c.name {
			return elsewhere, nil
		}
		select {
		case <-ctx.Done():
			return elsewhere, nil
		case <-news:
		}
	}
}

// leaderWait leaves an entry most of the time of its question.
const leaderWait = 300 * time.Millisecond

// instances returns the names of control instances that live. c.mu is held.
func (c *Control) instances() []string {
	live := []string{c.name}
	now := c.options.Now()
	for name, at := range c.known {
		if now.Sub(at) < lostWait {
			live = append(live, name)
		}
	}
	slices.Sort(live)
	return live
}

func (o *office) sync(r report.Entry) report.Update {
	now := o.now()
	for _, u := range r.Uses {
		o.placer.RecordUse(now, u)
	}
	o.count(now, r)
	if len(r.Known) > 0 {
		o.inherit(now, r)
	}
	u := report.Update{
		Leading: true, Instances: o.control.instances(), Term: o.term, Running: o.running(), Entries: len(o.entries),
		EveryMillis: reportEvery(len(o.entries)).Milliseconds(),
		Grants:      o.pool.Report(now, quota.Report{Entry: r.Name, DataCentre: r.DataCentre, Uses: r.Customers}, o.limits),
	}
	u.Tell = o.asksToTell(r)
	o.fillDeputies(&u, r)
	o.fillState(&u, r)
	o.fillPlacement(&u, r)
	return u
}

const (
	// shortestReport is a fifth of the time in which a change has to be in effect at every entry.
	shortestReport = 200 * time.Millisecond
	// longestReport leaves two reports within the time for which a use counts.
	longestReport = 600 * time.Millisecond
	// reportsPerSecond is what a leader answers with about a tenth of a core.
	reportsPerSecond = 150
)

// reportEvery spreads the reports of many entries, so that they take the same part of a leader's time.
func reportEvery(entries int) time.Duration {
	return min(max(time.Duration(entries)*time.Second/reportsPerSecond, shortestReport), longestReport)
}

// count keeps the number of requests that run at each endpoint up to date with a report.
func (o *office) count(now time.Time, r report.Entry) {
	if before := o.entries[r.Name]; before != nil {
		o.add(before.active, -1)
	}
	o.entries[r.Name] = &entry{active: r.Active, at: now}
	o.addresses[r.Name] = report.Deputy{Address: r.Address, DataCentre: r.DataCentre}
	o.add(r.Active, 1)
}

func (o *office) add(active map[string]int, sign int) {
	for id, n := range active {
		if o.active[id] += sign * n; o.active[id] <= 0 {
			delete(o.active, id)
		}
		if e, ok := o.roster.Get(id); ok && e.Slots > 0 {
			o.placer.SetLoad(id, float64(o.active[id])/float64(e.Slots))
		}
	}
}

// running returns the requests that run at each endpoint, in the order of the list.
func (o *office) running() []int {
	list := o.endpoints()
	counts := make([]int, len(list))
	for i, e := range list {
		counts[i] = o.active[e.ID]
	}
	return counts
}

// endpoints returns the list of endpoints, which is made anew only when it has changed.
func (o *office) endpoints() []report.Endpoint {
	if r := o.roster.Revision(); o.listed != r {
		o.listed, o.list = r, o.roster.Endpoints()
	}
	return o.list
}

// forgetSilent leaves out entries that do not report any more.
func (o *office) forgetSilent(now time.Time) {
	for name, e := range o.entries {
		if now.Sub(e.at) >= entrySilence {
			delete(o.entries, name)
			o.add(e.active, -1)
		}
	}
}

// fillDeputies names the entries that lend while no leader answers, as far as they have reported.
func (o *office) fillDeputies(u *report.Update, r report.Entry) {
	names, revision := o.pool.Deputies()
	var list []report.Deputy
	for _, name := range names {
		if d, reported := o.addresses[name]; reported {
			list = append(list, d)
		}
	}
	// It changes with the names, and with each of them that reports.
	u.DeputyChange = revision*uint64(len(names)+1) + uint64(len(list))
	if r.Term != o.term || r.Deputies != u.DeputyChange {
		u.Deputies = list
	}
}

func (o *office) fillState(u *report.Update, r report.Entry) {
	state := o.control.machine.Stored()
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

func (o *office) fillPlacement(u *report.Update, r report.Entry) {
	u.Directory, u.Partial = o.directory(), o.partial()
	known := r.Term == o.term
	if !known || r.Directory != u.Directory {
		u.Endpoints = o.endpoints()
	}
	if known {
		events, next, lost := o.placer.Since(r.Placement)
		if !lost {
			u.Events, u.Placement = events, next
			return
		}
	}
	_, next, _ := o.placer.Since(0)
	u.Reset, u.Events, u.Placement = true, o.placer.Snapshot(), next
	if len(u.Endpoints) == 0 {
		u.Endpoints = o.endpoints()
	}
}

// want chooses a place. The channel tells whether the order that is needed was accepted; it is nil if none is. A choice that
// found no place is logged by whoever gives up on it.
func (o *office) want(ctx context.Context, from string, w report.PlacementRequest) (placed report.PlacementReply, accepted <-chan bool) {
	now := o.now()
	if w.Missing != "" && o.placer.RecordMissing(now, w.Missing, w.Adapter) && o.lines[w.Missing] != nil {
		o.lines[w.Missing].known = false
	}
	choice, ok := o.placer.Want(now, w.Adapter, w.DataCentre, w.Replicate, w.Avoid...)
	if !ok {
		return report.PlacementReply{Leading: true}, nil
	}
	o.logPlaced(ctx, from, w, choice)
	details, _ := o.roster.Endpoint(choice.Endpoint) // empty if it has just gone
	placed = report.PlacementReply{
		Leading: true, Endpoint: choice.Endpoint, Details: details, Version: choice.Holding.Version,
		InMillis: max(choice.ReadyAt.Sub(now), 0).Milliseconds(),
	}
	if !choice.Order {
		return placed, nil
	}
	done := make(chan bool, 1)
	o.order(ctx, choice.Endpoint, job{load: true, holding: choice.Holding, done: done})
	return placed, done
}

func (o *office) logPlaced(ctx context.Context, from string, w report.PlacementRequest, c residency.Choice) {
	attrs := []slog.Attr{
		slog.String("Entry", from), slog.String("Adapter", w.Adapter.Name), slog.String("DataCentre", w.DataCentre),
		slog.Bool("Replicate", w.Replicate), slog.String("Missing", w.Missing), slog.String("Endpoint", c.Endpoint),
		slog.Int("Version", c.Holding.Version), slog.Bool("Order", c.Order),
	}
	if c.Endpoint == "" {
		attrs = append(attrs, slog.Any("Places", o.placer.Summary(o.now())))
	}
	event.Log(ctx, o.control.options.Logger, event.AdapterPlaced, attrs...)
}
