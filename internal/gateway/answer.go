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

// copyBufferSize is the size of the buffer in bytes for relaying an answer that
// is too large to be buffered whole.
const copyBufferSize = 32 << 10

// relayAnswer relays a backend server's answer to the caller. It returns a
// failure if the caller doesn't get the answer.
func (g *Gateway) relayAnswer(ctx context.Context, c *Call, reservation *reservation, response *http.Response) *failure {
	f := g.putAside(c, response)
	// A retryable status of an engine is never passed to the caller as the answer.
	// That of a plain service can be its regular answer, so the caller gets it
	// unless another server can be tried, and if no attempt there has an answer.
	last := !c.repeatable || c.attempts+1 >= g.config.MaxAttempts
	if f != nil && (c.engine || !last && g.hold(c, response)) {
		return reservation.releaseFailed(f)
	}
	if c.engine && isEventStream(response.Header) {
		return g.relayStream(ctx, c, reservation, response)
	}
	if c.resumable() {
		return reservation.releaseFailed(&failure{kind: OutcomeBroken,
			problem: problem.New(problem.AnswerIncomplete, "the stream isn't whole: the server that was to go on answered "+response.Status)})
	}
	return g.relayWhole(ctx, c, reservation, response)
}

// putAside returns the failure of an attempt whose answer the caller doesn't get
// while another server can be tried, or nil.
func (g *Gateway) putAside(c *Call, response *http.Response) *failure {
	switch {
	case c.engine && response.StatusCode == http.StatusNotFound:
		// The model was loaded when the snapshot was made. An engine without
		// the model executes nothing, so the request waits until the model is
		// loaded again.
		return &failure{kind: OutcomeAbsent, notExecuted: true,
			problem: problem.New(problem.NoCapacity, "the model is no longer loaded").WithRetryAfter(g.durationMean.retryAfter())}
	case isRetryableStatus(response.StatusCode):
		return &failure{kind: OutcomeServerError,
			problem: problem.New(problem.ServerFailed, "the backend server answered "+response.Status)}
	}
	return nil
}

func isRetryableStatus(status int) bool {
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

// relayWhole buffers an answer until it is complete. An answer that is too
// large for the buffer is relayed as it arrives; if the server's connection
// breaks, the caller's connection is closed as well.
func (g *Gateway) relayWhole(ctx context.Context, c *Call, reservation *reservation, response *http.Response) *failure {
	body, err := readAll(io.LimitReader(response.Body, g.config.MaxAnswerBytes+1), response.ContentLength)
	if err != nil {
		return reservation.releaseFailed(g.brokenAnswer(ctx))
	}
	if int64(len(body)) > g.config.MaxAnswerBytes {
		return g.relayLarge(ctx, c, reservation, response, body)
	}
	if c.engine && isJSON(response.Header) && !json.Valid(body) {
		return reservation.releaseFailed(g.brokenAnswer(ctx))
	}
	// Release the server before writing, because the caller may read slowly.
	reservation.release(statusOutcome(response.StatusCode))
	c.recordAnswer(response, body)
	return g.deliver(c, response, body)
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

// brokenAnswer returns the failure of an attempt whose answer began and is
// incomplete.
func (g *Gateway) brokenAnswer(ctx context.Context) *failure {
	if ctx.Err() != nil {
		return contextFailure(ctx)
	}
	return &failure{kind: OutcomeBroken,
		problem: problem.New(problem.AnswerIncomplete, "the backend server's answer broke off")}
}

func callerGone() *failure {
	return &failure{kind: OutcomeCanceled, final: true,
		problem: problem.New(problem.CallerGone, "the caller didn't take its answer")}
}

// sendWhole sends a complete answer.
func (g *Gateway) sendWhole(c *Call, status int, body []byte) error {
	if c.r.Method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified {
		c.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	_ = c.w.control.SetWriteDeadline(g.now().Add(g.config.WriteTimeout))
	c.w.WriteHeader(status)
	if _, err := c.w.Write(body); err != nil {
		return errors.Wrap(err, "send answer")
	}
	// Flush now, so that the caller doesn't wait until the end of the run is
	// recorded.
	if err := c.w.control.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return errors.Wrap(err, "flush answer")
	}
	return nil
}

// recordAnswer stores a complete answer for later requests with the same
// identity. A body above maxRetainedBody isn't stored.
func (c *Call) recordAnswer(response *http.Response, body []byte) {
	if c.record == nil {
		return
	}
	result := identity.Result{Known: true, Status: response.StatusCode, Header: retainedHeader(response.Header)}
	if len(body) <= maxRetainedBody {
		result.Body = body
	} else {
		result.BodyGone = true
	}
	c.record.result = result
}

// relayLarge relays an answer whose first part has been read.
func (g *Gateway) relayLarge(
	ctx context.Context, c *Call, reservation *reservation, response *http.Response, first []byte,
) *failure {
	header := c.w.Header()
	copyHeader(header, response.Header)
	removeHopByHopHeaders(header)
	c.w.WriteHeader(response.StatusCode)
	writer := g.newBoundedWriter(c)
	if err := writer.write(first); err != nil {
		return reservation.releaseFailed(callerGone())
	}
	buffer := make([]byte, copyBufferSize)
	for {
		n, readErr := response.Body.Read(buffer)
		if n > 0 {
			if err := writer.write(buffer[:n]); err != nil {
				return reservation.releaseFailed(callerGone())
			}
		}
		if errors.Is(readErr, io.EOF) {
			break
		}
		if readErr != nil {
			return reservation.releaseFailed(g.brokenAnswer(ctx))
		}
	}
	reservation.release(statusOutcome(response.StatusCode))
	c.recordAnswer(response, first)
	return nil
}
