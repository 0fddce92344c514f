package gateway

import (
	"encoding/json"
	"strings"
)

const finishField = `"finish_reason"`

// finishReason tracks the finish_reason field of OpenAI chunks, which marks the
// last chunk of each choice. The end marker carries no position, so without
// this check a lost last chunk would go unnoticed.
type finishReason struct {
	fieldSeen, reasonSeen bool
}

// finishChunk is the part of a chunk that contains the finish reasons.
type finishChunk struct {
	Choices []struct {
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

func (f *finishReason) observe(data string) {
	// Quotes within the answer's text are escaped, so a match is the field's
	// name.
	_, rest, ok := strings.Cut(data, finishField)
	if !ok {
		return
	}
	f.fieldSeen = true
	if strings.HasPrefix(rest, ":null") && !strings.Contains(rest, finishField) {
		return
	}
	var chunk finishChunk
	if json.Unmarshal([]byte(data), &chunk) != nil {
		return
	}
	for _, choice := range chunk.Choices {
		f.reasonSeen = f.reasonSeen || choice.FinishReason != nil
	}
}

// complete reports whether the chunks so far can be the whole answer. The end
// marker alone suffices for an engine that never sends the field.
func (f *finishReason) complete() bool { return f.reasonSeen || !f.fieldSeen }
