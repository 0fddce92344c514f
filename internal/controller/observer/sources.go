package observer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/membership"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/pause"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/routing"
)

const (
	liveTimeout   = 2 * time.Second
	reportTimeout = 2 * time.Second
	// readsPerSecond bounds the regular reads of backend servers on average.
	readsPerSecond = 12
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
		if !pause.For(ctx, spread(o.cfg.LiveInterval)) {
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
		servers := o.watched()
		o.readAll(ctx, servers)
		if !pause.For(ctx, spread(readInterval(o.cfg.ReportInterval, len(servers)))) {
			return nil
		}
	}
}

// readInterval keeps the reads of many servers within the instance's part of the
// control traffic.
func readInterval(interval time.Duration, servers int) time.Duration {
	return max(interval, time.Duration(servers)*time.Second/readsPerSecond)
}

func (o *Observer) readAll(ctx context.Context, servers []port.Server) {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(readsAtOnce)
	for _, s := range servers {
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
	events := report.CacheEvents
	// Events are too many to be passed on; each instance goes by what it reads.
	report.CacheEvents = nil
	o.mu.Lock()
	fresh := o.table.MergeReport(now, s, report)
	for _, e := range events {
		o.builder.CacheEvent(now, routing.CacheEvent{
			Server: s.ID, Sequence: e.Sequence, Prefix: e.Prefix, Stored: e.Stored, Age: time.Duration(e.AgeMS) * time.Millisecond,
		})
	}
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

// ReadSoon reads a server beside the regular reads, such as when it has shown to
// be other than known. One such read of a server runs at a time.
func (o *Observer) ReadSoon(s port.Server) {
	if _, running := o.soon.LoadOrStore(s.ID, true); running {
		return
	}
	go func() {
		defer o.soon.Delete(s.ID)
		_, _ = o.Read(context.Background(), s)
	}()
}

// Servers returns what is known of all backend servers now.
func (o *Observer) Servers() []membership.ServerView {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.Servers(o.now(), "")
}

// ZoneServers returns what is known of the zone's backend servers now.
func (o *Observer) ZoneServers() []membership.ServerView {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.Servers(o.now(), o.cfg.Self.Zone)
}

// Slots returns how many requests at once a server is given from here.
func (o *Observer) Slots(id port.ServerID) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	if stats := o.builder.Stats(id); stats != nil {
		return int(stats.Limit())
	}
	return 0
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
