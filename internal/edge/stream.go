package edge

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/retry"
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
func (a *attempt) stream() retry.Fault {
	q, answer := a.request, a.answer
	flusher := http.NewResponseController(q.w)
	buffer, err := a.body, a.readErr
	arrived := len(buffer)
	for {
		if arrived > 0 {
			if hasEvent(buffer) && !q.handover.goOn(a, q.route.GapTarget) {
				answer.Close(false)
				return retry.FaultAfterFirstByte
			}
			rest, writeErr := a.forwardEvents(flusher, buffer)
			if writeErr != nil {
				answer.Close(false)
				return retry.FaultAfterFirstByte
			}
			buffer = append(buffer[:0], rest...)
			if q.headWritten && q.streamVersion() == "" {
				q.began.Store(&a.backend.server.Version)
			}
			q.handover.waits(q.stallTimeout())
		}
		switch {
		case errors.Is(err, io.EOF) && len(buffer) == 0 && q.headWritten:
			answer.Close(true)
			return retry.FaultNone
		case err != nil, len(buffer) > maxEventBytes:
			answer.Close(false)
			return retry.FaultAfterFirstByte
		}
		before := len(buffer)
		buffer, err = a.readMore(buffer)
		arrived = len(buffer) - before
	}
}

// readMore reads the next part of the answer into a buffer, which it extends if it is full.
func (a *attempt) readMore(buffer []byte) ([]byte, error) {
	if ahead := a.ahead; ahead != nil {
		a.ahead = nil
		data, err := ahead.take(&a.request.handover)
		return append(buffer, data...), err
	}
	switch {
	case buffer == nil:
		buffer = make([]byte, 0, streamBufferBytes)
	case len(buffer) == cap(buffer):
		buffer = append(buffer, 0)[:len(buffer)]
	}
	n, err := a.answer.Body.Read(buffer[len(buffer):cap(buffer)])
	return buffer[:len(buffer)+n], err
}

// awaitEvent reads the stream of a successor until it has an event that the client hasn't, or has
// ended because there is none left.
func (a *attempt) awaitEvent() retry.Fault {
	for {
		a.body, a.readErr = a.readMore(a.body)
		complete := bytes.LastIndex(a.body, eventEnd) + len(eventEnd)
		if !hasEvent(a.body) {
			complete = 0
		}
		fresh, _, err := newEvents(a.body[:complete], a.call.ResumeAfter)
		switch {
		case err == nil && len(fresh) > 0:
			return retry.FaultNone
		case err == nil && errors.Is(a.readErr, io.EOF) && complete == len(a.body) && a.resumed:
			return retry.FaultNone
		case err != nil, a.readErr != nil, len(a.body) > maxEventBytes:
			a.answer.Close(false)
			return retry.FaultAfterFirstByte
		}
	}
}

// hasEvent reports whether data has a complete event.
func hasEvent(data []byte) bool { return bytes.Contains(data, eventEnd) }

// stallTimeout returns how long a stream can stall before it is sent to another server as well.
func (q *request) stallTimeout() time.Duration {
	return max(stallTimeoutGaps*q.route.GapTarget, minFirstByteTimeout)
}

// forwardEvents writes the complete events at the start of data and returns the rest.
func (a *attempt) forwardEvents(flusher *http.ResponseController, data []byte) ([]byte, error) {
	q := a.request
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
		q.writeHead(a.answer, -1)
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
	if a.promptRead != nil {
		a.promptRead()
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
func (q *request) logResumption(b *backend, repeated bool) {
	by := "client"
	if repeated {
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
