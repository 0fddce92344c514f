package clientguard

import (
	"bytes"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/bytebudget"
)

// phase is what a connection is in use for.
type phase uint8

const (
	// phaseHead: a head is expected or arrives.
	phaseHead phase = iota
	// phaseHandler: a handler runs that doesn't read the body.
	phaseHandler
	// phaseBody: ReadBody reads the body.
	phaseBody
	// phaseIdle: nothing of another request has arrived.
	phaseIdle
	// phaseDone: the handler has ended, and the server writes the response or waits before it closes
	// the connection; or the head was refused.
	phaseDone
	// phaseRaw: the protocol isn't HTTP, and its first bytes have arrived.
	phaseRaw
)

// Conn is a connection of a client. Methods of a nil *Conn reserve nothing and succeed.
type Conn struct {
	net.Conn

	guard *Guard
	// bodyDropped and responseDropped are set when a reservation of the connection was dropped.
	bodyDropped, responseDropped atomic.Bool
	closed                       atomic.Bool
	// lingers means that the connection is to be closed with a delay.
	lingers atomic.Bool

	// pipelinedInRow counts the requests in a row that arrived before the response to the one before.
	// inRowBefore is that of the request before. Only the goroutine of the server changes them.
	pipelinedInRow, inRowBefore int

	mu    sync.Mutex
	phase phase
	// progress is that of the head or the body, idleSince when the connection became idle, and
	// doneAt when the last handler ended.
	progress          bytebudget.Progress
	idleSince, doneAt time.Duration
	// headBytes and headLines count the current head, inLine the bytes of its last line.
	headBytes         int64
	headLines, inLine int
	headEnded         bool
	// early means that bytes of the next request arrived while the handler ran.
	early bool
	// idleDeadlineSet means that the server has set the deadline for the idle connection.
	idleDeadlineSet bool
	// armed means that the deadline of the body was set, or that the connection is being closed; last
	// means that no later deadline follows. until is the latest deadline, zero if there is none.
	armed, last bool
	until       time.Time
	// serverDeadline is the read deadline that the server of a raw connection has set.
	serverDeadline time.Time

	// handlerDeadline is the write deadline that the handler has set, which goes before the guard's; zero
	// if there is none. writeUntil is the guard's, if writeArmed. blockedSince is when the current write
	// began.
	handlerDeadline time.Time
	writeUntil      time.Duration
	writeArmed      bool
	writing         bool
	blockedSince    time.Duration

	// head, body and response are the reservations of the current request.
	head, body, response bytebudget.Reservation
	headOpen             bool
	fields               int
	responseOpen         bool
}

// errRefused means that the connection was cut off for the head of a request.
var errRefused = errors.New("head refused")

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// Dropped implements bytebudget.Holder.
func (c *Conn) Dropped(p bytebudget.Purpose) {
	if p == bytebudget.Responses {
		c.responseDropped.Store(true)
		_ = c.Conn.SetWriteDeadline(past)
		return
	}
	c.bodyDropped.Store(true)
	_ = c.Conn.SetReadDeadline(past)
}

// setReadDeadline sets the deadline of the socket, unless the client was dropped.
func (c *Conn) setReadDeadline(t time.Time) error {
	err := c.Conn.SetReadDeadline(t)
	if c.bodyDropped.Load() {
		return c.Conn.SetReadDeadline(past)
	}
	return err
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	for {
		// The server waits for the end of the connection, or another request, with reads of one byte.
		waits := len(p) <= 1
		if !waits {
			c.armRead()
		}
		n, err := c.Conn.Read(p)
		if n > 0 {
			if refusal, why := c.received(p[:n], len(p)); refusal != "" {
				return 0, c.cutOff(refusal, why)
			}
			return n, err
		}
		if err == nil || waits || !errors.Is(err, os.ErrDeadlineExceeded) || !c.extendRead() {
			return n, err
		}
	}
}

// armRead sets the deadline of the first read of a body. Bodies that have arrived with their head
// need none.
func (c *Conn) armRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.armed || c.phase != phaseBody && c.phase != phaseHandler && c.phase != phaseDone {
		return
	}
	c.armed = true
	deadline := time.Now().Add(discardTimeout)
	if c.phase == phaseBody {
		deadline = time.Now().Add(c.bodyLeft(clock()))
	}
	_ = c.setReadDeadline(earlier(deadline, c.until))
}

// earlier returns the earlier of two times, of which the second may be zero for none.
func earlier(a, b time.Time) time.Time {
	if !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// bodyLeft returns the time that is left for the next bytes of the body.
func (c *Conn) bodyLeft(now time.Duration) time.Duration {
	p := c.progress
	paced := p.Began() + bodyGrace + time.Duration(float64(p.Bytes())/bytebudget.MinPace*float64(time.Second))
	return min(paced, p.Last()+bodyGrace) - now
}

// extendRead sets a later deadline for a body whose client has made progress since the last one was
// set, and reports whether it did.
func (c *Conn) extendRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.bodyDropped.Load() {
		return false
	}
	if c.phase == phaseHead {
		c.guard.causes.add(causeHeadTimeout, c.RemoteAddr().String())
		return false
	}
	if c.phase != phaseBody {
		return false
	}
	now := time.Now()
	left := c.bodyLeft(clock())
	if left <= 0 || !c.until.IsZero() && !now.Before(c.until) {
		if c.last {
			return false
		}
		c.last, left = true, lastChance
		return c.setReadDeadline(now.Add(left)) == nil
	}
	return c.setReadDeadline(earlier(now.Add(left), c.until)) == nil
}

// received accounts for bytes that have arrived in a read of the given size. It returns the answer with which to cut the
// connection off, or an empty string.
func (c *Conn) received(p []byte, size int) (string, cause) {
	now := clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.guard.cfg.Raw && c.phase == phaseHead {
		c.phase = phaseRaw
		// Only the guard's own deadline for the first byte ends.
		_ = c.setReadDeadline(c.serverDeadline)
	}
	switch c.phase {
	case phaseIdle:
		c.beginHead(now)
		return c.receivedHead(p, now)
	case phaseHead:
		return c.receivedHead(p, now)
	case phaseBody:
		c.progress.Add(int64(len(p)), now)
		c.last = false
		c.early = c.early || size == 1
	case phaseHandler, phaseDone:
		c.early = c.early || size == 1
	}
	return "", 0
}

func (c *Conn) beginHead(now time.Duration) {
	c.phase, c.progress = phaseHead, bytebudget.NewProgress(now)
	c.headBytes, c.headLines, c.inLine, c.headEnded = 0, 0, 0, false
}

func (c *Conn) receivedHead(p []byte, now time.Duration) (string, cause) {
	c.progress.Add(int64(len(p)), now)
	for len(p) > 0 && !c.headEnded {
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			c.inLine += len(p)
			c.headBytes += int64(len(p))
			break
		}
		// An empty line ends the head unless nothing precedes it. It has at most a carriage return; a
		// field of one byte is malformed.
		c.headEnded = c.headLines > 0 && c.inLine+end <= 1
		c.headLines, c.inLine = c.headLines+1, 0
		c.headBytes += int64(end + 1)
		p = p[end+1:]
	}
	limits := c.guard.limits()
	if c.headBytes > limits.MaxHeaderBytes+headerSlack {
		return rawTooLarge, causeHeadBytes
	}
	if limits.MaxFields > 0 && c.headLines > limits.MaxFields {
		return rawTooLarge, causeHeadFields
	}
	if !c.growFields(c.headLines, now) {
		return rawUnavailable, causeHeadFields
	}
	return "", 0
}

// growFields reserves the memory of the fields of a head beyond those that are free.
func (c *Conn) growFields(fields int, now time.Duration) bool {
	if fields <= max(c.fields, freeFields) {
		return true
	}
	if !c.headOpen {
		c.headOpen = true
		c.guard.cfg.Budget.Begin(&c.head, bytebudget.Headers, c, now)
	}
	more := int64(fields-max(c.fields, freeFields)) * fieldBytes
	if c.head.Grow(more, now) != nil {
		return false
	}
	c.head.Advance(more, now)
	c.fields = fields
	return true
}

// reserveFields reserves the memory of a head that had arrived before its request was begun.
func (c *Conn) reserveFields(fields int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.growFields(fields, clock()) {
		return false
	}
	if c.headOpen {
		c.head.Complete()
	}
	return true
}

// cutOff answers a head that isn't read on. The connection is closed a moment after the server has let go
// of the head, since closing one with unread bytes resets it, and the client may not have read the answer.
func (c *Conn) cutOff(answer string, why cause) error {
	c.guard.causes.add(why, c.RemoteAddr().String())
	c.mu.Lock()
	c.phase, c.armed = phaseDone, true
	c.mu.Unlock()
	_ = c.Conn.SetWriteDeadline(time.Now().Add(lastChance))
	_, _ = c.Conn.Write([]byte(answer))
	_ = c.CloseWrite()
	c.lingers.Store(true)
	return &net.OpError{Op: "read", Net: "tcp", Err: errRefused}
}

// beginHandler records that a head has arrived.
func (c *Conn) beginHandler() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.armed, c.last, c.early, c.until = phaseHandler, false, false, false, time.Time{}
	if !c.handlerDeadline.IsZero() {
		c.handlerDeadline, c.writeArmed = time.Time{}, false
	}
	if c.headOpen {
		c.head.Complete()
	}
}

// endHandler releases what a request has reserved, but for its head.
func (c *Conn) endHandler() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.doneAt = phaseDone, clock()
	c.body.End()
	if c.responseOpen {
		c.responseOpen = false
		c.response.End()
	}
}

// beginIdle records that a response was written.
func (c *Conn) beginIdle() {
	c.releaseHead()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.idleSince, c.idleDeadlineSet = phaseIdle, clock(), false
	c.inRowBefore = c.pipelinedInRow
	if c.early {
		c.pipelinedInRow++
	} else {
		c.pipelinedInRow = 0
	}
}

func (c *Conn) releaseHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.headOpen {
		c.headOpen, c.fields = false, 0
		c.head.End()
	}
}

// SetReadDeadline implements net.Conn. The deadlines for heads and idle connections are the guard's.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.guard.cfg.Raw {
		c.serverDeadline = t
		if c.phase == phaseHead && (t.IsZero() || t.After(c.until)) {
			return nil // the guard's deadline for the first byte is earlier
		}
		return c.setReadDeadline(t)
	}
	if t.IsZero() || t.Before(now) {
		return c.setReadDeadline(t)
	}
	switch {
	case c.phase == phaseIdle && !c.idleDeadlineSet:
		c.idleDeadlineSet = true
		t = now.Add(c.guard.limits().IdleTimeout)
	case c.phase == phaseIdle:
		// The server goes on with a head that it had read before the response to the last request.
		c.pipelinedInRow = c.inRowBefore + 1
		c.beginHead(clock())
		t = now.Add(c.guard.limits().HeaderTimeout)
	case c.phase == phaseHead:
		t = now.Add(c.guard.limits().HeaderTimeout)
	default:
		c.until = t
	}
	return c.setReadDeadline(t)
}

// Ranks of connections that can be closed for a new one.
const (
	rankNone = iota
	// rankYoungHead is a head that may still arrive at once. The connection isn't closed for another one,
	// which waits.
	rankYoungHead
	// rankHead is a head that hasn't arrived within headPause.
	rankHead
	rankPipelined
	rankSlow
	rankSlowHead
	rankIdle
	// rankDone is a connection that is about to be closed.
	rankDone
)

// replaceRank returns whether the connection can be closed for a new one, the highest rank first, and
// within a rank the highest score.
func (c *Conn) replaceRank(now time.Duration) (int, float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.writing && now-c.blockedSince > bytebudget.Pause:
		return rankSlow, float64(now - c.blockedSince)
	case c.phase == phaseDone && !c.writing && (c.armed || now-c.doneAt > closePause):
		return rankDone, 0
	case c.phase == phaseIdle:
		return rankIdle, float64(now - c.idleSince)
	case c.phase == phaseHead && c.progress.Stalled(now):
		return rankSlowHead, -c.progress.Rate(now)
	case c.phase == phaseBody && c.progress.Stalled(now):
		return rankSlow, -c.progress.Rate(now)
	case c.pipelinedInRow > ordinaryInRow && c.phase != phaseHandler:
		return rankPipelined, float64(c.pipelinedInRow)
	case c.phase == phaseHead && now-c.progress.Began() >= headPause:
		return rankHead, float64(now - c.progress.Began())
	case c.phase == phaseHead:
		return rankYoungHead, 0
	}
	return rankNone, 0
}

// headPause is the time in which the first request arrives on a connection from an ordinary client nearby.
const headPause = 50 * time.Millisecond

// closePause is the time after the end of a handler from which the connection, if it isn't idle, is about
// to be closed.
const closePause = 100 * time.Millisecond

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.releaseHead()
	if c.lingers.Swap(false) {
		time.AfterFunc(lastChance, func() { _ = c.closeNow() })
		return nil
	}
	return c.closeNow()
}

func (c *Conn) closeNow() error {
	if !c.closed.Swap(true) {
		c.guard.close(c)
	}
	return c.Conn.Close()
}

// CloseWrite closes the connection for writing.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SetLinger sets what happens to unsent bytes when the connection is closed.
func (c *Conn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}

// errNoSocket means that a connection isn't a socket.
var errNoSocket = errors.New("not a socket")

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if socket, ok := c.Conn.(syscall.Conn); ok {
		return socket.SyscallConn()
	}
	return nil, errNoSocket
}
