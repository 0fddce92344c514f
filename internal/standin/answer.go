package standin

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// DefaultMaxTokens is the length of an answer, in tokens, if the request doesn't
// set one.
const DefaultMaxTokens = 16

var vocabulary = []string{
	"sand", "tide", "dune", "reef", "shore", "lane", "crew", "oar",
	"heat", "drift", "swell", "berm", "gauge", "marker", "transect", "rise",
}

// Answer returns the tokens of an engine's answer to a prompt. All engines return
// the same answer for the same model, prompt and maxTokens. A maxTokens of 0 or
// less means DefaultMaxTokens.
func Answer(model, prompt string, maxTokens int) []string {
	if maxTokens <= 0 {
		maxTokens = DefaultMaxTokens
	}
	seed := xxhash.Sum64String(model + "\x00" + prompt)
	tokens := make([]string, maxTokens)
	for i := range tokens {
		seed = xxhash.Sum64String(strconv.FormatUint(seed, 16))
		tokens[i] = vocabulary[seed%uint64(len(vocabulary))] + strconv.FormatUint(seed>>32%1000, 10) + " "
	}
	return tokens
}

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatPrompt returns the prompt text for the messages of a chat.
func ChatPrompt(messages []Message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role + ": " + m.Content + "\n")
	}
	return b.String()
}
