package httpcall

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// StatusError is the error for an answer whose status isn't 200.
type StatusError struct {
	Status int
	// Code is the value of "error" in a JSON body, or empty if there is none.
	Code string
	// Body is the answer's body. It is empty if the body couldn't be read or is
	// longer than errorBodyLimit.
	Body []byte
}

// Error implements error.
func (e *StatusError) Error() string {
	if e.Code != "" {
		return fmt.Sprintf("status %d: %s", e.Status, e.Code)
	}
	return fmt.Sprintf("status %d", e.Status)
}

// Unwrap returns the error of package port to which the status corresponds. A
// status after which the request may have had an effect is port.ErrUnknownOutcome.
func (e *StatusError) Unwrap() error {
	switch e.Status {
	case http.StatusConflict:
		if e.Code == CodeFenced {
			return port.ErrFenced
		}
		return port.ErrRefused
	case http.StatusInsufficientStorage:
		return port.ErrNoMemory
	case http.StatusNotImplemented, http.StatusNotFound, http.StatusMethodNotAllowed:
		return port.ErrNotSupported
	case http.StatusGone:
		return port.ErrTruncated
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return port.ErrRefused
	}
	if e.Status >= 400 && e.Status < 500 && e.Status != http.StatusRequestTimeout {
		return port.ErrRefused
	}
	return port.ErrUnknownOutcome
}

// CodeFenced is the error code of a server that has seen a higher fencing token.
const CodeFenced = "fenced"

func readStatusError(resp *http.Response) error {
	e := &StatusError{Status: resp.StatusCode}
	// If the body can't be read or is too long, the error has only the status.
	e.Body, _ = ReadBounded(resp.Body, errorBodyLimit)
	var coded struct {
		Error string `json:"error"`
	}
	if json.Unmarshal(e.Body, &coded) == nil {
		e.Code = coded.Error
	}
	return e
}
