package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// readLead returns zero if the kernel does not have the clock.
func readLead() time.Duration {
	var boot, monotonic unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - monotonic.Nano())
}
