package jktimer

import (
	"time"

	"golang.org/x/sys/unix"
)

// uptime reads CLOCK_BOOTTIME. The monotonic clock of package time doesn't count the time for which
// the machine was suspended.
func uptime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// The call fails only where the kernel has no such clock, and any other would make knowledge
		// look younger than it is.
		panic(err)
	}
	return time.Duration(t.Nano())
}
