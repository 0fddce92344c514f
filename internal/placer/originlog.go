package placer

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/singleflight"

	"github.com/cyclamenhoist/cyclamenhoist/internal/placer/placerpb"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/pause"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/streamorigin"
	"github.com/cyclamenhoist/cyclamenhoist/platform"
)

const (
	// originWriteInterval is the minimum interval between two writes of origins to the store, each of
	// which has a cost.
	originWriteInterval = 500 * time.Millisecond
	// originWriteRetryDelay is the delay after a write that failed.
	originWriteRetryDelay = time.Second
	// originReadInterval is the minimum interval between two reads of origins from the store, and
	// originReadRetryDelay that after one that failed.
	originReadInterval   = time.Second
	originReadRetryDelay = 250 * time.Millisecond
	// originResendTime is for how long streams that have begun are told to a new holder of the lease,
	// because the one before may not have written them.
	originResendTime = 10 * time.Second
	// maxUnreportedOrigins bounds the streams that an instance keeps for the holder, while there is none.
	maxUnreportedOrigins = 1 << 14
)

// unreportedOrigins are the announced streams of this instance that the holder hasn't been told of.
type unreportedOrigins struct {
	mu sync.Mutex
	// recent are the streams of the last originResendTime, in the order in which they began, and begun is
	// the number of all that have begun. The first reported of these have been reported.
	recent          []announcedStream
	begun, reported int
}

type announcedStream struct {
	streamorigin.Entry

	at time.Time
}

func (u *unreportedOrigins) add(stream string, origin streamorigin.Origin, now time.Time) {
	if len(stream) > streamorigin.MaxStreamBytes {
		return // it isn't recorded
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.recent = append(u.recent, announcedStream{streamorigin.Entry{Stream: stream, Origin: origin}, now})
	u.begun++
	expired := 0
	for expired < len(u.recent)-(u.begun-u.reported) && now.Sub(u.recent[expired].at) > originResendTime {
		expired++
	}
	u.recent = u.recent[max(expired, len(u.recent)-maxUnreportedOrigins):]
}

// next returns the streams to report, all recent ones if the holder is new, and the number of those that
// have begun up to the last of them.
func (u *unreportedOrigins) next(newHolder bool) ([]streamorigin.Entry, int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	from := max(len(u.recent)-(u.begun-u.reported), 0)
	if newHolder {
		from = 0
	}
	out := make([]streamorigin.Entry, 0, len(u.recent)-from)
	for _, s := range u.recent[from:] {
		out = append(out, s.Entry)
	}
	return out, u.begun
}

// markReported records that the streams up to that number were reported.
func (u *unreportedOrigins) markReported(begun int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.reported = max(u.reported, begun)
}

// originLog keeps the origins of streams on the store, for instances that start after all others were
// lost.
type originLog struct {
	store   *platform.Store
	elector *elector
	// era returns the era of the store's history, as far as known.
	era    func() int64
	memory *streamorigin.Memory
	log    *log.Logger
	// writes, failedWrites and reads count the calls to the store.
	writes, failedWrites, reads metrics.Counter

	journal *streamorigin.Journal
	// writtenEra is the highest era of the store's history that write knows of. end is where the topic ended
	// when the journal was continued or written.
	writtenEra, end int64

	reading singleflight.Group
	mu      sync.Mutex
	// at is the place up to which the log has been read, and nextReadAt when it may be read again.
	at         platform.Cursor
	nextReadAt time.Time
	// newest is the key of the newest record up to there.
	newest string
}

func newOriginLog(store *platform.Store, e *elector, era func() int64, memory *streamorigin.Memory, logger *log.Logger, registry metrics.Registry) *originLog {
	return &originLog{
		store: store, elector: e, era: era, memory: memory, log: logger, journal: streamorigin.NewJournal(), at: platform.Cursor{Next: -1},
		writes:       metrics.NewRegisteredCounter("origin_log_writes", registry),
		failedWrites: metrics.NewRegisteredCounter("origin_log_writes_failed", registry),
		reads:        metrics.NewRegisteredCounter("origin_log_reads", registry),
	}
}

// write writes what the journal collects until ctx ends, while this instance holds the lease.
func (l *originLog) write(ctx context.Context) {
	var tenure int64
	for pause.For(ctx, originWriteInterval) {
		epoch, holds := l.elector.canOrder()
		if !holds {
			continue
		}
		if _, due := l.journal.Next(); due && epoch != tenure {
			if err := l.continueJournal(ctx); err != nil {
				l.log.Info().Err(err).Msg("origins_unread")
				pause.For(ctx, originWriteRetryDelay)
				continue
			}
			tenure = epoch
		}
		l.observeEra(l.era())
		if err := l.writePending(ctx); err != nil {
			l.log.Info().Err(err).Int64("at", l.end).Msg("origins_unrecorded")
			if !errors.Is(err, platform.ErrStoreRefused) {
				tenure = 0 // continue where the topic ends
			}
			pause.For(ctx, originWriteRetryDelay)
		}
	}
}

// observeEra makes the journal write again what the store may have lost, if it has come back from an older
// copy.
func (l *originLog) observeEra(era int64) {
	if era > l.writtenEra && l.writtenEra > 0 {
		l.journal.Rewrite(time.Now())
	}
	l.writtenEra = max(l.writtenEra, era)
}

// continueJournal makes the journal go on where the holder before has ended.
func (l *originLog) continueJournal(ctx context.Context) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	entries, err := l.readNew(ctx)
	if err == nil {
		l.journal.Continue(l.newest, entries, time.Now())
		l.end = l.at.Next
	}
	return err
}

func (l *originLog) writePending(ctx context.Context) error {
	for {
		segment, due := l.journal.Next()
		if !due {
			return nil
		}
		value, err := segment.Encode()
		if err != nil {
			return err
		}
		l.writes.Inc(1)
		appended, err := l.store.AppendAt(ctx, platform.TopicOrigins, segment.Key, l.end, value)
		if err != nil {
			l.failedWrites.Inc(1)
			return err
		}
		l.end = appended.End
		l.journal.Written(segment)
		l.observeEra(appended.Era)
		l.log.Debug().Str("key", segment.Key).Int("streams", len(segment.Entries)).Msg("origins_recorded")
	}
}

// find returns where a stream began, as far as the store knows.
func (l *originLog) find(ctx context.Context, stream string) (streamorigin.Origin, bool) {
	// A read serves all requests that wait for it, also if the one that began it has left.
	_, err, _ := l.reading.Do("", func() (any, error) { return nil, l.read(context.WithoutCancel(ctx)) })
	if err != nil {
		l.log.Debug().Err(err).Msg("origins_unread")
	}
	return l.memory.Get(stream)
}

// read reads what the store has got since the last read, unless that was a moment ago.
func (l *originLog) read(ctx context.Context) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Now().Before(l.nextReadAt) {
		return nil
	}
	_, err := l.readNew(ctx)
	return err
}

// readNew reads what the store has got since the last read. The caller must hold the lock.
func (l *originLog) readNew(ctx context.Context) ([]streamorigin.Entry, error) {
	l.nextReadAt = time.Now().Add(originReadInterval)
	var all []streamorigin.Entry
	for more := true; more; {
		l.reads.Inc(1)
		batch, after, hasMore, err := l.store.ReadSince(ctx, platform.TopicOrigins, l.at)
		if err != nil {
			l.nextReadAt = time.Now().Add(originReadRetryDelay)
			return nil, err
		}
		all = append(all, l.remember(batch.Records)...)
		l.at, more = after, hasMore
	}
	return all, nil
}

// remember adds the streams of records to those that this instance knows. Of two records that name a
// stream, the later one counts. The newest are added last: they are kept if there are very many.
func (l *originLog) remember(records []platform.Record) []streamorigin.Entry {
	slices.SortFunc(records, func(a, b platform.Record) int { return cmp.Compare(a.Offset, b.Offset) })
	if len(records) > 0 {
		l.newest = records[len(records)-1].Key
	}
	now := time.Now()
	var all []streamorigin.Entry
	added := map[string]bool{}
	for _, record := range records {
		entries, err := streamorigin.DecodeSegment(record.Value)
		if err != nil {
			l.log.Error().Err(err).Str("key", record.Key).Int64("offset", record.Offset).Msg("origins_unreadable")
			continue
		}
		for _, e := range entries {
			if _, known := l.memory.Get(e.Stream); !known || added[e.Stream] {
				l.memory.Put(e.Stream, e.Origin, now)
				added[e.Stream] = true
			}
		}
		all = append(all, entries...)
	}
	return all
}

func encodeOrigins(entries []streamorigin.Entry) []*placerpb.StreamOrigin {
	out := make([]*placerpb.StreamOrigin, 0, len(entries))
	for _, e := range entries {
		out = append(out, &placerpb.StreamOrigin{Stream: e.Stream, Service: e.Service, ServerVersion: e.Version})
	}
	return out
}

func decodeOrigins(origins []*placerpb.StreamOrigin) []streamorigin.Entry {
	out := make([]streamorigin.Entry, 0, len(origins))
	for _, o := range origins {
		out = append(out, streamorigin.Entry{Stream: o.Stream, Origin: streamorigin.Origin{Service: o.Service, Version: o.ServerVersion}})
	}
	return out
}
