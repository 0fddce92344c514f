package clientguard

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/bytebudget"
)

// Errors of ReadBody. After each of them the request hasn't run, and the connection must be closed
// after the answer. ErrTooLarge means that the body exceeds its limit, ErrTimeout that it didn't arrive
// in time, and ErrNoMemory that the instance has no memory for it.
var (
	ErrTooLarge = errors.New("body too large")
	ErrTimeout  = errors.New("body not received in time")
	ErrNoMemory = errors.New("no memory for the body")
)

const (
	// firstBodyBytes is the largest buffer before anything has arrived.
	firstBodyBytes = bytebudget.SmallBytes
	minBodyBytes   = 512
	// chunkOverhead is how many times its limit a body in chunks may take on the connection: chunks
	// of a single byte take six bytes each.
	chunkOverhead = 8
)

// ReadBody reads the body of a request, which is reserved in the budget until the handler ends. It
// must arrive before until, if that isn't zero. The other errors than those above mean that the client
// has broken off.
func ReadBody(r *http.Request, limit int64, until time.Time) ([]byte, error) {
	c := Client(r)
	if r.ContentLength > limit {
		c.count(causeBodyBytes)
		return nil, ErrTooLarge
	}
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return nil, nil
	}
	c.beginBody(until)
	body, err := readBody(c, r.Body, r.ContentLength, limit)
	return body, c.endBody(err)
}

func readBody(c *Conn, from io.Reader, length, limit int64) ([]byte, error) {
	// A body of unknown length is read one byte beyond the limit.
	most := limit + 1
	size := int64(minBodyBytes)
	if length > 0 {
		most, size = length, min(length, firstBodyBytes)
	}
	if !c.growBody(size) {
		return nil, ErrNoMemory
	}
	body := make([]byte, 0, size)
	for {
		n, err := from.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		c.advanceBody(int64(n))
		switch {
		case int64(len(body)) > limit, c.wireBytes() > limit*chunkOverhead:
			return nil, ErrTooLarge
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		case len(body) < cap(body):
			continue
		}
		larger := min(2*int64(cap(body)), most)
		if larger <= int64(cap(body)) {
			// A body of known length ends here, but its end isn't read yet.
			larger = int64(cap(body)) + 1
		}
		if !c.growBody(larger - int64(cap(body))) {
			return nil, ErrNoMemory
		}
		grown := make([]byte, len(body), larger)
		copy(grown, body)
		body = grown
	}
}

func (c *Conn) count(why cause) {
	if c != nil {
		c.guard.causes.add(why, c.RemoteAddr().String())
	}
}

// beginBody begins the reservation of a body.
func (c *Conn) beginBody(until time.Time) {
	if c == nil {
		return
	}
	now := clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.progress = phaseBody, bytebudget.NewProgress(now)
	if !until.IsZero() {
		c.until = earlier(until, c.until)
	}
	c.guard.cfg.Budget.Begin(&c.body, bytebudget.Bodies, c, now)
}

func (c *Conn) growBody(n int64) bool { return c == nil || c.body.Grow(n, clock()) == nil }

func (c *Conn) advanceBody(n int64) {
	if c != nil && n > 0 {
		c.body.Advance(n, clock())
	}
}

// wireBytes returns how many bytes of the body have been read from the connection.
func (c *Conn) wireBytes() int64 {
	if c == nil {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.progress.Bytes()
}

// endBody returns the error of a body after it was read. The reservation of one that failed is
// released.
func (c *Conn) endBody(err error) error {
	if c == nil {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return ErrTimeout
		}
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.armed = phaseHandler, false
	if err == nil && c.body.Complete() {
		return nil
	}
	c.body.End()
	switch {
	case c.bodyDropped.Load():
		c.count(causeBodyDropped)
		return ErrNoMemory
	case errors.Is(err, ErrNoMemory):
		c.count(causeBodyShort)
	case errors.Is(err, ErrTooLarge):
		c.count(causeBodyBytes)
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.count(causeBodyTimeout)
		return ErrTimeout
	}
	return err
}
