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

// generationRequest is what the stand-in reads of a chat or text completion.
type generationRequest struct {
	Model               string    `json:"model"`
	Messages            []Message `json:"messages"`
	Prompt              string    `json:"prompt"`
	MaxTokens           int       `json:"max_tokens"`
	MaxCompletionTokens int       `json:"max_completion_tokens"`
	Stream              bool      `json:"stream"`
	Priority            int       `json:"priority"`
}

// generation is one answer in the making.
type generation struct {
	request generationRequest
	chat    bool
	id      string
	tokens  []string
	// from is the position of the first chunk to send.
	from int
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
	life, leave, ok := e.enter(port.ModelID(g.request.Model))
	if !ok {
		writeError(w, http.StatusNotFound, "model not loaded")
		return
	}
	defer leave()
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(life, cancel)()
	slots := e.currentSlots()
	if err := slots.acquire(ctx, g.request.Priority); err != nil {
		if errors.Is(err, errQueueFull) {
			writeError(w, http.StatusTooManyRequests, "queue full")
			return
		}
		reset(w)
		return
	}
	defer slots.release()
	e.tally.update(func(c *Counters) { c.Generations[e.server.ID]++ })
	e.sampleLoad()
	if !e.usePrefix(r.Header) && !pause.For(ctx, e.settings.PrefillTime.D()) {
		reset(w)
		return
	}
	if !e.answer(ctx, w, g) {
		e.tally.update(func(c *Counters) { c.Cancelled++ })
		reset(w)
	}
}

func (e *engine) currentSlots() *slots {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.slots
}

// sampleLoad keeps a past report for readers that get them with a lag.
func (e *engine) sampleLoad() {
	if e.reportLag() == 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.record()
}

// prepare completes the generation from request and headers, and reports
// whether they make sense.
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
		g.from = n + 1
	}
	limit := max(g.request.MaxTokens, g.request.MaxCompletionTokens)
	g.tokens = Answer(g.request.Model, prompt, limit)
	g.id = "gen-" + strconv.FormatUint(xxhash.Sum64String(g.request.Model+"\x00"+prompt), 16)
	return g.request.Model != "" && (!g.chat || len(g.request.Messages) > 0)
}

// answer writes the answer and reports whether it reached its end.
func (e *engine) answer(ctx context.Context, w http.ResponseWriter, g *generation) bool {
	if g.request.Stream {
		return e.stream(ctx, w, g)
	}
	faults := e.faults.server(e.server.ID)
	each := e.tokenInterval() + faults.TokenDelay.D()
	if !pause.For(ctx, time.Duration(len(g.tokens))*each) {
		return false
	}
	writeJSON(w, http.StatusOK, g.whole())
	return true
}

func (e *engine) tokenInterval() time.Duration {
	return time.Duration(float64(time.Second) / e.settings.TokensPerSecond)
}

// streamWriter sends chunks as events.
type streamWriter struct {
	w       http.ResponseWriter
	flusher http.Flusher
}

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

// stream sends the chunks from g.from on: one for each token, and a last one
// with the reason for the end.
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
	for at := g.from; at <= len(g.tokens); at++ {
		due := start.Add(time.Duration(at-g.from+1) * e.tokenInterval())
		if at < len(g.tokens) && !pause.For(ctx, time.Until(due)) {
			return false
		}
		ended, ok := e.sendChunk(ctx, out, g, at)
		if !ok || ended {
			return ok
		}
	}
	return out.send(-1, "[DONE]") == nil
}

// sendChunk sends the chunk at a position with the faults set for it. ended
// means that the stream is to be closed there.
func (e *engine) sendChunk(ctx context.Context, out streamWriter, g *generation, at int) (ended, ok bool) {
	f := e.faults.server(e.server.ID)
	if !pause.For(ctx, f.TokenDelay.D()) {
		return false, false
	}
	stalled := func() bool { return at > 0 && e.faults.server(e.server.ID).StallAt == at }
	if !e.faults.waitWhile(ctx, stalled) {
		return false, false
	}
	positions := []int{at}
	switch {
	case at == 0:
	case at == f.ResetAt:
		return false, false
	case at == f.CutAt:
		return true, true
	case at == f.DropAt:
		positions = nil
	case at == f.DuplicateAt:
		positions = []int{at, at}
	case at == f.ReorderAt && at < len(g.tokens):
		positions = []int{at + 1, at}
	case at == f.ReorderAt+1 && f.ReorderAt > 0:
		positions = nil
	}
	for _, position := range positions {
		if out.send(position, g.chunk(position)) != nil {
			return false, false
		}
	}
	return false, ctx.Err() == nil
}

// createdAt is the time that every answer bears, so that engines give the same
// bytes.
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

// chunk returns the event at a position; the one after the last token says why
// the answer ends.
func (g *generation) chunk(at int) string {
	text, stop := "", "stop"
	c := choice{FinishReason: &stop}
	if at < len(g.tokens) {
		text = g.tokens[at]
		c.FinishReason = nil
	}
	object := "text_completion"
	if g.chat {
		object = "chat.completion.chunk"
		c.Delta = &delta{Content: text}
		if at == 0 {
			c.Delta.Role = "assistant"
		}
	} else {
		c.Text = &text
	}
	encoded, _ := json.Marshal(g.completion(object, c)) // strings and ints only: can't fail
	return string(encoded)
}

// whole returns the answer in one piece.
func (g *generation) whole() completion {
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
