package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/pause"
)

// faultsOf tells a middleware where the faults of its service are.
type faultsOf struct {
	set *faultSet
	// look returns the faults in force, take uses up one call of a counted one.
	look func() CallFaults
	take func(counter func(*CallFaults) *int) bool
}

// inject applies the faults of calls around a service.
func inject(f faultsOf) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if before(f, w, r) {
				return
			}
			if f.take(func(c *CallFaults) *int { return &c.LoseAnswers }) {
				next.ServeHTTP(&discard{header: http.Header{}}, r)
				reset(w)
				return
			}
			next.ServeHTTP(w, r)
		})
	}
}

// before applies the faults that come before the effect and reports whether the
// call has ended with one.
func before(f faultsOf, w http.ResponseWriter, r *http.Request) bool {
	faults := f.look()
	switch {
	case faults.Hang:
		hang(r.Context(), f)
		reset(w)
	case faults.Down:
		writeError(w, http.StatusServiceUnavailable, "down")
	case faults.Status != 0:
		writeError(w, faults.Status, "fault")
	case f.take(func(c *CallFaults) *int { return &c.ResetBefore }):
		reset(w)
	case f.take(func(c *CallFaults) *int { return &c.Malformed }):
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(`{"first": not json`))
	case f.take(func(c *CallFaults) *int { return &c.Huge }):
		writeHuge(w, r)
	case faults.Delay > 0 && !pause.For(r.Context(), faults.Delay.D()):
		reset(w)
	default:
		return false
	}
	return true
}

// hang waits until the caller goes away or the fault is lifted.
func hang(ctx context.Context, f faultsOf) {
	f.set.waitWhile(ctx, func() bool { return f.look().Hang })
}

// writeHuge writes until the caller has had enough.
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

// reset ends the connection with a TCP reset where it can, and without any
// further byte of an answer in every case.
func reset(w http.ResponseWriter) {
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

// discard is the answer that nobody gets.
type discard struct{ header http.Header }

func (d *discard) Header() http.Header         { return d.header }
func (d *discard) Write(p []byte) (int, error) { return len(p), nil }
func (d *discard) WriteHeader(int)             {}
func (d *discard) Flush()                      {}

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

// maxBodyBytes bounds what a stand-in reads of a request.
const maxBodyBytes = 32 << 20

// readJSON decodes a request's body and answers 400 if it can't.
func readJSON(w http.ResponseWriter, r *http.Request, target any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(target)
	if err != nil {
		writeError(w, http.StatusBadRequest, "malformed")
		return false
	}
	return true
}
