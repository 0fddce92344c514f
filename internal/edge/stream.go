package edge

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/retry"
	"github.com/cyclamenhoist/cyclamenhoist/platform"
)

const (
	streamBufferBytes = 4 << 10
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
)

var eventEnd = []byte("\n\n")

// errEventOrder means that a stream skipped an event or went back.
var errEventOrder = errors.New("event out of order")

// stream passes events on as they arrive, several to a write where several are
// there. An event that was cut off isn't passed on.
func (q *request) stream(answer *platform.Answer, watchdog *time.Timer) retry.Fault {
	stall := q.stallLimit()
	flusher := http.NewResponseController(q.w)
	buffer := make([]byte, 0, streamBufferBytes)
	for {
		if len(buffer) == cap(buffer) {
			buffer = append(buffer, 0)[:len(buffer)]
		}
		n, err := answer.Body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if n > 0 {
			watchdog.Reset(stall)
			rest, writeErr := q.passEvents(answer, flusher, buffer)
			if writeErr != nil {
				answer.Close(false)
				return retry.FaultAfterFirstByte
			}
			buffer = append(buffer[:0], rest...)
		}
		switch {
		case err == io.EOF && len(buffer) == 0 && q.begun:
			answer.Close(true)
			return retry.FaultNone
		case err != nil, len(buffer) > maxEventBytes:
			answer.Close(false)
			return retry.FaultAfterFirstByte
		}
	}
}

// stallLimit is how long a stream may stand still before it goes on elsewhere.
func (q *request) stallLimit() time.Duration {
	if q.lastAttempt() {
		return neverGivenUp
	}
	return max(stallGaps*q.route.GapTarget, firstByteLeast)
}

// passEvents writes the whole events at the start of data and returns the rest.
func (q *request) passEvents(answer *platform.Answer, flusher *http.ResponseController, data []byte) ([]byte, error) {
	end := bytes.LastIndex(data, eventEnd)
	if end < 0 {
		return data, nil
	}
	whole, rest := data[:end+len(eventEnd)], data[end+len(eventEnd):]
	fresh, last, err := newEvents(whole, q.lastEvent)
	if err != nil {
		return nil, err
	}
	if !q.begun {
		q.writeHead(answer, -1)
	}
	if len(fresh) == 0 {
		return rest, nil
	}
	if _, err := q.w.Write(fresh); err != nil {
		return nil, errors.Wrap(err, "write events")
	}
	q.lastEvent = last
	if err := flusher.Flush(); err != nil {
		return nil, errors.Wrap(err, "flush events")
	}
	return rest, nil
}

// newEvents returns the events after the one given, and the last one's id.
// Events without an id are passed with the one before them.
func newEvents(events []byte, after int64) ([]byte, int64, error) {
	last, skip := after, 0
	for at := 0; at < len(events); {
		length := bytes.Index(events[at:], eventEnd) + len(eventEnd)
		if id, ok := eventID(events[at : at+length]); ok {
			switch {
			case id <= last && last >= 0:
				if at != skip {
					return nil, 0, errEventOrder
				}
				skip = at + length
			case last >= 0 && id != last+1:
				return nil, 0, errEventOrder
			default:
				last = id
			}
		}
		at += length
	}
	return events[skip:], last, nil
}

// eventID returns the value of an event's id field.
func eventID(event []byte) (int64, bool) {
	for line := range bytes.Lines(event) {
		value, found := bytes.CutPrefix(line, []byte("id:"))
		if !found {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		return id, err == nil
	}
	return 0, false
}
