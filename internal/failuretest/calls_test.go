package failuretest

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"

	"github.com/stretchr/testify/assert"

	"github.com/cyclamenhoist/cyclamenhoist/internal/standin"
)

const answerTokens = 12

// How a request can end for its caller. A lost one is a connection that broke
// before any ending came, a failed one got an error of the backend server's.
const (
	answered = "answered"
	notRun   = "not_run"
	unknown  = "unknown"
	lost     = "lost"
	failed   = "failed"
)

// ending is what one caller got.
type ending struct {
	how        string
	status     int
	detail     string
	retryAfter string
	body       []byte
}

// caller sends requests as callers do.
type caller struct {
	*cluster
	client *http.Client
}

func (c *cluster) caller() *caller {
	transport := &http.Transport{MaxIdleConnsPerHost: 256}
	c.Cleanup(transport.CloseIdleConnections)
	return &caller{cluster: c, client: &http.Client{Timeout: patience, Transport: transport}}
}

func (c *caller) post(to *node, path, key, body string) ending {
	request, err := http.NewRequest(http.MethodPost, "http://"+to.CallersAddress()+path, strings.NewReader(body))
	if err != nil {
		return ending{how: lost, detail: err.Error()}
	}
	request.Header.Set("Content-Type", "application/json")
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return ending{how: lost, detail: err.Error()}
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return ending{how: lost, status: response.StatusCode, detail: err.Error(), body: answer}
	}
	e := ending{how: answered, status: response.StatusCode, retryAfter: response.Header.Get("Retry-After"), body: answer}
	if response.StatusCode != http.StatusOK {
		e.problem(answer)
	}
	return e
}

func (e *ending) problem(body []byte) {
	var p struct {
		Ran, Detail string
	}
	_ = json.Unmarshal(body, &p)
	e.how, e.detail = p.Ran, p.Detail
	if e.how == "" {
		// The backend server's own answer, which isn't one of success.
		e.how, e.detail = failed, string(body)
	}
}

func chatBody(model, prompt string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model": %q, "max_tokens": %d, "stream": %t, "messages": [{"role": "user", "content": %q}]}`,
		model, tokens, stream, prompt)
}

func rightText(model, prompt string, tokens int) string {
	full := standin.ChatPrompt([]standin.Message{{Role: "user", Content: prompt}})
	return strings.Join(standin.Answer(model, full, tokens), "")
}

// ask asks for a whole answer, and checks it if there is one.
func (c *caller) ask(to *node, model, prompt string) ending {
	c.Helper()
	e := c.post(to, "/v1/chat/completions", "", chatBody(model, prompt, answerTokens, false))
	if e.how == answered {
		var chat struct {
			Choices []struct{ Message struct{ Content string } }
		}
		assert.NoError(c, json.Unmarshal(e.body, &chat))
		if assert.Len(c, chat.Choices, 1) {
			assert.Equal(c, rightText(model, prompt, answerTokens), chat.Choices[0].Message.Content, "answer is whole and its own")
		}
	}
	return e
}

// stream asks for a streamed answer. A stream with its end marker must be whole;
// one without has failed, and what came of it must be right.
func (c *caller) stream(to *node, model, prompt string, tokens int) ending {
	c.Helper()
	e := c.post(to, "/v1/chat/completions", "", chatBody(model, prompt, tokens, true))
	if e.status != http.StatusOK {
		return e
	}
	text, done, fault := readEvents(e.body)
	right := rightText(model, prompt, tokens)
	switch {
	case done:
		assert.Equal(c, right, text, "stream is whole and its own")
		assert.Nil(c, fault, "stream has one ending")
	default:
		assert.True(c, strings.HasPrefix(right, text), "what came of a stream is right")
		if fault != nil {
			e.problem(fault)
		} else {
			e.how = lost
		}
	}
	return e
}

// readEvents returns the text of a stream, whether its end marker came, and the
// problem in it.
func readEvents(body []byte) (text string, done bool, fault []byte) {
	var all strings.Builder
	lines := bufio.NewScanner(bytes.NewReader(body))
	for lines.Scan() {
		data, found := bytes.CutPrefix(lines.Bytes(), []byte("data:"))
		data = bytes.TrimSpace(data)
		if !found {
			continue
		}
		if string(data) == "[DONE]" {
			done = true
			continue
		}
		var chunk struct {
			Ran     string
			Choices []struct{ Delta struct{ Content string } }
		}
		_ = json.Unmarshal(data, &chunk)
		if chunk.Ran != "" {
			fault = bytes.Clone(data)
		}
		for _, choice := range chunk.Choices {
			all.WriteString(choice.Delta.Content)
		}
	}
	return all.String(), done, fault
}

// enter sends a call that mustn't be repeated.
func (c *caller) enter(to *node, key string) ending {
	return c.post(to, entryPath, key, `{"crew": "8+", "lane": 4}`)
}

// tally counts endings.
type tally struct {
	mu      sync.Mutex
	wg      sync.WaitGroup
	counts  map[string]int
	details map[string]int
	ends    []ending
}

func newTally() *tally { return &tally{counts: map[string]int{}, details: map[string]int{}} }

// run adds the ending of a request that is sent beside the others.
func (t *tally) run(request func() ending) {
	t.wg.Go(func() {
		e := request()
		t.mu.Lock()
		defer t.mu.Unlock()
		t.counts[e.how]++
		t.details[e.how+": "+e.detail]++
		t.ends = append(t.ends, e)
	})
}

func (t *tally) wait() map[string]int {
	t.wg.Wait()
	return t.counts
}

// ended returns how many requests have ended so far.
func (t *tally) ended() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.ends)
}

// burst asks for the model at all the nodes at once.
func (c *caller) burst(t *tally, requests int, model string, nodes ...*node) {
	for n := range requests {
		to := nodes[n%len(nodes)]
		t.run(func() ending { return c.ask(to, model, fmt.Sprintf("file %d", n)) })
	}
}

// balanced asserts that each running instance accounts for all its requests. The
// counters balance while nothing changes: a caller has its answer a moment before
// the request that got it is no longer in progress, and a reading in between counts
// it twice. A request that is lost, or counted twice for good, never balances.
func (c *cluster) balanced() {
	c.Helper()
	for _, n := range c.running() {
		c.eventually(func() bool {
			e := c.status(n).Endings
			return e.Accepted == e.Answered+e.Refused+e.Unknown+e.InProgress
		}, "sum of endings")
	}
}
