package executor

import "time"

// Clock gives the time of this process: the wall clock at its start plus the
// monotonic time since then. Leases and deadlines depend on it, so a step of
// the wall clock must not move it; the slewing that keeps machines close to
// each other does.
type Clock struct {
	base  time.Time
	start time.Time
}

// NewClock starts a clock.
func NewClock() Clock {
	now := time.Now()
	return Clock{base: now.Round(0), start: now}
}

// Now returns the time. It carries no monotonic reading of its own.
func (c Clock) Now() time.Time { return c.base.Add(time.Since(c.start)) }

// UnixNano returns the time in Unix nanoseconds.
func (c Clock) UnixNano() int64 { return c.Now().UnixNano() }
