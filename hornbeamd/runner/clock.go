package runner

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock is a monotonic clock that includes the time for which the machine is
// suspended, so that whatever expires during a suspension is found expired after it.
type Clock struct{ start int64 }

// NewClock returns a Clock that starts now.
func NewClock() Clock { return Clock{start: boottime()} }

// Now returns the nanoseconds since the clock's start. It is never zero.
func (c Clock) Now() int64 { return boottime() - c.start + 1 }

// processStart is the origin of the fallback in boottime.
var processStart = time.Now()

// boottime returns the nanoseconds since the machine booted. Without
// CLOCK_BOOTTIME, it returns the time since the process started, without suspended
// time.
func boottime() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return int64(time.Since(processStart))
	}
	return t.Nano()
}
