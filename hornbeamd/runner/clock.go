package runner

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock is the clock of a process. It counts the time for which the instance is
// suspended, so that whatever has run out meanwhile has run out for the process
// as well.
type Clock struct{ start int64 }

// NewClock returns a clock that starts now.
func NewClock() Clock { return Clock{start: boottime()} }

// Now is the time in nanoseconds since the start. It is never zero.
func (c Clock) Now() int64 { return boottime() - c.start + 1 }

// began is the base of the fallback.
var processStart = time.Now()

// boottime is the time since the instance has booted. Where the kernel does not
// tell it, suspended time is not counted.
func boottime() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return int64(time.Since(processStart))
	}
	return t.Nano()
}
