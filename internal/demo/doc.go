// Package demo runs stand-ins of the platform and entry instances in one process
// on loopback, and a burst that checks the promises against what the stand-ins
// counted.
package demo
