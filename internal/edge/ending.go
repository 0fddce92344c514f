package edge

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/platform"
)

// reason says why a request ended without a server's answer.
type reason string

const (
	reasonNoManifest   reason = "no manifest known yet"
	reasonNoRoute      reason = "no route"
	reasonBody         reason = "body unreadable"
	reasonBodyTooLarge reason = "body too large"
	reasonNoServer     reason = "no server"
	reasonNoModel      reason = "model not loaded in time"
	reasonTooLate      reason = "too little time left"
	reasonLost         reason = "answer lost"
	reasonTimeout      reason = "time limit"
	reasonBudget       reason = "retry budget spent"
	reasonCanceled     reason = "client gone"
	reasonStopping     reason = "instance stopping"
)

// outcome is how a request ends. A status of 0 closes the connection.
type outcome struct {
	status     int
	reason     reason
	retryAfter time.Duration
}

// refused promises that the request hasn't run and won't.
func refused(why reason, retryAfter time.Duration) outcome {
	return outcome{status: http.StatusServiceUnavailable, reason: why, retryAfter: retryAfter}
}

const (
	// retryAfterLeast is the least time a refused client is asked to wait: about
	// a load from a server's disk.
	retryAfterLeast = 400 * time.Millisecond
	// stoppingRetryAfter is for clients of an instance that is about to stop: the
	// others take them at once.
	stoppingRetryAfter = 20 * time.Millisecond
	// retryAfterSpread spreads clients that were refused at the same moment.
	retryAfterSpread = 0.25
)

// spread draws a time to come back at, so that clients refused together don't
// return together.
func spread(d time.Duration) time.Duration {
	d = max(d, retryAfterLeast)
	return d + time.Duration(rand.Float64()*retryAfterSpread*float64(d))
}

// end writes an answer of the system's own. It carries no server's signature.
func (e *Edge) end(w http.ResponseWriter, id string, o outcome) {
	if o.status == 0 {
		panic(http.ErrAbortHandler)
	}
	header := w.Header()
	platform.SetRequestID(header, id)
	if o.retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(o.retryAfter.Seconds(), 'f', 3, 64))
	}
	if e.draining.Load() {
		header.Set("Connection", "close")
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("Content-Length", strconv.Itoa(len(o.reason)+1))
	w.WriteHeader(o.status)
	// A client that has gone shows at its connection.
	_, _ = w.Write([]byte(string(o.reason) + "\n"))
}
