package clientguard

import (
	"os"
	"time"

	"github.com/go-faster/errors"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/bytebudget"
)

// SetWriteDeadline implements net.Conn. A deadline that is set goes before those that the guard sets for
// each write.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	if c.guard.cfg.Raw {
		return c.Conn.SetWriteDeadline(t)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handlerDeadline, c.writeArmed = t, false
	if t.IsZero() || c.responseDropped.Load() {
		return nil
	}
	return c.Conn.SetWriteDeadline(t)
}

// Write implements net.Conn. It fails if the client reads nothing for unreadTimeout.
func (c *Conn) Write(p []byte) (int, error) {
	if c.guard.cfg.Raw {
		return c.Conn.Write(p)
	}
	total := 0
	for {
		part := p[total:min(len(p), total+writeBytes)]
		c.armWrite()
		n, err := c.Conn.Write(part)
		total += n
		again := c.wrote(n, err)
		switch {
		case err == nil && total == len(p):
			return total, nil
		case err != nil && !again:
			return total, errors.Wrap(err, "write to client")
		}
	}
}

// armWrite sets the deadline of a write, unless the one that is set is late enough.
func (c *Conn) armWrite() {
	now := clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing, c.blockedSince = true, now
	if !c.handlerDeadline.IsZero() {
		return
	}
	if c.writeArmed && c.writeUntil-now > unreadTimeout/2 {
		return
	}
	c.writeArmed, c.writeUntil = true, now+unreadTimeout
	_ = c.Conn.SetWriteDeadline(time.Now().Add(unreadTimeout))
	if c.responseDropped.Load() {
		_ = c.Conn.SetWriteDeadline(past)
	}
}

// wrote accounts for a write, and reports whether one that has timed out can go on.
func (c *Conn) wrote(n int, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
	if n > 0 && c.responseOpen {
		c.response.Advance(int64(n), clock())
	}
	if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
		return err == nil
	}
	if c.responseDropped.Load() {
		c.guard.causes.add(causeResponseDropped, c.RemoteAddr().String())
		return false
	}
	if !c.handlerDeadline.IsZero() {
		return false
	}
	// A part of the time may have passed before this write.
	if n > 0 || clock()-c.blockedSince < unreadTimeout/2 {
		c.writeArmed = false
		return true
	}
	c.guard.causes.add(causeUnread, c.RemoteAddr().String())
	return false
}

// ReserveResponse reserves n more bytes for a response that is buffered, and reports whether they may
// be used.
func (c *Conn) ReserveResponse(n int64) bool {
	if c == nil {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.responseOpen {
		c.responseOpen = true
		c.guard.cfg.Budget.Begin(&c.response, bytebudget.Responses, nil, clock())
	}
	return c.response.Grow(n, clock()) == nil
}

// SendResponse makes the reservation of a response one that is dropped if the client doesn't read.
func (c *Conn) SendResponse() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.responseOpen {
		c.response.Expose(c, clock())
	}
}

// ReleaseResponse releases the reservation of a response that was given up.
func (c *Conn) ReleaseResponse() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.responseOpen {
		c.responseOpen = false
		c.response.End()
	}
}
