// Package problem is the form in which callers learn that they get no answer:
// application/problem+json (RFC 9457) with a stable type, whether the request
// ran, and when to come back.
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

// Ran says what is known about the effect of a request that got no answer.
type Ran string

// NotRun promises that no backend server ran the request, nor ever will.
// Unknown promises nothing: it may have run, or may still run.
const (
	NotRun  Ran = "not_run"
	Unknown Ran = "unknown"
)

// Kind is one sort of problem, as documented for callers.
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

// Ran returns what the kind says about the effect.
func (k Kind) Ran() Ran { return k.ran }

// Problem is one problem with one request. It is an error, so that filters can
// return it.
type Problem struct {
	Kind   Kind
	Detail string
	// RetryAfter is the time after which trying again makes sense, worked out
	// from the state of the system; zero if trying again is of no use.
	RetryAfter time.Duration
	// TraceID is the id under which the logs have the request.
	TraceID string
}

// New returns a problem of the kind.
func New(kind Kind, detail string) *Problem {
	return &Problem{Kind: kind, Detail: detail}
}

// After returns the problem with the time after which to try again.
func (p *Problem) After(d time.Duration) *Problem {
	p.RetryAfter = d
	return p
}

// Error implements error.
func (p *Problem) Error() string {
	return p.Kind.name + ": " + p.Detail
}

// As returns the problem that err is or wraps.
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
	// Error is what the client libraries of the OpenAI API look for; without it
	// they take a stream that ends in a problem for a whole one.
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
		// The usual client libraries try a 5xx again by themselves unless told
		// not to.
		h.Set("X-Should-Retry", "false")
	}
	w.WriteHeader(p.Kind.status)
	_, err := w.Write(body)
	return err
}

// wholeSeconds rounds up: a caller that comes back earlier comes too early.
func wholeSeconds(d time.Duration) int64 {
	return int64(math.Ceil(d.Seconds()))
}
