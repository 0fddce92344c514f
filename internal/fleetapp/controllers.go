package fleetapp

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcmigrate"
	"storj.io/drpc/drpcmux"

	"github.com/cyclamenhoist/cyclamenhoist/internal/peer"
	"github.com/cyclamenhoist/cyclamenhoist/internal/relay"
	"github.com/cyclamenhoist/cyclamenhoist/internal/storemirror"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/pause"
	"github.com/cyclamenhoist/cyclamenhoist/platform"
)

// startControllers starts the goroutines that keep the instance's state up to
// date. When stop ends, the placer hands its lease over while the other
// controllers keep running.
func (i *Instance) startControllers(ctx, stop context.Context, group *errgroup.Group) {
	group.Go(func() error { i.watchManifest(ctx); return nil })
	group.Go(func() error { i.fetchManifests(ctx); return nil })
	group.Go(func() error { i.watchServers(ctx); return nil })
	group.Go(func() error { i.reviewMirror(ctx); return nil })
	group.Go(func() error { i.watchSettings(ctx); return nil })
	group.Go(func() error { return i.servePeers(ctx) })
	group.Go(func() error { i.placer.Run(ctx, stop); return nil })
	group.Go(func() error { i.dialer.Run(ctx); return nil })
	group.Go(func() error {
		for ctx.Err() == nil {
			pause.For(ctx, idleConnInterval)
			i.servers.CloseIdle()
		}
		return nil
	})
}

func (i *Instance) servePeers(ctx context.Context) error {
	mux := drpcmux.New()
	if err := i.placer.Register(mux); err != nil {
		return err
	}
	listen := net.ListenConfig{KeepAliveConfig: peer.KeepAlive()}
	listener, err := listen.Listen(ctx, "tcp", i.settings.Peers.Address)
	if err != nil {
		return errors.Join(ErrListen, err)
	}
	protocols := drpcmigrate.NewListenMux(i.guards.peers.Listen(listener), len(relay.Prefix))
	relayed := protocols.Route(relay.Prefix)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		if err := protocols.Run(ctx); err != nil && ctx.Err() == nil {
			return errors.Join(ErrListen, err)
		}
		return nil
	})
	group.Go(func() error { return i.relay.Serve(ctx, relayed) })
	group.Go(func() error { return peer.ServeMux(ctx, protocols.Default(), mux, i.tracing.Tracer, i.log) })
	return group.Wait()
}

// dependency tracks whether an external dependency is available, and logs when
// it is lost and regained.
type dependency struct {
	log  *log.Logger
	name string

	mu        sync.Mutex
	lostSince time.Time
}

func (d *dependency) markLost(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lostSince.IsZero() {
		d.lostSince = time.Now()
		d.log.Warn().Str("dependency", d.name).Err(err).Msg("dependency_lost")
	}
}

func (d *dependency) markAvailable() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.lostSince.IsZero() {
		d.log.Info().Str("dependency", d.name).Dur("for", time.Since(d.lostSince)).Msg("dependency_regained")
		d.lostSince = time.Time{}
	}
}

// lostFor returns for how long the dependency has been unavailable, or 0 if it
// is available.
func (d *dependency) lostFor(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lostSince.IsZero() {
		return 0
	}
	return now.Sub(d.lostSince)
}

func (i *Instance) watchManifest(ctx context.Context) {
	// newest is the version of the newest manifest that was read. WatchManifest makes its calls one
	// after the other.
	var newest int64
	i.store.WatchManifest(ctx, platform.ManifestWatch{
		Published: func(m *fleet.Manifest, document []byte) {
			newest = m.Version
			i.applyManifest(m, document, "store")
		},
		Unreadable: func(err error) { i.log.Error().Err(err).Msg("manifest_unreadable") },
		ReadFailed: func(err error, _ time.Duration) {
			i.manifests.markLost(err)
			i.mirror.ManifestReadFailed()
		},
		ReadSucceeded: func(currentSince time.Duration, atEnd bool) {
			i.manifests.markAvailable()
			i.mirror.ManifestRead(storemirror.ManifestReading{
				InForce: i.views.ManifestVersion(), Newest: newest, CurrentSince: currentSince, AtEnd: atEnd,
			})
		},
		Wait:         i.mirror.ManifestWait,
		Interrupt:    i.mirror.ManifestInterrupt(),
		FailureDelay: i.mirror.ManifestRetryDelay,
	})
}

// applyManifest puts a manifest into force if it is newer than the one in force. source is where its
// document was read.
func (i *Instance) applyManifest(m *fleet.Manifest, document []byte, source string) {
	if !i.views.SetManifest(m) {
		i.log.Warn().Int64("version", m.Version).Str("source", source).Msg("older_manifest_ignored")
		return
	}
	i.mirror.SetDocument(m.Version, document)
	entry := i.log.Info().Int64("version", m.Version).Int("routes", m.Routes()).Str("source", source)
	if m.Accounts != nil {
		entry = entry.Int("accounts", m.Accounts.Len())
	}
	entry.Msg("manifest_in_force")
}

const (
	// manifestFetchDelay is how long an instance that is told of a newer manifest waits for its own
	// read of the store before it fetches the manifest from another instance.
	manifestFetchDelay = 200 * time.Millisecond
	// manifestFetchRetryDelay is the delay after a fetch that brought no newer manifest.
	manifestFetchRetryDelay = 500 * time.Millisecond
	// manifestUnreadableDelay is the delay after a manifest that this build can't read. It remains so until
	// a newer one is published.
	manifestUnreadableDelay = 10 * time.Second
)

// fetchManifests fetches manifests that this instance is told of and can't read from the store.
func (i *Instance) fetchManifests(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-i.mirror.Behind():
		}
		pause.For(ctx, manifestFetchDelay)
		for i.mirror.IsBehind() && ctx.Err() == nil {
			err := i.fetchManifest(ctx)
			if err != nil {
				i.log.Debug().Err(err).Msg("manifest_unfetched")
			}
			switch {
			case errors.Is(err, platform.ErrManifest):
				pause.For(ctx, manifestUnreadableDelay)
			case i.mirror.IsBehind():
				pause.For(ctx, manifestFetchRetryDelay)
			}
		}
	}
}

func (i *Instance) fetchManifest(ctx context.Context) error {
	document, err := i.placer.FetchManifest(ctx)
	if err != nil {
		return err
	}
	m, err := platform.DecodeManifest(document)
	if err != nil {
		i.log.Error().Err(err).Msg("manifest_unreadable")
		return err
	}
	if m.Version > i.views.ManifestVersion() {
		i.applyManifest(m, document, "instance")
		i.mirror.ManifestFetched(i.views.ManifestVersion())
	}
	return nil
}

// unusableLogInterval is the minimum interval between two log entries about unusable entries of the server list.
const unusableLogInterval = time.Minute

// unusableEntries counts the entries of the server list that can't be used, as those of another writer. Only
// watchServers accesses it.
type unusableEntries struct {
	log      *log.Logger
	counter  metrics.Counter
	loggedAt time.Time
}

func (u *unusableEntries) record(entries int, now time.Time) {
	if entries == 0 {
		return
	}
	u.counter.Inc(int64(entries))
	if now.Sub(u.loggedAt) >= unusableLogInterval {
		u.loggedAt = now
		u.log.Warn().Int("entries", entries).Int64("entries_since_start", u.counter.Count()).Msg("server_entries_unusable")
	}
}

func (i *Instance) watchServers(ctx context.Context) {
	i.store.WatchServers(ctx, platform.ServerWatch{
		Deliver: func(b platform.ServerListBatch) {
			i.serverList.markAvailable()
			i.unusable.record(b.Unusable, time.Now())
			i.mirror.ListRead(b)
		},
		ReadFailed: func(err error, started time.Duration) {
			i.mirror.ListReadFailed(started)
			i.serverList.markLost(err)
		},
		Delay: i.mirror.ListDelay,
		Wait:  i.mirror.ListWait,
		From:  i.mirror.ListFrom,
	})
}

// reviewInterval is the interval at which the mirror of the store, and the services without servers, are
// reviewed.
const reviewInterval = time.Second

func (i *Instance) reviewMirror(ctx context.Context) {
	for pause.For(ctx, reviewInterval) {
		i.mirror.Review()
		if i.views.Known() {
			i.unserved.review(i.views.Load(), time.Now())
		}
	}
}
