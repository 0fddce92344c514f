// Package routing selects the backend server for a request.
//
// Router reads an immutable Snapshot through an atomic pointer. A snapshot lists the
// servers on which each model is ready, ordered by zone. Builder derives the next
// snapshot from membership changes and copies only the parts that changed. Values that
// change with each request (requests in flight, latency, limit, ejection) are atomics in
// ServerStats; snapshots only point to them, so that they outlive a snapshot. A pick
// acquires no lock and allocates no memory.
//
// A pick filters the candidates, estimates their cost and selects the better of two
// random candidates. It prefers a candidate that probably has the prefix of the prompt
// cached as long as its queue costs less than the cached prefix saves. Candidates in the
// caller's zone have precedence.
package routing
