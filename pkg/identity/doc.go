// Package identity ensures that each non-repeatable request runs at most once, even
// if the request arrives several times and at several instances.
//
// The identity of a request is derived from its idempotency key. Each identity
// has up to three owners among the eligible instances of all zones. Rendezvous
// hashing selects the owners, in different zones if there are enough zones. A
// request runs only after a majority of the owners has granted its identity to
// it. Any two majorities share an owner, and an owner grants an identity once.
//
// Instances can disagree about which instances are eligible. A claim therefore
// needs grants in every member list that another instance can still be using:
// the current list and the recently superseded ones (see History).
//
// Table holds the identities of one owner, Round is the state machine of one
// claim, and History holds the member lists. None of them does I/O or starts
// goroutines. Store makes a Table safe for concurrent use, and Claimer runs
// rounds over a transport.
package identity
