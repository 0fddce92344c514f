package logclient

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/fold"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// Config configures a Client. A zero value selects the default.
type Config struct {
	// Validate checks a targets document. It must depend on the document alone.
	Validate func(document []byte) error
	// FetchState returns the encoded state of a peer. It is called every
	// PeerInterval while the log is unavailable, and when the log no longer
	// retains the records that this instance needs. It should return an error
	// or an empty state instead of transferring a state that is no newer than
	// the client's.
	FetchState func(ctx context.Context) ([]byte, error)
	// FetchRecords returns the records that a peer has read, starting at an
	// offset, or none and no error if no peer is ahead. While the log is
	// unavailable it is called before FetchState, which is only called if
	// FetchRecords fails.
	FetchRecords func(ctx context.Context, from port.Offset) ([]port.Record, error)
	// Rebase decides what to do when neither the log nor a peer has a state
	// that the retained records continue. If it returns true, the client
	// continues from the first snapshot on the log, and appends one if there is
	// none. It must return true only if no instance remains that has folded the
	// log without a gap. own can be nil. Without Rebase the client waits.
	Rebase func(ctx context.Context, own *fold.State) bool

	// AppendsPerSecond is this instance's share of the append rate of the
	// service, in calls per second.
	AppendsPerSecond float64
	// AppendBurst is the burst size of the append rate limit, in calls.
	AppendBurst int
	// QueueRecords and QueueBytes limit the pending appends.
	QueueRecords int
	QueueBytes   int
	// BatchRecords and BatchBytes limit the records of one append call.
	BatchRecords int
	BatchBytes   int
	// AppendTimeout is the timeout of one append call.
	AppendTimeout time.Duration

	// ReadRecords is the maximum number of records of one read. PollWait is the
	// duration of a long poll at the end of the log.
	ReadRecords int
	PollWait    time.Duration
	// ReadTimeout is the timeout of a read, in addition to its long poll.
	ReadTimeout time.Duration
	// InitialBackoff and MaxBackoff are the bounds of the backoff between
	// retries, before jitter.
	InitialBackoff time.Duration
	MaxBackoff     time.Duration
	// SlowThreshold is the duration above which a call counts as slow.
	SlowThreshold time.Duration
	// DownTimeout is the time after the last successful read, in addition to
	// PollWait, after which the log counts as down even if no read has failed.
	DownTimeout time.Duration
	// PeerInterval is the interval between fetches from peers while the log is
	// unavailable.
	PeerInterval time.Duration

	Snapshot SnapshotConfig
	// Hooks observe the fold record by record.
	Hooks Hooks
	// Metrics is the registry for the client's metrics. If it is nil, the
	// client creates its own.
	Metrics metrics.Registry
}

// Hooks are called in log order by the goroutine that reads the log, and must
// not block. A nil hook is not called.
type Hooks struct {
	// StateImported is called with a state that the client adopted without
	// having folded it.
	StateImported func(*fold.State)
	// RecordApplied is called with a record, its verdict, and the state after
	// it. The state must not be retained.
	RecordApplied func(port.Record, fold.Verdict, *fold.State)
	// CaughtUp is called after a read, sent at the given time, reached the end
	// of the log.
	CaughtUp func(sentAt time.Time)
}

func (h *Hooks) stateImported(s *fold.State) {
	if h.StateImported != nil {
		h.StateImported(s)
	}
}

func (h *Hooks) recordApplied(r port.Record, v fold.Verdict, s *fold.State) {
	if h.RecordApplied != nil {
		h.RecordApplied(r, v, s)
	}
}

func (h *Hooks) caughtUp(sentAt time.Time) {
	if h.CaughtUp != nil {
		h.CaughtUp(sentAt)
	}
}

// SnapshotConfig configures when the client appends snapshots of the state.
type SnapshotConfig struct {
	// IsWriter reports whether this instance is currently responsible for
	// appending snapshots. If two instances are, the only cost is a redundant
	// append. Without IsWriter the client appends no snapshots.
	IsWriter func(*fold.State) bool
	// EveryRecords and Every are the maximum number of records and the maximum
	// time between two snapshots. Every must be well below the retention time
	// of the log.
	EveryRecords int64
	Every        time.Duration
}

// Defaults of Config.
const (
	defaultAppendsPerSecond = 40
	defaultAppendBurst      = 10
	defaultQueueRecords     = 4096
	defaultQueueBytes       = 16 << 20
	defaultBatchRecords     = 64
	defaultBatchBytes       = 1 << 20
	defaultAppendTimeout    = 2 * time.Second
	defaultReadRecords      = 500
	defaultPollWait         = time.Second
	defaultReadTimeout      = 3 * time.Second
	defaultInitialBackoff   = 50 * time.Millisecond
	defaultMaxBackoff       = 2 * time.Second
	defaultSlowThreshold    = 250 * time.Millisecond
	defaultDownTimeout      = 5 * time.Second
	defaultPeerInterval     = 2 * time.Second
	defaultSnapshotRecords  = 5000
	defaultSnapshotEvery    = time.Hour
)

func setDefault[T int | int64 | float64 | time.Duration](value *T, standard T) {
	if *value <= 0 {
		*value = standard
	}
}

func (c Config) withDefaults() Config {
	setDefault(&c.AppendsPerSecond, defaultAppendsPerSecond)
	setDefault(&c.AppendBurst, defaultAppendBurst)
	setDefault(&c.QueueRecords, defaultQueueRecords)
	setDefault(&c.QueueBytes, defaultQueueBytes)
	setDefault(&c.BatchRecords, defaultBatchRecords)
	setDefault(&c.BatchBytes, defaultBatchBytes)
	setDefault(&c.AppendTimeout, defaultAppendTimeout)
	setDefault(&c.ReadRecords, defaultReadRecords)
	setDefault(&c.PollWait, defaultPollWait)
	setDefault(&c.ReadTimeout, defaultReadTimeout)
	setDefault(&c.InitialBackoff, defaultInitialBackoff)
	setDefault(&c.MaxBackoff, defaultMaxBackoff)
	setDefault(&c.SlowThreshold, defaultSlowThreshold)
	setDefault(&c.DownTimeout, defaultDownTimeout)
	setDefault(&c.PeerInterval, defaultPeerInterval)
	setDefault(&c.Snapshot.EveryRecords, defaultSnapshotRecords)
	setDefault(&c.Snapshot.Every, defaultSnapshotEvery)
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	return c
}
