// Package queue holds requests that wait for a model to become ready or for a backend
// server to have free capacity.
//
// A Queue is the state of one model without locks or clocks. Flows, one per class and
// caller, share the service in proportion to their weights (weighted fair queueing);
// within a flow the request with the earliest deadline goes first. A Set holds one Queue
// per key, each behind its own lock, so that models do not contend. Atomic counters limit
// the total of all queues.
package queue
