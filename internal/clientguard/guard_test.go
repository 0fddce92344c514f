package clientguard_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenhoist/cyclamenhoist/internal/clientguard"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/bytebudget"
)

const (
	maxHeader = 16 << 10
	maxBody   = 1 << 20
)

// memoryListener accepts pipes.
type memoryListener struct{ conns, closed chan net.Conn }

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Close() error   { close(l.closed); return nil }
func (l *memoryListener) Addr() net.Addr { return &net.TCPAddr{} }

// server is an HTTP server behind a guard, reached through pipes in virtual time. At /body it reads the
// body and answers its length, at /large it answers a megabyte, and elsewhere it ignores the body.
type server struct {
	*testing.T

	listener *memoryListener
	budget   *bytebudget.Budget
}

func serve(t *testing.T, memory int64, connections int, test func(*server)) {
	synctest.Test(t, func(t *testing.T) {
		s := &server{T: t, listener: &memoryListener{make(chan net.Conn), make(chan net.Conn)}, budget: bytebudget.New(memory)}
		guard := clientguard.New(clientguard.Config{
			Listener: "test", MaxConnections: connections, Budget: s.budget, Log: &log.Logger{Level: log.PanicLevel},
			Registry: metrics.NewRegistry(),
			Limits: func() clientguard.Limits {
				return clientguard.Limits{MaxHeaderBytes: maxHeader, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
			},
		})
		httpServer := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			switch r.URL.Path {
			case "/body":
				body, err := clientguard.ReadBody(r, maxBody, time.Now().Add(5*time.Minute))
				if err != nil {
					status := map[error]int{clientguard.ErrTooLarge: 413, clientguard.ErrTimeout: 408, clientguard.ErrNoMemory: 503}[err]
					if status == 0 {
						panic(http.ErrAbortHandler)
					}
					w.Header().Set("Connection", "close")
					w.WriteHeader(status)
					return
				}
				fmt.Fprint(w, len(body))
			case "/large":
				_, _ = w.Write(make([]byte, maxBody))
			case "/slow":
				time.Sleep(2 * time.Second)
			case "/deadline":
				_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(time.Second))
				_, _ = w.Write(make([]byte, maxBody))
			}
		})}
		guard.Configure(httpServer)
		go func() { _ = httpServer.Serve(guard.Listen(s.listener)) }()
		test(s)
		_ = httpServer.Close()
		synctest.Wait()
		assert.Zero(t, s.budget.InUse(), "all is released")
	})
}

// client is one connection.
type client struct {
	net.Conn
	reader *bufio.Reader
}

func (s *server) dial() *client {
	near, far := net.Pipe()
	s.listener.conns <- far
	synctest.Wait()
	return &client{near, bufio.NewReader(near)}
}

// send writes without waiting for the server to read it.
func (c *client) send(text string) { go func() { _, _ = io.WriteString(c, text) }() }

// status returns the status of the next response, or 0 if the connection is closed without one.
func (c *client) status() int {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

func get(path, fields string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: a\r\n" + fields + "\r\n"
}

// A head is refused by its bytes, before it is parsed, but one of the allowed size is served, also if it
// consists of thousands of short fields.
func TestHeadBytes(t *testing.T) {
	serve(t, 32<<20, 10, func(s *server) {
		for size, want := range map[int]int{maxHeader - 100: 200, maxHeader + 8<<10: 431} {
			c := s.dial()
			c.send(get("/", strings.Repeat("x:1\r\n", size/5)))
			assert.Equal(s, want, c.status(), size)
			c.Close()
		}
		// The connection lingers for the client to read the answer.
		time.Sleep(time.Second)
	})
}

// Many heads of allowed size but of very many fields are refused beyond the budget, as not run.
func TestHeadsOfManyFields(t *testing.T) {
	serve(t, 8<<20, 100, func(s *server) {
		var all []*client
		for range 4 {
			c := s.dial()
			c.send(get("/", strings.Repeat("x:1\r\n", 2000))[:9000])
			synctest.Wait()
			all = append(all, c)
		}
		assert.LessOrEqual(s, s.budget.Used(bytebudget.Headers), s.budget.Max(bytebudget.Headers))
		assert.Equal(s, 503, all[3].status())
		time.Sleep(5 * time.Second)
		for _, c := range all {
			c.Close()
		}
	})
}

// The time for a head is the manifest's, on a new connection and on one that has served a request.
func TestHeadTimeout(t *testing.T) {
	serve(t, 8<<20, 10, func(s *server) {
		for _, before := range []string{"", get("/", "")} {
			c := s.dial()
			if before != "" {
				c.send(before)
				require.Equal(s, 200, c.status())
				time.Sleep(12 * time.Second) // idle, within the time in which clients reuse it
			}
			c.send("GET / HT")
			synctest.Wait()
			begin := time.Now()
			assert.Contains(s, []int{0, 400}, c.status(), "the server takes what has arrived for a malformed head")
			assert.Equal(s, 3*time.Second, time.Since(begin))
		}
	})
}

// A body that states too much is refused on its head. One that stops short gives up its bytes, and one
// that arrives at a slow link's pace is received.
func TestBodies(t *testing.T) {
	post := func(length int) string {
		return fmt.Sprintf("POST /body HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", length)
	}
	serve(t, 8<<20, 10, func(s *server) {
		c := s.dial()
		c.send(post(maxBody + 1))
		assert.Equal(s, 413, c.status())
		c.Close()

		c = s.dial()
		c.send(post(maxBody) + strings.Repeat("x", maxBody-1))
		synctest.Wait()
		assert.GreaterOrEqual(s, s.budget.Used(bytebudget.Bodies), int64(maxBody))
		begin := time.Now()
		assert.Equal(s, 408, c.status())
		assert.Less(s, time.Since(begin), 5*time.Second)
		assert.Zero(s, s.budget.Used(bytebudget.Bodies))
		c.Close()

		c = s.dial()
		go func() {
			_, _ = io.WriteString(c, post(maxBody))
			for sent := 0; sent < maxBody; sent += 16 << 10 {
				time.Sleep(800 * time.Millisecond)
				_, _ = io.WriteString(c, strings.Repeat("x", 16<<10))
			}
		}()
		assert.Equal(s, 200, c.status())
		c.Close()

		c = s.dial()
		c.send("POST /body HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1000\r\n"+strings.Repeat("x", 4096)+"\r\n", 300))
		assert.Equal(s, 413, c.status(), "a body in chunks over the limit")
		c.Close()
		time.Sleep(time.Second)
	})
}

// A body that no handler reads takes no memory, and the connection is closed if it doesn't arrive.
func TestUnreadBody(t *testing.T) {
	serve(t, 8<<20, 10, func(s *server) {
		c := s.dial()
		c.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\nx")
		begin := time.Now()
		assert.Equal(s, 200, c.status())
		assert.Zero(s, c.status(), "closed")
		assert.LessOrEqual(s, time.Since(begin), 2*time.Second)
		assert.Zero(s, s.budget.Used(bytebudget.Bodies))
	})
}

// When bodies fill the budget, those that have stopped make room, and a small request is served at once.
func TestStalledBodiesMakeRoom(t *testing.T) {
	serve(t, 8<<20, 100, func(s *server) {
		var stalled []*client
		for range 9 {
			c := s.dial()
			c.send(fmt.Sprintf("POST /body HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", maxBody, strings.Repeat("x", maxBody-1)))
			stalled = append(stalled, c)
			time.Sleep(100 * time.Millisecond)
		}
		c := s.dial()
		c.send("POST /body HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc")
		assert.Equal(s, 200, c.status())
		assert.Equal(s, 503, stalled[0].status(), "the first to stop was dropped")
		assert.LessOrEqual(s, s.budget.InUse(), s.budget.Limit()*5/4)
		c.Close()
		for _, c := range stalled {
			c.Close()
		}
		time.Sleep(time.Second)
	})
}

// Beyond the limit the connection that is idle for longest is closed for a new one, and if none is idle,
// one whose head doesn't arrive.
func TestConnectionLimit(t *testing.T) {
	serve(t, 8<<20, 3, func(s *server) {
		slow := s.dial()
		slow.send("GET / HT")
		var idle []*client
		for range 2 {
			c := s.dial()
			c.send(get("/", ""))
			require.Equal(s, 200, c.status())
			idle = append(idle, c)
			time.Sleep(100 * time.Millisecond)
		}
		replace := func(closed *client) {
			c := s.dial()
			c.send(get("/large", ""))
			begin := time.Now()
			assert.Zero(s, closed.status())
			assert.Zero(s, time.Since(begin), "closed at once, not for its timeout")
		}
		replace(idle[0])
		replace(idle[1])
		time.Sleep(time.Second)
		replace(slow)
		c := s.dial()
		assert.Zero(s, c.status(), "its place was one of a response that isn't read")
	})
}

// A client that sends requests and reads no responses is refused after a number of them, and those that
// are handled are spread over time.
func TestPipelined(t *testing.T) {
	serve(t, 8<<20, 10, func(s *server) {
		c := s.dial()
		c.send(strings.Repeat(get("/", ""), 200))
		served := 0
		for c.status() == 200 {
			served++
		}
		assert.InDelta(s, 65, served, 1)
		assert.Zero(s, c.status())
	})
}

// A client that doesn't read its response is cut off; one that reads slowly but steadily gets it all.
func TestUnreadResponses(t *testing.T) {
	serve(t, 8<<20, 10, func(s *server) {
		c := s.dial()
		c.send(get("/large", ""))
		time.Sleep(time.Minute)
		read, _ := io.ReadAll(c)
		assert.Less(s, len(read), maxBody)

		c = s.dial()
		c.send(get("/large", ""))
		total, buffer := 0, make([]byte, 8<<10)
		for total < maxBody {
			n, err := c.Read(buffer)
			require.NoError(s, err)
			total += n
			// A part of the response takes longer than the timeout.
			time.Sleep(4 * time.Second)
		}
		c.Close()
	})
}

// The guard's deadline replaced one that a handler had set, so that a setting for slow readers no longer
// worked.
func TestDeadlineOfTheHandlerGoesFirst(t *testing.T) {
	serve(t, 8<<20, 10, func(s *server) {
		c := s.dial()
		c.send(get("/deadline", ""))
		time.Sleep(2 * time.Second)
		read, _ := io.ReadAll(c)
		assert.Less(s, len(read), maxBody)
	})
}

// Behind a raw guard, TLS connections broke once the time for a head had passed since they were accepted, as
// the end of the handshake's deadline was ignored; and one byte ended the server's own time limit.
func TestRawGuardKeepsTheDeadlinesOfItsServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listener := &memoryListener{make(chan net.Conn), make(chan net.Conn)}
		guard := clientguard.New(clientguard.Config{
			Listener: "test", MaxConnections: 10, Raw: true, Budget: bytebudget.New(8 << 20), Log: &log.Logger{Level: log.PanicLevel},
			Registry: metrics.NewRegistry(),
		})
		guarded := guard.Listen(listener)
		dial := func() (near, far net.Conn) {
			near, end := net.Pipe()
			go func() { listener.conns <- end }()
			far, err := guarded.Accept()
			require.NoError(t, err)
			return near, far
		}
		near, far := dial()
		require.NoError(t, far.SetReadDeadline(time.Now().Add(time.Second)))
		require.NoError(t, far.SetWriteDeadline(time.Now().Add(time.Second)))
		go func() { _, _ = near.Write([]byte("x")) }()
		buffer := make([]byte, 1)
		_, err := far.Read(buffer)
		require.NoError(t, err)
		begun := time.Now()
		_, err = far.Read(buffer)
		require.ErrorIs(t, err, os.ErrDeadlineExceeded)
		assert.LessOrEqual(t, time.Since(begun), time.Second)

		require.NoError(t, far.SetReadDeadline(time.Time{}))
		require.NoError(t, far.SetWriteDeadline(time.Time{}))
		time.Sleep(time.Minute)
		go func() { _, _ = near.Read(buffer) }()
		_, err = far.Write([]byte("y"))
		require.NoError(t, err)
		near.Close()
		far.Close()
	})
}

// Ordinary clients send the next request when they have the whole answer, at times before the handler has
// ended. Eight such requests that run for seconds kept all others out.
func TestRequestsInARowAreServed(t *testing.T) {
	serve(t, 8<<20, 100, func(s *server) {
		for range 30 {
			c := s.dial()
			c.send(get("/slow", "") + get("/slow", ""))
			go func() {
				assert.Equal(s, 200, c.status())
				assert.Equal(s, 200, c.status())
				c.Close()
			}()
		}
		time.Sleep(time.Minute)
	})
}
