package caller

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"lycheevale/internal/base/refusal"
)

// chunk is the part of an engine's stream event that this package needs.
type chunk struct {
	ID      string        `json:"id"`
	Created int64         `json:"created"`
	Choices []chunkChoice `json:"choices"`
	Usage   *usage        `json:"usage"`
}

type chunkChoice struct {
	Text   string  `json:"text"`
	Delta  delta   `json:"delta"`
	Finish *string `json:"finish_reason"`
}

type delta struct {
	Content string `json:"content"`
}

type usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
}

func decodeChunk(data []byte) (c chunk, err error) {
	err = json.Unmarshal(data, &c)
	return c, err
}

// contentHash hashes the generated text only, because identifiers and times differ between attempts.
func (c chunk) contentHash() uint64 {
	h := xxhash.New()
	for _, choice := range c.Choices {
		_, _ = h.WriteString(choice.Text)
		_, _ = h.WriteString("\x00" + choice.Delta.Content)
	}
	return h.Sum64()
}

// assembler collects the chunks of a response that is not streamed to the caller.
type assembler struct {
	text    strings.Builder
	created int64
	finish  *string
	usage   usage
}

func (a *assembler) add(c chunk) {
	if a.created == 0 {
		a.created = c.Created
	}
	if c.Usage != nil {
		a.usage = *c.Usage
	}
	if len(c.Choices) == 0 {
		return
	}
	choice := c.Choices[0]
	a.text.WriteString(choice.Text)
	a.text.WriteString(choice.Delta.Content)
	if choice.Finish != nil {
		a.finish = choice.Finish
	}
}

type document struct {
	ID      string           `json:"id"`
	Object  string           `json:"object"`
	Created int64            `json:"created"`
	Model   string           `json:"model"`
	Choices []documentChoice `json:"choices"`
	Usage   usage            `json:"usage"`
}

type documentChoice struct {
	Index   int      `json:"index"`
	Text    *string  `json:"text,omitempty"`
	Message *message `json:"message,omitempty"`
	Finish  *string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// document returns the complete response in the format of the callers' protocol.
func (a *assembler) document(x *exchange) document {
	text := a.text.String()
	choice := documentChoice{Text: &text, Finish: a.finish}
	object := "text_completion"
	if x.body.chat {
		choice = documentChoice{Message: &message{Role: "assistant", Content: text}, Finish: a.finish}
		object = "chat.completion"
	}
	return document{
		ID: x.id, Object: object, Created: a.created, Model: x.body.Model, Choices: []documentChoice{choice}, Usage: a.usage,
	}
}

// Outcome describes one finished request for accounting and the burn report.
type Outcome struct {
	Service    string
	Customer   string
	Endpoint   string
	Code       refusal.Code // empty when the request succeeded
	Ran        refusal.Ran  // of a refusal
	Arrived    time.Time
	FirstToken time.Time
	Ended      time.Time
	Tokens     int
	Cancelled  bool // the caller disconnected before the end
	Stalled    bool // the request waited for its adapter to be loaded
}
