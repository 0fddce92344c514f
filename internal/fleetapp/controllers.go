package fleetapp

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcmux"

	"github.com/cyclamenhoist/cyclamenhoist/internal/pause"
	"github.com/cyclamenhoist/cyclamenhoist/internal/peer"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
	"github.com/cyclamenhoist/cyclamenhoist/platform"
)

// startControllers starts what keeps the instance's state up to date. Placing is
// handed over when stop ends, before the rest does.
func (i *Instance) startControllers(ctx, stop context.Context, group *errgroup.Group) {
	group.Go(func() error { i.followManifest(ctx); return nil })
	group.Go(func() error { i.followServers(ctx); return nil })
	group.Go(func() error { i.followSettings(ctx); return nil })
	group.Go(func() error { return i.servePeers(ctx) })
	group.Go(func() error { i.placer.Run(ctx, stop); return nil })
	group.Go(func() error {
		for ctx.Err() == nil {
			pause.For(ctx, idleSweep)
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
	return peer.ServeMux(ctx, listener, mux, i.tracing.Tracer, i.log)
}

// dependency logs when something outside is lost and when it is back.
type dependency struct {
	instance *Instance
	name     string

	mu   sync.Mutex
	lost time.Time
}

func (d *dependency) failed(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lost.IsZero() {
		d.lost = time.Now()
		d.instance.log.Warn().Str("dependency", d.name).Err(err).Msg("dependency_lost")
	}
}

func (d *dependency) works() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.lost.IsZero() {
		d.instance.log.Info().Str("dependency", d.name).Dur("for", time.Since(d.lost)).Msg("dependency_regained")
		d.lost = time.Time{}
	}
}

func (i *Instance) followManifest(ctx context.Context) {
	store := &dependency{instance: i, name: "published manifests"}
	i.store.WatchManifest(ctx, platform.ManifestWatch{
		Published: func(m *fleet.Manifest) {
			if i.views.SetManifest(m) {
				i.log.Info().Int64("version", m.Version).Int("routes", m.Routes()).Msg("manifest_in_force")
			} else {
				i.log.Warn().Int64("version", m.Version).Msg("older_manifest_ignored")
			}
		},
		Unreadable: func(err error) { i.log.Error().Err(err).Msg("manifest_unreadable") },
		Failed:     store.failed,
		Read:       store.works,
	})
}

// listReadsPerLeave is how often the server list is read within the time in which a
// leaving server has to be left; the other half is for slow reads.
const listReadsPerLeave = 2

func (i *Instance) followServers(ctx context.Context) {
	store := &dependency{instance: i, name: "server list"}
	spacing := i.settings.Servers.LeaveWithin.D() / listReadsPerLeave
	list := newServerList(i.views.SetServers, spacing)
	i.store.WatchServers(ctx, spacing, func(b platform.ServerListBatch) {
		store.works()
		list.apply(b)
	}, store.failed)
}
