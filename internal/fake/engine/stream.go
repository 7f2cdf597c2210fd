package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"lycheevale/internal/serve/engine"
)

// bytesPerToken approximates a tokenizer: a token for every 4 bytes.
const bytesPerToken = 4

// stream is one attempt. Its tokens depend only on the model and the position, so it can be resumed.
type stream struct {
	attempt string
	model   string
	chat    bool
	prompt  int // tokens
	total   int // tokens to generate
	seed    uint64
	text    string // the prompt
	done    chan struct{}
	stopped bool
}

func (s *stream) stop() {
	if !s.stopped {
		s.stopped = true
		close(s.done)
	}
}

type completionBody struct {
	Model     string            `json:"model"`
	Prompt    string            `json:"prompt"`
	Messages  []json.RawMessage `json:"messages"`
	MaxTokens int               `json:"max_tokens"`
	Seed      uint64            `json:"seed"`
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(engine.HeaderAttempt, r.Header.Get(engine.HeaderAttempt))
	var body completionBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	if serve := e.options.Faults.Serve; serve != nil {
		body.Model = serve(body.Model)
	}
	s := &stream{
		attempt: r.Header.Get(engine.HeaderAttempt), model: body.Model, chat: body.Messages != nil,
		prompt: promptTokens(body), total: max(1, body.MaxTokens), seed: body.Seed, text: body.Prompt, done: make(chan struct{}),
	}
	if problem, status := e.begin(s); problem != "" {
		refuse(w, status, problem)
		return
	}
	defer e.finish(s)
	if e.options.Began != nil {
		e.options.Began(body.Prompt)
	}
	e.send(r.Context(), w, s, 0)
}

func promptTokens(b completionBody) int {
	n := len(b.Prompt)
	for _, m := range b.Messages {
		n += len(m)
	}
	return n/bytesPerToken + 1
}

// begin takes a place in the batch, or returns the reason for a refusal and its HTTP status.
func (e *Engine) begin(s *stream) (problem string, status int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, resident := e.resident[s.model]
	switch {
	case s.model != e.state.Model && !resident:
		return "adapter is not resident", http.StatusPreconditionFailed
	case e.state.Running >= e.state.BatchSize:
		return "batch is full", http.StatusServiceUnavailable
	case e.streams[s.attempt] != nil:
		return "attempt exists", http.StatusConflict
	}
	e.state.Running++
	e.inUse[s.model]++
	if resident {
		e.resident[s.model] = time.Now()
	}
	e.streams[s.attempt] = s
	return "", 0
}

// finish frees the place in the batch; the stream can still be resumed.
func (e *Engine) finish(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.streams[s.attempt] != s {
		return // the engine has restarted
	}
	e.state.Running--
	e.inUse[s.model]--
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.Header.Get(engine.HeaderEventID), 10, 64)
	e.mu.Lock()
	s, ok := e.streams[r.PathValue("attempt")]
	if ok && err == nil && !e.options.Faults.NoResume && !s.stopped {
		e.state.Running++
		e.inUse[s.model]++
	} else {
		ok = false
	}
	e.mu.Unlock()
	if !ok {
		http.Error(w, "stream cannot be resumed", http.StatusGone)
		return
	}
	defer e.finish(s)
	e.send(r.Context(), w, s, after)
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	if s, ok := e.streams[r.PathValue("attempt")]; ok {
		s.stop()
	}
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// send writes the events after the given sequence number, one per StepTime, and injects the configured faults.
func (e *Engine) send(ctx context.Context, w http.ResponseWriter, s *stream, after uint64) {
	f := e.options.Faults
	answer := s.attempt
	if f.Answer != nil {
		answer = f.Answer(s.attempt)
	}
	if f.HeaderWait != nil && after == 0 {
		pause(ctx, s, f.HeaderWait(s.attempt))
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(engine.HeaderAttempt, answer)
	w.Header().Set(engine.HeaderModel, s.model)
	w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(w)
	_ = flusher.Flush()
	if f.Run != nil && after == 0 {
		f.Run(s.text)
	}
	// Steps follow a fixed schedule: sleeping for StepTime between tokens would add the time of each write and the delay
	// of each wake-up to the next token.
	next := time.Now()
	for seq := after + 1; seq <= uint64(s.total); seq++ {
		next = next.Add(e.options.StepTime)
		if !pause(ctx, s, time.Until(next)) {
			return
		}
		if f.CutAfter != nil && after == 0 && f.CutAfter(s.attempt) > 0 && seq > uint64(f.CutAfter(s.attempt)) {
			panic(http.ErrAbortHandler)
		}
		if f.SilentFrom != nil && after == 0 && f.SilentFrom(s.attempt) > 0 && seq >= f.SilentFrom(s.attempt) {
			pause(ctx, s, time.Hour)
			return
		}
		_, _ = fmt.Fprintf(w, "id: %s/%d\ndata: %s\n\n", answer, seq, s.chunk(answer, seq))
		if f.Duplicate != nil && f.Duplicate(s.attempt, seq) {
			_, _ = fmt.Fprintf(w, "id: %s/%d\ndata: %s\n\n", answer, seq, s.chunk(answer, seq))
		}
		_ = flusher.Flush()
	}
	_, _ = fmt.Fprintf(w, "id: %s/%d\ndata: %s\n\n", answer, s.total+1, engine.DoneMarker)
	_ = flusher.Flush()
}

func pause(ctx context.Context, s *stream, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-ctx.Done():
		return false
	case <-s.done:
		return false
	case <-time.After(d):
		return true
	}
}

type chunkChoice struct {
	Index  int               `json:"index"`
	Text   string            `json:"text,omitempty"`
	Delta  map[string]string `json:"delta,omitempty"`
	Finish *string           `json:"finish_reason"`
}

type usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
}

type chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []chunkChoice `json:"choices"`
	Usage   *usage        `json:"usage,omitempty"`
}

// chunk returns the JSON of one event; its text contains the model and the position, so that tests can check what ran.
func (s *stream) chunk(answer string, seq uint64) string {
	text := fmt.Sprintf("%s:%d ", s.model, seq)
	if strings.HasPrefix(answer, "!") {
		text = "other "
	}
	c := chunk{ID: answer, Object: "text_completion", Created: time.Now().Unix(), Model: s.model}
	choice := chunkChoice{Text: text}
	if s.chat {
		c.Object = "chat.completion.chunk"
		choice = chunkChoice{Delta: map[string]string{"content": text}}
	}
	if seq == uint64(s.total) {
		stop := "length"
		choice.Finish = &stop
		c.Usage = &usage{s.prompt, s.total, s.prompt + s.total}
	}
	c.Choices = []chunkChoice{choice}
	raw, _ := json.Marshal(c)
	return string(raw)
}
