package stream

import (
	"io"

	"github.com/go-faster/errors"
	"github.com/tmaxmax/go-sse"
)

// The ways in which reading a stream fails, besides those of the Assembler.
var (
	// ErrBroken: the connection broke, or an event is malformed or too long.
	ErrBroken = errors.New("stream broken")
	// ErrEvent: the server sent an error event. It comes as an *EventError.
	ErrEvent = errors.New("error event")
)

// EventError is an error event of the server.
type EventError struct {
	Data string
}

// Error implements error.
func (e *EventError) Error() string { return ErrEvent.Error() }

// Unwrap returns ErrEvent.
func (e *EventError) Unwrap() error { return ErrEvent }

// Copy reads events of at most maxEvent bytes from r through the assembler and
// hands each chunk's data to emit, which is called for the next only after it
// has returned. Copy returns nil once the end marker has come with nothing
// missing. Errors of emit are returned as they are.
func (a *Assembler) Copy(r io.Reader, maxEvent int, emit func(data string) error) error {
	var ready []string
	for event, err := range sse.Read(r, &sse.ReadConfig{MaxEventSize: maxEvent}) {
		if err != nil {
			return errors.Wrap(ErrBroken, err.Error())
		}
		if event.Type == "error" {
			return &EventError{Data: event.Data}
		}
		position, err := ParsePosition(event.LastEventID)
		if err != nil {
			return err
		}
		ready, err = a.Add(Chunk{Position: position, Data: event.Data}, ready[:0])
		if err != nil {
			return err
		}
		for _, data := range ready {
			if err := emit(data); err != nil {
				return err
			}
		}
		if a.Whole() {
			return nil
		}
	}
	return ErrNoEnd
}
