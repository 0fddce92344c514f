package edge_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
	"github.com/cyclamenhoist/cyclamenhoist/platform/standin"
)

// logLines collects the lines of a log, by event.
type logLines struct {
	mu    sync.Mutex
	lines map[string][]map[string]any
}

func newLogLines() (*logLines, *log.Logger) {
	l := &logLines{lines: map[string][]map[string]any{}}
	return l, &log.Logger{Level: log.InfoLevel, Writer: log.IOWriter{Writer: l}}
}

// Write implements io.Writer.
func (l *logLines) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fields := map[string]any{}
	if err := json.Unmarshal(bytes.TrimSpace(line), &fields); err != nil {
		return 0, err
	}
	event := fmt.Sprint(fields["message"])
	l.lines[event] = append(l.lines[event], fields)
	return len(line), nil
}

// of returns the values of a field in the lines of an event.
func (l *logLines) of(event, field string) (out []any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, line := range l.lines[event] {
		out = append(out, line[field])
	}
	return out
}

// serveScript returns a handler that sends signed events, the first of them at once, and ends as the
// script says.
func serveScript(end func(w http.ResponseWriter, r *http.Request)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		header := w.Header()
		header.Set(standin.HeaderID, r.Header.Get(standin.HeaderID))
		header.Set(standin.HeaderSignature, "signed")
		header.Set("Content-Type", "text/event-stream")
		_, _ = fmt.Fprint(w, "id: 1\ndata: event 1\n\n")
		_ = http.NewResponseController(w).Flush()
		end(w, r)
	}
}

// Nobody could tell from the log who had ended an attempt, and which requests the end of a process cut.
func TestLogSaysWhoEndedAnAttempt(t *testing.T) {
	hang := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	breakOff := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	for name, c := range map[string]struct {
		end     func(http.ResponseWriter, *http.Request)
		leaves  bool
		stops   bool
		endedBy string
		reason  string
	}{
		"server breaks off": {end: breakOff, endedBy: "server", reason: "answer lost"},
		"client leaves":     {end: hang, leaves: true, endedBy: "client", reason: "client gone"},
		"time limit":        {end: hang, endedBy: "deadline", reason: "time limit"},
		"process ends":      {end: hang, leaves: true, stops: true, endedBy: "stop", reason: "client gone"},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				f := newVirtualFleet(t)
				lines, logger := newLogLines()
				f.logger = logger
				f.addServer(&fleet.Server{ID: "s", Service: engine, Zone: "zone-a", Version: "v1", Slots: 8, Models: []fleet.Resident{{Model: "m"}}}, serveScript(c.end))
				e := f.newInstance("i0", f.newViews(testManifest()), 1)
				ctx, leave := context.WithCancel(t.Context())
				defer leave()
				done := make(chan struct{})
				go func() {
					defer close(done)
					f.send(ctx, e, "id", "/once/x", map[string]string{standin.HeaderModel: "m"})
				}()
				time.Sleep(time.Second)
				synctest.Wait()
				if c.stops {
					e.LogCut()
					assert.Equal(t, []any{"id"}, lines.of("request_cut", "request"))
					assert.Equal(t, []any{"s"}, lines.of("request_cut", "server"))
					assert.Equal(t, []any{1.0}, lines.of("request_cut", "events"))
				}
				if c.leaves {
					leave()
				}
				<-done
				require.Equal(t, []any{c.endedBy}, lines.of("attempt_failed", "ended_by"))
				assert.Equal(t, []any{c.reason}, lines.of("request_ended", "reason"))
			})
		})
	}
}
