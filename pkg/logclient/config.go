package logclient

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/fold"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// Config sets up a Client. Zero values stand for the defaults.
type Config struct {
	// Validate is the pure validity of a targets document.
	Validate func(document []byte) error
	// FetchState returns the encoded state of a peer. It is asked every
	// PeerRefresh while the log is away, and when the log no longer keeps what
	// this instance needs. It should return an error, or nothing, rather than
	// carry over a state that is no newer than the client's.
	FetchState func(ctx context.Context) ([]byte, error)
	// FetchRecords returns records from an offset on that a peer has read; none,
	// without an error, if no peer is ahead. It is asked first while the log is
	// away; where it fails, FetchState is.
	FetchRecords func(ctx context.Context, from port.Offset) ([]port.Record, error)
	// Rebase decides whether to go on from the first snapshot in the log, or
	// from an appended one, when neither log nor peers have a state that joins
	// on. It must return true only if no instance is left that has folded the
	// log without a gap; own may be nil. Without Rebase the client waits.
	Rebase func(ctx context.Context, own *fold.State) bool

	// AppendsPerSecond is this instance's part of the service's append rate.
	AppendsPerSecond float64
	// AppendBurst is how many appends may follow one another at once.
	AppendBurst int
	// QueueRecords and QueueBytes bound the pending appends.
	QueueRecords int
	QueueBytes   int
	// BatchRecords and BatchBytes bound what one append carries.
	BatchRecords int
	BatchBytes   int
	// AppendTimeout bounds one call of the service.
	AppendTimeout time.Duration

	// ReadRecords is the most records of one read, PollWait how long a read
	// waits at the end of the log.
	ReadRecords int
	PollWait    time.Duration
	// ReadTimeout bounds a read beyond its wait.
	ReadTimeout time.Duration
	// FirstRetry and RetryLimit bound the pauses between tries, before jitter.
	FirstRetry time.Duration
	RetryLimit time.Duration
	// SlowAfter is the duration from which a call counts as slow.
	SlowAfter time.Duration
	// DownAfter is how long after the last answer the log counts as down, if no
	// read has failed before that.
	DownAfter time.Duration
	// PeerRefresh is the pause between questions to peers while the log is away.
	PeerRefresh time.Duration

	Snapshot SnapshotConfig
	// Hooks follow the fold record by record.
	Hooks Hooks
	// Metrics receives the client's metrics; nil means a registry of its own.
	Metrics metrics.Registry
}

// Hooks are called by the goroutine that reads the log, in order, and must not
// block. Nil ones are left out.
type Hooks struct {
	// Joined brings a state that the tail goes on from without having folded it.
	Joined func(*fold.State)
	// Folded brings a record, what the fold made of it, and the state after it,
	// which must not be kept.
	Folded func(port.Record, fold.Verdict, *fold.State)
	// CaughtUp says that a read sent at the given time reached the log's end.
	CaughtUp func(asked time.Time)
}

func (h *Hooks) joined(s *fold.State) {
	if h.Joined != nil {
		h.Joined(s)
	}
}

func (h *Hooks) folded(r port.Record, v fold.Verdict, s *fold.State) {
	if h.Folded != nil {
		h.Folded(r, v, s)
	}
}

func (h *Hooks) caughtUp(asked time.Time) {
	if h.CaughtUp != nil {
		h.CaughtUp(asked)
	}
}

// SnapshotConfig says when to append a snapshot of the state.
type SnapshotConfig struct {
	// Mine reports whether this instance is the one to append snapshots now.
	// Two that both do so only waste an append. Without Mine none is appended.
	Mine func(*fold.State) bool
	// EveryRecords and Every are the most records and the most time between two
	// snapshots. Every must lie well below the retention of the log.
	EveryRecords int64
	Every        time.Duration
}

// The defaults of Config.
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
	defaultFirstRetry       = 50 * time.Millisecond
	defaultRetryLimit       = 2 * time.Second
	defaultSlowAfter        = 250 * time.Millisecond
	defaultDownAfter        = 5 * time.Second
	defaultPeerRefresh      = 2 * time.Second
	defaultSnapshotRecords  = 5000
	defaultSnapshotEvery    = time.Hour
)

func orDefault[T int | int64 | float64 | time.Duration](value *T, standard T) {
	if *value <= 0 {
		*value = standard
	}
}

func (c Config) withDefaults() Config {
	orDefault(&c.AppendsPerSecond, defaultAppendsPerSecond)
	orDefault(&c.AppendBurst, defaultAppendBurst)
	orDefault(&c.QueueRecords, defaultQueueRecords)
	orDefault(&c.QueueBytes, defaultQueueBytes)
	orDefault(&c.BatchRecords, defaultBatchRecords)
	orDefault(&c.BatchBytes, defaultBatchBytes)
	orDefault(&c.AppendTimeout, defaultAppendTimeout)
	orDefault(&c.ReadRecords, defaultReadRecords)
	orDefault(&c.PollWait, defaultPollWait)
	orDefault(&c.ReadTimeout, defaultReadTimeout)
	orDefault(&c.FirstRetry, defaultFirstRetry)
	orDefault(&c.RetryLimit, defaultRetryLimit)
	orDefault(&c.SlowAfter, defaultSlowAfter)
	orDefault(&c.DownAfter, defaultDownAfter)
	orDefault(&c.PeerRefresh, defaultPeerRefresh)
	orDefault(&c.Snapshot.EveryRecords, defaultSnapshotRecords)
	orDefault(&c.Snapshot.Every, defaultSnapshotEvery)
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	return c
}
