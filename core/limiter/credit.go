package limiter

import (
	"sync/atomic"
	"time"
)

const (
	// creditTerm is how long a report is believed. The estimate falls to zero
	// over this time, because others use the peer's slots too.
	creditTerm = 500 * time.Millisecond
	// creditProbe is the least time between two tries at a peer that is not
	// known to have free slots.
	creditProbe = 20 * time.Millisecond
	// creditBits is the width of the count; the rest of the word is the time in
	// microseconds.
	creditBits = 12
	creditMask = 1<<creditBits - 1
)

// Credit estimates the free slots of a service at a peer. Its zero value is
// unknown and gives one try at a time.
type Credit struct {
	word atomic.Uint64
	// probe is the time of the next try without a known free slot.
	probe atomic.Int64
}

// Set records the number of free slots that the peer reported. A report that is
// older than the one in use is ignored.
func (c *Credit) Set(free int, now int64) {
	stamp := uint64(now) / 1000 << creditBits
	word := stamp | uint64(min(max(free, 0), creditMask))
	for {
		old := c.word.Load()
		if old&^creditMask > stamp {
			return
		}
		if c.word.CompareAndSwap(old, word) {
			break
		}
	}
	if free <= 0 {
		c.probe.Store(now + int64(creditProbe))
	}
}

// Take uses one credit up.
func (c *Credit) Take(now int64) bool {
	for {
		w := c.word.Load()
		if estimate(w, now) <= 0 {
			break
		}
		if c.word.CompareAndSwap(w, w-1) {
			return true
		}
	}
	probe := c.probe.Load()
	return now >= probe && c.probe.CompareAndSwap(probe, now+int64(creditProbe))
}

// Free returns the estimate at the given time. It is 1 when a try is due at a
// peer without known free slots.
func (c *Credit) Free(now int64) int {
	if n := estimate(c.word.Load(), now); n > 0 {
		return n
	}
	if now >= c.probe.Load() {
		return 1
	}
	return 0
}

// estimate returns the number of free slots, rounded up, that are left of a
// report as it ages.
func estimate(word uint64, now int64) int {
	free := int64(word & creditMask)
	age := now - int64(word>>creditBits)*1000
	if free == 0 || age >= int64(creditTerm) {
		return 0
	}
	left := int64(creditTerm) - max(0, age)
	return int((free*left + int64(creditTerm) - 1) / int64(creditTerm))
}
