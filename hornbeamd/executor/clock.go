package executor

import "time"

// Clock is the clock of this process: the wall clock at process start plus the
// monotonic time since then. Leases and deadlines depend on it, so it ignores
// steps of the wall clock. It follows slewing, which keeps the clocks of
// machines close to each other.
type Clock struct {
	base  time.Time
	start time.Time
}

// NewClock returns a Clock that starts at the current wall time.
func NewClock() Clock {
	now := time.Now()
	return Clock{base: now.Round(0), start: now}
}

// Now returns the current time, without a monotonic clock reading.
func (c Clock) Now() time.Time { return c.base.Add(time.Since(c.start)) }

// UnixNano returns the time in Unix nanoseconds.
func (c Clock) UnixNano() int64 { return c.Now().UnixNano() }
