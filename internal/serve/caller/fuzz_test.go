package caller

import (
	"bytes"
	"testing"
)

// Guards against a panic on any body, and against a key in the body that is sent to an engine.
func FuzzParseCompletion(f *testing.F) {
	for _, seed := range []string{
		`{"model":"a","prompt":"x","max_tokens":3,"temperature":0.5}`, `{"model":"a","messages":[{"role":"user"}]}`,
		`{"model":"a","prompt":"\u006cv_k1_secretone"}`, `{"model":"a","prompt":["lv_k1_secretone"],"n":1}`, `{}`, `nul`,
	} {
		f.Add([]byte(seed), true)
		f.Add([]byte(seed), false)
	}
	f.Fuzz(func(t *testing.T, raw []byte, chat bool) {
		c, err := parseCompletion(raw, chat, 16)
		if err != nil {
			return
		}
		out, err := c.forEngine("a@v1", true)
		if err != nil {
			t.Fatal(err)
		}
		if keyPattern.Match(out) {
			t.Fatalf("key in %s", out)
		}
		again, err := parseCompletion(out, chat, 16)
		if err != nil || again.Model != "a@v1" || again.MaxTokens != c.MaxTokens || !again.Stream {
			t.Fatalf("body for the engine does not parse back: %v %s", err, out)
		}
	})
}

// Guards against a key that remains in the body of a plain call.
func FuzzScrubBody(f *testing.F) {
	f.Add([]byte(`{"a":"lv_k1_x"}`), "application/json")
	f.Add([]byte(`a=lv%5Fk1%5Fx`), "application/x-www-form-urlencoded")
	f.Add([]byte(`lv_k1_x`), "text/plain")
	f.Fuzz(func(t *testing.T, raw []byte, contentType string) {
		if out := scrubBody(raw, contentType); keyPattern.Match(out) {
			t.Fatalf("key in %s", bytes.ToValidUTF8(out, nil))
		}
	})
}
