// Package problem defines the error responses to callers: application/problem+json
// (RFC 9457) with a stable type, whether the request ran, and when to retry it.
package problem

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"
)

// ContentType is the media type of every problem.
const ContentType = "application/problem+json"

const typePrefix = "urn:cyclamenhoist:problem:"

// Ran states whether a request that failed may have been run.
type Ran string

// NotRun guarantees that no backend server has run the request or ever will.
// Unknown guarantees nothing: the request may have run, or may still run.
const (
	NotRun  Ran = "not_run"
	Unknown Ran = "unknown"
)

// Kind is a problem type, as documented for callers.
type Kind struct {
	name   string
	title  string
	status int
	ran    Ran
}

// Type returns the stable URN of the kind.
func (k Kind) Type() string { return typePrefix + k.name }

// Status returns the HTTP status of the kind.
func (k Kind) Status() int { return k.status }

// Ran returns whether a request with this kind of problem may have been run.
func (k Kind) Ran() Ran { return k.ran }

// Problem is the failure of one request. It is an error, so that request filters
// can return it.
type Problem struct {
	Kind   Kind
	Detail string
	// RetryAfter is the delay after which a retry can succeed, computed from the
	// state of the system. It is zero if a retry is useless.
	RetryAfter time.Duration
	// TraceID is the trace ID of the request, which the logs contain.
	TraceID string
}

// New returns a problem of the kind.
func New(kind Kind, detail string) *Problem {
	return &Problem{Kind: kind, Detail: detail}
}

// WithRetryAfter sets the delay after which to retry, and returns the problem.
func (p *Problem) WithRetryAfter(d time.Duration) *Problem {
	p.RetryAfter = d
	return p
}

// Error implements error. It returns the kind's name and the detail.
func (p *Problem) Error() string {
	return p.Kind.name + ": " + p.Detail
}

// As returns the Problem that err is or wraps, and whether there is one.
func As(err error) (*Problem, bool) {
	var p *Problem
	ok := errors.As(err, &p)
	return p, ok
}

type document struct {
	Type         string `json:"type"`
	Title        string `json:"title"`
	Status       int    `json:"status"`
	Detail       string `json:"detail,omitempty"`
	Ran          Ran    `json:"ran"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	TraceID      string `json:"trace_id,omitempty"`
	// Error is the member in which client libraries of the OpenAI API look for an
	// error. Without it they treat a stream that ends in a problem as complete.
	Error openAIError `json:"error"`
}

type openAIError struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

// JSON returns the body of the problem.
func (p *Problem) JSON() []byte {
	body, err := json.Marshal(document{
		Type:         p.Kind.Type(),
		Title:        p.Kind.title,
		Status:       p.Kind.status,
		Detail:       p.Detail,
		Ran:          p.Kind.ran,
		RetryAfterMS: p.RetryAfter.Milliseconds(),
		TraceID:      p.TraceID,
		Error: openAIError{
			Message: p.Kind.title + ": " + p.Detail,
			Type:    p.Kind.Type(),
			Code:    p.Kind.name,
		},
	})
	if err != nil {
		// A struct of strings and integers always marshals.
		panic(err)
	}
	return body
}

// Write sends the problem as the whole response.
func (p *Problem) Write(w http.ResponseWriter) error {
	body := p.JSON()
	h := w.Header()
	h.Set("Content-Type", ContentType)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set("Cache-Control", "no-store")
	if p.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatInt(wholeSeconds(p.RetryAfter), 10))
	}
	if p.Kind.ran == Unknown {
		// Common client libraries retry a 5xx status by themselves unless this
		// header tells them not to.
		h.Set("X-Should-Retry", "false")
	}
	w.WriteHeader(p.Kind.status)
	_, err := w.Write(body)
	return err
}

// wholeSeconds rounds up, so that callers don't retry too early.
func wholeSeconds(d time.Duration) int64 {
	return int64(math.Ceil(d.Seconds()))
}
