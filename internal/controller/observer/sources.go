package observer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/membership"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

const (
	liveTimeout   = 2 * time.Second
	reportTimeout = 2 * time.Second
	// readsAtOnce bounds the reads of backend servers that run at once.
	readsAtOnce = 64
	// jitter is the part by which intervals are spread, so that instances which
	// started together don't stay in step.
	jitter = 0.2
)

func spread(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - jitter/2 + jitter*rand.Float64()))
}

// liveLoop reads the live list and announces this instance on it.
func (o *Observer) liveLoop(ctx context.Context) error {
	for {
		o.readLive(ctx)
		if !pause(ctx, spread(o.cfg.LiveInterval)) {
			return nil
		}
	}
}

func (o *Observer) readLive(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, liveTimeout)
	defer cancel()
	o.mu.Lock()
	self := o.table.Self()
	o.mu.Unlock()
	if err := o.deps.Live.Announce(ctx, self); err != nil {
		o.deps.Logger.Debug().Err(err).Msg("announce_failed")
	}
	set, err := o.deps.Live.List(ctx)
	if err != nil {
		metrics.GetOrRegisterCounter("live_list.failed", o.deps.Metrics).Inc(1)
		o.deps.Logger.Debug().Err(err).Msg("live_list_failed")
		return
	}
	now := o.now()
	o.mu.Lock()
	o.table.MergeLive(now, set)
	o.mu.Unlock()
	signal(o.dirty)
	o.listener.LiveList(set)
}

// reportLoop reads the watched servers.
func (o *Observer) reportLoop(ctx context.Context) error {
	for {
		o.readWatched(ctx)
		if !pause(ctx, spread(o.cfg.ReportInterval)) {
			return nil
		}
	}
}

func (o *Observer) readWatched(ctx context.Context) {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(readsAtOnce)
	for _, s := range o.watched() {
		group.Go(func() error {
			_, _ = o.Read(ctx, s)
			return nil
		})
	}
	_ = group.Wait()
}

// Read reads one server's report afresh and takes it in. Reads of one server
// follow one another.
func (o *Observer) Read(ctx context.Context, s port.Server) (port.Report, error) {
	lock, _ := o.reads.LoadOrStore(s.ID, &sync.Mutex{})
	lock.(*sync.Mutex).Lock()
	defer lock.(*sync.Mutex).Unlock()
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := o.deps.Engine.Report(ctx, s)
	if err != nil {
		metrics.GetOrRegisterCounter("reports.failed", o.deps.Metrics).Inc(1)
		return port.Report{}, err
	}
	now := o.now()
	o.mu.Lock()
	fresh := o.table.MergeReport(now, s, report)
	known, _ := o.table.Server(now, s.ID)
	o.mu.Unlock()
	if fresh {
		signal(o.dirty)
		signal(o.push)
	}
	// Another instance may have passed the same report on before. Only what was
	// read here proves anything to the listener.
	if fresh || known.Report.Incarnation == report.Incarnation && known.Report.Sequence == report.Sequence {
		o.listener.ReportRead(report)
	}
	return report, nil
}

// ZoneServers returns what is known of the zone's backend servers now.
func (o *Observer) ZoneServers() []membership.ServerView {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.Servers(o.now(), o.cfg.Self.Zone)
}

// Server returns what is known of one backend server.
func (o *Observer) Server(id port.ServerID) (membership.ServerView, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.Server(o.now(), id)
}

// watched returns the engines of the zone that this instance reads.
func (o *Observer) watched() []port.Server {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.now()
	var servers []port.Server
	for _, id := range o.table.Watched(now) {
		if v, known := o.table.Server(now, id); known && v.Server.Kind == port.KindEngine {
			servers = append(servers, v.Server)
		}
	}
	return servers
}
