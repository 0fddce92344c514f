// Package edge serves clients of a platform deployment: it matches a request to
// its route, waits for a server that holds its model, sends it, and ends it
// truthfully.
//
// The way of a request: serve.go (accept, route, body), wait.go (a server or a
// refusal), attempt.go (one exchange), stream.go (events), ending.go (what the
// client is told).
//
// Invariants:
//   - Every request reads one immutable View; no lock is shared between requests.
//   - A request that may have run is never answered as not run.
//   - A stream's events reach the client whole, in order and once.
package edge
