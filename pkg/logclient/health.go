package logclient

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// Condition is the condition of the log as observed by this instance.
type Condition uint8

// Conditions of the log.
const (
	// ConditionStarting means that the log has not been read yet.
	ConditionStarting Condition = iota
	// ConditionUp means that reads and appends succeed.
	ConditionUp
	// ConditionSlow means that reads or appends succeed but exceed
	// SlowThreshold.
	ConditionSlow
	// ConditionRefusing means that reads succeed and appends fail.
	ConditionRefusing
	// ConditionDown means that reads fail.
	ConditionDown
	// ConditionGap means that the log trimmed records before they were read,
	// and that no state was found that the retained records continue.
	ConditionGap
	// ConditionRegressed means that the log ends before the folded offset: the
	// service has lost records.
	ConditionRegressed
)

var conditionNames = [...]string{"starting", "up", "slow", "refusing", "down", "gap", "regressed"}

// String returns the condition's name.
func (c Condition) String() string {
	if int(c) < len(conditionNames) {
		return conditionNames[c]
	}
	return "unknown"
}

// Staleness describes how current the published state is.
type Staleness struct {
	Condition Condition
	// Age is the time since the last successful read. It is meant for operators
	// and liveness checks. It does not bound the age of the data, because the
	// process can have been paused between receiving the response and recording
	// it.
	Age time.Duration
	// Behind is the number of records that were left to read after the last
	// successful read.
	Behind int64
	// LastError is the error of the last read, or nil if that read succeeded.
	LastError error
}

// The number of consecutive failures after which reads or appends count as
// failing. A call that timed out counts as that many.
const (
	readFailuresDown       = 2
	appendFailuresRefusing = 3
)

// healthState is an immutable snapshot of the health.
type healthState struct {
	// condition is derived from reads alone: starting, up, down, gap or
	// regressed.
	condition      Condition
	joined         bool
	lastRead       time.Time
	readFailures   int
	readErr        error
	through        port.Offset
	oldest, end    port.Offset
	readSlow       bool
	appendSlow     bool
	appendFailures int
	lastAppend     time.Time
	// outages and outageDuration cover the outages of reads that have ended.
	// outageStart is the start of the current outage, or zero.
	outages        int64
	outageDuration time.Duration
	outageStart    time.Time
}

// health is updated by the tail and the writer. Reading it takes no lock.
type health struct {
	config Config
	mu     sync.Mutex
	state  atomic.Pointer[healthState]
}

func newHealth(config Config, now time.Time) *health {
	h := &health{config: config}
	h.state.Store(&healthState{lastRead: now})
	return h
}

func (h *health) update(f func(*healthState)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	v := *h.state.Load()
	f(&v)
	h.state.Store(&v)
}

// markJoined records that the tail has a state to continue from.
func (h *health) markJoined() {
	h.update(func(v *healthState) { v.joined = true })
}

// canSettle reports whether a record that is appended now would be read back.
func (h *health) canSettle() bool {
	v := h.state.Load()
	return v.joined && v.condition != ConditionGap && v.condition != ConditionRegressed
}

func (h *health) bounds() (oldest, end port.Offset) {
	v := h.state.Load()
	return v.oldest, v.end
}

// recordRead records a successful read; late is the time by which it exceeded
// its long poll.
func (h *health) recordRead(now time.Time, late time.Duration, through port.Offset, page port.Page) {
	h.update(func(v *healthState) {
		if !v.outageStart.IsZero() {
			v.outageDuration += now.Sub(v.outageStart)
			v.outageStart = time.Time{}
		}
		v.condition = ConditionUp
		v.lastRead = now
		v.readFailures, v.readErr = 0, nil
		v.through, v.oldest, v.end = through, page.Oldest, page.End
		v.readSlow = late > h.config.SlowThreshold
	})
}

// recordReadFailure records a failed read. A single failure of a log that was
// up does not count as an outage.
func (h *health) recordReadFailure(now time.Time, c Condition, err error) {
	h.update(func(v *healthState) {
		v.readFailures++
		if errors.Is(err, context.DeadlineExceeded) {
			v.readFailures = max(v.readFailures, readFailuresDown)
		}
		v.readErr = err
		if c != ConditionDown || v.condition == ConditionStarting || v.readFailures >= readFailuresDown {
			v.condition = c
		}
		if v.condition != ConditionUp && v.outageStart.IsZero() {
			v.outages++
			v.outageStart = now
		}
	})
}

// outages returns the number of outages of reads and their total duration,
// including the current one.
func (h *health) outages(now time.Time) (int64, time.Duration) {
	v := h.state.Load()
	if v.outageStart.IsZero() {
		return v.outages, v.outageDuration
	}
	return v.outages, v.outageDuration + now.Sub(v.outageStart)
}

// recordAppend records the duration and the result of an append call.
func (h *health) recordAppend(now time.Time, took time.Duration, err error) {
	h.update(func(v *healthState) {
		v.lastAppend = now
		v.appendSlow = took > h.config.SlowThreshold
		if err == nil {
			v.appendFailures = 0
			return
		}
		v.appendFailures++
		if errors.Is(err, context.DeadlineExceeded) {
			v.appendFailures = max(v.appendFailures, appendFailuresRefusing)
		}
	})
}

// conditionAt returns the condition at the given time.
func (h *health) conditionAt(now time.Time) Condition {
	v := h.state.Load()
	switch {
	case v.condition != ConditionUp:
		return v.condition
	case now.Sub(v.lastRead) > h.config.DownTimeout+h.config.PollWait:
		return ConditionDown
	case v.appendFailures >= appendFailuresRefusing && now.Sub(v.lastAppend) <= h.config.DownTimeout:
		// If nothing was sent for DownTimeout, an append can be tried again.
		return ConditionRefusing
	case v.readSlow || v.appendSlow && now.Sub(v.lastAppend) <= h.config.DownTimeout:
		return ConditionSlow
	}
	return ConditionUp
}

// Up reports whether the log accepts reads and appends. It takes no lock.
func (c *Client) Up() bool {
	condition := c.health.conditionAt(time.Now())
	return condition == ConditionUp || condition == ConditionSlow
}

// Staleness returns how current the published state is. It takes no lock.
func (c *Client) Staleness() Staleness {
	now := time.Now()
	v := c.health.state.Load()
	return Staleness{
		Condition: c.health.conditionAt(now),
		Age:       now.Sub(v.lastRead),
		Behind:    max(0, int64(v.end-v.through)-1),
		LastError: v.readErr,
	}
}
