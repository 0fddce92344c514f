package logclient

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// Condition is the state of the log as this instance meets it.
type Condition uint8

// The conditions of the log.
const (
	// ConditionStarting means that the log has not been read yet.
	ConditionStarting Condition = iota
	// ConditionUp means that reads and appends are answered.
	ConditionUp
	// ConditionSlow means that they are answered late.
	ConditionSlow
	// ConditionRefusing means that reads are answered and appends fail.
	ConditionRefusing
	// ConditionDown means that reads fail.
	ConditionDown
	// ConditionGap means that the log has forgotten records that were not read,
	// and that no state was found that joins on.
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

// Staleness says how current the published state is.
type Staleness struct {
	Condition Condition
	// Age is the time since the last answered read. It is for operators and for
	// liveness: an answer may have waited while the process was paused.
	Age time.Duration
	// Behind is how many records that read left to be read.
	Behind int64
	// LastError is the last failure of a read since an answered one.
	LastError error
}

// Failures in a row from which reads or appends count as failing. A call that got
// no answer in its time counts as that many.
const (
	readFailuresDown       = 2
	appendFailuresRefusing = 3
)

// healthView is one immutable reading.
type healthView struct {
	// condition is what the last reads say: starting, up, down, gap, regressed.
	condition   Condition
	joined      bool
	lastRead    time.Time
	readFails   int
	readErr     error
	through     port.Offset
	oldest, end port.Offset
	readSlow    bool
	appendSlow  bool
	appendFails int
	appendAt    time.Time
	// outages and outageTime sum up the ended outages of reads; the one going
	// on began at outageFrom, which is zero without one.
	outages    int64
	outageTime time.Duration
	outageFrom time.Time
}

// health is written by the tail and the writer and read by everyone without a
// lock.
type health struct {
	config Config
	mu     sync.Mutex
	view   atomic.Pointer[healthView]
}

func newHealth(config Config, now time.Time) *health {
	h := &health{config: config}
	h.view.Store(&healthView{lastRead: now})
	return h
}

func (h *health) change(f func(*healthView)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	v := *h.view.Load()
	f(&v)
	h.view.Store(&v)
}

// join notes that the tail has a state to go on from.
func (h *health) join() {
	h.change(func(v *healthView) { v.joined = true })
}

// joined reports whether what is appended now would be read back.
func (h *health) joined() bool {
	v := h.view.Load()
	return v.joined && v.condition != ConditionGap && v.condition != ConditionRegressed
}

func (h *health) bounds() (oldest, end port.Offset) {
	v := h.view.Load()
	return v.oldest, v.end
}

// readThrough notes an answered read; late is by how much it exceeded its wait.
func (h *health) readThrough(now time.Time, late time.Duration, through port.Offset, page port.Page) {
	h.change(func(v *healthView) {
		if !v.outageFrom.IsZero() {
			v.outageTime += now.Sub(v.outageFrom)
			v.outageFrom = time.Time{}
		}
		v.condition = ConditionUp
		v.lastRead = now
		v.readFails, v.readErr = 0, nil
		v.through, v.oldest, v.end = through, page.Oldest, page.End
		v.readSlow = late > h.config.SlowAfter
	})
}

// readFailed notes a failed read. A single failure of a log that was up is not
// an outage yet.
func (h *health) readFailed(now time.Time, c Condition, err error) {
	h.change(func(v *healthView) {
		v.readFails++
		if errors.Is(err, context.DeadlineExceeded) {
			v.readFails = max(v.readFails, readFailuresDown)
		}
		v.readErr = err
		if c != ConditionDown || v.condition == ConditionStarting || v.readFails >= readFailuresDown {
			v.condition = c
		}
		if v.condition != ConditionUp && v.outageFrom.IsZero() {
			v.outages++
			v.outageFrom = now
		}
	})
}

// outages returns how many outages of reads there were and how long they took.
func (h *health) outages(now time.Time) (int64, time.Duration) {
	v := h.view.Load()
	if v.outageFrom.IsZero() {
		return v.outages, v.outageTime
	}
	return v.outages, v.outageTime + now.Sub(v.outageFrom)
}

// appended notes a call that appends.
func (h *health) appended(now time.Time, took time.Duration, err error) {
	h.change(func(v *healthView) {
		v.appendAt = now
		v.appendSlow = took > h.config.SlowAfter
		if err == nil {
			v.appendFails = 0
			return
		}
		v.appendFails++
		if errors.Is(err, context.DeadlineExceeded) {
			v.appendFails = max(v.appendFails, appendFailuresRefusing)
		}
	})
}

// conditionAt returns the condition at a moment.
func (h *health) conditionAt(now time.Time) Condition {
	v := h.view.Load()
	switch {
	case v.condition != ConditionUp:
		return v.condition
	case now.Sub(v.lastRead) > h.config.DownAfter+h.config.PollWait:
		return ConditionDown
	case v.appendFails >= appendFailuresRefusing && now.Sub(v.appendAt) <= h.config.DownAfter:
		// After DownAfter without a try nothing speaks against trying again.
		return ConditionRefusing
	case v.readSlow || v.appendSlow && now.Sub(v.appendAt) <= h.config.DownAfter:
		return ConditionSlow
	}
	return ConditionUp
}

// Up reports whether the log answers reads and appends. It takes no lock.
func (c *Client) Up() bool {
	condition := c.health.conditionAt(time.Now())
	return condition == ConditionUp || condition == ConditionSlow
}

// Staleness returns how current the published state is. It takes no lock.
func (c *Client) Staleness() Staleness {
	now := time.Now()
	v := c.health.view.Load()
	return Staleness{
		Condition: c.health.conditionAt(now),
		Age:       now.Sub(v.lastRead),
		Behind:    max(0, int64(v.end-v.through)-1),
		LastError: v.readErr,
	}
}
