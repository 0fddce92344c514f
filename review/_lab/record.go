package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// The results of a script.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitUnusable = 2
)

// recorder writes what was sent, answered and run.
type recorder struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
	runs    []run
}

func newRecorder(path string) *recorder {
	file, err := os.Create(path)
	check(err)
	return &recorder{file: file, started: time.Now()}
}

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

func (r *recorder) run(this run) {
	r.printf("%s runs %s, model %s", this.runner, this.id, this.model)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, this)
}

// since returns seconds after the start of the record.
func (r *recorder) since(t time.Time) float64 { return t.Sub(r.started).Seconds() }

// unusableCase ends the script with the exit code for a case that couldn't run.
type unusableCase struct{ why string }

func unusable(format string, args ...any) { panic(unusableCase{fmt.Sprintf(format, args...)}) }

func check(err error) {
	if err != nil {
		unusable("%v", err)
	}
}
