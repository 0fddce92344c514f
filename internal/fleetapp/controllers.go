package fleetapp

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/phuslu/log"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcmigrate"
	"storj.io/drpc/drpcmux"

	"github.com/cyclamenhoist/cyclamenhoist/internal/peer"
	"github.com/cyclamenhoist/cyclamenhoist/internal/relay"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/pause"
	"github.com/cyclamenhoist/cyclamenhoist/platform"
)

// startControllers starts the goroutines that keep the instance's state up to
// date. When stop ends, the placer hands its lease over while the other
// controllers keep running.
func (i *Instance) startControllers(ctx, stop context.Context, group *errgroup.Group) {
	group.Go(func() error { i.watchManifest(ctx); return nil })
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
	protocols := drpcmigrate.NewListenMux(listener, len(relay.Prefix))
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
	i.store.WatchManifest(ctx, platform.ManifestWatch{
		Published: func(m *fleet.Manifest) {
			if i.views.SetManifest(m) {
				i.log.Info().Int64("version", m.Version).Int("routes", m.Routes()).Msg("manifest_in_force")
			} else {
				i.log.Warn().Int64("version", m.Version).Msg("older_manifest_ignored")
			}
		},
		Unreadable: func(err error) { i.log.Error().Err(err).Msg("manifest_unreadable") },
		ReadFailed: i.manifests.markLost,
		ReadSucceeded: func() {
			i.manifests.markAvailable()
			i.mirror.ManifestRead(i.views.ManifestVersion())
		},
		Wait:         i.mirror.ManifestWait,
		Interrupt:    i.mirror.ManifestInterrupt(),
		FailureDelay: i.mirror.ManifestRetryDelay,
	})
}

func (i *Instance) watchServers(ctx context.Context) {
	i.store.WatchServers(ctx, platform.ServerWatch{
		Deliver: func(b platform.ServerListBatch) {
			i.serverList.markAvailable()
			i.mirror.ListRead(b)
		},
		ReadFailed: i.serverList.markLost,
		Delay:      i.mirror.ListDelay,
		Wait:       i.mirror.ListWait,
		From:       i.mirror.ListFrom,
	})
}

// reviewInterval is the interval at which the mirror of the store is reviewed.
const reviewInterval = time.Second

func (i *Instance) reviewMirror(ctx context.Context) {
	for pause.For(ctx, reviewInterval) {
		i.mirror.Review()
	}
}
