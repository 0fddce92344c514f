package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/tmaxmax/go-sse"

	"github.com/cyclamenhoist/cyclamenhoist/internal/problem"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/identity"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/stream"
)

const (
	// maxEarlyChunks limits the chunks of one stream that are buffered until
	// earlier ones arrive.
	maxEarlyChunks = 64
	// maxStallWrites limits the total time that a caller can stall an answer,
	// as a multiple of the timeout of one write.
	maxStallWrites = 3

	headerLastEventID = "Last-Event-ID"
	// headerPriority carries the priority of the class to an engine; a higher
	// value is served first.
	headerPriority = "X-Priority"
)

var errCallerSlow = errors.New("caller doesn't read")

// boundedWriter writes to a caller with a timeout for each write and for all
// writes together. Without the total timeout, a caller that reads a little now
// and then could occupy capacity on a backend server indefinitely.
type boundedWriter struct {
	c        *Call
	g        *Gateway
	perWrite time.Duration
	stalled  time.Duration
}

func (g *Gateway) newBoundedWriter(c *Call) *boundedWriter {
	return &boundedWriter{c: c, g: g, perWrite: g.config.WriteTimeout}
}

func (b *boundedWriter) write(data []byte) error {
	start := b.g.now()
	remaining := min(b.perWrite, maxStallWrites*b.perWrite-b.stalled)
	if remaining <= 0 {
		return errCallerSlow
	}
	_ = b.c.w.control.SetWriteDeadline(start.Add(remaining))
	if _, err := b.c.w.Write(data); err != nil {
		return errors.Wrap(err, "write")
	}
	if err := b.c.w.control.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return errors.Wrap(err, "flush")
	}
	b.stalled += b.g.now().Sub(start)
	return nil
}

// relayStream relays a stream of events to the caller, chunk by chunk.
func (g *Gateway) relayStream(ctx context.Context, c *Call, reservation *reservation, response *http.Response) *failure {
	if c.eventStream == nil {
		c.eventStream = newEventStream(stream.NewAssembler(maxEarlyChunks, g.config.MaxEventBytes), g.newBoundedWriter(c))
	}
	c.eventStream.begin(c, response)
	err := c.eventStream.assembler.Copy(response.Body, g.config.MaxEventBytes, c.eventStream.send)
	if err == nil {
		reservation.release(OutcomeAnswered)
		return c.eventStream.end(c, response)
	}
	c.eventStream.assembler.Restart()
	return reservation.releaseFailed(g.streamFailure(ctx, c, err))
}

func (g *Gateway) streamFailure(ctx context.Context, c *Call, err error) *failure {
	switch {
	case c.eventStream.writeErr != nil:
		return callerGone()
	case ctx.Err() != nil:
		return contextFailure(ctx)
	default:
		return &failure{kind: OutcomeBroken, final: !c.eventStream.assembler.Resumable(),
			problem: problem.New(problem.AnswerIncomplete, "the stream isn't whole: "+err.Error())}
	}
}

// eventStream is the streamed answer of one call, across all its attempts.
type eventStream struct {
	assembler *stream.Assembler
	writer    *boundedWriter
	started   bool
	sent      int64
	writeErr  error
	finish    finishReason
}

func newEventStream(a *stream.Assembler, w *boundedWriter) *eventStream {
	e := &eventStream{assembler: a, writer: w}
	a.RequireAtEnd(e.finish.complete)
	return e
}

// resumable reports whether a stream has begun that another server can
// continue.
func (c *Call) resumable() bool {
	return c.eventStream != nil && c.eventStream.sent > 0 && c.eventStream.assembler.Resumable()
}

func (e *eventStream) begin(c *Call, response *http.Response) {
	if e.started {
		return
	}
	e.started = true
	header := c.w.Header()
	copyHeader(header, response.Header)
	removeHopByHopHeaders(header)
	header.Del("Content-Length")
}

func (e *eventStream) send(data string) error {
	message := &sse.Message{ID: sse.ID(strconv.FormatInt(e.sent, 10))}
	message.AppendData(data)
	e.sent++
	e.finish.observe(data)
	return e.write(message)
}

func (e *eventStream) write(message *sse.Message) error {
	text, err := message.MarshalText()
	if err != nil {
		return errors.Wrap(err, "encode event")
	}
	e.writeErr = e.writer.write(text)
	return e.writeErr
}

func (e *eventStream) end(c *Call, response *http.Response) *failure {
	if c.record != nil {
		c.record.result = identity.Result{Known: true, Status: response.StatusCode, BodyGone: true}
	}
	message := &sse.Message{}
	message.AppendData(stream.EndMarker)
	if err := e.write(message); err != nil {
		return callerGone()
	}
	return nil
}

// fail ends a stream that has begun with an error event and without the end
// marker.
func (e *eventStream) fail(p *problem.Problem) {
	message := &sse.Message{Type: sse.Type("error")}
	message.AppendData(string(p.JSON()))
	_ = e.write(message)
}
