package gateway

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/go-faster/errors"

	"github.com/cyclamenhoist/cyclamenhoist/internal/problem"
)

const (
	maxModelName   = 256
	minReadBuffer  = 512
	maxFirstBuffer = 64 << 10
)

// requestHead holds the members of an OpenAI request that the gateway uses.
type requestHead struct {
	Model  string
	Stream bool
}

// parseHead parses the top level of the body. A member that the gateway uses
// must appear only once, because the engine might use another occurrence than
// the gateway.
func parseHead(body []byte) (requestHead, error) {
	var head requestHead
	if !json.Valid(body) {
		return head, problem.New(problem.BadRequest, "the body isn't valid JSON")
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	if token, err := decoder.Token(); err != nil || token != json.Delim('{') {
		return head, problem.New(problem.BadRequest, "the body isn't a JSON object")
	}
	seen := map[string]bool{}
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return head, problem.New(problem.BadRequest, "the body isn't valid JSON")
		}
		name, _ := token.(string)
		if err := head.decodeMember(decoder, name, seen); err != nil {
			return head, err
		}
	}
	if head.Model == "" || len(head.Model) > maxModelName {
		return head, problem.New(problem.BadRequest, "the body needs a member \"model\" of 1 to 256 bytes")
	}
	return head, nil
}

func (h *requestHead) decodeMember(decoder *json.Decoder, name string, seen map[string]bool) error {
	var into any
	switch name {
	case "model":
		into = &h.Model
	case "stream":
		into = &h.Stream
	default:
		into = new(json.RawMessage)
	}
	if err := decoder.Decode(into); err != nil {
		return problem.New(problem.BadRequest, "the member \""+name+"\" has the wrong type")
	}
	if _, raw := into.(*json.RawMessage); raw {
		return nil
	}
	if seen[name] {
		return problem.New(problem.BadRequest, "the member \""+name+"\" appears twice")
	}
	seen[name] = true
	return nil
}

// readAll reads r to its end. The buffer starts at the announced size, but at
// no more than maxFirstBuffer, because a caller can announce more than it
// sends.
func readAll(r io.Reader, size int64) ([]byte, error) {
	first := min(max(size, 0)+1, maxFirstBuffer)
	buffer := bytes.NewBuffer(make([]byte, 0, max(first, minReadBuffer)))
	if _, err := buffer.ReadFrom(r); err != nil {
		return nil, errors.Wrap(err, "read")
	}
	return buffer.Bytes(), nil
}
