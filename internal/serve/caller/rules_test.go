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

// Guards against checks that cannot fail: each scenario must violate its guarantee when the rule is disabled, and must
// not when it is enabled.
func TestDisabledRuleIsDetected(t *testing.T) {
	wrongAttempt := fakeengine.Faults{Answer: func(string) string { return "!x" }}
	otherModel := fakeengine.Faults{Serve: func(string) string { return "quill" }}
	truncated := fakeengine.Faults{CutAfter: func(string) int { return 4 }, NoResume: true}
	duplicated := fakeengine.Faults{Duplicate: func(string, uint64) bool { return true }}
	cases := []struct {
		name         string
		disable      func(r *caller.Rules)
		disableOther func(r *fixture) // disables a rule of engine or owner
		faults       fakeengine.Faults
		violated     func(r *fixture) bool
	}{
		{"CheckCustomer", func(r *caller.Rules) { r.CheckCustomer = false }, nil, fakeengine.Faults{}, func(r *fixture) bool {
			return r.do("POST", "/v1/completions", key2, stream("a", 1, "")).status == http.StatusOK
		}},
		{"RemoveKeys", func(r *caller.Rules) { r.RemoveKeys = false }, nil, fakeengine.Faults{}, func(r *fixture) bool {
			r.do("POST", "/v1/completions", key1, `{"model":"a","prompt":"`+key1+`","max_tokens":1}`)
			return strings.Contains(strings.Join(r.received, "\n"), "secretone")
		}},
		{"RecheckKeys", func(r *caller.Rules) { r.RecheckKeys = false }, nil, fakeengine.Faults{}, func(r *fixture) bool {
			r.group.Go(func() error {
				time.Sleep(time.Second)
				r.withdraw("k1")
				return nil
			})
			_, whole := r.do("POST", "/v1/completions", key1, stream("a", 200, "")).tokens()
			return whole
		}},
		{"RememberRuns", func(r *caller.Rules) { r.RememberRuns = false }, nil, wrongAttempt, func(r *fixture) bool {
			r.preference = []int{0, 7, 7}
			got := r.do("POST", "/v1/completions", key1, stream("a", 3, ""))
			return strings.HasSuffix(got.code(), "/NotRun")
		}},
		{"RunOnce", func(r *caller.Rules) { r.RunOnce = false }, nil, fakeengine.Faults{}, func(r *fixture) bool {
			r.services[0].After = func(*http.Request) { panic(http.ErrAbortHandler) }
			r.do("POST", "/ledger/orders", key1, order)
			return r.runs() > 1
		}},
		{"AwaitState", func(r *caller.Rules) { r.AwaitState = false }, nil, fakeengine.Faults{}, func(r *fixture) bool {
			r.starting = true
			return r.do("POST", "/v1/completions", key1, stream("a", 1, "")).code() != "Unavailable/NotRun" ||
				r.do("POST", "/ledger/orders", key1, order).code() != "Unavailable/NotRun" ||
				r.do("GET", "/v1/models", key1, "").code() != "Unavailable/NotRun"
		}},
		{"CheckModel", nil, func(r *fixture) { r.engine.CheckModel = false }, otherModel, func(r *fixture) bool {
			return strings.Contains(r.do("POST", "/v1/completions", key1, stream("a", 3, "")).body, `"text":"quill:`)
		}},
		{"CheckAttempt", nil, func(r *fixture) { r.engine.CheckAttempt = false }, wrongAttempt, func(r *fixture) bool {
			return strings.Contains(r.do("POST", "/v1/completions", key1, stream("a", 3, "")).body, `"text":"other`)
		}},
		{"NeedMarker", nil, func(r *fixture) { r.engine.NeedMarker = false }, truncated, func(r *fixture) bool {
			tokens, whole := r.do("POST", "/v1/completions", key1, stream("a", 10, "")).tokens()
			return whole && tokens < 10
		}},
		{"CheckOrder", nil, func(r *fixture) { r.ownerRule.CheckOrder = false }, duplicated, func(r *fixture) bool {
			tokens, whole := r.do("POST", "/v1/completions", key1, stream("a", 10, "")).tokens()
			return whole && tokens != 10
		}},
	}
	for _, c := range cases {
		for _, off := range []bool{false, true} {
			run(t, func(r *fixture) {
				r.faults = c.faults
				if off && c.disableOther != nil {
					c.disableOther(r)
				}
				if off && c.disable != nil {
					r.setOptions = append(r.setOptions, func(o *caller.Options) { c.disable(&o.Rules) })
				}
			}, func(r *fixture) {
				r.Check(c.violated(r), qt.Equals, off, qt.Commentf("%s off=%t", c.name, off))
			})
		}
	}
}
