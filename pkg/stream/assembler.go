package stream

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
)

// EndMarker is the data of the event that ends a stream.
const EndMarker = "[DONE]"

// NoPosition is the position of a chunk that states none.
const NoPosition int64 = -1

// The faults of a stream.
var (
	// ErrGap: chunks are missing.
	ErrGap = errors.New("chunks missing")
	// ErrConflict: two chunks claim one position.
	ErrConflict = errors.New("two chunks at one position")
	// ErrBadPosition: a position isn't a decimal number from 0.
	ErrBadPosition = errors.New("malformed position")
	// ErrNoEnd: the stream stopped without its end marker.
	ErrNoEnd = errors.New("no end marker")
	// ErrAfterEnd: a chunk followed the end marker.
	ErrAfterEnd = errors.New("chunk after the end marker")
)

// Chunk is one event of a streamed answer.
type Chunk struct {
	Position int64
	Data     string
}

// ParsePosition reads the id of an event; an empty id is NoPosition.
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

// Assembler is the state of one streamed answer, over all the servers that it
// comes from.
type Assembler struct {
	// MaxEarly and MaxEarlyBytes bound the chunks that wait for earlier ones.
	maxEarly      int
	maxEarlyBytes int

	next       int64
	last       uint64
	positioned bool
	plain      bool
	complete   func() bool
	early      map[int64]string
	earlyBytes int
	ended      bool
}

// NewAssembler returns an assembler at position 0 that holds back at most so
// many early chunks and bytes of them.
func NewAssembler(maxEarly, maxEarlyBytes int) *Assembler {
	return &Assembler{maxEarly: maxEarly, maxEarlyBytes: maxEarlyBytes}
}

// RequireAtEnd makes the end marker count only if complete then returns true of
// the chunks passed on so far. It notices a last chunk that is missing where the
// end marker has no position.
func (a *Assembler) RequireAtEnd(complete func() bool) { a.complete = complete }

// Next returns the position of the next chunk wanted.
func (a *Assembler) Next() int64 { return a.next }

// Resumable reports whether the chunks so far carried positions, so that
// another server can go on from Next.
func (a *Assembler) Resumable() bool { return !a.plain }

// Whole reports whether the end marker has come with nothing missing.
func (a *Assembler) Whole() bool { return a.ended }

// Restart forgets the chunks held back, before the stream goes on from another
// server.
func (a *Assembler) Restart() {
	clear(a.early)
	a.earlyBytes = 0
}

// Add takes a chunk and appends to ready the data that can be passed on now. An
// end marker may have a position of its own, one past the last chunk's; without
// one it has, as in every stream of events, that of the event before it; see
// RequireAtEnd.
func (a *Assembler) Add(c Chunk, ready []string) ([]string, error) {
	if a.ended {
		return ready, ErrAfterEnd
	}
	if c.Data == EndMarker {
		return ready, a.end(c.Position)
	}
	if c.Position == NoPosition {
		return a.addPlain(c, ready)
	}
	if a.plain {
		return ready, ErrBadPosition
	}
	a.positioned = true
	switch {
	case c.Position < a.next:
		return ready, a.checkRepeated(c)
	case c.Position > a.next:
		return ready, a.hold(c)
	}
	ready = a.accept(c.Data, ready)
	return a.release(ready), nil
}

// addPlain takes a chunk of a server that states no positions: order is then
// the order of arrival.
func (a *Assembler) addPlain(c Chunk, ready []string) ([]string, error) {
	if a.positioned {
		return ready, ErrBadPosition
	}
	a.plain = true
	return a.accept(c.Data, ready), nil
}

func (a *Assembler) accept(data string, ready []string) []string {
	a.next++
	a.last = xxhash.Sum64String(data)
	return append(ready, data)
}

// checkRepeated compares a repeated chunk with the last one passed on, the only
// one that is still known.
func (a *Assembler) checkRepeated(c Chunk) error {
	if c.Position == a.next-1 && xxhash.Sum64String(c.Data) != a.last {
		return ErrConflict
	}
	return nil
}

func (a *Assembler) hold(c Chunk) error {
	if held, ok := a.early[c.Position]; ok {
		if held != c.Data {
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

func (a *Assembler) release(ready []string) []string {
	for {
		data, ok := a.early[a.next]
		if !ok {
			return ready
		}
		delete(a.early, a.next)
		a.earlyBytes -= len(data)
		ready = a.accept(data, ready)
	}
}

func (a *Assembler) end(position int64) error {
	if len(a.early) > 0 {
		return ErrGap
	}
	if position > a.next && !a.plain {
		return ErrGap
	}
	if a.complete != nil && !a.complete() {
		return ErrGap
	}
	a.ended = true
	return nil
}
