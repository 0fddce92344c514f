package fleetapp

import (
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"github.com/cyclamenhoist/cyclamenhoist/internal/edge"
)

// unservedServices reports the services of which no server accepts requests of this instance, so that
// all their requests are refused. It isn't safe for concurrent use.
type unservedServices struct {
	log   *log.Logger
	gauge metrics.Gauge
	// servers is how many servers each service had at the last review at which it had any, and since is
	// when a review first found it without.
	servers map[string]int
	since   map[string]time.Time
}

func newUnservedServices(logger *log.Logger, registry metrics.Registry) *unservedServices {
	return &unservedServices{
		log: logger, gauge: metrics.NewRegisteredGauge("services_unserved", registry), servers: map[string]int{}, since: map[string]time.Time{},
	}
}

// review compares the services of the manifest with the servers in a view.
func (u *unservedServices) review(view *edge.View, now time.Time) {
	if view == nil || view.Manifest == nil {
		return
	}
	counts := view.Services()
	for name := range view.Manifest.Services {
		since, unserved := u.since[name]
		switch servers := counts[name].Servers; {
		case servers == 0 && !unserved:
			u.since[name] = now
			u.log.Warn().Str("service", name).Int("servers", u.servers[name]).Msg("service_unserved")
		case servers > 0:
			u.servers[name] = servers
			if unserved {
				delete(u.since, name)
				u.log.Info().Str("service", name).Dur("for", now.Sub(since)).Msg("service_served")
			}
		}
	}
	for name := range u.since {
		if _, known := view.Manifest.Services[name]; !known {
			delete(u.since, name)
		}
	}
	u.gauge.Update(int64(len(u.since)))
}
