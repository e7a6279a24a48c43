package recorder

import "time"

// counterBits is the number of low bits of a stamp that hold the counter.
const counterBits = 16

// Clock is a hybrid logical clock. It is not safe for concurrent use: only the
// control goroutine advances it.
type Clock struct {
	Last uint64
}

// Now returns the stamp of a local event. It is greater than every stamp returned
// by Now or passed to Update before, and not earlier than the wall clock.
func (c *Clock) Now(wall time.Time) uint64 {
	stamp := uint64(wall.UnixMilli()) << counterBits
	if stamp <= c.Last {
		stamp = c.Last + 1
	}
	c.Last = stamp
	return stamp
}

// Update advances the clock to a stamp received in a message, so that later local
// events are ordered after the events that preceded the message.
func (c *Clock) Update(stamp uint64) {
	c.Last = max(c.Last, stamp)
}

// WallTime returns the wall clock part of a stamp.
func WallTime(stamp uint64) time.Time {
	return time.UnixMilli(int64(stamp >> counterBits))
}
