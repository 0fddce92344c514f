// Package demo runs stand-ins of the platform and entry instances in one process on
// loopback. A burst of requests checks the guarantees to callers against the
// stand-ins' counters.
package demo
