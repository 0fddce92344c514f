package gateway

import (
	"context"
	"encoding/json"
	"io"
	"mime"
	"net/http"
	"strconv"

	"github.com/go-faster/errors"

	"github.com/cyclamenhoist/cyclamenhoist/internal/problem"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/identity"
)

// copyBuffer is the size of one step of an answer too large to be held back.
const copyBuffer = 32 << 10

// answer passes a backend server's answer on.
func (g *Gateway) answer(ctx context.Context, c *Call, place *place, response *http.Response) *failure {
	if c.engine && response.StatusCode == http.StatusNotFound {
		// The model was there when the snapshot was made. An engine without it
		// runs nothing, so the request waits until the model is loaded again.
		return place.fail(&failure{kind: OutcomeAbsent, proven: true,
			problem: problem.New(problem.NoCapacity, "the model is no longer loaded").After(g.pace.retryAfter())})
	}
	// An engine's failure isn't its answer. That of a plain service may be, and
	// the caller gets it unless another server can be tried.
	last := !c.repeatable || c.attempts+1 >= g.config.MaxAttempts
	if isRetriedStatus(response.StatusCode) && (c.engine || !last) {
		return place.fail(&failure{kind: OutcomeServerError,
			problem: problem.New(problem.ServerFailed, "the backend server answered "+response.Status)})
	}
	if c.engine && isEventStream(response.Header) {
		return g.answerStream(ctx, c, place, response)
	}
	if c.resumable() {
		return place.fail(&failure{kind: OutcomeBroken,
			problem: problem.New(problem.AnswerIncomplete, "the stream isn't whole: the server that was to go on answered "+response.Status)})
	}
	return g.answerWhole(ctx, c, place, response)
}

func isRetriedStatus(status int) bool {
	switch status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout, http.StatusTooManyRequests:
		return true
	}
	return false
}

func isEventStream(h http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && mediaType == "text/event-stream"
}

// answerWhole holds an answer back until it is complete. One that is too large
// for that is passed on as it comes; should it break off, so does the caller's
// connection.
func (g *Gateway) answerWhole(ctx context.Context, c *Call, place *place, response *http.Response) *failure {
	body, err := readAll(io.LimitReader(response.Body, g.config.MaxAnswerBytes+1), response.ContentLength)
	if err != nil {
		return place.fail(g.brokenAnswer(ctx))
	}
	if int64(len(body)) > g.config.MaxAnswerBytes {
		return g.answerLarge(ctx, c, place, response, body)
	}
	if c.engine && isJSON(response.Header) && !json.Valid(body) {
		return place.fail(g.brokenAnswer(ctx))
	}
	// The server is free while a slow caller reads.
	place.release(statusOutcome(response.StatusCode))
	c.keep(response, body)
	header := c.w.Header()
	copyHeader(header, response.Header)
	removeHopHeaders(header)
	if err := g.sendWhole(c, response.StatusCode, body); err != nil {
		return callerGone()
	}
	return nil
}

func isJSON(h http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && mediaType == "application/json"
}

func statusOutcome(status int) OutcomeKind {
	if status >= http.StatusInternalServerError {
		return OutcomeServerError
	}
	return OutcomeAnswered
}

// brokenAnswer is the failure of an attempt whose answer began and isn't whole.
func (g *Gateway) brokenAnswer(ctx context.Context) *failure {
	if ctx.Err() != nil {
		return endedContext(ctx)
	}
	return &failure{kind: OutcomeBroken,
		problem: problem.New(problem.AnswerIncomplete, "the backend server's answer broke off")}
}

func callerGone() *failure {
	return &failure{kind: OutcomeCanceled, final: true,
		problem: problem.New(problem.CallerGone, "the caller didn't take its answer")}
}

// sendWhole sends an answer that is known to be complete.
func (g *Gateway) sendWhole(c *Call, status int, body []byte) error {
	if c.r.Method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified {
		c.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	_ = c.w.control.SetWriteDeadline(g.now().Add(g.config.WriteTimeout))
	c.w.WriteHeader(status)
	if _, err := c.w.Write(body); err != nil {
		return errors.Wrap(err, "send answer")
	}
	// The caller needn't wait until the end of the run is noted.
	if err := c.w.control.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return errors.Wrap(err, "flush answer")
	}
	return nil
}

// keep records a whole answer for those that repeat the request's identity.
func (c *Call) keep(response *http.Response, body []byte) {
	if c.record == nil {
		return
	}
	result := identity.Result{Known: true, Status: response.StatusCode, Header: keptHeader(response.Header)}
	if len(body) <= maxKeptBody {
		result.Body = body
	} else {
		result.BodyGone = true
	}
	c.record.result = result
}

// answerLarge passes an answer on whose first part has been read.
func (g *Gateway) answerLarge(
	ctx context.Context, c *Call, place *place, response *http.Response, first []byte,
) *failure {
	header := c.w.Header()
	copyHeader(header, response.Header)
	removeHopHeaders(header)
	c.w.WriteHeader(response.StatusCode)
	pacer := g.newPacer(c)
	if err := pacer.write(first); err != nil {
		return place.fail(callerGone())
	}
	buffer := make([]byte, copyBuffer)
	for {
		n, readErr := response.Body.Read(buffer)
		if n > 0 {
			if err := pacer.write(buffer[:n]); err != nil {
				return place.fail(callerGone())
			}
		}
		if errors.Is(readErr, io.EOF) {
			break
		}
		if readErr != nil {
			return place.fail(g.brokenAnswer(ctx))
		}
	}
	place.release(statusOutcome(response.StatusCode))
	c.keep(response, first)
	return nil
}
