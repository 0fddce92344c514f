package httpanswer

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrMalformed means that bytes are no answer in HTTP/1.1, and ErrCutOff that an answer was broken off.
var (
	ErrMalformed = errors.New("answer malformed")
	ErrCutOff    = errors.New("answer broken off")
)

// errUnwritten means that a request isn't written to its end although its answer has ended.
var errUnwritten = errors.New("request not written to its end")

// uploadEndTimeout is how long the end of an answer that ends with its connection is held back until the
// rest of its request is written. A write to a connection that was reset fails within a round trip.
const uploadEndTimeout = time.Second

const (
	minStatus = 100
	maxStatus = 599
)

// CheckHead returns ErrMalformed if a head that the standard library has read isn't that of an answer.
func CheckHead(resp *http.Response) error {
	if resp.StatusCode < minStatus || resp.StatusCode > maxStatus {
		return errors.Wrapf(ErrMalformed, "status %q", resp.Status)
	}
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return errors.Wrap(ErrMalformed, "a protocol that wasn't asked for")
	}
	return checkNames(resp.Header)
}

func checkNames(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Wrapf(ErrMalformed, "field name %q", name)
		}
	}
	return nil
}

// IsInformational reports whether another head follows one that CheckHead has accepted.
func IsInformational(resp *http.Response) bool { return resp.StatusCode < http.StatusOK }

// ReadHead reads the head of the final answer to a request with the method, and skips informational ones.
func ReadHead(reader *bufio.Reader, method string) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if err := CheckHead(resp); err != nil {
			return nil, err
		}
		if !IsInformational(resp) {
			return resp, nil
		}
	}
}

// Upload follows the writing of a request. It is safe for concurrent use.
type Upload struct {
	mu    sync.Mutex
	ended chan struct{}
	err   error
}

// NewUpload returns an Upload that hasn't ended.
func NewUpload() *Upload { return &Upload{ended: make(chan struct{})} }

// Restart records that the request is written anew, to another connection.
func (u *Upload) Restart() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.hasEnded() {
		u.ended, u.err = make(chan struct{}), nil
	}
}

// End records that the request is written to its end, or with which error that failed.
func (u *Upload) End(err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.hasEnded() {
		u.err = err
		close(u.ended)
	}
}

func (u *Upload) hasEnded() bool {
	select {
	case <-u.ended:
		return true
	default:
		return false
	}
}

// Succeeded reports whether the request is written to its end.
func (u *Upload) Succeeded() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.hasEnded() && u.err == nil
}

// await returns nil if the request is written to its end, at once or soon.
func (u *Upload) await() error {
	u.mu.Lock()
	ended := u.ended
	u.mu.Unlock()
	timeout := time.NewTimer(uploadEndTimeout)
	defer timeout.Stop()
	select {
	case <-ended:
	case <-timeout.C:
		return errUnwritten
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.err
}

// Body returns the body of an answer to the request that upload follows. It ends with io.EOF only if the
// answer is whole.
func Body(resp *http.Response, upload *Upload) io.ReadCloser {
	return &body{ReadCloser: resp.Body, resp: resp, upload: upload}
}

type body struct {
	io.ReadCloser

	resp   *http.Response
	upload *Upload
	// result is the outcome of the check at the end; nil until then.
	result error
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.result != nil {
		return 0, b.result
	}
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	b.result = io.EOF
	if bad := b.checkEnd(); bad != nil {
		b.result = bad
	}
	return n, b.result
}

// checkEnd returns an error if the answer isn't whole, although its body has ended.
func (b *body) checkEnd() error {
	if err := checkNames(b.resp.Trailer); err != nil {
		return err
	}
	if !endsWithConnection(b.resp) {
		return nil
	}
	if err := b.upload.await(); err != nil {
		return errors.Join(ErrCutOff, err)
	}
	return nil
}

func endsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// Transport is an HTTP/1.1 transport whose answers are whole. The head of one that isn't is reported as
// ErrMalformed, and its connection closed.
type Transport struct {
	Base http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	upload := NewUpload()
	var mu sync.Mutex
	var conn net.Conn
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			mu.Lock()
			defer mu.Unlock()
			conn = info.Conn
			upload.Restart()
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) { upload.End(info.Err) },
	})
	resp, err := t.Base.RoundTrip(r.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	mu.Lock()
	defer mu.Unlock()
	if conn == nil {
		// The transport under this one doesn't say how it sends requests.
		upload.End(nil)
	}
	if err := CheckHead(resp); err != nil {
		// What follows belongs to no request.
		if conn != nil {
			_ = conn.Close()
		}
		_ = resp.Body.Close()
		return nil, err
	}
	resp.Body = Body(resp, upload)
	return resp, nil
}
