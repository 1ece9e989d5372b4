package entry

import (
	"time"

	"golang.org/x/sys/unix"
)

// processStart is the origin of steadyClock.
var processStart = time.Now()

// steadyClock reads the monotonic clock used for requests. It stops while the
// machine is suspended.
func steadyClock() time.Duration { return time.Since(processStart) }

// leaseClock reads the monotonic clock used for leases and grants. It keeps
// running while the machine is suspended, and is not a time of day.
func leaseClock() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // CLOCK_BOOTTIME exists since Linux 2.6.39
	}
	return time.Duration(ts.Nano())
}
