package relay

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// Prefix begins each connection to a Server, which shares its listener with other protocols. Then
// the client sends a line with the address of a server, or an empty line to ask about the
// instance. The Server replies with a status byte and its availability zone in a line. If it has
// connected, bytes from the client follow as they are, and bytes from the server in frames.
const Prefix = "RELAY-1\n"

// status is the reply of a Server.
type status byte

const (
	// statusConnected means that the Server has connected, or can connect to servers.
	statusConnected status = 'c'
	// statusRefused means that the server's machine has refused the connection.
	statusRefused status = 'r'
	// statusFailed means that the server couldn't be connected to for another reason.
	statusFailed status = 'f'
	// statusUnreachable means that the instance itself doesn't reach the servers, or stops.
	statusUnreachable status = 'u'
	// statusNoServer means that no listed server with the address accepts requests.
	statusNoServer status = 'n'
)

const (
	// maxLineBytes bounds a line of the protocol.
	maxLineBytes = 256
	// maxFrameBytes is the maximum size of a frame's content. A frame begins with its size in
	// frameHeadBytes; an empty one means that the server has closed its connection.
	maxFrameBytes  = 8 << 10
	frameHeadBytes = 2
)

// errLine means that a line of the protocol is too long.
var errLine = errors.New("line too long")

// readLine reads a line without its end.
func readLine(r *bufio.Reader) (string, error) {
	var line strings.Builder
	for {
		b, err := r.ReadByte()
		if err != nil {
			return "", errors.Wrap(err, "read line")
		}
		if b == '\n' {
			return line.String(), nil
		}
		if line.Len() >= maxLineBytes {
			return "", errLine
		}
		line.WriteByte(b)
	}
}

// frameReader reads the bytes of a server from frames. It implements io.Reader.
type frameReader struct {
	conn *bufio.Reader
	// left is what remains of the current frame.
	left  int
	ended bool
}

func (r *frameReader) Read(p []byte) (int, error) {
	if r.ended {
		return 0, io.EOF
	}
	if r.left == 0 {
		var head [frameHeadBytes]byte
		if _, err := io.ReadFull(r.conn, head[:]); err != nil {
			return 0, unexpected(err)
		}
		r.left = int(binary.BigEndian.Uint16(head[:]))
		if r.left == 0 {
			r.ended = true
			return 0, io.EOF
		}
	}
	n, err := r.conn.Read(p[:min(len(p), r.left)])
	r.left -= n
	return n, unexpected(err)
}

// unexpected changes the end of the connection within the frames into an error.
func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// conn is the client's end of a relayed connection.
type conn struct {
	net.Conn

	frames *frameReader
	// server is the address of the server, and relay that of the other instance.
	server net.Addr
	relay  string
}

// Relay returns the address of the instance that relays the connection.
func (c *conn) Relay() string { return c.relay }

// Read implements io.Reader. It returns io.EOF only if the server has closed its connection.
func (c *conn) Read(p []byte) (int, error) { return c.frames.Read(p) }

// RemoteAddr returns the address of the server.
func (c *conn) RemoteAddr() net.Addr { return c.server }

// errUnread means that bytes of the connection have been read ahead.
var errUnread = errors.New("unread bytes")

// SyscallConn implements syscall.Conn, so that a caller can check whether anything has arrived. It
// fails if something has.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok || c.frames.conn.Buffered() > 0 || c.frames.left > 0 {
		return nil, errUnread
	}
	return socket.SyscallConn()
}

// serverAddress is the address of a server, as IP:port.
type serverAddress string

func (serverAddress) Network() string  { return "tcp" }
func (a serverAddress) String() string { return string(a) }

// copyFrames sends the bytes of a server in frames until it ends, and then an empty frame if the
// server has closed the connection.
func copyFrames(to io.Writer, server io.Reader) error {
	buffer := make([]byte, frameHeadBytes+maxFrameBytes)
	for {
		n, err := server.Read(buffer[frameHeadBytes:])
		if n > 0 || errors.Is(err, io.EOF) {
			binary.BigEndian.PutUint16(buffer, uint16(n))
			if _, writeErr := to.Write(buffer[:frameHeadBytes+n]); writeErr != nil {
				return errors.Wrap(writeErr, "write frame")
			}
		}
		switch {
		case errors.Is(err, io.EOF) && n == 0:
			return nil
		case errors.Is(err, io.EOF):
			_, err = to.Write(make([]byte, frameHeadBytes))
			return err
		case err != nil:
			return errors.Wrap(err, "read from server")
		}
	}
}

// reset closes a connection such that the other end sees that it was broken off.
func reset(c net.Conn) {
	if tcp, ok := c.(interface{ SetLinger(sec int) error }); ok {
		_ = tcp.SetLinger(0) // the connection is closed in any case
	}
	_ = c.Close()
}

// withTimeout does I/O on a connection that must end in time.
func withTimeout(c net.Conn, timeout time.Duration, do func() error) error {
	if err := c.SetDeadline(time.Now().Add(timeout)); err != nil {
		return errors.Wrap(err, "set deadline")
	}
	if err := do(); err != nil {
		return err
	}
	return c.SetDeadline(time.Time{})
}
