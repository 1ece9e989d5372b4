package entry

import (
	"time"

	"golang.org/x/sys/unix"
)

// start is the origin of steady.
var start = time.Now()

// steady reads the clock of requests: it does not count suspended time.
func steady() time.Duration { return time.Since(start) }

// leaseClock reads the clock of leases and grants: it goes on while the machine
// is suspended, and is no time of day.
func leaseClock() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // the kernel has had this clock since 2.6.39
	}
	return time.Duration(ts.Nano())
}
