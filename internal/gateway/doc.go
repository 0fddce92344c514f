// Package gateway takes the requests of callers and brings each to exactly one
// of three endings: answered, refused and not run, or unknown whether it ran.
//
// A request passes a chain of filters: identify, classify, deadline, admit,
// deduplicate, route, forward. A filter either passes the call on or returns a
// *problem.Problem, which the gateway sends at once. The path of a request
// reads one immutable view and takes no lock that calls for other models take.
package gateway
