// Package fleetsim models deployments on the platform in virtual time: engines with
// batches, models that are swapped in and out, arrivals that move from model to model,
// and clients that come back. It drives the code that decides in production
// (pkg/demand, pkg/modelplan, pkg/serverpick, pkg/slotturns) and compares it with
// baselines and with a bound that no policy passes.
//
// Left out: entry instances (one stands for all), zones, adapters, prompt parts that
// are kept, the memory of prompts, and all faults.
//
// The same seed gives the same bytes.
package fleetsim
