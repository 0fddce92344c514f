package relay

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"storj.io/drpc/drpcmigrate"
)

// fixture is a Dialer without a path of its own, a Server that relays for it, and a backend
// server that hands its connections to the test.
type fixture struct {
	*testing.T

	dialer  *Dialer
	relay   *Server
	backend net.Listener
	// accepted receives the connections of the backend server.
	accepted chan net.Conn
	// stop ends the relaying instance.
	stop context.CancelFunc
}

// unfollowed are the exchanges of a connection that nobody follows.
type unfollowed struct{}

func (unfollowed) Requests(from io.Reader) io.Reader { return from }
func (unfollowed) Answers(from io.Reader) io.Reader  { return from }
func (unfollowed) RequestBytes() int64               { return -1 }

func listen(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return l
}

func newFixture(t *testing.T, reaches bool) *fixture {
	f := &fixture{T: t, backend: listen(t), accepted: make(chan net.Conn, 10)}
	go func() {
		for {
			conn, err := f.backend.Accept()
			if err != nil {
				return
			}
			f.accepted <- conn
		}
	}()
	logger := &log.Logger{Level: log.PanicLevel}
	direct := (&net.Dialer{Timeout: time.Second}).DialContext
	f.relay = NewServer(ServerConfig{
		Zone: "zone-a", Dial: direct, Log: logger, Reaches: func() bool { return reaches },
		Accepts: func(address string) bool { return address != "127.0.0.1:1" },
		Follow:  func(string) Exchanges { return unfollowed{} },
	})
	peers := listen(t)
	ctx, stop := context.WithCancel(t.Context())
	f.stop = stop
	mux := drpcmigrate.NewListenMux(peers, len(Prefix))
	relayed := mux.Route(Prefix)
	go func() { _ = mux.Run(ctx) }()
	go func() { _ = f.relay.Serve(ctx, relayed) }()
	f.dialer = NewDialer(DialerConfig{
		Zone: "zone-a", DialPeer: direct, Log: logger, Servers: func() []string { return []string{f.backend.Addr().String()} },
		Dial: func(context.Context, string, string) (net.Conn, error) { return nil, syscall.EHOSTUNREACH },
	})
	f.dialer.SetPeers(func() []string { return []string{peers.Addr().String()} })
	f.dialer.findRelays(ctx)
	f.dialer.cut.Store(true)
	return f
}

func (f *fixture) connect() (client, server net.Conn) {
	client, err := f.dialer.Dial(f.Context(), "tcp", f.backend.Addr().String())
	require.NoError(f, err)
	assert.Equal(f, f.backend.Addr().String(), client.RemoteAddr().String())
	return client, <-f.accepted
}

func TestRelaysBothWays(t *testing.T) {
	f := newFixture(t, true)
	client, server := f.connect()
	defer client.Close()
	_, err := client.Write([]byte("question"))
	require.NoError(t, err)
	got := make([]byte, 8)
	_, err = io.ReadFull(server, got)
	require.NoError(t, err)
	assert.Equal(t, "question", string(got))
	answer := make([]byte, 5*maxFrameBytes/2)
	answer[len(answer)-1] = 'x'
	go func() {
		_, _ = server.Write(answer)
		_ = server.Close()
	}()
	all, err := io.ReadAll(client)
	require.NoError(t, err)
	assert.Equal(t, answer, all)
}

// An answer without a length ends with its connection. It is complete only if the server has
// closed it.
func TestRelayedAnswerEndsAsTheServerEndsIt(t *testing.T) {
	for name, c := range map[string]struct {
		end      func(f *fixture, server net.Conn)
		complete bool
	}{
		"server closes":    {func(_ *fixture, server net.Conn) { _ = server.Close() }, true},
		"server resets":    {func(_ *fixture, server net.Conn) { reset(server) }, false},
		"relay is stopped": {func(f *fixture, _ net.Conn) { f.stop() }, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, true)
			client, server := f.connect()
			defer client.Close()
			_, err := server.Write([]byte("part"))
			require.NoError(t, err)
			got := make([]byte, 4)
			_, err = io.ReadFull(client, got)
			require.NoError(t, err)
			c.end(f, server)
			_, err = client.Read(got)
			assert.Equal(t, c.complete, errors.Is(err, io.EOF), "%v", err)
		})
	}
}

// A request that is given up is canceled at the server.
func TestClosedRelayedConnectionIsReset(t *testing.T) {
	f := newFixture(t, true)
	client, server := f.connect()
	_, err := client.Write([]byte("request"))
	require.NoError(t, err)
	_, err = io.ReadFull(server, make([]byte, 7))
	require.NoError(t, err)
	require.NoError(t, client.Close())
	_, err = server.Read(make([]byte, 1))
	assert.Error(t, err)
	waited := make(chan struct{})
	go func() { f.relay.Wait(t.Context()); close(waited) }()
	<-waited
}

func TestRelayRefuses(t *testing.T) {
	f := newFixture(t, true)
	address := f.backend.Addr().String()
	_, err := f.dialer.Dial(t.Context(), "tcp", "127.0.0.1:1")
	require.ErrorIs(t, err, errRelayFailed, "not a server")
	require.NoError(t, f.backend.Close())
	_, err = f.dialer.Dial(t.Context(), "tcp", address)
	require.ErrorIs(t, err, syscall.ECONNREFUSED, "the server isn't running")
	f.relay.Refuse()
	_, err = f.dialer.Dial(t.Context(), "tcp", address)
	require.ErrorIs(t, err, errRelayFailed, "the instance stops")
	f.dialer.findRelays(t.Context())
	_, err = f.dialer.Dial(t.Context(), "tcp", address)
	require.ErrorIs(t, err, ErrNoRelay)

	cut := newFixture(t, false)
	_, err = cut.dialer.Dial(t.Context(), "tcp", cut.backend.Addr().String())
	require.ErrorIs(t, err, ErrNoRelay, "the relay has no path either")
}

// Single servers that fail don't mean that the path is lost.
func TestOnlySeveralServersAreSuspicious(t *testing.T) {
	var f failures
	assert.False(t, f.failed("a"))
	assert.False(t, f.failed("a"))
	f.succeeded()
	assert.False(t, f.failed("b"))
	assert.True(t, f.failed("a"))
	f.succeeded()
	assert.False(t, f.failed("a"))
}

func TestRelaysOfTheOwnZoneArePreferred(t *testing.T) {
	r := &relays{sameZone: []string{"a", "b", "c", "d"}, others: []string{"x", "y", "z", "w"}}
	for range 20 {
		got := r.pick()
		require.Len(t, got, maxRelays)
		assert.Subset(t, r.sameZone, got[:maxRelays-1])
		assert.Contains(t, r.others, got[maxRelays-1], "another zone, if a zone's relays fail")
	}
	assert.Len(t, (&relays{sameZone: []string{"a"}}).pick(), 1)
	assert.Len(t, (&relays{sameZone: []string{"a", "b", "c", "d"}}).pick(), maxRelays, "no other zone")
	assert.Len(t, (&relays{others: []string{"x", "y", "z", "w"}}).pick(), maxRelays, "none in the own zone")
	assert.Len(t, (&relays{sameZone: []string{"a"}, others: []string{"x"}}).pick(), 2)
	assert.Empty(t, (&relays{}).pick())
}

func FuzzFrames(f *testing.F) {
	f.Add([]byte{0, 1, 'x', 0, 0})
	f.Add([]byte{255})
	f.Fuzz(func(t *testing.T, data []byte) {
		client, server := net.Pipe()
		go func() {
			_, _ = client.Write(data)
			_ = client.Close()
		}()
		reader := &frameReader{conn: bufio.NewReader(server)}
		got, err := io.ReadAll(reader)
		assert.LessOrEqual(t, len(got), len(data))
		assert.Equal(t, err == nil, reader.ended, "only an empty frame ends the bytes")
	})
}

// A server that ceases to accept requests while it is connected to gets none.
func TestServerIsWithdrawnWhileConnecting(t *testing.T) {
	backend, asked := listen(t), 0
	s := NewServer(ServerConfig{
		Dial: (&net.Dialer{}).DialContext, Reaches: func() bool { return true },
		Accepts: func(string) bool { asked++; return asked == 1 },
	})
	conn, result := s.connect(t.Context(), backend.Addr().String())
	assert.Nil(t, conn)
	assert.Equal(t, statusNoServer, result)
}

// What builds before answers were followed send to a relay, and reply as one, byte by byte.
func TestRelayProtocolOfEarlierBuilds(t *testing.T) {
	t.Run("client", func(t *testing.T) {
		f := newFixture(t, true)
		conn, err := net.Dial("tcp", (*f.dialer.peers.Load())()[0])
		require.NoError(t, err)
		defer conn.Close()
		_, err = io.WriteString(conn, "RELAY-1\n"+f.backend.Addr().String()+"\nquestion")
		require.NoError(t, err)
		server := <-f.accepted
		got := make([]byte, 8)
		_, err = io.ReadFull(server, got)
		require.NoError(t, err)
		assert.Equal(t, "question", string(got))
		_, err = io.WriteString(server, "answer")
		require.NoError(t, err)
		require.NoError(t, server.Close())
		reply := "czone-a\n\x00\x06answer\x00\x00"
		got = make([]byte, len(reply))
		_, err = io.ReadFull(conn, got)
		require.NoError(t, err)
		assert.Equal(t, reply, string(got))
	})
	t.Run("relay", func(t *testing.T) {
		f, earlier := newFixture(t, true), listen(t)
		f.dialer.relays.Store(&relays{sameZone: []string{earlier.Addr().String()}})
		request := Prefix + "10.0.0.1:80\n"
		asked := make(chan string, 1)
		go func() {
			conn, err := earlier.Accept()
			if err != nil {
				return
			}
			got := make([]byte, len(request))
			_, _ = io.ReadFull(conn, got)
			asked <- string(got)
			_, _ = io.WriteString(conn, "czone-a\n\x00\x06answer\x00\x00")
		}()
		conn, err := f.dialer.Dial(t.Context(), "tcp", "10.0.0.1:80")
		require.NoError(t, err)
		defer conn.Close()
		answer, err := io.ReadAll(conn)
		require.NoError(t, err)
		assert.Equal(t, "answer", string(answer))
		assert.Equal(t, request, <-asked)
	})
}

// earlyServer is the connection to a server that has answered and reads no more of the request.
type earlyServer struct {
	net.Conn

	answer *strings.Reader
	closed atomic.Bool
}

func (*earlyServer) Write([]byte) (int, error) { return 0, syscall.EPIPE }
func (s *earlyServer) Close() error            { s.closed.Store(true); return nil }

func (*earlyServer) SetWriteDeadline(time.Time) error { return nil }

func (s *earlyServer) Read(p []byte) (int, error) {
	time.Sleep(10 * time.Millisecond)
	if s.closed.Load() {
		return 0, net.ErrClosed
	}
	return s.answer.Read(p)
}

// The whole answer of a server that didn't read the rest of the request was discarded. Whether it is whole is
// decided by its length: the server may have reset the connection, which the failed write has shown.
func TestAnswerOfAServerThatReadsNoMoreIsRelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := &earlyServer{answer: strings.NewReader("too large")}
		s := NewServer(ServerConfig{
			Zone: "zone-a", Log: &log.Logger{Level: log.PanicLevel}, Reaches: func() bool { return true },
			Accepts: func(string) bool { return true }, Follow: func(string) Exchanges { return unfollowed{} },
			Dial: func(context.Context, string, string) (net.Conn, error) { return server, nil },
		})
		client, relayed := net.Pipe()
		go s.handle(t.Context(), relayed)
		go func() { _, _ = io.WriteString(client, "10.0.0.1:80\nquestion") }()
		reader := bufio.NewReader(client)
		reply, err := readLine(reader)
		require.NoError(t, err)
		require.Equal(t, "czone-a", reply)
		frames := &frameReader{conn: reader}
		got := make([]byte, len("too large"))
		_, err = io.ReadFull(frames, got)
		require.NoError(t, err)
		assert.Equal(t, "too large", string(got))
		_, err = frames.Read(got)
		assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
		require.NoError(t, client.Close())
		s.Wait(t.Context())
		synctest.Wait()
		assert.True(t, server.closed.Load(), "the connection to the server ends with the client's")
	})
}

// The end of a relaying instance cut connections without a word.
func TestWaitSaysWhatTheEndCuts(t *testing.T) {
	var lines bytes.Buffer
	f := newFixture(t, true)
	f.relay.cfg.Log = &log.Logger{Level: log.WarnLevel, Writer: &log.IOWriter{Writer: &lines}}
	client, _ := f.connect()
	defer client.Close()
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	f.relay.Wait(ended)
	assert.Contains(t, lines.String(), `"connections":1,"message":"relays_cut"`)
}
