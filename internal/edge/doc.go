// Package edge serves the client requests of a platform deployment. It matches each
// request to a route, waits for a server that holds the requested model, forwards the
// request and answers the client without claiming more than it knows about the execution.
//
// The processing stages of a request: serve.go (accept, route, read the body), run.go (make
// attempts until one succeeds), wait.go (select a server or refuse), attempt.go (one exchange
// with a server), handover.go (the attempts that may still answer), stream.go and buffered.go
// (forward events, or a whole answer), outcome.go (answer the client when no server's answer
// was forwarded).
//
// Invariants:
//   - Requests are routed by immutable Views, which they read without a lock.
//   - A request that may have been executed is never answered as not executed.
//   - A run is ended for another server only once that one has begun to answer.
//   - The client receives the events of a stream whole, in order and exactly once.
package edge
