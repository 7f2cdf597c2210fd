package matrix_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"lycheevale/internal/base/event"
	"lycheevale/internal/base/golden"
	"lycheevale/internal/base/virtualtime"
	"lycheevale/internal/tool/matrix"
)

func runCell(t *testing.T, cell matrix.Cell) {
	t.Parallel()
	folder := t.TempDir()
	virtualtime.Test(t, func(t *testing.T) {
		result, err := matrix.Run(t.Context(), cell, folder)
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, result.Violations, qt.HasLen, 0)
		qt.Check(t, result.Struck, qt.IsTrue)
		qt.Check(t, result.Recovered, qt.IsTrue, qt.Commentf("%s", result.Recovery))
		allowed := []matrix.Outcome{matrix.Answered}
		for _, f := range cell.Faults {
			allowed = append(allowed, f.Allowed[cell.Column.Probe]...)
		}
		qt.Check(t, slices.Contains(allowed, result.Outcome), qt.IsTrue, qt.Commentf("%s: %s", result.Outcome, result.Detail))
		for _, f := range cell.Faults {
			if f.Must {
				seen := slices.ContainsFunc(f.Operator, func(id event.ID) bool { return result.Events[id] > 0 })
				qt.Check(t, seen, qt.IsTrue, qt.Commentf("no event of %v", f.Operator))
			}
		}
	})
}

// Guards every promise against every fault at every step.
func TestMatrix(t *testing.T) {
	cell := 0
	for _, f := range matrix.Faults() {
		for _, c := range matrix.Columns() {
			cell++
			if !mine(cell) {
				continue
			}
			t.Run(fmt.Sprintf("%s/%s/%s", f.Name, c.Probe, c.Step), func(t *testing.T) {
				runCell(t, matrix.Cell{Column: c, Faults: []matrix.Fault{f}})
			})
		}
	}
}

// Guards the promises against two faults that strike at once in the middle of a stream, of an order and of a change.
func TestPairs(t *testing.T) {
	faults := matrix.Faults()
	columns := []matrix.Column{
		{Probe: matrix.Completion, Step: "mid-stream"}, {Probe: matrix.Order, Step: "dispatch"},
		{Probe: matrix.Change, Step: "replicate"},
	}
	pair := 0
	for i, first := range faults {
		for _, second := range faults[i+1:] {
			column := columns[pair%len(columns)]
			pair++
			if !mine(pair) {
				continue
			}
			t.Run(fmt.Sprintf("%s+%s/%s", first.Name, second.Name, column.Probe), func(t *testing.T) {
				runCell(t, matrix.Cell{Column: column, Faults: []matrix.Fault{first, second}})
			})
		}
	}
}

// Guards the documented matrix against what the test allows.
func TestDocument(t *testing.T) {
	golden.Check(t, "../../../docs/FAULTS.md", []byte(document()))
}

func document() string {
	var b strings.Builder
	faults, columns := matrix.Faults(), matrix.Columns()
	fmt.Fprintf(&b, "# Faults\n\nWritten by `go test ./internal/tool/matrix`. Each of the %d faults strikes at each of the %d steps of a\n"+
		"probe, %d cells, in a deployment of five instances in three data centres. In every cell all promises of the design\n"+
		"are checked and the same request is answered after the fault has healed. The table lists what the caller, or for a\n"+
		"change the operator, may see besides the answer, and the events that operators may find in the logs\n"+
		"([events](events.md)).\n\n", len(faults), len(columns), len(faults)*len(columns))
	b.WriteString("Steps:")
	for _, c := range columns {
		fmt.Fprintf(&b, " %s/%s", c.Probe, c.Step)
	}
	b.WriteString(".\n\n| Fault | Completion | Order | Change | Events |\n|---|---|---|---|---|\n")
	for _, f := range faults {
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s |\n", f.Name, outcomes(f, matrix.Completion), outcomes(f, matrix.Order),
			outcomes(f, matrix.Change), strings.Trim(fmt.Sprint(f.Operator), "[]"))
	}
	return b.String()
}

func outcomes(f matrix.Fault, p matrix.Probe) string {
	list := []string{string(matrix.Answered)}
	for _, o := range f.Allowed[p] {
		list = append(list, string(o))
	}
	return strings.Join(list, "; ")
}

// Guards against a check that cannot fail.
func TestChecksFindViolations(t *testing.T) {
	good := matrix.Evidence{Secrets: []string{"secret"}, Received: []string{"fine"}, OrderRuns: 1, Allowance: 1}
	qt.Assert(t, matrix.Check(good), qt.HasLen, 0)
	for promise, change := range map[string]func(e *matrix.Evidence){
		"P2":  func(e *matrix.Evidence) { e.EvictedInUse = 1 },
		"P4":  func(e *matrix.Evidence) { e.Received = []string{"the secret key"} },
		"P6":  func(e *matrix.Evidence) { e.Used = 2 },
		"P9":  func(e *matrix.Evidence) { e.OrderRuns = 2 },
		"P10": func(e *matrix.Evidence) { e.LateWork = 1 },
		"P12": func(e *matrix.Evidence) { e.Accepted = map[string]bool{"x": false} },
	} {
		e := good
		change(&e)
		found := matrix.Check(e)
		qt.Check(t, found, qt.HasLen, 1)
		qt.Check(t, strings.HasPrefix(found[0], promise), qt.IsTrue)
	}
}

// Guards the promises against faults that follow each other at random while requests, orders, changes and withdrawals
// go on: log, distribution, withdrawal, ownership, limits and claims together, with clock steps and a lost disk.
func TestSchedules(t *testing.T) {
	for seed := range uint64(schedules) {
		if !mine(int(seed)) {
			continue
		}
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			folder := t.TempDir()
			virtualtime.Test(t, func(t *testing.T) {
				violations, steps, err := matrix.RunSchedule(t.Context(), seed, folder)
				t.Log(steps[len(steps)-1])
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, violations, qt.HasLen, 0, qt.Commentf("%s", strings.Join(steps, "\n")))
			})
		})
	}
}
