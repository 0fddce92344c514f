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
	// maxEventBytes is the maximum size of one event.
	maxEventBytes = 1 << 20
)

var eventEnd = []byte("\n\n")

// errEventOrder reports that a stream skipped an event or sent an earlier one again.
var errEventOrder = errors.New("event out of order")

// stream forwards events as they arrive, and combines events that arrive together into
// one write. An incomplete event is not forwarded.
func (q *request) stream(b *backend, answer *platform.Answer, watchdog *time.Timer) retry.Fault {
	stall := q.stallTimeout()
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
			rest, writeErr := q.forwardEvents(answer, flusher, buffer)
			if writeErr != nil {
				answer.Close(false)
				return retry.FaultAfterFirstByte
			}
			buffer = append(buffer[:0], rest...)
			if q.headWritten && q.streamVersion() == "" {
				q.began.Store(&b.server.Version)
			}
		}
		switch {
		case err == io.EOF && len(buffer) == 0 && q.headWritten:
			answer.Close(true)
			return retry.FaultNone
		case err != nil, len(buffer) > maxEventBytes:
			answer.Close(false)
			return retry.FaultAfterFirstByte
		}
	}
}

// stallTimeout returns how long a stream can stall before it is resumed at another
// server.
func (q *request) stallTimeout() time.Duration {
	if q.lastAttempt() {
		return noTimeout
	}
	return max(stallTimeoutGaps*q.route.GapTarget, minFirstByteTimeout)
}

// forwardEvents writes the complete events at the start of data and returns the rest.
func (q *request) forwardEvents(answer *platform.Answer, flusher *http.ResponseController, data []byte) ([]byte, error) {
	end := bytes.LastIndex(data, eventEnd)
	if end < 0 {
		return data, nil
	}
	events, rest := data[:end+len(eventEnd)], data[end+len(eventEnd):]
	fresh, last, err := newEvents(events, q.lastEvent)
	if err != nil {
		return nil, err
	}
	if !q.headWritten {
		q.writeHead(answer, -1)
	}
	if len(fresh) == 0 {
		return rest, nil
	}
	writing := time.Now()
	if _, err := q.w.Write(fresh); err != nil {
		return nil, errors.Wrap(err, "write events")
	}
	q.lastEvent = last
	if q.progress.firstEventAt.IsZero() {
		q.progress.firstID = last
		q.recordFirstEvent(time.Now())
	}
	q.progress.lastID = last
	if q.progress.events == 0 {
		q.recordAnswered()
	}
	written := time.Now()
	q.progress.writing += written.Sub(writing)
	q.progress.eventsForwarded(q.arrived, written)
	q.forwarded.Store(int64(q.progress.events))
	if q.promptRead != nil {
		q.promptRead()
	}
	if err := flusher.Flush(); err != nil {
		return nil, errors.Wrap(err, "flush events")
	}
	q.progress.writing += time.Since(written)
	return rest, nil
}

// recordFirstEvent records when the first event of an attempt came, beside when it was expected.
func (q *request) recordFirstEvent(now time.Time) {
	if q.model == "" || q.progress.expected <= 0 {
		return
	}
	q.edge.firstEventExpected.Update(q.progress.expected)
	q.edge.firstEventObserved.Update(now.Sub(q.progress.sentAt))
}

// logResumption logs that a stream is resumed at a server, by the client in a new request or by
// this instance within its answer.
func (q *request) logResumption(b *backend) {
	by := "client"
	if q.sends > 0 {
		by = "instance"
	}
	q.edge.log.Info().Str("request", q.head.ID).Str("first_attempt", q.head.FirstAttempt).Int64("after", q.lastEvent).
		Str("began_at", q.streamVersion()).Str("server", string(b.server.ID)).Str("version", b.server.Version).Str("by", by).Msg("stream_resumed")
}

// newEvents returns the events that follow the event with the ID after, and the ID of the
// last event. Events without an ID are forwarded with the event before them. It fails
// with errEventOrder if an event is missing or out of order.
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

// eventID returns the value of an event's id field, and false if it has no valid one.
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
