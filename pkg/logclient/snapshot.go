package logclient

import (
	"context"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/fold"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/pause"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// snapshotMark is the last snapshot that the tail has read.
type snapshotMark struct {
	offset port.Offset
	at     time.Time
	// assumed is set when the state was taken over: the age of the snapshot
	// behind it isn't known.
	assumed bool
}

// How often the keeper looks, and how soon a keeper that has just joined appends
// a snapshot, as parts of SnapshotConfig.Every.
const (
	snapshotChecks      = 64
	maxSnapshotInterval = 30 * time.Second
	assumedParts        = 8
	// retainedParts: a snapshot among the oldest records, this part of those
	// retained, is due to be replaced whatever its age.
	retainedParts = 4
)

// keepSnapshots appends snapshots when they are due.
func (c *Client) keepSnapshots(ctx context.Context) error {
	if c.config.Snapshot.Mine == nil {
		return nil
	}
	interval := min(c.config.Snapshot.Every/snapshotChecks, maxSnapshotInterval)
	for pause.For(ctx, max(interval, time.Millisecond)) {
		if _, err := c.MaybeSnapshot(ctx); err != nil {
			c.metrics.snapshotFailures.Inc(1)
		}
	}
	return ctx.Err()
}

// MaybeSnapshot appends a snapshot of the newest state if one is due and it is
// this instance's turn, and reports whether it did.
func (c *Client) MaybeSnapshot(ctx context.Context) (bool, error) {
	state := c.State()
	mine := c.config.Snapshot.Mine
	if state == nil || mine == nil || !c.Up() || !c.snapshotDue(state, time.Now()) || !mine(state) {
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

// snapshotDue reports whether the last snapshot is old in time, in records, or in
// its place among the records that the log still keeps.
func (c *Client) snapshotDue(state *fold.State, now time.Time) bool {
	mark := c.snapshots.Load()
	if mark == nil || state.Through() == 0 {
		return false
	}
	every := c.config.Snapshot.Every
	if mark.assumed {
		every /= assumedParts
	}
	if now.Sub(mark.at) >= every || int64(state.Through()-mark.offset) >= c.config.Snapshot.EveryRecords {
		return true
	}
	oldest, end := c.health.bounds()
	return oldest > 1 && mark.offset-oldest < (end-oldest)/retainedParts
}
