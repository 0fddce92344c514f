package app

import (
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"github.com/cyclamenhoist/cyclamenhoist/internal/clientguard"
	"github.com/cyclamenhoist/cyclamenhoist/internal/gateway"
	"github.com/cyclamenhoist/cyclamenhoist/internal/settings"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/bytebudget"
)

const (
	// operatorConnections and peerConnections limit the connections of these listeners. A zone has some
	// dozen instances, each of which opens a few; a region up to 320.
	operatorConnections = 256
	peerConnections     = 4096
)

// guards protect the listeners of an instance.
type guards struct {
	budget                    *bytebudget.Budget
	callers, operators, peers *clientguard.Guard
}

// newGuards derives the memory for callers from the limits on bodies and connections, since the settings
// don't state that of the machine.
func newGuards(s *settings.Settings, logger *log.Logger, registry metrics.Registry) *guards {
	connections := int64(s.Callers.MaxConnections+operatorConnections+peerConnections) * clientguard.ConnectionBytes
	budget := bytebudget.New(max(gateway.DefaultConfig().MaxInProgressBytes+connections, 2*connections))
	clientguard.RegisterBudget(budget, registry)
	raw := func(name string, most int) *clientguard.Guard {
		return clientguard.New(clientguard.Config{
			Listener: name, MaxConnections: most, Raw: true, Budget: budget, Log: logger, Registry: registry,
		})
	}
	limits := clientguard.Limits{
		MaxHeaderBytes: int64(s.Callers.MaxHeaderBytes), HeaderTimeout: s.Callers.HeaderTimeout.D(), IdleTimeout: s.Callers.IdleTimeout.D(),
	}
	return &guards{
		budget: budget, operators: raw("operators", operatorConnections), peers: raw("peers", peerConnections),
		callers: clientguard.New(clientguard.Config{
			Listener: "callers", MaxConnections: s.Callers.MaxConnections, Budget: budget, Log: logger, Registry: registry,
			Limits: func() clientguard.Limits { return limits },
		}),
	}
}
