package gateway

import (
	"encoding/json"
	"strings"
)

const finishField = `"finish_reason"`

// finishReason follows the field of OpenAI chunks that tells the last ones from
// the others. The end marker has no position, so that without it a last chunk
// that got lost would go unnoticed.
type finishReason struct {
	stated, reached bool
}

// finishHead is the part of a chunk that says why a choice ended.
type finishHead struct {
	Choices []struct {
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

func (f *finishReason) note(data string) {
	// In text of the answer the quotes of the field's name would be escaped.
	_, rest, ok := strings.Cut(data, finishField)
	if !ok {
		return
	}
	f.stated = true
	if strings.HasPrefix(rest, ":null") && !strings.Contains(rest, finishField) {
		return
	}
	var head finishHead
	if json.Unmarshal([]byte(data), &head) != nil {
		return
	}
	for _, choice := range head.Choices {
		f.reached = f.reached || choice.FinishReason != nil
	}
}

// complete reports whether the chunks so far can be all. An engine that never
// states the field is taken at its end marker.
func (f *finishReason) complete() bool { return f.reached || !f.stated }
