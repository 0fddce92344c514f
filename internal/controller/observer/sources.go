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
	// readsPerSecond limits the average rate of periodic reads of backend
	// servers.
	readsPerSecond = 12
	// maxConcurrentReads limits the concurrent reads of backend servers.
	maxConcurrentReads = 64
	// jitterFraction is the width of the jitter relative to an interval. The
	// jitter prevents instances that started together from staying
	// synchronised.
	jitterFraction = 0.2
)

func withJitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - jitterFraction/2 + jitterFraction*rand.Float64()))
}

// liveLoop periodically reads the live list and announces this instance to it.
func (o *Observer) liveLoop(ctx context.Context) error {
	for {
		o.pollLiveList(ctx)
		if !pause.For(ctx, withJitter(o.cfg.LiveInterval)) {
			return nil
		}
	}
}

func (o *Observer) pollLiveList(ctx context.Context) {
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
	signal(o.publishNow)
	o.listener.LiveList(set)
}

// reportLoop periodically reads the watched servers.
func (o *Observer) reportLoop(ctx context.Context) error {
	for {
		servers := o.watchedEngines()
		o.readReports(ctx, servers)
		if !pause.For(ctx, withJitter(readInterval(o.cfg.ReportInterval, len(servers)))) {
			return nil
		}
	}
}

// readInterval returns the interval between periodic reads. For many servers it
// exceeds the configured interval, so that the instance stays within its share
// of the control traffic.
func readInterval(interval time.Duration, servers int) time.Duration {
	return max(interval, time.Duration(servers)*time.Second/readsPerSecond)
}

func (o *Observer) readReports(ctx context.Context, servers []port.Server) {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentReads)
	for _, s := range servers {
		group.Go(func() error {
			_, _ = o.Read(ctx, s)
			return nil
		})
	}
	_ = group.Wait()
}

// Read reads the report of one server and merges it into the observed state.
// Concurrent reads of one server run one after another. It returns the error of
// the engine, or of ctx.
func (o *Observer) Read(ctx context.Context, s port.Server) (port.Report, error) {
	lock, _ := o.readLocks.LoadOrStore(s.ID, &sync.Mutex{})
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
	// Cache events are too numerous to be sent to other instances. Each
	// instance uses only those that it reads itself.
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
		signal(o.publishNow)
		signal(o.pushNow)
	}
	// The table may already have this report from another instance. Only a
	// report that was read from the server itself is evidence for the listener.
	if fresh || known.Report.Incarnation == report.Incarnation && known.Report.Sequence == report.Sequence {
		o.listener.ReportRead(report)
	}
	return report, nil
}

// RequestReport reads a server outside the periodic reads, for example when its
// behaviour contradicts the observed state. At most one such read of a server
// runs at a time.
func (o *Observer) RequestReport(s port.Server) {
	if _, running := o.extraReads.LoadOrStore(s.ID, true); running {
		return
	}
	go func() {
		defer o.extraReads.Delete(s.ID)
		_, _ = o.Read(context.Background(), s)
	}()
}

// Servers returns the current view of all backend servers.
func (o *Observer) Servers() []membership.ServerView {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.Servers(o.now(), "")
}

// ZoneServers returns the current view of the backend servers of the zone.
func (o *Observer) ZoneServers() []membership.ServerView {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.Servers(o.now(), o.cfg.Self.Zone)
}

// Slots returns the limit of concurrent requests from this instance to a
// server, or zero if the server is unknown.
func (o *Observer) Slots(id port.ServerID) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	if stats := o.builder.Stats(id); stats != nil {
		return int(stats.Limit())
	}
	return 0
}

// Server returns the current view of one backend server, and false if it is
// unknown.
func (o *Observer) Server(id port.ServerID) (membership.ServerView, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.Server(o.now(), id)
}

// watchedEngines returns the engines of the zone that this instance reads
// periodically.
func (o *Observer) watchedEngines() []port.Server {
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
