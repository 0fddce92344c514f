package edge

import (
	"io"

	"github.com/go-faster/errors"
)

// readAhead reads on from a stream whose events are held back, so that its end is noticed meanwhile.
// The lock of the handover guards it.
type readAhead struct {
	data []byte
	// err is the error with which reading has ended, and stop ends it after the current read.
	err  error
	stop bool
	// idle means that no read is in progress any more.
	idle bool
}

// run reads until an error, or until it is to stop.
func (r *readAhead) run(h *handover, from io.Reader) {
	buffer := make([]byte, streamBufferBytes)
	for {
		n, err := from.Read(buffer)
		h.mu.Lock()
		r.data, r.err = append(r.data, buffer[:n]...), err
		if len(r.data) > maxEventBytes {
			r.stop = true
		}
		r.idle = err != nil || r.stop
		idle := r.idle
		h.changed.Broadcast()
		h.mu.Unlock()
		if idle {
			return
		}
	}
}

// brokeOff reports whether the stream has ended before its end.
func (r *readAhead) brokeOff() bool { return r != nil && r.err != nil && !errors.Is(r.err, io.EOF) }

// take waits for the read in progress and returns what was read.
func (r *readAhead) take(h *handover) ([]byte, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r.stop = true
	for !r.idle {
		h.changed.Wait()
	}
	return r.data, r.err
}
