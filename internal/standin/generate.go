package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/tmaxmax/go-sse"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/pause"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// generationRequest is the part of a chat or text completion request that engines
// evaluate.
type generationRequest struct {
	Model               string    `json:"model"`
	Messages            []Message `json:"messages"`
	Prompt              string    `json:"prompt"`
	MaxTokens           int       `json:"max_tokens"`
	MaxCompletionTokens int       `json:"max_completion_tokens"`
	Stream              bool      `json:"stream"`
	Priority            int       `json:"priority"`
}

// generation is one answer in progress.
type generation struct {
	request generationRequest
	chat    bool
	id      string
	tokens  []string
	// firstChunk is the position of the first chunk to send. It is above 0 when a
	// client resumes a stream with Last-Event-ID.
	firstChunk int
}

func (e *engine) serveChat(w http.ResponseWriter, r *http.Request) {
	e.serveGeneration(w, r, true)
}

func (e *engine) serveText(w http.ResponseWriter, r *http.Request) {
	e.serveGeneration(w, r, false)
}

func (e *engine) serveGeneration(w http.ResponseWriter, r *http.Request, chat bool) {
	g := &generation{chat: chat}
	if !readJSON(w, r, &g.request) {
		return
	}
	if !g.prepare(r.Header) {
		writeError(w, http.StatusBadRequest, "malformed")
		return
	}
	lifetime, endAnswer, ok := e.beginAnswer(port.ModelID(g.request.Model))
	if !ok {
		writeError(w, http.StatusNotFound, "model not loaded")
		return
	}
	defer endAnswer()
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(lifetime, cancel)()
	slots := e.currentSlots()
	if err := slots.acquire(ctx, g.request.Priority); err != nil {
		if errors.Is(err, errQueueFull) {
			writeError(w, http.StatusTooManyRequests, "queue full")
			return
		}
		resetConnection(w)
		return
	}
	defer slots.release()
	e.counters.update(func(c *Counters) { c.Generations[e.server.ID]++ })
	e.recordLaggedReport()
	if !e.usePrefix(r.Header) && !pause.For(ctx, e.settings.PrefillTime.D()) {
		resetConnection(w)
		return
	}
	if !e.writeAnswer(ctx, w, g) {
		e.counters.update(func(c *Counters) { c.Cancelled++ })
		resetConnection(w)
	}
}

func (e *engine) currentSlots() *slots {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.slots
}

// recordLaggedReport records the current report if reports are published with a
// lag.
func (e *engine) recordLaggedReport() {
	if e.reportLag() == 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recordReport()
}

// prepare sets the fields that derive from the request body and the headers, and
// reports whether these are valid.
func (g *generation) prepare(h http.Header) bool {
	prompt := g.request.Prompt
	if g.chat {
		prompt = ChatPrompt(g.request.Messages)
	}
	if priority := h.Get("X-Priority"); priority != "" {
		n, err := strconv.Atoi(priority)
		if err != nil {
			return false
		}
		g.request.Priority = n
	}
	if last := h.Get("Last-Event-ID"); last != "" {
		n, err := strconv.Atoi(last)
		if err != nil || n < 0 {
			return false
		}
		g.firstChunk = n + 1
	}
	limit := max(g.request.MaxTokens, g.request.MaxCompletionTokens)
	g.tokens = Answer(g.request.Model, prompt, limit)
	g.id = "gen-" + strconv.FormatUint(xxhash.Sum64String(g.request.Model+"\x00"+prompt), 16)
	return g.request.Model != "" && (!g.chat || len(g.request.Messages) > 0)
}

// writeAnswer writes the answer, as a stream if the request asks for one, and
// reports whether it was completed.
func (e *engine) writeAnswer(ctx context.Context, w http.ResponseWriter, g *generation) bool {
	if g.request.Stream {
		return e.stream(ctx, w, g)
	}
	faults := e.faults.server(e.server.ID)
	perToken := e.tokenInterval() + faults.TokenDelay.D()
	if !pause.For(ctx, time.Duration(len(g.tokens))*perToken) {
		return false
	}
	writeJSON(w, http.StatusOK, g.fullAnswer())
	return true
}

func (e *engine) tokenInterval() time.Duration {
	return time.Duration(float64(time.Second) / e.settings.TokensPerSecond)
}

// streamWriter sends chunks as server-sent events.
type streamWriter struct {
	w       http.ResponseWriter
	flusher http.Flusher
}

// send writes one event and flushes it. A position below 0 means that the event
// has no ID.
func (s streamWriter) send(position int, data string) error {
	m := &sse.Message{}
	if position >= 0 {
		m.ID = sse.ID(strconv.Itoa(position))
	}
	m.AppendData(data)
	if _, err := m.WriteTo(s.w); err != nil {
		return errors.Wrap(err, "send event")
	}
	s.flusher.Flush()
	return nil
}

// stream sends the chunks from g.firstChunk on, one for each token and a last one
// with the finish reason, and reports whether the stream was completed.
func (e *engine) stream(ctx context.Context, w http.ResponseWriter, g *generation) bool {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	w.WriteHeader(http.StatusOK)
	flusher, ok := w.(http.Flusher)
	if !ok {
		return false
	}
	out := streamWriter{w: w, flusher: flusher}
	flusher.Flush()
	start := time.Now()
	for position := g.firstChunk; position <= len(g.tokens); position++ {
		sendAt := start.Add(time.Duration(position-g.firstChunk+1) * e.tokenInterval())
		if position < len(g.tokens) && !pause.For(ctx, time.Until(sendAt)) {
			return false
		}
		ended, ok := e.sendChunk(ctx, out, g, position)
		if !ok || ended {
			return ok
		}
	}
	return out.send(-1, "[DONE]") == nil
}

// sendChunk sends the chunk at a position and injects the faults configured for
// it. ended means that the stream must be closed without further chunks; ok is
// false if the connection must be reset.
func (e *engine) sendChunk(ctx context.Context, out streamWriter, g *generation, position int) (ended, ok bool) {
	f := e.faults.server(e.server.ID)
	if !pause.For(ctx, f.TokenDelay.D()) {
		return false, false
	}
	stalled := func() bool { return position > 0 && e.faults.server(e.server.ID).StallAt == position }
	if !e.faults.waitWhile(ctx, stalled) {
		return false, false
	}
	positions := []int{position}
	switch {
	case position == 0:
	case position == f.ResetAt:
		return false, false
	case position == f.CutAt:
		return true, true
	case position == f.DropAt:
		positions = nil
	case position == f.DuplicateAt:
		positions = []int{position, position}
	case position == f.ReorderAt && position < len(g.tokens):
		positions = []int{position + 1, position}
	case position == f.ReorderAt+1 && f.ReorderAt > 0:
		positions = nil
	}
	for _, position := range positions {
		if out.send(position, g.chunk(position)) != nil {
			return false, false
		}
	}
	return false, ctx.Err() == nil
}

// createdAt is the creation time of every answer in Unix seconds. It is constant so
// that all engines return the same bytes.
const createdAt = 1767225600

type choice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Message      *Message `json:"message,omitempty"`
	Delta        *delta   `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

func (g *generation) completion(object string, c choice) completion {
	return completion{ID: g.id, Object: object, Created: createdAt, Model: g.request.Model, Choices: []choice{c}}
}

// chunk returns the JSON of the chunk at a position. The chunk after the last token
// carries the finish reason.
func (g *generation) chunk(position int) string {
	text, stop := "", "stop"
	c := choice{FinishReason: &stop}
	if position < len(g.tokens) {
		text = g.tokens[position]
		c.FinishReason = nil
	}
	object := "text_completion"
	if g.chat {
		object = "chat.completion.chunk"
		c.Delta = &delta{Content: text}
		if position == 0 {
			c.Delta.Role = "assistant"
		}
	} else {
		c.Text = &text
	}
	encoded, _ := json.Marshal(g.completion(object, c)) // can't fail: strings and integers only
	return string(encoded)
}

// fullAnswer returns the answer of a request without streaming.
func (g *generation) fullAnswer() completion {
	text, stop := strings.Join(g.tokens, ""), "stop"
	c := choice{FinishReason: &stop}
	object := "text_completion"
	if g.chat {
		object = "chat.completion"
		c.Message = &Message{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	answer := g.completion(object, c)
	answer.Usage = &usage{PromptTokens: 1, CompletionTokens: len(g.tokens), TotalTokens: len(g.tokens) + 1}
	return answer
}
