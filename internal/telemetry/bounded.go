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
	// logQueueLines is the capacity of the queue of lines that the output hasn't
	// accepted yet.
	logQueueLines = 1024
	// logBurstSeconds is the token bucket's burst, in seconds of the line rate.
	logBurstSeconds = 2
)

// NewBoundedLogger returns a logger like NewLogger that writes at most
// linesPerSecond and never blocks on its output. It drops lines beyond the rate or
// a full queue, and adds their number to the next line that is written.
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

// Write queues one line or drops it. It never fails.
func (w *boundedWriter) Write(line []byte) (int, error) {
	if !w.limiter.Allow() {
		w.dropped.Add(1)
		return len(line), nil
	}
	buffered := append([]byte(nil), line...)
	n := w.dropped.Swap(0)
	if n > 0 {
		buffered = append(buffered[:len(buffered)-1], []byte(" dropped_lines="+strconv.FormatInt(n, 10)+"\n")...)
	}
	select {
	case w.lines <- buffered:
	default:
		w.dropped.Add(n + 1)
	}
	return len(line), nil
}

func (w *boundedWriter) copyTo(out io.Writer) {
	for line := range w.lines {
		// A failure to write the log can't be reported anywhere.
		_, _ = out.Write(line)
	}
}

// StandardLogger returns a standard library logger that writes to logger.
func StandardLogger(logger *log.Logger) *stdlog.Logger {
	return logger.Std("", 0)
}
