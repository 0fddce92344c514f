package logclient

import (
	"context"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/fold"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/pause"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// snapshotMark identifies the last snapshot that the tail has read.
type snapshotMark struct {
	offset port.Offset
	at     time.Time
	// ageUnknown is set when the state was adopted, so that the age of the
	// snapshot it is based on is not known.
	ageUnknown bool
}

const (
	// checksPerSnapshot is the number of checks in SnapshotConfig.Every.
	checksPerSnapshot        = 64
	maxSnapshotCheckInterval = 30 * time.Second
	// unknownAgeDivisor shortens SnapshotConfig.Every after a join, because the
	// last snapshot can be much older than the join.
	unknownAgeDivisor = 8
	// A snapshot that lies in the oldest 1/retainedDivisor of the retained
	// records is replaced regardless of its age, before the log trims it.
	retainedDivisor = 4
)

// runSnapshots appends snapshots when they are due.
func (c *Client) runSnapshots(ctx context.Context) error {
	if c.config.Snapshot.IsWriter == nil {
		return nil
	}
	interval := min(c.config.Snapshot.Every/checksPerSnapshot, maxSnapshotCheckInterval)
	for pause.For(ctx, max(interval, time.Millisecond)) {
		if _, err := c.SnapshotIfDue(ctx); err != nil {
			c.metrics.snapshotFailures.Inc(1)
		}
	}
	return ctx.Err()
}

// SnapshotIfDue appends a snapshot of the newest state if one is due and this
// instance is responsible for it. It reports whether it did.
func (c *Client) SnapshotIfDue(ctx context.Context) (bool, error) {
	state := c.State()
	isWriter := c.config.Snapshot.IsWriter
	if state == nil || isWriter == nil || !c.Up() || !c.snapshotDue(state, time.Now()) || !isWriter(state) {
		return false, nil
	}
	ctx, cancel := context.WithTimeout(ctx, c.config.Snapshot.Every)
	defer cancel()
	if _, err := c.Append(ctx, snapshotRecord(state)); err != nil {
		return false, err
	}
	c.metrics.snapshots.Inc(1)
	return true, nil
}

// snapshotDue reports whether the last snapshot is too old in time or in
// records, or is about to be trimmed by the log.
func (c *Client) snapshotDue(state *fold.State, now time.Time) bool {
	mark := c.lastSnapshot.Load()
	if mark == nil || state.Through() == 0 {
		return false
	}
	every := c.config.Snapshot.Every
	if mark.ageUnknown {
		every /= unknownAgeDivisor
	}
	if now.Sub(mark.at) >= every || int64(state.Through()-mark.offset) >= c.config.Snapshot.EveryRecords {
		return true
	}
	oldest, end := c.health.bounds()
	return oldest > 1 && mark.offset-oldest < (end-oldest)/retainedDivisor
}
