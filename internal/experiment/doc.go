// Package experiment compares the placement and keep-alive decisions with
// baselines in a discrete-event simulation. It simulates arrival traces, the
// memory of the servers and the speeds of the tiers. The decisions are made by
// pkg/placement, pkg/ledger, pkg/share and pkg/keepalive, the code that the daemon
// uses. The same seed gives the same output, byte for byte.
//
// Each policy serves the same traces in the same run:
//
//   - history: pkg/keepalive at the deployment's cold_start_weight
//   - fixed_10m: unloads a model after 10 minutes without work
//   - lru: evicts models only when memory is needed, the least recently used
//     model first
//   - on_demand: as fixed_10m, but each load starts when it is requested, without
//     a queue or a limit at the weight store
//   - oracle_keep: a clairvoyant policy that knows the trace and keeps a model
//     loaded exactly if that costs less than loading it again; it doesn't preload
//   - oracle_ahead: a clairvoyant policy that preloads models just in time for the
//     next arrival
//
// All policies but on_demand have the same placement, eviction and queue at the
// weight store. The first days of a trace are a warm-up period that isn't measured.
// In the percentiles a refused request counts with the maximum wait, so that a
// policy doesn't look fast because it refuses requests.
package experiment
