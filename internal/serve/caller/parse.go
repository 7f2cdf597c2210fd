package caller

import (
	"bytes"
	"encoding/json"
	"io"
	"maps"
	"mime"
	"net/http"
	"net/url"
	"regexp"

	"github.com/cespare/xxhash/v2"
	"github.com/zeebo/errs"

	"lycheevale/internal/base/refusal"
)

// Bounds on completions.
const (
	maxOutputTokens = 32 << 10
	prefixBytes     = 1 << 10 // of the prompt, hashed for prefix affinity
	maxDepth        = 64      // nesting of a JSON body
)

// keyPattern matches callers' keys anywhere in a text.
var keyPattern = regexp.MustCompile(`lv_[A-Za-z0-9]+_[A-Za-z0-9]+`)

// keyReplacement replaces removed keys.
const keyReplacement = "[key removed]"

// completion is the body of a completion request.
type completion struct {
	Model       string
	Stream      bool
	MaxTokens   int
	Temperature float64
	chat        bool
	prompt      []byte // JSON of prompt or messages
	fields      map[string]any
}

// parse reads and checks the body of a completion.
func (s *Server) parse(x *exchange) (err error) {
	kind, _, _ := mime.ParseMediaType(x.r.Header.Get("Content-Type"))
	if kind != "application/json" {
		return refusal.New(refusal.UnsupportedType, "Content-Type must be application/json")
	}
	raw, err := s.readBody(x)
	if err != nil {
		return err
	}
	x.sign(x.r.URL.RawQuery, raw)
	x.body, err = parseCompletion(raw, x.r.URL.Path == "/v1/chat/completions", s.options.MaxOutput)
	return err
}

func (s *Server) readBody(x *exchange) ([]byte, error) {
	raw, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, s.options.MaxBody))
	if err == nil {
		return raw, nil
	}
	var tooLarge *http.MaxBytesError
	if errs.IsFunc(err, func(e error) (ok bool) { tooLarge, ok = e.(*http.MaxBytesError); return ok }) {
		return nil, refusal.New(refusal.TooLarge, "body is larger than %d bytes", tooLarge.Limit)
	}
	return nil, refusal.New(refusal.BadRequest, "read body: %v", err)
}

func parseCompletion(raw []byte, chat bool, defaultOutput int) (*completion, error) {
	fields, err := decodeObject(raw)
	if err != nil {
		return nil, refusal.New(refusal.BadRequest, "body is not a JSON object: %v", err)
	}
	c := &completion{chat: chat, fields: fields, MaxTokens: defaultOutput, Temperature: 1}
	if err := c.readFields(); err != nil {
		return nil, err
	}
	c.prompt, err = json.Marshal(c.fields[c.promptField()])
	if err != nil {
		return nil, refusal.New(refusal.BadRequest, "%v", err)
	}
	return c, nil
}

// decodeObject decodes one JSON object and preserves the text of numbers.
func decodeObject(raw []byte) (fields map[string]any, err error) {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber()
	if err := d.Decode(&fields); err != nil {
		return nil, err
	}
	if fields == nil {
		return nil, errs.New("null")
	}
	if _, err := d.Token(); err != io.EOF {
		return nil, errs.New("data after the object")
	}
	if tooDeep(fields, maxDepth) {
		return nil, errs.New("nested deeper than %d", maxDepth)
	}
	return fields, nil
}

func tooDeep(v any, left int) bool {
	if left == 0 {
		return true
	}
	switch v := v.(type) {
	case map[string]any:
		for _, e := range v {
			if tooDeep(e, left-1) {
				return true
			}
		}
	case []any:
		for _, e := range v {
			if tooDeep(e, left-1) {
				return true
			}
		}
	}
	return false
}

func (c *completion) promptField() string {
	if c.chat {
		return "messages"
	}
	return "prompt"
}

func (c *completion) readFields() error {
	var ok bool
	if c.Model, ok = c.fields["model"].(string); !ok || c.Model == "" {
		return refusal.New(refusal.BadRequest, "model must be a non-empty string")
	}
	if v, present := c.fields["stream"]; present {
		if c.Stream, ok = v.(bool); !ok {
			return refusal.New(refusal.BadRequest, "stream must be a boolean")
		}
	}
	if _, present := c.fields[c.promptField()]; !present {
		return refusal.New(refusal.BadRequest, "%s is missing", c.promptField())
	}
	if err := c.readChoices(); err != nil {
		return err
	}
	return c.readNumbers()
}

// readChoices refuses requests for several choices, which the stream protocol between instances does not support.
func (c *completion) readChoices() error {
	for _, name := range []string{"n", "best_of"} {
		v, present := c.fields[name]
		if n, ok := v.(json.Number); present && (!ok || n.String() != "1") {
			return refusal.New(refusal.BadRequest, "%s must be 1", name)
		}
	}
	return nil
}

func (c *completion) readNumbers() error {
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		v, present := c.fields[name]
		if !present || v == nil {
			continue
		}
		n, ok := v.(json.Number)
		value, err := n.Int64()
		if !ok || err != nil || value < 1 || value > maxOutputTokens {
			return refusal.New(refusal.BadRequest, "%s must be a whole number from 1 to %d", name, maxOutputTokens)
		}
		c.MaxTokens = int(value)
	}
	if v, present := c.fields["temperature"]; present && v != nil {
		n, ok := v.(json.Number)
		value, err := n.Float64()
		if !ok || err != nil || value < 0 || value > 2 {
			return refusal.New(refusal.BadRequest, "temperature must be a number from 0 to 2")
		}
		c.Temperature = value
	}
	return nil
}

// promptTokens returns an upper bound: no tokenizer of the engines yields more tokens than bytes.
func (c *completion) promptTokens() int { return len(c.prompt) }

func (c *completion) prefixHash() uint64 {
	return xxhash.Sum64(c.prompt[:min(len(c.prompt), prefixBytes)])
}

// forEngine returns the body for the engine: exact model, bounded output, always streamed and, with removeKeys, without
// keys.
func (c *completion) forEngine(model string, removeKeys bool) ([]byte, error) {
	fields := maps.Clone(c.fields)
	if removeKeys {
		fields = scrub(c.fields).(map[string]any)
	}
	fields["model"] = model
	fields["stream"] = true
	fields["max_tokens"] = c.MaxTokens
	delete(fields, "max_completion_tokens")
	return json.Marshal(fields)
}

// scrub returns a copy with callers' keys removed from strings and field names.
func scrub(v any) any {
	switch v := v.(type) {
	case string:
		return scrubText(v)
	case []any:
		list := make([]any, len(v))
		for i, e := range v {
			list[i] = scrub(e)
		}
		return list
	case map[string]any:
		fields := make(map[string]any, len(v))
		for name, e := range v {
			fields[scrubText(name)] = scrub(e)
		}
		return fields
	}
	return v
}

// scrubBody removes keys from a body: from the decoded strings of JSON and forms, and from the raw bytes of other types.
func scrubBody(raw []byte, contentType string) []byte {
	kind, _, _ := mime.ParseMediaType(contentType)
	switch kind {
	case "application/json":
		if clean, ok := scrubJSON(raw); ok {
			return clean
		}
	case "application/x-www-form-urlencoded":
		return []byte(scrubQuery(string(raw)))
	}
	return keyPattern.ReplaceAllLiteral(raw, []byte(keyReplacement))
}

// scrubJSON returns the body unchanged if no decoded string contains a key.
func scrubJSON(raw []byte) ([]byte, bool) {
	var v any
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber()
	if d.Decode(&v) != nil || tooDeep(v, maxDepth) {
		return nil, false
	}
	plain, err := json.Marshal(v)
	if err != nil {
		return nil, false
	}
	clean, err := json.Marshal(scrub(v))
	if err != nil {
		return nil, false
	}
	if bytes.Equal(plain, clean) && !keyPattern.Match(raw) {
		return raw, true
	}
	return clean, true
}

// scrubQuery removes keys from the decoded names and values of a query.
func scrubQuery(raw string) string {
	values, err := url.ParseQuery(raw)
	if err != nil {
		return scrubText(raw)
	}
	clean := url.Values{}
	changed := false
	for name, list := range values {
		for _, v := range list {
			changed = changed || keyPattern.MatchString(name) || keyPattern.MatchString(v)
			clean.Add(scrubText(name), scrubText(v))
		}
	}
	if !changed {
		return raw
	}
	return clean.Encode()
}

func scrubText(s string) string {
	return keyPattern.ReplaceAllLiteralString(s, keyReplacement)
}
