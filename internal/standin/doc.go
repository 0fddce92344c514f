// Package standin takes the platform's place in tests, in the demonstration and
// in trials by hand: a log service, a weight store, a live list, model engines
// and plain services, each on its own TCP listener, with faults that can be
// switched while they run.
//
// The stand-ins keep the promises of the real services and no more. What an
// engine answers is a pure function of the request (see Answer), so that a caller
// can compare answers byte for byte; what it loaded, how often and how much
// memory that took is counted where it happens, so that tests need not trust the
// system's own books.
package standin
