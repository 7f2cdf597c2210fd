//go:build !race

package matrix_test

import (
	"context"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"lycheevale/internal/base/virtualtime"
	"lycheevale/internal/node/instance"
	"lycheevale/internal/serve/caller"
	"lycheevale/internal/tool/matrix"
)

// schedules is how many random schedules run.
const schedules = 160

// Guards against schedules that cannot find a violation: with a rule of the entry off, some schedule must.
func TestSchedulesFindViolations(t *testing.T) {
	const most = 100
	for _, c := range []struct {
		name, promise string
		off           func(o *caller.Options)
	}{
		{"RememberRuns", "P8", func(o *caller.Options) { o.Rules.RememberRuns = false }},
		{"Claim", "P9", func(o *caller.Options) {
			o.Claim = func(context.Context, string, string, string) (caller.Claim, error) {
				return caller.Claim{
					Finish:  func(context.Context, *caller.StoredResponse) error { return nil },
					Release: func(context.Context) error { return nil },
				}, nil
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(most) {
				folder, found := t.TempDir(), false
				virtualtime.Test(t, func(t *testing.T) {
					violations, _, err := matrix.RunSchedule(t.Context(), seed, folder, instance.WithCaller(c.off))
					qt.Assert(t, err, qt.IsNil)
					found = slices.ContainsFunc(violations, func(v string) bool { return strings.HasPrefix(v, c.promise) })
				})
				if found {
					t.Logf("seed %d", seed)
					return
				}
			}
			t.Fatal("no schedule violates a promise although the rule is off")
		})
	}
}

// mine tells whether this process runs a cell: all of them, beside the race detector.
func mine(int) bool { return true }
