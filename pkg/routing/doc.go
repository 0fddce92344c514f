// Package routing picks the backend server for a request.
//
// Router reads one immutable Snapshot through an atomic pointer: which servers
// hold which model ready, by zone. Builder makes the next snapshot from changes
// of membership and copies only what the change touches. The numbers that change
// with each request (in flight, latency, limit, ejection) live in ServerStats, as
// atomics, and outlive snapshots; a snapshot only points to them. A pick takes no
// lock and allocates nothing.
//
// A pick filters, scores and picks: the better of two candidates taken at random,
// or the one that is likely to have the prompt's prefix cached while its queue
// costs less than the prefix saves. Candidates of the caller's zone go first.
package routing
