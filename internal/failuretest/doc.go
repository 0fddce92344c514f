// Package failuretest holds end-to-end tests of entry instances under injected
// faults. Several instances run in one process on loopback, against stand-ins of
// the platform services (package standin). The tests pause, kill, replace and
// partition instances, and check the counters of the stand-ins and the outcome of
// every request.
package failuretest
