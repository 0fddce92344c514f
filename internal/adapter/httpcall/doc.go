// Package httpcall sends one HTTP request at most once and tells precisely what
// a failure proves.
//
// net/http sends some requests again by itself when a kept-alive connection
// turns out to be dead: those with an idempotent method and, less known, every
// request with an Idempotency-Key header whose body can be rewound. For work
// that must run at most once this is a silent second run. Send watches the
// connections that a request is given, and ends a second one before anything can
// be written to it, unless it is proved that nothing was written to the first.
//
// A failure is port.ErrNotSent only where no byte of the request was handed to
// the operating system and none can be any more: the connections of NewTransport
// are sealed when a call fails, so that a writer still at work can't write after
// the verdict. Every other failure is port.ErrUnknownOutcome.
package httpcall
