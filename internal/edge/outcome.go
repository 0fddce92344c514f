package edge

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/internal/clientguard"
	"github.com/cyclamenhoist/cyclamenhoist/platform"
)

// reason states why a request ended without a server's answer.
type reason string

const (
	reasonNoManifest      reason = "no manifest known yet"
	reasonNoRoute         reason = "no route"
	reasonBehind          reason = "newer manifest not known yet"
	reasonKey             reason = "key unknown or missing"
	reasonKeysUnconfirmed reason = "keys may have been withdrawn"
	reasonQuota           reason = "quota of the account used up"
	reasonQuotaShare      reason = "this instance's share of the account's quota used up"
	reasonBody            reason = "body unreadable"
	reasonBodyTooLarge    reason = "body too large"
	reasonBodyTimeout     reason = "body not received in time"
	reasonMemory          reason = "no memory for the body"
	reasonPipelined       reason = "too many requests sent ahead of their responses"
	reasonNoServer        reason = "no server"
	reasonNoModel         reason = "model not loaded in time"
	reasonNoOrigin        reason = "version that began the stream unknown"
	reasonNoVersion       reason = "no server of the version that began the stream"
	reasonRateLimit       reason = "rate limit of the servers"
	reasonPartBlocked     reason = "a part of the prompt crashes servers"
	reasonRequestBlocked  reason = "the request crashes servers"
	reasonBrittle         reason = "servers bear no more requests"
	reasonRest            reason = "servers want no requests for a time"
	reasonTried           reason = "no other server for a repeat"
	reasonBusy            reason = "servers busy for longer than the request can wait"
	reasonTooLate         reason = "too little time left"
	reasonLost            reason = "answer lost"
	reasonTimeout         reason = "time limit"
	reasonBudget          reason = "retry budget spent"
	reasonCanceled        reason = "client gone"
	reasonStopping        reason = "instance stopping"
)

// outcome is the result of a request without a server's answer. A status of 0 closes the
// connection.
type outcome struct {
	status     int
	reason     reason
	retryAfter time.Duration
	// closes means that the connection is closed after the answer, because the body wasn't read.
	closes bool
}

// refused returns an outcome that guarantees that the request was not and will not be
// executed.
func refused(why reason, retryAfter time.Duration) outcome {
	return outcome{status: http.StatusServiceUnavailable, reason: why, retryAfter: retryAfter}
}

const (
	// minRetryAfter is the minimum Retry-After of a refusal: about the time to load a
	// model from a server's disk.
	minRetryAfter = 400 * time.Millisecond
	// stoppingRetryAfter is the Retry-After of an instance that is about to stop; the
	// other instances accept the client's request immediately.
	stoppingRetryAfter = 20 * time.Millisecond
	// retryAfterJitter is the maximum share by which a Retry-After is extended at random.
	retryAfterJitter = 0.25
)

// jitter returns a randomized Retry-After of at least d, so that clients refused at the
// same time do not return at the same time.
func jitter(d time.Duration) time.Duration {
	d = max(d, minRetryAfter)
	return d + time.Duration(rand.Float64()*retryAfterJitter*float64(d))
}

// writeOutcome writes an answer of the edge itself, which carries no server's signature.
func (e *Edge) writeOutcome(w http.ResponseWriter, id string, o outcome) {
	if o.status == 0 {
		panic(http.ErrAbortHandler)
	}
	header := w.Header()
	platform.SetRequestID(header, id)
	if o.retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(o.retryAfter.Seconds(), 'f', 3, 64))
	}
	if o.closes || e.draining.Load() {
		header.Set("Connection", "close")
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("Content-Length", strconv.Itoa(len(o.reason)+1))
	w.WriteHeader(o.status)
	// The HTTP server handles a disconnected client, so the error is ignored.
	_, _ = w.Write([]byte(string(o.reason) + "\n"))
}

// Refuse refuses a request of a client that sends too many at once. It hasn't run.
func (e *Edge) Refuse(w http.ResponseWriter, r *http.Request) {
	out := refused(reasonPipelined, jitter(clientguard.RetryAfter))
	out.closes = true
	e.refusals.Inc(1)
	e.writeOutcome(w, platform.DecodeRequest(r.Header).ID, out)
}
