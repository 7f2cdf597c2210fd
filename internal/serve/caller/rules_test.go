package caller_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	fakeengine "lycheevale/internal/fake/engine"
	"lycheevale/internal/serve/caller"
)

// Guards against checks of promises that cannot fail: with its protective rule switched off, each of these scenarios
// must break the promise, and with the rule on it must not.
func TestRulesAreNeeded(t *testing.T) {
	crossed := fakeengine.Faults{Answer: func(string) string { return "!x" }}
	cases := []struct {
		name   string
		off    func(r *caller.Rules)
		faults fakeengine.Faults
		broken func(r *rig) bool
	}{
		{"CheckCustomer", func(r *caller.Rules) { r.CheckCustomer = false }, fakeengine.Faults{}, func(r *rig) bool {
			return r.do("POST", "/v1/completions", key2, stream("a", 1, "")).status == http.StatusOK
		}},
		{"RemoveKeys", func(r *caller.Rules) { r.RemoveKeys = false }, fakeengine.Faults{}, func(r *rig) bool {
			r.do("POST", "/v1/completions", key1, `{"model":"a","prompt":"`+key1+`","max_tokens":1}`)
			return strings.Contains(strings.Join(r.received, "\n"), "secretone")
		}},
		{"RecheckKeys", func(r *caller.Rules) { r.RecheckKeys = false }, fakeengine.Faults{}, func(r *rig) bool {
			r.group.Go(func() error {
				time.Sleep(time.Second)
				r.withdraw("k1")
				return nil
			})
			_, whole := r.do("POST", "/v1/completions", key1, stream("a", 200, "")).tokens()
			return whole
		}},
		{"RememberRuns", func(r *caller.Rules) { r.RememberRuns = false }, crossed, func(r *rig) bool {
			r.order = []int{0, 7, 7}
			got := r.do("POST", "/v1/completions", key1, stream("a", 3, ""))
			return strings.HasSuffix(got.code(), "/NotRun")
		}},
		{"RunOnce", func(r *caller.Rules) { r.RunOnce = false }, fakeengine.Faults{}, func(r *rig) bool {
			r.plains[0].After = func(*http.Request) { panic(http.ErrAbortHandler) }
			r.do("POST", "/ledger/orders", key1, order)
			return r.runs() > 1
		}},
	}
	for _, c := range cases {
		for _, off := range []bool{false, true} {
			run(t, func(r *rig) {
				r.faults = c.faults
				if off {
					r.change = append(r.change, func(o *caller.Options) { c.off(&o.Rules) })
				}
			}, func(r *rig) {
				r.Check(c.broken(r), qt.Equals, off, qt.Commentf("%s off=%t", c.name, off))
			})
		}
	}
}
