package fleetapp

import (
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"github.com/cyclamenhoist/cyclamenhoist/internal/clientguard"
	"github.com/cyclamenhoist/cyclamenhoist/internal/edge"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/bytebudget"
)

const (
	// clientMemoryRatio is what clients may use of the machine's memory. Half of memoryLimitRatio is
	// left for the instance itself, which takes 30 MB of 144, and for bytes that are released and not
	// collected yet.
	clientMemoryRatio = 0.25
	// readinessConnections and metricsConnections limit the connections of these listeners. A load
	// balancer needs one, and one for each instance that it consists of.
	readinessConnections = 128
	metricsConnections   = 64
	// diagnosticHeaderBytes and diagnosticFields limit the heads on both, which state no account and no
	// prompt. With fewer fields than fit into the bytes, most large heads are refused before any field
	// is parsed, which takes much of a core in a flood of connections.
	diagnosticHeaderBytes = 4 << 10
	diagnosticFields      = 64
	// fileDescriptors are reserved for files, and peerShare is the part for other instances: the
	// holder has some connections of each of them, one for each call in progress, of up to 300 instances.
	fileDescriptors = 200
	peerShare       = 2.0 / 5
	// peerMemoryShare is that part of the memory for connections.
	peerMemoryShare = 1.0 / 2
	// minConnections is the least limit of a listener, whatever the settings.
	minConnections = 16
)

// guards protect the listeners of an instance.
type guards struct {
	budget                             *bytebudget.Budget
	clients, readiness, metrics, peers *clientguard.Guard
}

func newBudget(s *Settings, registry metrics.Registry) *bytebudget.Budget {
	b := bytebudget.New(int64(clientMemoryRatio * s.Machine.MemoryMB * (1 << 20)))
	clientguard.RegisterBudget(b, registry)
	return b
}

// connectionLimits returns the limits on the connections of clients and of other instances. Together with
// those of the other listeners they fit into the memory for connections, so that clients can't take the
// place of load balancers and instances. Each request of a client needs a connection to a server.
func connectionLimits(maxFDs int, budget *bytebudget.Budget) (clients, peers int) {
	byMemory := int(budget.Max(bytebudget.Connections)/clientguard.ConnectionBytes) - readinessConnections - metricsConnections
	peers = max(int(peerMemoryShare*float64(byMemory)), minConnections)
	clients = byMemory - peers
	if maxFDs > 0 {
		peers = min(peers, max(int(peerShare*float64(maxFDs)), minConnections))
		clients = min(clients, (maxFDs-fileDescriptors-peers-readinessConnections-metricsConnections)/2)
	}
	return max(clients, minConnections), peers
}

func newGuards(s *Settings, views *edge.Views, e *edge.Edge, budget *bytebudget.Budget, logger *log.Logger, registry metrics.Registry) *guards {
	clients, peers := connectionLimits(s.Machine.MaxFDs, budget)
	ofClients := clientguard.Config{
		Listener: "front", MaxConnections: clients, Budget: budget, Refuse: e.Refuse, Log: logger, Registry: registry,
		Limits: func() clientguard.Limits {
			manifest := views.Load().Manifest
			if manifest == nil {
				return clientguard.Limits{}
			}
			l := manifest.Limits
			return clientguard.Limits{MaxHeaderBytes: l.MaxHeaderBytes, HeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout}
		},
	}
	readiness := ofClients
	readiness.Listener, readiness.MaxConnections, readiness.Refuse = "readiness", readinessConnections, nil
	readiness.Limits = func() clientguard.Limits {
		return clientguard.Limits{MaxHeaderBytes: diagnosticHeaderBytes, MaxFields: diagnosticFields}
	}
	diagnostics := readiness
	diagnostics.Listener, diagnostics.MaxConnections = "metrics", metricsConnections
	return &guards{
		budget:  budget,
		clients: clientguard.New(ofClients), readiness: clientguard.New(readiness), metrics: clientguard.New(diagnostics),
		peers: clientguard.New(clientguard.Config{
			Listener: "peers", MaxConnections: peers, Raw: true, Budget: budget, Log: logger, Registry: registry,
		}),
	}
}
