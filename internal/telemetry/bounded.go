package telemetry

import (
	"io"
	stdlog "log"
	"strconv"
	"sync/atomic"

	"github.com/phuslu/log"
	"golang.org/x/time/rate"
)

const (
	// logQueueLines is how many lines wait for a slow reader of the log.
	logQueueLines = 1024
	// logBurstSeconds is how many seconds' worth of lines may come at once.
	logBurstSeconds = 2
)

// NewBoundedLogger returns a logger as NewLogger does that writes at most so many
// lines a second and never waits for its output. Lines that were left out are
// counted on the next one that is written.
func NewBoundedLogger(out io.Writer, level string, linesPerSecond float64) *log.Logger {
	logger := NewLogger(nil, level)
	bounded := &boundedWriter{
		limiter: rate.NewLimiter(rate.Limit(linesPerSecond), int(logBurstSeconds*linesPerSecond)),
		lines:   make(chan []byte, logQueueLines),
	}
	go bounded.copyTo(out)
	logger.Writer = &log.ConsoleWriter{Writer: bounded, Formatter: writePairs}
	return logger
}

type boundedWriter struct {
	limiter *rate.Limiter
	lines   chan []byte
	dropped atomic.Int64
}

// Write takes one line or drops it.
func (w *boundedWriter) Write(line []byte) (int, error) {
	if !w.limiter.Allow() {
		w.dropped.Add(1)
		return len(line), nil
	}
	kept := append([]byte(nil), line...)
	n := w.dropped.Swap(0)
	if n > 0 {
		kept = append(kept[:len(kept)-1], []byte(" dropped_lines="+strconv.FormatInt(n, 10)+"\n")...)
	}
	select {
	case w.lines <- kept:
	default:
		w.dropped.Add(n + 1)
	}
	return len(line), nil
}

func (w *boundedWriter) copyTo(out io.Writer) {
	for line := range w.lines {
		// There is nowhere to report a log that can't be written.
		_, _ = out.Write(line)
	}
}

// StandardLogger returns a logger of the standard library that writes to logger.
func StandardLogger(logger *log.Logger) *stdlog.Logger {
	return logger.Std("", 0)
}
