// Package bootclock reads the time since the machine started. Unlike the monotonic clock it
// includes suspensions.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine started, including suspensions.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since 2.6.39.
		panic("no boot-time clock: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
