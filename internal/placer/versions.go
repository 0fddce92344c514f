package placer

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/phuslu/log"

	"github.com/cyclamenhoist/cyclamenhoist/internal/edge"
	"github.com/cyclamenhoist/cyclamenhoist/internal/placer/placerpb"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/pause"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/streamorigin"
	"github.com/cyclamenhoist/cyclamenhoist/platform"
)

const (
	// versionsKey is the key of the only record in platform.TopicVersions.
	versionsKey = "versions"
	// versionsInterval is the interval at which the holder compares the versions of the servers with
	// the record. A release takes longer to replace the first server.
	versionsInterval = 500 * time.Millisecond
	// versionsRetryDelay is the delay after a call about the record that failed.
	versionsRetryDelay = time.Second
)

// versionRecorder keeps the software versions that servers have had on the store, while this instance
// holds the lease. Instances that start after all others were lost read them there.
type versionRecorder struct {
	store   *platform.Store
	views   *edge.Views
	elector *elector
	// era returns the era of the store's history, as far as known.
	era func() int64
	log *log.Logger

	// epoch is the tenure in which this instance has read the record, and written what it wrote then,
	// in the era writtenEra. end is the end of the topic then. Only record accesses them.
	epoch, writtenEra, end int64
	written                streamorigin.VersionRecord
}

// read reads the record after the start of this instance, until it could or the versions are known from
// elsewhere.
func (r *versionRecorder) read(ctx context.Context) {
	for ctx.Err() == nil && !r.views.Load().KnowsVersions(time.Now()) {
		if _, _, err := r.readOnce(ctx); err == nil {
			return
		}
		pause.For(ctx, versionsRetryDelay)
	}
}

// readOnce reads the record and adds it to what this instance knows. It also returns the end of the topic.
func (r *versionRecorder) readOnce(ctx context.Context) (_ streamorigin.VersionRecord, end int64, _ error) {
	snapshot, err := r.store.Newest(ctx, platform.TopicVersions)
	if err != nil {
		r.log.Debug().Err(err).Msg("versions_unread")
		return streamorigin.VersionRecord{}, 0, err
	}
	for _, record := range snapshot.Records {
		if record.Key != versionsKey {
			continue
		}
		found, err := streamorigin.DecodeVersionRecord(record.Value)
		if err != nil {
			// Whoever holds the lease replaces it.
			r.log.Error().Err(err).Int64("offset", record.Offset).Msg("versions_unreadable")
			break
		}
		r.views.AddVersions(found)
		return found, snapshot.Next, nil
	}
	return streamorigin.VersionRecord{}, snapshot.Next, nil
}

// record keeps the record up to date until ctx ends, while this instance holds the lease.
func (r *versionRecorder) record(ctx context.Context) {
	for pause.For(ctx, versionsInterval) {
		epoch, holds := r.elector.canOrder()
		if !holds || !r.views.Known() {
			continue
		}
		if err := r.update(ctx, epoch); err != nil {
			pause.For(ctx, versionsRetryDelay)
		}
	}
}

// update writes the versions that this instance knows if the record lacks some, or has others. In a new
// tenure, and if the topic doesn't end where it has read and written, it first adds what the record has.
func (r *versionRecorder) update(ctx context.Context, epoch int64) error {
	if epoch != r.epoch {
		found, end, err := r.readOnce(ctx)
		if err != nil {
			return err
		}
		r.epoch, r.written, r.writtenEra, r.end = epoch, found, r.era(), end
	}
	known, era := r.views.Load().VersionRecord(time.Now()), r.era()
	if known.Equal(r.written) && era <= r.writtenEra {
		return nil
	}
	value, err := known.Encode()
	if err != nil {
		return err
	}
	appended, err := r.store.AppendAt(ctx, platform.TopicVersions, versionsKey, r.end, value)
	if err != nil {
		r.log.Info().Err(err).Int64("at", r.end).Int64("end", appended.End).Msg("versions_unrecorded")
		if !errors.Is(err, platform.ErrStoreRefused) {
			r.epoch = 0 // read again
		}
		return err
	}
	r.written, r.writtenEra, r.end = known, max(era, appended.Era), appended.End
	r.log.Info().Any("services", known.Services).Bool("complete", known.Complete).Int64("offset", appended.Offset).Msg("versions_recorded")
	return nil
}

// encodeVersions returns the versions for an instance that lacks them; nil if this one doesn't know all.
func encodeVersions(r streamorigin.VersionRecord) []*placerpb.ServiceVersions {
	if !r.Complete {
		return nil
	}
	var out []*placerpb.ServiceVersions
	for _, service := range slices.Sorted(maps.Keys(r.Services)) {
		out = append(out, &placerpb.ServiceVersions{Service: service, Versions: r.Services[service]})
	}
	return out
}

func decodeVersions(services []*placerpb.ServiceVersions) streamorigin.VersionRecord {
	out := streamorigin.VersionRecord{Complete: true, Services: make(map[string][]string, len(services))}
	for _, s := range services {
		out.Services[s.Service] = s.Versions
	}
	return out
}
