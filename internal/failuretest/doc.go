// Package failuretest tests whole entry instances under failure. Several of them
// run in one process on loopback, on stand-ins of the platform; tests pause,
// kill, replace and cut them off, and judge by what the stand-ins counted and by
// how every caller's request ended.
package failuretest
