// Package queue holds requests that wait for a model to become ready or for a
// backend server to have room.
//
// A Queue is pure state for one model: flows of one class and caller take turns
// in proportion to their weights, and within a flow the earliest deadline goes
// first. A Set keeps one Queue per key behind its own lock, so that models
// don't contend, and bounds all of them together with atomic counters.
package queue
