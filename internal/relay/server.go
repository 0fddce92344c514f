package relay

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/phuslu/log"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/pause"
)

const (
	// requestTimeout limits the first line of a connection.
	requestTimeout = 2 * time.Second
	// endTimeout is how long a client has to close its connection after the server has.
	endTimeout = 2 * time.Second
	// uploadEndTimeout is how long a write of a request may take once the server has ended its side.
	uploadEndTimeout = time.Second
	// drainCheckInterval is how often Wait checks whether the relayed connections have ended.
	drainCheckInterval = 50 * time.Millisecond
)

// ServerConfig configures a Server.
type ServerConfig struct {
	// Zone is the availability zone of the instance.
	Zone string
	// Dial opens a connection to a server directly.
	Dial DialFunc
	// Accepts reports whether a listed server with an address accepts requests of this instance.
	// To the server, relayed requests are requests of this instance.
	Accepts func(address string) bool
	// Reaches reports whether this instance reaches the servers.
	Reaches func() bool
	// Follow returns what follows the exchanges on a new connection to the server at an address.
	Follow func(address string) Exchanges
	// Reserve reserves the memory of a relayed connection, ConnectionBytes, and reports whether there
	// is any; nil for no limit.
	Reserve func() (release func(), ok bool)
	Log     *log.Logger
}

// ConnectionBytes is what a relayed connection uses: a buffer of 32 KB for each way, or a frame, and
// two sockets with their goroutines.
const ConnectionBytes = 64 << 10

// Exchanges follows the requests and answers on a connection. Requests and Answers return readers of the
// bytes that they are given. Reading of requests fails at one that must not be passed on. RequestBytes
// returns the length of all requests that have been read so far, to the end of the last one; negative if it
// isn't known.
type Exchanges interface {
	Requests(from io.Reader) io.Reader
	Answers(from io.Reader) io.Reader
	RequestBytes() int64
}

// Server relays connections of other instances to servers.
type Server struct {
	cfg      ServerConfig
	open     atomic.Int64
	draining atomic.Bool
}

// NewServer returns a Server.
func NewServer(cfg ServerConfig) *Server { return &Server{cfg: cfg} }

// Serve handles the connections of a listener, which strips Prefix, until ctx ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	for {
		conn, err := l.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "accept relayed connection")
		}
		go s.handle(ctx, conn)
	}
}

// Refuse refuses further connections, because the instance is about to stop.
func (s *Server) Refuse() { s.draining.Store(true) }

// Wait waits until the open connections have ended or ctx ends, and logs how many are left then.
func (s *Server) Wait(ctx context.Context) {
	for s.open.Load() > 0 && pause.For(ctx, drainCheckInterval) {
	}
	if left := s.open.Load(); left > 0 {
		s.cfg.Log.Warn().Int64("connections", left).Msg("relays_cut")
	}
}

func (s *Server) handle(ctx context.Context, client net.Conn) {
	// The reply is delivered before the connection is closed.
	defer func() { _ = client.Close() }()
	stop := context.AfterFunc(ctx, func() { reset(client) })
	defer stop()
	reader := bufio.NewReader(client)
	var address string
	err := withTimeout(client, requestTimeout, func() error {
		var err error
		address, err = readLine(reader)
		return err
	})
	if err != nil {
		s.cfg.Log.Debug().Err(err).Msg("relay_request_unread")
		return
	}
	server, result := net.Conn(nil), statusUnreachable
	release, reserved := s.reserve()
	if reserved {
		defer release()
		server, result = s.connect(ctx, address)
	}
	if server != nil {
		s.open.Add(1)
		defer s.open.Add(-1)
		defer reset(server)
	}
	if _, err := client.Write([]byte(string(result) + s.cfg.Zone + "\n")); err != nil || server == nil {
		return
	}
	s.relay(client, reader, server, s.cfg.Follow(address))
	reset(client)
}

func (s *Server) reserve() (func(), bool) {
	if s.cfg.Reserve == nil {
		return func() {}, true
	}
	return s.cfg.Reserve()
}

// connect connects to a server. The connection is nil if the request only asks for the status.
func (s *Server) connect(ctx context.Context, address string) (net.Conn, status) {
	switch {
	case s.draining.Load() || !s.cfg.Reaches():
		return nil, statusUnreachable
	case address == "":
		return nil, statusConnected
	case !s.cfg.Accepts(address):
		return nil, statusNoServer
	}
	server, err := s.cfg.Dial(ctx, "tcp", address)
	switch {
	case err == nil && !s.cfg.Accepts(address):
		// Connecting can take long.
		reset(server)
		return nil, statusNoServer
	case err == nil:
		return server, statusConnected
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, statusRefused
	default:
		s.cfg.Log.Debug().Err(err).Str("address", address).Msg("relay_dial_failed")
		return nil, statusFailed
	}
}

// requestWriter writes to a server until that fails, and discards the rest: the server may have
// answered without reading all of a request. Reading from it tells whether it has.
type requestWriter struct {
	to io.Writer

	mu      sync.Mutex
	written int64
	failed  bool
	// progress has a buffered signal after a write.
	progress chan struct{}
}

func newRequestWriter(to io.Writer) *requestWriter {
	return &requestWriter{to: to, progress: make(chan struct{}, 1)}
}

func (w *requestWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.failed {
		n, err := w.to.Write(p)
		w.written += int64(n)
		w.failed = err != nil
	}
	select {
	case w.progress <- struct{}{}:
	default:
	}
	return len(p), nil
}

// state returns what has been written, and whether a write has failed. It waits for one in progress.
func (w *requestWriter) state() (written int64, failed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written, w.failed
}

// errRequestCutOff means that the server has ended its connection before it had read a request.
var errRequestCutOff = errors.New("server ended while a request was written to it")

// answerReader reads from a server. Its end is an orderly one only if all requests were written to their ends:
// a reset of the connection is reported once, and if the writer gets it, the reader sees the end of the
// stream.
type answerReader struct {
	io.Reader

	server  net.Conn
	request *requestWriter
	// requestBytes returns the length of all requests; negative if it isn't known.
	requestBytes func() int64
}

// Read implements io.Reader.
func (r *answerReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if errors.Is(err, io.EOF) && !r.awaitRequest() {
		err = errRequestCutOff
	}
	return n, err
}

// awaitRequest reports whether all requests are written to their ends, at once or soon.
func (r *answerReader) awaitRequest() bool {
	// A write that the server doesn't take any more must not block.
	if err := r.server.SetWriteDeadline(time.Now().Add(uploadEndTimeout)); err != nil {
		return false
	}
	timeout := time.NewTimer(uploadEndTimeout)
	defer timeout.Stop()
	for {
		written, failed := r.request.state()
		switch length := r.requestBytes(); {
		case failed:
			return false
		case length < 0 || written >= length:
			return true
		}
		select {
		case <-r.request.progress:
		case <-timeout.C:
			return false
		}
	}
}

// relay copies both ways until either end closes its connection.
func (s *Server) relay(client net.Conn, fromClient io.Reader, server net.Conn, exchanges Exchanges) {
	ended, request := make(chan struct{}), newRequestWriter(server)
	go func() {
		defer close(ended)
		// An error means that the client has reset its connection, or that a request must not be
		// passed on.
		_, _ = io.Copy(request, exchanges.Requests(fromClient))
		reset(server)
		reset(client)
	}()
	switch err := copyFrames(client, &answerReader{exchanges.Answers(server), server, request, exchanges.RequestBytes}); {
	case errors.Is(err, errRequestCutOff):
		// What the server has sent can be a whole answer by its length. The stream ends without the empty
		// frame, which tells the client that the server hasn't ended it properly.
		if half, ok := client.(interface{ CloseWrite() error }); ok {
			_ = half.CloseWrite() // the connection is reset in any case
		}
	case err != nil:
		return
	}
	// A reset would discard what the client hasn't read yet, so it closes the connection first.
	_ = client.SetReadDeadline(time.Now().Add(endTimeout))
	<-ended
}
