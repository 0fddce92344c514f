// Package gateway accepts the requests of callers and gives each exactly one of
// three endings: answered; refused, in which case it wasn't executed; or
// unknown, in which case it may have been executed.
//
// A request passes a chain of filters: identify, classify, setDeadline, admit,
// deduplicate, forward. A filter either passes the call to the next filter or
// returns a *problem.Problem, which the gateway sends to the caller at once.
// Each request reads one immutable View and acquires no lock that requests for
// other models acquire.
package gateway
