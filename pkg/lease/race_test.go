//go:build race

package lease

// maxStates bounds one exploration; CYCLAMENHOIST_EXPLORE_STATES raises it. The
// race detector makes a state ten times as slow and finds nothing in code that
// starts no goroutine.
const maxStates = 1_000
