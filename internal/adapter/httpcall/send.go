package httpcall

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"

	"github.com/go-faster/errors"

	"github.com/cyclamenhoist/cyclamenhoist/internal/httpanswer"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// ErrTooLarge means that an answer was longer than the caller's limit.
var ErrTooLarge = errors.New("answer too large")

// ErrMalformed means that an answer couldn't be decoded.
var ErrMalformed = errors.New("answer malformed")

// errorBodyLimit is the maximum size in bytes of the body of an error answer.
const errorBodyLimit = 4 << 10

// attempt tracks the connection that a request uses.
type attempt struct {
	mu           sync.Mutex
	conn         net.Conn
	writesBefore uint64
	// possiblySent is set once a connection was abandoned to which some of the
	// request may have been written.
	possiblySent bool
}

// gotConn is called when the request is about to be written to a connection. It is
// called again when net/http retries the request on another connection. That
// connection is closed before anything is written, unless it is certain that
// nothing was written to the previous one, which only a trackedConn can prove.
func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.abandonConn()
	if a.possiblySent {
		_ = info.Conn.Close()
		return
	}
	a.conn = info.Conn
	if t := unwrapTracked(info.Conn); t != nil {
		a.writesBefore = t.writeCount()
	}
}

// abandonConn seals the current connection, and records whether any byte of the
// request may have been written to it. The caller holds a.mu.
func (a *attempt) abandonConn() {
	if a.conn == nil {
		return
	}
	t := unwrapTracked(a.conn)
	if t == nil || t.seal() != a.writesBefore {
		a.possiblySent = true
	}
	a.conn = nil
}

// sent reports whether any byte of the request may have been written. Nothing is
// written after it returns.
func (a *attempt) sent() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.abandonConn()
	return a.possiblySent
}

// Send sends the request at most once over the client's transport, without
// following redirects. The error is port.ErrNotSent or port.ErrUnknownOutcome. The
// caller must close the response's body.
func Send(c *http.Client, r *http.Request) (*http.Response, error) {
	a := &attempt{}
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{GotConn: a.gotConn})
	resp, err := httpanswer.Transport{Base: transportOf(c)}.RoundTrip(r.WithContext(ctx))
	if err == nil {
		return resp, nil
	}
	if a.sent() {
		return nil, errors.Wrap(unknownOutcome(err), r.Method)
	}
	return nil, errors.Wrap(notSentError(err), r.Method)
}

func transportOf(c *http.Client) http.RoundTripper {
	if c == nil || c.Transport == nil {
		return http.DefaultTransport
	}
	return c.Transport
}

func unknownOutcome(err error) error { return fmt.Errorf("%w: %w", port.ErrUnknownOutcome, err) }
func notSentError(err error) error   { return fmt.Errorf("%w: %w", port.ErrNotSent, err) }

// JSON sends in as JSON (nil for no body) and decodes an answer of status 200 into
// out (nil to ignore the body), reading at most limit bytes. Any other status is
// returned as a *StatusError. An answer that is lost or can't be decoded is
// port.ErrUnknownOutcome, because the request itself has arrived.
func JSON(ctx context.Context, c *http.Client, method, url string, in, out any, limit int64) error {
	r, err := newRequest(ctx, method, url, in)
	if err != nil {
		return notSentError(err)
	}
	resp, err := Send(c, r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return readStatusError(resp)
	}
	if out == nil {
		return nil
	}
	body, err := ReadBounded(resp.Body, limit)
	if err != nil {
		return unknownOutcome(err)
	}
	if err := json.Unmarshal(body, out); err != nil {
		return unknownOutcome(fmt.Errorf("%w: %w", ErrMalformed, err))
	}
	return nil
}

func newRequest(ctx context.Context, method, url string, in any) (*http.Request, error) {
	var body io.Reader
	if in != nil {
		encoded, err := json.Marshal(in)
		if err != nil {
			return nil, errors.Wrap(err, "encode request")
		}
		body = bytes.NewReader(encoded)
	}
	r, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	if in != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	return r, nil
}

// ReadBounded reads r to its end. It returns ErrTooLarge if r holds more than limit
// bytes.
func ReadBounded(r io.Reader, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, errors.Wrap(err, "read answer")
	}
	if int64(len(body)) > limit {
		return nil, ErrTooLarge
	}
	return body, nil
}
