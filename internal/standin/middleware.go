package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/pause"
)

// faultSource gives injectFaults access to the call faults of one service.
type faultSource struct {
	set *faultSet
	// current returns the faults in force. consume decrements the counter of a
	// fault and reports whether the call is affected.
	current func() CallFaults
	consume func(counter func(*CallFaults) *int) bool
}

// injectFaults returns a middleware that injects the call faults of a service.
func injectFaults(f faultSource) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if injectBeforeEffect(f, w, r) {
				return
			}
			if f.consume(func(c *CallFaults) *int { return &c.LoseAnswers }) {
				next.ServeHTTP(&discardWriter{header: http.Header{}}, r)
				resetConnection(w)
				return
			}
			next.ServeHTTP(w, r)
		})
	}
}

// injectBeforeEffect injects the faults that come before the call takes effect, and
// reports whether one of them has ended the call.
func injectBeforeEffect(f faultSource, w http.ResponseWriter, r *http.Request) bool {
	faults := f.current()
	switch {
	case faults.Hang:
		hang(r.Context(), f)
		resetConnection(w)
	case faults.Down:
		writeError(w, http.StatusServiceUnavailable, "down")
	case faults.Status != 0:
		writeError(w, faults.Status, "fault")
	case f.consume(func(c *CallFaults) *int { return &c.ResetBefore }):
		resetConnection(w)
	case f.consume(func(c *CallFaults) *int { return &c.Malformed }):
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(`{"first": not json`))
	case f.consume(func(c *CallFaults) *int { return &c.Huge }):
		writeHuge(w, r)
	case faults.Delay > 0 && !pause.For(r.Context(), faults.Delay.D()):
		resetConnection(w)
	default:
		return false
	}
	return true
}

// hang waits until the caller disconnects or the fault is removed.
func hang(ctx context.Context, f faultSource) {
	f.set.waitWhile(ctx, func() bool { return f.current().Hang })
}

// writeHuge writes an endless body until the caller disconnects.
func writeHuge(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write([]byte(`{"first":1,"padding":"`))
	block := bytes.Repeat([]byte("x"), 64<<10)
	for r.Context().Err() == nil {
		if _, err := w.Write(block); err != nil {
			return
		}
	}
}

// resetConnection closes the connection without sending any further byte of an
// answer, with a TCP reset if the connection can be hijacked.
func resetConnection(w http.ResponseWriter) {
	if hijacker, ok := w.(http.Hijacker); ok {
		conn, _, err := hijacker.Hijack()
		if err == nil {
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = conn.Close()
			return
		}
	}
	panic(http.ErrAbortHandler)
}

// discardWriter is a response writer that discards the answer.
type discardWriter struct{ header http.Header }

func (d *discardWriter) Header() http.Header         { return d.header }
func (d *discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d *discardWriter) WriteHeader(int)             {}
func (d *discardWriter) Flush()                      {}

func writeJSON(w http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(encoded)
}

func writeError(w http.ResponseWriter, status int, code string) {
	writeJSON(w, status, map[string]string{"error": code})
}

// maxBodyBytes is the maximum size of a request body.
const maxBodyBytes = 32 << 20

// readJSON decodes the request body into target and reports whether that succeeded.
// It answers an invalid body with status 400.
func readJSON(w http.ResponseWriter, r *http.Request, target any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(target)
	if err != nil {
		writeError(w, http.StatusBadRequest, "malformed")
		return false
	}
	return true
}
