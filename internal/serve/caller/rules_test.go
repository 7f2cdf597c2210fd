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
	otherModel := fakeengine.Faults{Serve: func(string) string { return "quill" }}
	cut := fakeengine.Faults{CutAfter: func(string) int { return 4 }, NoResume: true}
	doubled := fakeengine.Faults{Duplicate: func(string, uint64) bool { return true }}
	cases := []struct {
		name   string
		off    func(r *caller.Rules)
		other  func(r *rig) // switches a rule of engine or owner off
		faults fakeengine.Faults
		broken func(r *rig) bool
	}{
		{"CheckCustomer", func(r *caller.Rules) { r.CheckCustomer = false }, nil, fakeengine.Faults{}, func(r *rig) bool {
			return r.do("POST", "/v1/completions", key2, stream("a", 1, "")).status == http.StatusOK
		}},
		{"RemoveKeys", func(r *caller.Rules) { r.RemoveKeys = false }, nil, fakeengine.Faults{}, func(r *rig) bool {
			r.do("POST", "/v1/completions", key1, `{"model":"a","prompt":"`+key1+`","max_tokens":1}`)
			return strings.Contains(strings.Join(r.received, "\n"), "secretone")
		}},
		{"RecheckKeys", func(r *caller.Rules) { r.RecheckKeys = false }, nil, fakeengine.Faults{}, func(r *rig) bool {
			r.group.Go(func() error {
				time.Sleep(time.Second)
				r.withdraw("k1")
				return nil
			})
			_, whole := r.do("POST", "/v1/completions", key1, stream("a", 200, "")).tokens()
			return whole
		}},
		{"RememberRuns", func(r *caller.Rules) { r.RememberRuns = false }, nil, crossed, func(r *rig) bool {
			r.order = []int{0, 7, 7}
			got := r.do("POST", "/v1/completions", key1, stream("a", 3, ""))
			return strings.HasSuffix(got.code(), "/NotRun")
		}},
		{"RunOnce", func(r *caller.Rules) { r.RunOnce = false }, nil, fakeengine.Faults{}, func(r *rig) bool {
			r.plains[0].After = func(*http.Request) { panic(http.ErrAbortHandler) }
			r.do("POST", "/ledger/orders", key1, order)
			return r.runs() > 1
		}},
		{"AwaitState", func(r *caller.Rules) { r.AwaitState = false }, nil, fakeengine.Faults{}, func(r *rig) bool {
			r.starting = true
			return r.do("POST", "/v1/completions", key1, stream("a", 1, "")).code() != "Unavailable/NotRun" ||
				r.do("POST", "/ledger/orders", key1, order).code() != "Unavailable/NotRun" ||
				r.do("GET", "/v1/models", key1, "").code() != "Unavailable/NotRun"
		}},
		{"CheckModel", nil, func(r *rig) { r.engine.CheckModel = false }, otherModel, func(r *rig) bool {
			return strings.Contains(r.do("POST", "/v1/completions", key1, stream("a", 3, "")).body, `"text":"quill:`)
		}},
		{"CheckAttempt", nil, func(r *rig) { r.engine.CheckAttempt = false }, crossed, func(r *rig) bool {
			return strings.Contains(r.do("POST", "/v1/completions", key1, stream("a", 3, "")).body, `"text":"other`)
		}},
		{"NeedMarker", nil, func(r *rig) { r.engine.NeedMarker = false }, cut, func(r *rig) bool {
			tokens, whole := r.do("POST", "/v1/completions", key1, stream("a", 10, "")).tokens()
			return whole && tokens < 10
		}},
		{"CheckOrder", nil, func(r *rig) { r.ownerRule.CheckOrder = false }, doubled, func(r *rig) bool {
			tokens, whole := r.do("POST", "/v1/completions", key1, stream("a", 10, "")).tokens()
			return whole && tokens != 10
		}},
	}
	for _, c := range cases {
		for _, off := range []bool{false, true} {
			run(t, func(r *rig) {
				r.faults = c.faults
				if off && c.other != nil {
					c.other(r)
				}
				if off && c.off != nil {
					r.change = append(r.change, func(o *caller.Options) { c.off(&o.Rules) })
				}
			}, func(r *rig) {
				r.Check(c.broken(r), qt.Equals, off, qt.Commentf("%s off=%t", c.name, off))
			})
		}
	}
}
