package telemetry_test

import (
	"bytes"
	"io"
	"regexp"
	"strconv"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cyclamenhoist/cyclamenhoist/internal/telemetry"
)

// slowReader takes nothing until it is let go.
type slowReader struct {
	letGo chan struct{}
	mu    sync.Mutex
	lines [][]byte
	last  chan struct{}
}

func (r *slowReader) Write(line []byte) (int, error) {
	<-r.letGo
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, bytes.Clone(line))
	if bytes.Contains(line, []byte("event=last")) {
		close(r.last)
	}
	return len(line), nil
}

var droppedLines = regexp.MustCompile(`dropped_lines=(\d+)`)

// A reader that stops reading blocks nothing, and every line is written or counted.
func TestReaderThatStopsBlocksNothing(t *testing.T) {
	const lines = 5_000 // more than wait for a reader
	reader := &slowReader{letGo: make(chan struct{}), last: make(chan struct{})}
	logger := telemetry.NewBoundedLogger(reader, "info", 1e9)
	for n := range lines {
		logger.Info().Int("n", n).Msg("line")
	}
	close(reader.letGo)
	// The queue has room again at some time; the line that finds it tells the rest.
	for written := false; !written; {
		reader.mu.Lock()
		written = len(reader.lines) > 0
		reader.mu.Unlock()
	}
	logger.Info().Msg("last")
	<-reader.last
	counted := 0
	for _, line := range reader.lines {
		counted++
		if m := droppedLines.FindSubmatch(line); m != nil {
			n, err := strconv.Atoi(string(m[1]))
			require.NoError(t, err)
			counted += n
		}
	}
	require.Equal(t, lines+1, counted)
}

func TestBudgetOfLines(t *testing.T) {
	reader := &slowReader{letGo: make(chan struct{}), last: make(chan struct{})}
	close(reader.letGo)
	logger := telemetry.NewBoundedLogger(reader, "info", 1e-9)
	logger.Info().Msg("last")
	select {
	case <-reader.last:
		t.Fatal("written beyond the budget")
	default:
	}
}

// BenchmarkLine is the cost of the line of a failed request.
func BenchmarkLine(b *testing.B) {
	logger := telemetry.NewBoundedLogger(io.Discard, "info", 1e9)
	for b.Loop() {
		logger.Info().Str("request", "9c41d07be2a35f68").Str("reason", "model not loaded in time").Int("status", 503).
			Int("sends", 1).Int("runs", 0).Str("model", "shoreline-summary").Msg("request_ended")
	}
}
