package control

import (
	"context"
	"encoding/binary"
	"log/slog"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lycheevale/internal/base/event"
	"lycheevale/internal/member/report"
	"lycheevale/internal/place/quarantine"
	"lycheevale/internal/state/document"
)

// detectInterval is half of the shortest interval of reports.
const detectInterval = 100 * time.Millisecond

// settleReports is the number of report intervals in which all entries have learned of a suspect and reported its begins.
const settleReports = 2

// recordSignatures adds what an entry reports of signatures, and fills in what it needs to know.
func (ls *leaderState) recordSignatures(u *report.Update, now time.Time, r report.Entry) {
	ls.detector.Record(now, r.Name, r.Crashes)
	ls.detector.RecordBegins(now, r.Begins)
	if u.Trials = ls.detector.Asked(now, r.Refused); len(u.Trials) > 0 {
		event.Log(context.Background(), ls.control.options.Logger, event.PartTried, slog.String("Entry", r.Name), slog.Any("Parts", u.Trials))
	}
	if u.Held, u.Turns = ls.detector.Held(), ls.detector.Turns(now, r.Waiting); len(u.Turns) > 0 {
		event.Log(context.Background(), ls.control.options.Logger, event.TurnPermitted, slog.String("Entry", r.Name), slog.Any("Requests", u.Turns))
	}
	if u.SuspectRevision = ls.suspectRevision; r.Suspects != u.SuspectRevision {
		u.Suspects = ls.suspects
	}
	state := ls.control.machine.Stored()
	if u.QuarantineRevision = state.QuarantineRevision; r.Quarantine < u.QuarantineRevision {
		u.Quarantine = state.Quarantine
	}
}

// applyQuarantine passes the stored signatures to the detector.
func (ls *leaderState) applyQuarantine(state document.Stored) {
	if state.QuarantineRevision > ls.quarantineRevision {
		ls.quarantineRevision = state.QuarantineRevision
		ls.detector.SetQuarantined(ls.now(), state.Quarantine)
	}
}

// detect decides which signatures are quarantined and released. A change is replicated before any entry follows it, so that it
// survives the leader.
func (ls *leaderState) detect(ctx context.Context, now time.Time) {
	if now.Sub(ls.detectedAt) < detectInterval {
		return
	}
	ls.detectedAt = now
	ls.detector.SetSettle(settleReports*reportInterval(len(ls.entries)) + detectInterval)
	if suspects := ls.detector.Suspects(); !slices.Equal(suspects, ls.suspects) {
		ls.suspects, ls.suspectRevision = suspects, checksum(suspects)
	}
	if ls.quarantining {
		return
	}
	command := document.Command{Action: document.Quarantine, Quarantine: ls.detector.Blame(now), Release: ls.detector.Release(now)}
	if len(command.Quarantine)+len(command.Release) == 0 {
		return
	}
	ls.quarantining = true
	c := ls.control
	c.group.Go(func() error {
		err := ls.propose(ctx, command)
		event.Log(ctx, c.options.Logger, event.PartsQuarantined, slog.Uint64("Term", ls.term), slog.Any("Added", command.Quarantine),
			slog.Any("Released", command.Release), slog.Any("Error", err))
		c.mu.Lock()
		defer c.mu.Unlock()
		ls.quarantining = false
		return nil
	})
}

// checksum returns a value that identifies a list of signatures, 0 for an empty one.
func checksum(signatures []quarantine.Signature) uint64 {
	if len(signatures) == 0 {
		return 0
	}
	var text []byte
	for _, s := range signatures {
		text = slices.Concat(binary.AppendUvarint(text, uint64(len(s.Service))), []byte(s.Service), []byte(s.ID), []byte{0})
	}
	return xxhash.Sum64(text)
}
