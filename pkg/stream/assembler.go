package stream

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
)

// EndMarker is the data of the event that ends a stream.
const EndMarker = "[DONE]"

// NoPosition is the position of a chunk without an event ID.
const NoPosition int64 = -1

// The errors of an invalid stream.
var (
	// ErrGap means that chunks are missing.
	ErrGap = errors.New("chunks missing")
	// ErrConflict means that two chunks with different data have the same position.
	ErrConflict = errors.New("two chunks at one position")
	// ErrBadPosition means that a position is not a canonical non-negative decimal
	// number, or that only some chunks of the stream have positions.
	ErrBadPosition = errors.New("malformed position")
	// ErrNoEnd means that the stream ended without its end marker.
	ErrNoEnd = errors.New("no end marker")
	// ErrAfterEnd means that a chunk followed the end marker.
	ErrAfterEnd = errors.New("chunk after the end marker")
)

// Chunk is one event of a streamed answer.
type Chunk struct {
	Position int64
	Data     string
}

// ParsePosition parses the ID of an event. An empty ID yields NoPosition, an invalid one
// ErrBadPosition.
func ParsePosition(id string) (int64, error) {
	if id == "" {
		return NoPosition, nil
	}
	position, err := strconv.ParseInt(id, 10, 64)
	if err != nil || position < 0 || strconv.FormatInt(position, 10) != id {
		return 0, ErrBadPosition
	}
	return position, nil
}

// Assembler reassembles one streamed answer, whose chunks may come from several servers
// in succession. It is not safe for concurrent use.
type Assembler struct {
	// maxEarly and maxEarlyBytes limit the early chunks: those buffered until earlier
	// positions have arrived.
	maxEarly      int
	maxEarlyBytes int

	next         int64
	lastHash     uint64
	positioned   bool
	unpositioned bool
	isComplete   func() bool
	early        map[int64]string
	earlyBytes   int
	ended        bool
}

// NewAssembler returns an Assembler at position 0. It buffers at most maxEarly early
// chunks of at most maxEarlyBytes in total.
func NewAssembler(maxEarly, maxEarlyBytes int) *Assembler {
	return &Assembler{maxEarly: maxEarly, maxEarlyBytes: maxEarlyBytes}
}

// RequireAtEnd makes Add accept the end marker only if complete returns true for the
// chunks delivered so far. This detects a missing last chunk if the end marker has no
// position.
func (a *Assembler) RequireAtEnd(complete func() bool) { a.isComplete = complete }

// Next returns the position of the next expected chunk.
func (a *Assembler) Next() int64 { return a.next }

// Resumable reports whether all chunks so far had positions, so that another server can
// resume the stream at Next.
func (a *Assembler) Resumable() bool { return !a.unpositioned }

// Complete reports whether the end marker was received and no chunk is missing.
func (a *Assembler) Complete() bool { return a.ended }

// Restart discards the early chunks before another server resumes the stream.
func (a *Assembler) Restart() {
	clear(a.early)
	a.earlyBytes = 0
}

// Add processes a chunk and appends the data that can be delivered now to ready. The end
// marker may have its own position, one after the last chunk. Without one it inherits the
// position of the preceding event, as usual for event streams; see RequireAtEnd. Add
// returns ErrGap, ErrConflict, ErrBadPosition or ErrAfterEnd if the chunk is invalid.
func (a *Assembler) Add(c Chunk, ready []string) ([]string, error) {
	if a.ended {
		return ready, ErrAfterEnd
	}
	if c.Data == EndMarker {
		return ready, a.finish(c.Position)
	}
	if c.Position == NoPosition {
		return a.addUnpositioned(c, ready)
	}
	if a.unpositioned {
		return ready, ErrBadPosition
	}
	a.positioned = true
	switch {
	case c.Position < a.next:
		return ready, a.checkRepeated(c)
	case c.Position > a.next:
		return ready, a.bufferEarly(c)
	}
	ready = a.deliver(c.Data, ready)
	return a.deliverEarly(ready), nil
}

// addUnpositioned processes a chunk without a position. Such chunks are delivered in the
// order of arrival.
func (a *Assembler) addUnpositioned(c Chunk, ready []string) ([]string, error) {
	if a.positioned {
		return ready, ErrBadPosition
	}
	a.unpositioned = true
	return a.deliver(c.Data, ready), nil
}

func (a *Assembler) deliver(data string, ready []string) []string {
	a.next++
	a.lastHash = xxhash.Sum64String(data)
	return append(ready, data)
}

// checkRepeated compares a repeated chunk with the last one delivered, which is the only
// one whose hash is retained.
func (a *Assembler) checkRepeated(c Chunk) error {
	if c.Position == a.next-1 && xxhash.Sum64String(c.Data) != a.lastHash {
		return ErrConflict
	}
	return nil
}

func (a *Assembler) bufferEarly(c Chunk) error {
	if buffered, ok := a.early[c.Position]; ok {
		if buffered != c.Data {
			return ErrConflict
		}
		return nil
	}
	if len(a.early) >= a.maxEarly || a.earlyBytes+len(c.Data) > a.maxEarlyBytes {
		return ErrGap
	}
	if a.early == nil {
		a.early = map[int64]string{}
	}
	a.early[c.Position] = c.Data
	a.earlyBytes += len(c.Data)
	return nil
}

func (a *Assembler) deliverEarly(ready []string) []string {
	for {
		data, ok := a.early[a.next]
		if !ok {
			return ready
		}
		delete(a.early, a.next)
		a.earlyBytes -= len(data)
		ready = a.deliver(data, ready)
	}
}

func (a *Assembler) finish(position int64) error {
	if len(a.early) > 0 {
		return ErrGap
	}
	if position > a.next && !a.unpositioned {
		return ErrGap
	}
	if a.isComplete != nil && !a.isComplete() {
		return ErrGap
	}
	a.ended = true
	return nil
}
