package control

import (
	"time"

	"lycheevale/internal/member/report"
	"lycheevale/internal/member/roster"
	"lycheevale/internal/state/document"
)

// departureRetention exceeds the time for which an endpoint that has left, or its late announcements, may be met.
const departureRetention = 2 * time.Minute

// mayInherit reports whether an endpoint that states neither its start time nor is known here may be taken over from entries soon. Its departure
// is recorded once its incarnation is known.
func (ls *leaderState) mayInherit(a roster.Announcement) bool {
	if !a.Gone || a.Born != 0 || !ls.partial() || ls.inheritSources > 0 {
		return false
	}
	_, departed := ls.roster.Departure(a, false)
	_, known := ls.roster.Get(a.ID)
	return !known && !departed
}

// departureCommand returns the command that stores the departure of which an announcement has told, and removes old ones. It is empty if there is
// nothing to store.
func (ls *leaderState) departureCommand(a roster.Announcement) (command document.Command) {
	d, departs := ls.roster.Departure(a, ls.partial())
	if !departs || ls.control.machine.Stored().HoldsDeparture(d) {
		return command
	}
	command.Action = document.Depart
	command.Depart = append(command.Depart, d)
	for id, at := range ls.departed {
		if ls.now().Sub(at) >= departureRetention && id != d.ID {
			command.Forget = append(command.Forget, id)
		}
	}
	return command
}

// applyDepartures applies the stored departures to the endpoints, of which a new leader learns from entries.
func (ls *leaderState) applyDepartures(stored document.Stored) {
	if stored.DepartureRevision <= ls.departureRevision {
		return
	}
	ls.departureRevision = stored.DepartureRevision
	now, before := ls.now(), ls.departed
	ls.departed = map[string]time.Time{}
	for _, d := range stored.Departures {
		at, known := before[d.ID]
		if !known {
			at = now
		}
		ls.departed[d.ID] = at
		ls.depart(now, d)
	}
}

// recordLeaving applies what endpoints have stated in their answers to an entry. It need not be stored: the entry states it to each leader.
func (ls *leaderState) recordLeaving(now time.Time, r report.Entry) {
	for _, d := range r.Leaving {
		d.Gone = false
		ls.depart(now, d)
	}
}

func (ls *leaderState) depart(now time.Time, d report.Departure) {
	if !ls.roster.Depart(now, d) {
		return
	}
	if current, listed := ls.roster.Get(d.ID); listed {
		ls.updatePlacer(current)
	} else {
		ls.removeEndpoint(d.ID)
	}
}
