package recorder

import "time"

// counterBits is the width of the counter below the milliseconds of a stamp.
const counterBits = 16

// Clock is a hybrid logical clock. It is not safe for concurrent use: only the
// control goroutine advances it.
type Clock struct {
	Last uint64
}

// Now returns a stamp for a local event. It is later than every stamp returned
// or observed before, and not earlier than the wall clock.
func (c *Clock) Now(wall time.Time) uint64 {
	stamp := uint64(wall.UnixMilli()) << counterBits
	if stamp <= c.Last {
		stamp = c.Last + 1
	}
	c.Last = stamp
	return stamp
}

// Observe takes account of a stamp that arrived in a message, so that events
// after the message are ordered after those before it.
func (c *Clock) Update(stamp uint64) {
	c.Last = max(c.Last, stamp)
}

// Wall returns the wall clock part of a stamp.
func WallTime(stamp uint64) time.Time {
	return time.UnixMilli(int64(stamp >> counterBits))
}
