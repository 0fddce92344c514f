// Package experiment measures the placement and keep-alive decisions in virtual
// time against baselines. Its whole model is arrival traces, the memory of the
// servers and the speeds of the tiers; the decisions come from pkg/placement,
// pkg/ledger, pkg/share and pkg/keepalive as the daemon uses them. The same seed
// gives the same output, byte for byte.
//
// Each policy serves the same traces in the same run:
//
//   - history: pkg/keepalive at the deployment's cold_start_weight
//   - fixed_10m: a model is released after 10 minutes without work
//   - lru: nothing is released until memory is needed, then the least recently
//     used model goes first
//   - on_demand: as fixed_10m, but a load starts as soon as it is asked for,
//     without order or share at the weight store
//   - oracle_keep: knows the trace and keeps a model exactly if that costs less
//     than loading it again, but loads nothing ahead
//   - oracle_ahead: as oracle_keep, and loads just in time for the next arrival
//
// All but on_demand share placement, eviction and the store's queue. The first
// days are for learning and aren't measured. A refused request counts in the
// percentiles with the longest time that it may wait, so that refusing doesn't
// look fast.
package experiment
