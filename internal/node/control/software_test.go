package control

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"lycheevale/internal/member/report"
)

// A software version appears while entries report, are silent, or have stopped. Guards against endpoints of the version that get work while an entry still
// relies on a list without it, and would continue their streams elsewhere; and against a version that waits for entries that are gone.
func TestNewVersionWaitsForEntries(t *testing.T) {
	c := quicktest.New(t)
	start := time.Unix(1_800_000_000, 0)
	now := start
	ls := newLeaderState(&Control{options: Options{Now: func() time.Time { return now }}}, 1)
	now = start.Add(time.Minute)
	since := now
	ls.recordActive(since.Add(-100*time.Millisecond), report.Entry{Name: "reports"})
	ls.recordActive(since.Add(-1200*time.Millisecond), report.Entry{Name: "silent"})
	at := func(after time.Duration) bool {
		now = since.Add(after)
		ls.removeSilentEntries(now)
		return ls.informed(since)
	}
	c.Check(at(100*time.Millisecond), quicktest.IsFalse)
	ls.recordActive(since.Add(200*time.Millisecond), report.Entry{Name: "reports"})
	c.Check(at(300*time.Millisecond), quicktest.IsFalse) // the other one has been silent for 1.5 s, and may use its list until 1.8 s
	for _, step := range []time.Duration{time.Second, 1700 * time.Millisecond, 1800 * time.Millisecond} {
		ls.recordActive(since.Add(step), report.Entry{Name: "reports"})
		c.Check(at(step), quicktest.Equals, step == 1800*time.Millisecond, quicktest.Commentf("after %v", step))
	}
	ls.recordSilentEntry(&entry{at: since.Add(3 * time.Second)})
	c.Check(at(report.VersionsLease), quicktest.IsTrue)
}
