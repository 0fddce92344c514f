package edge_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
	"github.com/cyclamenhoist/cyclamenhoist/platform/standin"
)

// rawServer answers each request with bytes as they are, and then closes or resets the
// connection.
type rawServer struct {
	net.Listener

	requests atomic.Int64
}

// newRawServer starts a server that writes what answer returns for a request ID.
func newRawServer(t *testing.T, answer func(id string) string, reset bool) *rawServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &rawServer{Listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.answerOne(conn, answer, reset)
		}
	}()
	return s
}

func (s *rawServer) answerOne(conn net.Conn, answer func(id string) string, reset bool) {
	defer conn.Close()
	request := make([]byte, 64<<10)
	n, err := conn.Read(request)
	if err != nil {
		return
	}
	s.requests.Add(1)
	_, id, _ := strings.Cut(string(request[:n]), standin.HeaderID+": ")
	id, _, _ = strings.Cut(id, "\r\n")
	if _, err := conn.Write([]byte(answer(id))); err != nil {
		return
	}
	if reset {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}

func (w *harness) listRaw(id, service string, s *rawServer) {
	w.list(standin.ServerConfig{ID: id, Service: service}, s.Addr().String())
}

// rawAnswer returns an answer without a length and without chunks.
func rawAnswer(contentType, body string) func(id string) string {
	return func(id string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: signed\r\nContent-Type: %s\r\n\r\n%s", standin.HeaderID, id, standin.HeaderSignature, contentType, body)
	}
}

// TestLongAnswerIsCutAndPassedAsWhole: an answer beyond the size of the buffer was cut there and
// forwarded as a whole one.
func TestLongAnswerIsCutAndPassedAsWhole(t *testing.T) {
	const size = 20 << 20
	answer := bytes.Repeat([]byte("0123456789abcdef"), size/16)
	for name, c := range map[string]struct {
		head  string
		whole bool
	}{
		"with a length":             {fmt.Sprint("Content-Length: ", size, "\r\n"), true},
		"without a length":          {"", true},
		"shorter than its length":   {fmt.Sprint("Content-Length: ", size+1, "\r\n"), false},
		"an error with a long body": {"", true},
	} {
		t.Run(name, func(t *testing.T) {
			w := newHarness(t)
			s := newRawServer(t, func(id string) string {
				status := "200 OK"
				if strings.HasPrefix(name, "an error") {
					status = "404 Not Found"
				}
				return fmt.Sprintf("HTTP/1.1 %s\r\n%s: %s\r\n%s: signed\r\n%s\r\n%s", status, standin.HeaderID, id, standin.HeaderSignature, c.head, answer)
			}, false)
			w.listRaw("raw", plain, s)
			w.publish()
			got := w.do(http.MethodGet, "/read/x", nil)
			assert.Equal(t, !c.whole, got.broken)
			if c.whole {
				assert.True(t, string(answer) == got.body, "%d bytes", len(got.body))
			}
			assert.EqualValues(t, 1, s.requests.Load())
		})
	}
}

// A body without end is forwarded until the request's time is over, and isn't kept.
func TestBodyWithoutEndIsBrokenOff(t *testing.T) {
	w := newHarness(t)
	s := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set(standin.HeaderID, r.Header.Get(standin.HeaderID))
		rw.Header().Set(standin.HeaderSignature, "signed")
		chunk := make([]byte, 64<<10)
		for r.Context().Err() == nil {
			if _, err := rw.Write(chunk); err != nil {
				return
			}
		}
	}))
	defer s.Close()
	w.list(standin.ServerConfig{ID: "endless", Service: plain}, strings.TrimPrefix(s.URL, "http://"))
	w.publish()
	resp, err := http.DefaultTransport.RoundTrip(w.request(t.Context(), http.MethodGet, "/read/x", map[string]string{standin.HeaderDeadline: "300"}))
	require.NoError(t, err)
	defer resp.Body.Close()
	n, err := io.Copy(io.Discard, resp.Body)
	require.Error(t, err)
	assert.Positive(t, n)
}

// An answer without a length and without chunks ends with its connection.
func TestAnswerThatEndsWithItsConnection(t *testing.T) {
	for name, c := range map[string]struct {
		path, contentType, body string
		reset                   bool
		// elsewhere means that the second server answers; broken that nobody does.
		elsewhere, broken bool
	}{
		"plain, closed":                  {"/read/x", "text/plain", "whole", false, false, false},
		"plain, reset":                   {"/read/x", "text/plain", "part", true, true, false},
		"unsafe, closed":                 {"/write/x", "text/plain", "whole", false, false, false},
		"unsafe, reset":                  {"/write/x", "text/plain", "part", true, false, true},
		"stream, closed":                 {"/stream/x", "text/event-stream", events(1, 6), false, false, false},
		"stream, closed within an event": {"/stream/x", "text/event-stream", events(1, 3) + "id: 4\nda", false, true, false},
		"stream, reset between events":   {"/stream/x", "text/event-stream", events(1, 3), true, true, false},
		"stream, reset within an event":  {"/stream/x", "text/event-stream", events(1, 3) + "id: 4\n", true, true, false},
		"once, closed within an event":   {"/once/x", "text/event-stream", events(1, 3) + "id: 4\nda", false, false, true},
		"once, closed":                   {"/once/x", "text/event-stream", events(1, 6), false, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			w := newHarness(t)
			service := engine
			if c.contentType == "text/plain" {
				service = plain
			}
			w.listRaw("raw", service, newRawServer(t, rawAnswer(c.contentType, c.body), c.reset))
			w.publish()
			// The second server is in another availability zone, so that the first is preferred.
			second := standin.NewServer(standin.ServerConfig{
				ID: "second", Service: service, Zone: "zone-b", Models: modelsOf(service), ModelCapacity: len(modelsOf(service)), Events: 6 * len(modelsOf(service)),
			})
			t.Cleanup(second.Close)
			w.list(standin.ServerConfig{ID: "second", Service: service}, second.Address())
			w.servers[fleet.ServerID("second")].Zone = "zone-b"
			w.views.SetServers(w.servers)
			got := w.do(http.MethodPost, c.path, nil)
			switch {
			case c.broken:
				assert.True(t, got.broken || got.status == http.StatusBadGateway, "%+v", got)
				assert.Empty(t, second.Runs())
			case c.elsewhere && service == plain:
				assert.Contains(t, got.body, "second")
			case service == plain:
				assert.Equal(t, c.body, got.body)
				assert.False(t, got.broken)
			default:
				assert.Equal(t, events(1, 6), got.body)
				assert.False(t, got.broken)
				assert.Equal(t, c.elsewhere, len(second.Runs()) == 1)
			}
		})
	}
}

// modelsOf returns the models that a server of the service holds.
func modelsOf(service string) []string {
	if service == engine {
		return []string{"m"}
	}
	return nil
}
