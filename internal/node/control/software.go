package control

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"lycheevale/internal/base/event"
	"lycheevale/internal/member/report"
	"lycheevale/internal/member/roster"
	"lycheevale/internal/place/origin"
	"lycheevale/internal/state/document"
)

func softwareOf(a roster.Announcement) origin.Software {
	return origin.Software{Service: a.Service, Version: a.Software}
}

// software returns the software version of each endpoint, or nothing if none names one.
func software(list []report.Endpoint) (versions []string) {
	named := false
	for _, e := range list {
		versions = append(versions, e.Software)
		named = named || e.Software != ""
	}
	if !named {
		return nil
	}
	return versions
}

// admitsSoftware reports whether an announcement may be recorded. An endpoint with a software version that is new to its service gets work only once
// the version is stored and no entry relies on a list without it: such an entry would continue the endpoint's streams at another version.
func (ls *leaderState) admitsSoftware(a roster.Announcement) bool {
	if a.Gone || a.Leaving {
		return true // it gets no work
	}
	current, listed := ls.roster.Get(a.ID)
	if (listed && current.Born == a.Born && (current.Software != "" || a.Software == "")) || ls.roster.Outdated(a) {
		return true
	}
	now, s := ls.now(), softwareOf(a)
	if ls.lacksSoftware(a) {
		ls.supersede(now, a)
		return false
	}
	ls.census.Observe(now, s)
	if ls.census.Usable(s, ls.informed) {
		ls.census.ObserveListed(now, s)
		return true
	}
	if !listed || current.Born < a.Born {
		ls.supersede(now, a)
	}
	return false
}

// lacksSoftware reports whether an announcement has come by way of an instance of an earlier release, which leaves out the software version, although
// endpoints of the service name theirs. The endpoint goes on to other instances.
func (ls *leaderState) lacksSoftware(a roster.Announcement) bool {
	named := func(version string) bool { return version != "" }
	return a.Software == "" && !a.SoftwareStated && slices.ContainsFunc(ls.census.Versions(a.Service), named)
}

// supersede records that the earlier incarnations of an endpoint have ended, also those that an earlier leader has listed to entries. The roster does not
// know the new one yet.
func (ls *leaderState) supersede(now time.Time, a roster.Announcement) {
	d := report.Departure{ID: a.ID, Born: a.Born - 1, Gone: true}
	if d.Born <= 0 { // 0 would cover the new one
		return
	}
	ls.depart(now, d)
	if ls.partial() && !slices.Contains(ls.superseded, d) {
		ls.superseded = append(ls.superseded, d)
	}
}

// informed reports whether no entry relies on a list of software versions that lacks those of a revision of the census, which was made at a time: each has
// reported that it knows the revision, or its list is too old.
func (ls *leaderState) informed(since time.Time, revision uint64) bool {
	now := ls.now()
	if now.Before(ls.outdatedAt) {
		return false
	}
	if now.Sub(since) >= report.VersionsLease {
		return true
	}
	for _, e := range ls.entries {
		if e.versions < revision {
			return false
		}
	}
	return !now.Before(ls.informedAt)
}

// maxOverlap is the longest time for which a leader that has lost the majority acts beside its successor: it steps down when no answer has come for two
// election timeouts, and its state may be read for a moment longer.
const maxOverlap = 2*electionTimeout + maxStatusAge

// earlierListsUntil returns when no entry relies on a list of a leader before one that begins now. Without a configuration, no stream can have begun.
func (c *Control) earlierListsUntil(now time.Time) time.Time {
	if c.machine == nil || c.machine.Stored().Version == 0 {
		return time.Time{}
	}
	return now.Add(maxOverlap + report.VersionsLease)
}

// recordSilentEntry records that an entry has stopped reporting, which may be running still.
func (ls *leaderState) recordSilentEntry(e *entry) {
	if until := e.at.Add(report.VersionsLease); until.After(ls.informedAt) {
		ls.informedAt = until
	}
}

// settleTime is the time in which all entries have reported again.
func (ls *leaderState) settleTime() time.Duration {
	return settleReports * reportInterval(len(ls.entries))
}

// countInterval is short compared with the time for which software versions count.
const countInterval = 100 * time.Millisecond

// countSoftware records which software versions serve, and stores changes, so that a new leader knows which versions may have begun streams.
func (ls *leaderState) countSoftware(ctx context.Context, now time.Time) {
	if now.Sub(ls.countedAt) < countInterval || ls.storingSoftware {
		return
	}
	added, removed := ls.softwareChanges(now)
	if len(added)+len(removed) == 0 {
		return
	}
	ls.storingSoftware = true
	c := ls.control
	c.group.Go(func() error {
		err := ls.propose(ctx, document.Command{Action: document.Software, Introduce: added, Retire: removed})
		event.Log(ctx, c.options.Logger, event.SoftwareChanged, slog.Uint64("Term", ls.term), slog.Any("Added", added), slog.Any("Removed", removed),
			slog.Any("Error", err))
		c.mu.Lock()
		defer c.mu.Unlock()
		ls.storingSoftware = false
		return nil
	})
}

// softwareChanges records which software versions serve now, and returns the changes that are to be stored.
func (ls *leaderState) softwareChanges(now time.Time) (added, removed []origin.Software) {
	ls.countedAt = now
	for _, e := range ls.endpoints() {
		ls.census.Observe(now, origin.Software{Service: e.Service, Version: e.Software})
	}
	retention := ls.streamRetention()
	ls.streams.Forget(now, retention)
	return ls.census.Changes(now, retention)
}

func (ls *leaderState) streamRetention() time.Duration {
	if ls.index == nil {
		return origin.Retention(0)
	}
	return origin.Retention(ls.index.LongestTimeout())
}

// applySoftware passes the stored software versions to the census.
func (ls *leaderState) applySoftware(stored document.Stored) {
	if stored.SoftwareRevision > ls.softwareRevision {
		ls.softwareRevision = stored.SoftwareRevision
		ls.census.Restore(ls.now(), stored.Software)
	}
}

// recordStreams records the streams that have begun at an entry.
func (ls *leaderState) recordStreams(now time.Time, r report.Entry) {
	for _, s := range r.Streams {
		ls.streams.Record(now, s)
	}
}

// handleOrigin answers which software version began a stream. If that is not known, it waits for the next reports of the entries.
func (c *Control) handleOrigin(ctx context.Context, _ string, q report.OriginRequest) (reply report.OriginReply, err error) {
	var lookup originLookup
	for {
		c.mu.Lock()
		ls := c.acting()
		if ls == nil {
			defer c.mu.Unlock()
			return report.OriginReply{Leader: c.leader}, nil
		}
		if lookup.term != ls.term {
			lookup = ls.beginLookup(q)
		}
		reply, settled := ls.origin(q, lookup), ls.haveReported(lookup.arrived)
		c.mu.Unlock()
		if reply.Known || settled {
			return reply, nil
		}
		select {
		case <-ctx.Done():
			return reply, ctx.Err()
		case <-ls.life.Done():
		case <-time.After(originInterval):
		}
	}
}

// haveReported reports whether all entries have reported since a time, or have had the time to.
func (ls *leaderState) haveReported(since time.Time) bool {
	if ls.now().Sub(since) >= ls.settleTime() {
		return true
	}
	for _, e := range ls.entries {
		if !e.at.After(since) {
			return false
		}
	}
	return len(ls.entries) > 0
}

// originInterval is short compared with the interval of reports.
const originInterval = 50 * time.Millisecond

// originLookup is a lookup at the leader of a term. A version whose endpoints are listed only after it has arrived has not begun the stream.
type originLookup struct {
	term     uint64
	arrived  time.Time
	versions []string
}

func (ls *leaderState) beginLookup(q report.OriginRequest) originLookup {
	return originLookup{ls.term, ls.now(), ls.census.Begun(q.Service)}
}

func (ls *leaderState) origin(q report.OriginRequest, l originLookup) report.OriginReply {
	reply := report.OriginReply{Leading: true, Versions: l.versions}
	if s, known := ls.streams.Find(q.Attempt); known {
		reply.Known, reply.Software = true, &s
	}
	return reply
}
