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

	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// ErrTooLarge says that an answer was longer than the caller allows.
var ErrTooLarge = errors.New("answer too large")

// ErrMalformed says that an answer could not be understood.
var ErrMalformed = errors.New("answer malformed")

// errorBodyLimit bounds what is read of an error answer, in bytes.
const errorBodyLimit = 4 << 10

// attempt notes which connection a request was given.
type attempt struct {
	mu      sync.Mutex
	conn    net.Conn
	started uint64
	// mayBeSent is set once a connection was given up to which the request may
	// have been written.
	mayBeSent bool
}

// gotConn is called when the request is about to be written to a connection. It
// gets here again when net/http tries the request on another one: the connection
// is closed then, so that nothing can be written, unless it is proved that
// nothing was on the last one.
func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.giveUp()
	if a.mayBeSent {
		_ = info.Conn.Close()
		return
	}
	a.conn = info.Conn
	if t := tracked(info.Conn); t != nil {
		a.started = t.started()
	}
}

// giveUp ends the present connection for writing, and notes whether any byte of
// the request may have been written; a.mu is held.
func (a *attempt) giveUp() {
	if a.conn == nil {
		return
	}
	t := tracked(a.conn)
	if t == nil || t.seal() != a.started {
		a.mayBeSent = true
	}
	a.conn = nil
}

// sent reports whether any byte of the request may have been written. Nothing is
// written after it returns.
func (a *attempt) sent() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.giveUp()
	return a.mayBeSent
}

// Send sends the request once over the client's transport, without following
// redirects. A failure is port.ErrNotSent or port.ErrUnknownOutcome. The
// response's body must be closed.
func Send(c *http.Client, r *http.Request) (*http.Response, error) {
	a := &attempt{}
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{GotConn: a.gotConn})
	resp, err := transportOf(c).RoundTrip(r.WithContext(ctx))
	if err == nil {
		return resp, nil
	}
	if a.sent() {
		return nil, errors.Wrap(unknown(err), r.Method)
	}
	return nil, errors.Wrap(notSent(err), r.Method)
}

func transportOf(c *http.Client) http.RoundTripper {
	if c == nil || c.Transport == nil {
		return http.DefaultTransport
	}
	return c.Transport
}

func unknown(err error) error { return fmt.Errorf("%w: %w", port.ErrUnknownOutcome, err) }
func notSent(err error) error { return fmt.Errorf("%w: %w", port.ErrNotSent, err) }

// JSON sends in (nil for none) as JSON and decodes an answer of status 200 into
// out (nil to ignore it), reading at most limit bytes. Any other status is
// returned as a *StatusError. An answer that is lost or can't be read is
// port.ErrUnknownOutcome, since the call itself has arrived.
func JSON(ctx context.Context, c *http.Client, method, url string, in, out any, limit int64) error {
	r, err := newRequest(ctx, method, url, in)
	if err != nil {
		return notSent(err)
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
		return unknown(err)
	}
	if err := json.Unmarshal(body, out); err != nil {
		return unknown(fmt.Errorf("%w: %w", ErrMalformed, err))
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

// ReadBounded reads to the end, or fails with ErrTooLarge past limit bytes.
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
