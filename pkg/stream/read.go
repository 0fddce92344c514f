package stream

import (
	"io"

	"github.com/go-faster/errors"
	"github.com/tmaxmax/go-sse"
)

// The errors of Assembler.Copy in addition to those of Assembler.Add.
var (
	// ErrBroken means that the connection broke, or that an event is malformed or too
	// large.
	ErrBroken = errors.New("stream broken")
	// ErrEvent means that the server sent an error event. It is returned as an
	// *EventError.
	ErrEvent = errors.New("error event")
)

// EventError is an error event sent by the server.
type EventError struct {
	Data string
}

// Error implements error.
func (e *EventError) Error() string { return ErrEvent.Error() }

// Unwrap returns ErrEvent.
func (e *EventError) Unwrap() error { return ErrEvent }

// Copy reads events of at most maxEvent bytes from r, reassembles them and calls emit
// sequentially with the data of each chunk. It returns nil as soon as the end marker has
// been received and no chunk is missing, ErrNoEnd if r ends before that, and errors of
// emit unchanged.
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
		if a.Complete() {
			return nil
		}
	}
	return ErrNoEnd
}
