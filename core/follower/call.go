package follower

import "time"

// ready tells whether a call may be made now. A call that got no answer by its
// deadline doesn't block the next one.
func (c *CallState) ready(now time.Time) bool {
	if c.InProgress && now.Before(c.Deadline) {
		return false
	}
	return !now.Before(c.NotBefore)
}

func (c *CallState) begin(until time.Time) {
	c.InProgress = true
	c.Deadline = until
}

// end notes the result and sets the backoff. The seed jitters it, so that the
// instances don't call all at once when the platform returns.
func (c *CallState) end(now time.Time, failed bool, seed uint64) {
	c.InProgress = false
	if !failed {
		c.Failures = 0
		c.NotBefore = now.Add(MinInterval)
		return
	}
	backoff := min(MinBackoff<<min(c.Failures, 10), MaxBackoff)
	c.Failures++
	c.NotBefore = now.Add(backoff/2 + jitter(seed, c.Failures, backoff/2))
}

// jitter returns a deterministic fraction of the span.
func jitter(seed uint64, try uint, span time.Duration) time.Duration {
	x := (seed + uint64(try)) * 0x9e3779b97f4a7c15
	return time.Duration(float64(span) * float64(x>>40) / float64(1<<24))
}
