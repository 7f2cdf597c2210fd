package caller_test

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheevale/internal/base/golden"
	"lycheevale/internal/serve/caller"
)

// Guards against unclear or untyped errors for bad input, and against any of it reaching an endpoint.
func TestBadInput(t *testing.T) {
	deep := strings.Repeat("[", 100) + strings.Repeat("]", 100)
	cases := []struct{ name, method, path, contentType, body string }{
		{"empty body", "POST", "/v1/completions", "application/json", ""},
		{"malformed JSON", "POST", "/v1/completions", "application/json", `{"model":`},
		{"null", "POST", "/v1/completions", "application/json", `null`},
		{"two objects", "POST", "/v1/completions", "application/json", `{"model":"a","prompt":""}{}`},
		{"array", "POST", "/v1/completions", "application/json", `[]`},
		{"too deep", "POST", "/v1/completions", "application/json", `{"model":"a","prompt":"x","y":` + deep + `}`},
		{"no model", "POST", "/v1/completions", "application/json", `{"prompt":"x"}`},
		{"model is a number", "POST", "/v1/completions", "application/json", `{"model":1,"prompt":"x"}`},
		{"no prompt", "POST", "/v1/completions", "application/json", `{"model":"a"}`},
		{"no messages", "POST", "/v1/chat/completions", "application/json", `{"model":"a","prompt":"x"}`},
		{"stream is a string", "POST", "/v1/completions", "application/json", `{"model":"a","prompt":"x","stream":"yes"}`},
		{"negative output", "POST", "/v1/completions", "application/json", `{"model":"a","prompt":"x","max_tokens":-1}`},
		{"huge output", "POST", "/v1/completions", "application/json", `{"model":"a","prompt":"x","max_tokens":1e99}`},
		{"temperature is text", "POST", "/v1/completions", "application/json", `{"model":"a","prompt":"x","temperature":"hot"}`},
		{"several choices", "POST", "/v1/completions", "application/json", `{"model":"a","prompt":"x","n":2}`},
		{"wrong content type", "POST", "/v1/completions", "text/plain", `{"model":"a","prompt":"x"}`},
		{"oversized body", "POST", "/v1/completions", "application/json", `{"prompt":"` + strings.Repeat("x", 5<<20) + `"}`},
		{"unknown model", "POST", "/v1/completions", "application/json", `{"model":"zzz","prompt":"x"}`},
		{"unknown route", "POST", "/ledger/other", "application/json", `{}`},
		{"wrong method", "DELETE", "/ledger/orders", "application/json", ``},
		{"key in the path", "GET", "/ledger/orders/" + key2, "application/json", ``},
	}
	run(t, nil, func(r *fixture) {
		var b bytes.Buffer
		for _, c := range cases {
			got := r.do(c.method, c.path, key1, c.body, "Content-Type", c.contentType)
			fmt.Fprintf(&b, "%s: %d %s", c.name, got.status, got.body)
		}
		bad := r.do("POST", "/v1/completions", key1, `{"model":"a","prompt":"x"}`, "X-Request-Timeout", "soon")
		fmt.Fprintf(&b, "bad timeout: %d %s", bad.status, bad.body)
		golden.Check(t, "testdata/bad_input.golden", b.Bytes())
		for _, text := range r.received {
			r.Check(strings.Contains(text, "ledger") || strings.Contains(text, "completions"), qt.IsFalse, qt.Commentf("%s", text))
		}
	})
}

// Guards against a caller that stops reading and so holds a place in an engine's batch indefinitely.
func TestCallerThatDoesNotRead(t *testing.T) {
	prepare := func(r *fixture) {
		r.setOptions = append(r.setOptions, func(o *caller.Options) { o.WriteTimeout = time.Second })
	}
	run(t, prepare, func(r *fixture) {
		r.Assert(r.do("POST", "/v1/completions", key1, stream("a", 1, "")).status, qt.Equals, 200)
		req, err := http.NewRequestWithContext(r.ctx, "POST", "http://"+entryAddr+"/v1/completions",
			strings.NewReader(stream("a", 30_000, "")))
		r.Assert(err, qt.IsNil)
		req.Header.Set("Content-Type", "application/json")
		req.Header.Set("Authorization", "Bearer "+key1)
		resp, err := r.client.Do(req)
		r.Assert(err, qt.IsNil)
		time.Sleep(2 * time.Minute)
		r.Check(r.engines[0].Running()+r.engines[1].Running(), qt.Equals, 0)
		resp.Body.Close()
	})
}
