package httpcall

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Limits of the transport.
const (
	dialTimeout          = 2 * time.Second
	keepAlivePeriod      = 15 * time.Second
	idleConnTimeout      = 60 * time.Second
	maxIdleConns         = 4096
	maxIdleConnsPerHost  = 256
	maxResponseHeaderLen = 64 << 10
)

var errSealed = errors.New("connection sealed after a failed call")

// trackedConn counts the writes to a connection, and rejects writes once sealed.
type trackedConn struct {
	net.Conn
	mu     sync.Mutex
	writes uint64
	sealed bool
}

// Write implements net.Conn. It counts the write before it starts, so that the
// count includes every write of which any byte was sent.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(p)
}

func (c *trackedConn) writeCount() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal rejects all later writes and returns the number of writes started before.
// No write starts after it returns.
func (c *trackedConn) seal() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writes
}

// unwrapTracked returns the trackedConn beneath a connection that net/http reports,
// or nil if there is none.
func unwrapTracked(conn net.Conn) *trackedConn {
	switch c := conn.(type) {
	case *trackedConn:
		return c
	case *tls.Conn:
		t, _ := c.NetConn().(*trackedConn)
		return t
	}
	return nil
}

// NewTransport returns a transport for Send. It supports only HTTP/1.1, uses no
// proxy and requests no compression.
func NewTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlivePeriod}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &trackedConn{Conn: conn}, nil
		},
		DisableCompression:     true,
		IdleConnTimeout:        idleConnTimeout,
		MaxIdleConns:           maxIdleConns,
		MaxIdleConnsPerHost:    maxIdleConnsPerHost,
		MaxResponseHeaderBytes: maxResponseHeaderLen,
	}
}

// NewClient returns a client over a new transport.
func NewClient() *http.Client {
	return &http.Client{Transport: NewTransport()}
}
