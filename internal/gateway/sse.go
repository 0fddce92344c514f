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
	// maxEarlyChunks bounds the chunks of one stream that wait for earlier ones.
	maxEarlyChunks = 64
	// stallsPerWrite bounds the time that a caller may hold up a whole answer,
	// as a multiple of the time for one write.
	stallsPerWrite = 3

	headerLastEventID = "Last-Event-ID"
	// headerPriority tells an engine the class's priority; higher goes first.
	headerPriority = "X-Priority"
)

var errCallerSlow = errors.New("caller doesn't read")

// pacer writes to a caller, within bounds of time for each write and for all
// of them together. A caller that reads a little now and then would otherwise
// hold its place on a backend server for as long as it likes.
type pacer struct {
	c       *Call
	g       *Gateway
	perOne  time.Duration
	stalled time.Duration
}

func (g *Gateway) newPacer(c *Call) *pacer {
	return &pacer{c: c, g: g, perOne: g.config.WriteTimeout}
}

func (p *pacer) write(data []byte) error {
	start := p.g.now()
	left := min(p.perOne, stallsPerWrite*p.perOne-p.stalled)
	if left <= 0 {
		return errCallerSlow
	}
	_ = p.c.w.control.SetWriteDeadline(start.Add(left))
	if _, err := p.c.w.Write(data); err != nil {
		return errors.Wrap(err, "write")
	}
	if err := p.c.w.control.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return errors.Wrap(err, "flush")
	}
	p.stalled += p.g.now().Sub(start)
	return nil
}

// answerStream passes a stream of events on, chunk by chunk.
func (g *Gateway) answerStream(ctx context.Context, c *Call, place *place, response *http.Response) *failure {
	if c.events == nil {
		c.events = newEvents(stream.NewAssembler(maxEarlyChunks, g.config.MaxEventBytes), g.newPacer(c))
	}
	c.events.begin(c, response)
	err := c.events.assembler.Copy(response.Body, g.config.MaxEventBytes, c.events.send)
	if err == nil {
		place.release(OutcomeAnswered)
		return c.events.end(c, response)
	}
	c.events.assembler.Restart()
	return place.fail(g.streamFailure(ctx, c, err))
}

func (g *Gateway) streamFailure(ctx context.Context, c *Call, err error) *failure {
	switch {
	case c.events.writeErr != nil:
		return callerGone()
	case ctx.Err() != nil:
		return endedContext(ctx)
	default:
		return &failure{kind: OutcomeBroken, final: !c.events.assembler.Resumable(),
			problem: problem.New(problem.AnswerIncomplete, "the stream isn't whole: "+err.Error())}
	}
}

// events is the streamed answer of one call, over all its attempts.
type events struct {
	assembler *stream.Assembler
	pacer     *pacer
	begun     bool
	sent      int64
	writeErr  error
	finish    finishReason
}

func newEvents(a *stream.Assembler, p *pacer) *events {
	e := &events{assembler: a, pacer: p}
	a.RequireAtEnd(e.finish.complete)
	return e
}

// resumable reports whether a stream has begun and another server can go on
// with it.
func (c *Call) resumable() bool {
	return c.events != nil && c.events.sent > 0 && c.events.assembler.Resumable()
}

func (e *events) begin(c *Call, response *http.Response) {
	if e.begun {
		return
	}
	e.begun = true
	header := c.w.Header()
	copyHeader(header, response.Header)
	removeHopHeaders(header)
	header.Del("Content-Length")
}

func (e *events) send(data string) error {
	message := &sse.Message{ID: sse.ID(strconv.FormatInt(e.sent, 10))}
	message.AppendData(data)
	e.sent++
	e.finish.note(data)
	return e.write(message)
}

func (e *events) write(message *sse.Message) error {
	text, err := message.MarshalText()
	if err != nil {
		return errors.Wrap(err, "encode event")
	}
	e.writeErr = e.pacer.write(text)
	return e.writeErr
}

func (e *events) end(c *Call, response *http.Response) *failure {
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

// fail ends a stream that has begun with an error event and no end marker.
func (e *events) fail(p *problem.Problem) {
	message := &sse.Message{Type: sse.Type("error")}
	message.AppendData(string(p.JSON()))
	_ = e.write(message)
}
