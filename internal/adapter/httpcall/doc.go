// Package httpcall sends an HTTP request at most once and reports whether a failed
// request can have had an effect.
//
// net/http retries some requests by itself when a kept-alive connection turns out
// to be dead: those with an idempotent method and, less well known, every request
// with an Idempotency-Key header whose body can be rewound. For work that must run
// at most once such a retry is an unnoticed second run. Send traces the connections
// that net/http uses for a request, and closes a second one before anything can be
// written to it, unless it is certain that nothing was written to the first.
//
// A failure is port.ErrNotSent only if no byte of the request was passed to the
// operating system and none can be afterwards: the connections of NewTransport are
// sealed when a call fails, so that a concurrent writer can't write once the error
// is returned. Every other failure is port.ErrUnknownOutcome.
package httpcall
