package burn_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"lycheevale/internal/base/golden"
	"lycheevale/internal/base/refusal"
	"lycheevale/internal/state/registry"
	"lycheevale/internal/tool/burn"
)

var start = time.Date(2026, 3, 2, 9, 30, 0, 0, time.UTC)

func objective(service string) registry.Objective {
	if service == "quill" {
		return registry.Objective{Availability: 0.995, FirstTokenMS: 320}
	}
	return registry.Objective{Availability: 0.999}
}

func ExampleRecorder() {
	r := burn.New(burn.WithObjective(objective))
	for i := range 100 {
		o := burn.Outcome{Customer: "banksia", Service: "quill", FirstToken: 100 * time.Millisecond}
		if i == 0 {
			o.Refused = refusal.Overloaded
		}
		r.Observe(start, o)
	}
	report := burn.Compute(start, r.Snapshot(start), objective)
	_ = report.WriteText(os.Stdout)
	// Output:
	// Service level burn at 2026-03-02T09:30:00Z
	//
	// CUSTOMER  SERVICE  OBJECTIVE     TARGET  REACHED  BUDGET LEFT  5 MIN  1 H   6 H   3 D   STATUS   SPENT BY
	// banksia   quill    availability  99.50%  99.00%   -100.00%     2.00   2.00  2.00  2.00  Warning  refusals 1 (200.00%)
	// banksia   quill    first token   95.00%  100.00%  100.00%      0.00   0.00  0.00  0.00  OK       -
}

// outcomes plays three days with a phase of stalls and, at the end, an hour of faults.
func outcomes(observe func(at time.Time, o burn.Outcome)) (end time.Time) {
	random := rand.New(rand.NewPCG(1, 1))
	end = start.Add(72 * time.Hour)
	for at := start; at.Before(end); at = at.Add(time.Minute) {
		for _, service := range []string{"quill", "ledger"} {
			o := burn.Outcome{Customer: []string{"banksia", "koro", ""}[random.IntN(3)], Service: service}
			o.FirstToken = time.Duration(random.IntN(330)) * time.Millisecond
			stalls := at.Sub(start) > 20*time.Hour && at.Sub(start) < 26*time.Hour
			switch draw := random.IntN(100); {
			case stalls && draw < 30:
				o.Stalled, o.FirstToken = true, time.Second
			case at.After(end.Add(-time.Hour)) && o.Customer == "koro" && draw < 60:
				o.Failed = true
			case draw < 3:
				o.Refused = []refusal.Code{refusal.OverRate, refusal.Overloaded, refusal.BadRequest}[draw]
			}
			observe(at, o)
		}
	}
	return end
}

// Guards against changed figures or layout of the reports.
func TestReports(t *testing.T) {
	r := burn.New(burn.WithObjective(objective))
	end := outcomes(r.Observe)
	report := burn.Compute(end, r.Snapshot(end), objective)
	var text, html bytes.Buffer
	quicktest.Assert(t, report.WriteText(&text), quicktest.IsNil)
	quicktest.Assert(t, report.WriteHTML(&html), quicktest.IsNil)
	golden.Check(t, "testdata/report.txt", text.Bytes())
	golden.Check(t, "testdata/report.html", html.Bytes())
}

// Guards against merged snapshots of instances that differ from one recorder of all requests.
func TestMergeEqualsOneRecorder(t *testing.T) {
	c := quicktest.New(t)
	one, parts, n := burn.New(burn.WithObjective(objective)), []*burn.Recorder{}, 0
	for range 3 {
		parts = append(parts, burn.New(burn.WithObjective(objective)))
	}
	end := outcomes(func(at time.Time, o burn.Outcome) {
		one.Observe(at, o)
		parts[n%3].Observe(at, o)
		n++
	})
	var merged burn.Snapshot
	for _, p := range parts {
		raw, err := json.Marshal(p.Snapshot(end))
		c.Assert(err, quicktest.IsNil)
		var s burn.Snapshot
		c.Assert(json.Unmarshal(raw, &s), quicktest.IsNil)
		merged = burn.Merge(s, merged)
	}
	c.Assert(merged, quicktest.DeepEquals, one.Snapshot(end))
}

// Guards against memory that grows with customers or time, and against requests that are lost at the bound.
func TestRecorderIsBounded(t *testing.T) {
	c := quicktest.New(t)
	r := burn.New(burn.WithMaxSeries(10))
	at := start
	for i := range 5000 {
		at = at.Add(time.Minute)
		r.Observe(at, burn.Outcome{Customer: fmt.Sprint(i % 50), Service: "quill"})
	}
	var requests uint64
	s := r.Snapshot(at)
	c.Assert(len(s.Series) <= 11, quicktest.IsTrue)
	for _, one := range s.Series {
		c.Assert(len(one.Minutes) <= 60 && len(one.Hours) <= 72, quicktest.IsTrue)
		for _, b := range one.Hours {
			requests += b.Requests
		}
	}
	c.Assert(requests > 71*60 && requests <= 72*60, quicktest.IsTrue, quicktest.Commentf("%d requests", requests))
}
