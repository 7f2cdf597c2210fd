package caller_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against forwarding a key to an endpoint in a header, the query or the body, including escaped keys and keys of
// other customers.
func TestKeysAreNotForwarded(t *testing.T) {
	run(t, nil, func(r *fixture) {
		escaped := strings.Replace(key1, "l", `\u006c`, 1)
		for _, copied := range []string{key1, key2, escaped} {
			body := fmt.Sprintf(`{"model":"a","prompt":"use %s now","api_key":"%s","max_tokens":1,"x":[{"%s":1}]}`, copied, copied, copied)
			r.Check(r.do("POST", "/v1/completions", key1, body, "X-Note", key1).status, qt.Equals, http.StatusOK)
			order := fmt.Sprintf(`{"reference":"o","note":"%s"}`, copied)
			r.Check(r.do("POST", "/ledger/orders?token="+key1, key1, order, "X-Note", key1, "Cookie", "k="+key1).status, qt.Equals, http.StatusOK)
		}
		r.do("POST", "/ledger/orders?t=lv%5Fk1%5Fsecretone", "", "", "X-Api-Key", key1)
		form := r.do("POST", "/ledger/orders", key1, "a=lv%5Fk1%5Fsecretone", "Content-Type", "application/x-www-form-urlencoded")
		r.Check(form.status, qt.Equals, http.StatusOK)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.Assert(len(r.received) >= 8, qt.IsTrue)
		for _, text := range r.received {
			for _, secret := range []string{"secretone", "secrettwo"} {
				r.Check(strings.Contains(text, secret), qt.IsFalse, qt.Commentf("%s", text))
			}
		}
	})
}

// Guards against access to an adapter by anyone but its customer, unless it is open.
func TestKeysAndCustomers(t *testing.T) {
	cases := []struct {
		name, model, key string
		status           int
	}{
		{"own adapter", "a", key1, 200},
		{"other customer's adapter", "a", key2, 404},
		{"no key", "a", "", 403},
		{"wrong secret", "a", "lv_k1_wrong", 403},
		{"unknown key", "a", "lv_k9_secretone", 403},
		{"malformed key", "a", "nonsense", 403},
		{"open adapter without key", "open", "", 200},
		{"base model without key", "quill", "", 403},
		{"base model", "quill", key2, 200},
		{"withdrawn version", "a@v0", key1, 404},
		{"unknown version", "a@v9", key1, 404},
		{"unknown model", "nothing", key1, 404},
	}
	run(t, nil, func(r *fixture) {
		for _, c := range cases {
			got := r.do("POST", "/v1/completions", c.key, fmt.Sprintf(`{"model":%q,"prompt":"x","max_tokens":1}`, c.model))
			r.Check(got.status, qt.Equals, c.status, qt.Commentf("%s: %s", c.name, got.body))
		}
		r.Check(r.do("POST", "/ledger/orders", "", `{"reference":"o"}`).status, qt.Equals, 403)
		r.Check(r.services[0].Runs("o")+r.services[1].Runs("o"), qt.Equals, 0)
		r.Check(r.do("GET", "/ledger/hours", "", "").status, qt.Equals, 200)
		r.Check(r.do("GET", "/v1/models", key2, "").body, qt.Not(qt.Contains), `"id":"a"`)
		r.Check(r.do("GET", "/v1/models", key1, "").body, qt.Contains, `"id":"a"`)
	})
}

// Guards against a withdrawn key that still works on an open connection or in a running stream.
func TestWithdrawnKeyStops(t *testing.T) {
	run(t, nil, func(r *fixture) {
		r.Assert(r.do("POST", "/v1/completions", key1, stream("a", 1, "")).status, qt.Equals, 200)
		begin := time.Now()
		r.group.Go(func() error {
			time.Sleep(time.Second)
			r.withdraw("k1")
			return nil
		})
		got := r.do("POST", "/v1/completions", key1, stream("a", 10_000, ""))
		_, whole := got.tokens()
		r.Check(whole, qt.IsFalse)
		r.Check(got.code(), qt.Equals, "NotPermitted/Unknown")
		r.Check(time.Since(begin) <= 3*time.Second, qt.IsTrue)
		r.Check(r.do("POST", "/v1/completions", key1, stream("a", 1, "")).status, qt.Equals, 403)
		r.Check(r.do("POST", "/v1/completions", key2, stream("open", 1, "")).status, qt.Equals, 200)
	})
}
