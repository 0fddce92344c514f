// Package fleetsim is a discrete-event simulation of deployments on the platform. It
// simulates engines that batch requests, models that are loaded and unloaded, arrivals
// whose popular models change, and clients that retry after a refusal. It runs the
// decision code of production (pkg/demand, pkg/modelplan, pkg/serverpick,
// pkg/slotqueue) and compares it with baselines and with an upper bound on the worth
// that any policy can earn.
//
// The simulation has a single entry instance. It doesn't model zones, adapters, cached
// prompt prefixes, the memory that prompts occupy, and faults.
//
// The same seed gives the same output, byte for byte.
package fleetsim
