package limiter

import (
	"sync/atomic"
	"time"
)

const (
	// reportTTL is how long a report is valid. The estimate falls to zero over
	// this time, because others use the peer's slots too.
	reportTTL = 500 * time.Millisecond
	// initialProbeInterval is the initial time between two probing requests to a
	// peer that is not known to have free slots. Refusals lengthen and responses
	// shorten it within the bounds, so that about one probe in seven succeeds.
	// Fewer probes leave slots unused when all are in demand; more find hardly
	// any.
	initialProbeInterval = 10 * time.Millisecond
	minProbeInterval     = 2 * time.Millisecond
	maxProbeInterval     = 100 * time.Millisecond
	// countBits is the width of the count; the remaining bits of the word hold
	// the time in microseconds.
	countBits = 12
	countMask = 1<<countBits - 1
)

// Credit is the sender's side of a credit-based flow control: it estimates the
// free slots of a service at a peer. Its zero value has no report and allows one
// probing request at a time.
type Credit struct {
	word atomic.Uint64
	// nextProbe is the time of the next probing request without a known free
	// slot, probeInterval the current time between two of them; 0 stands for
	// initialProbeInterval.
	nextProbe, probeInterval atomic.Int64
}

// Update records the number of free slots that the peer reported in a response.
// A report that is older than the current one is ignored.
func (c *Credit) Update(free int, now int64) {
	c.scaleProbeInterval(1, 2)
	c.storeReport(free, now)
}

// RecordRefusal records that the peer refused a request because it had no free
// slot.
func (c *Credit) RecordRefusal(now int64) {
	c.scaleProbeInterval(9, 8)
	c.storeReport(0, now)
	c.nextProbe.Store(now + c.currentProbeInterval())
}

// scaleProbeInterval multiplies the probe interval by a fraction.
func (c *Credit) scaleProbeInterval(numerator, denominator int64) {
	p := c.currentProbeInterval() * numerator / denominator
	c.probeInterval.Store(min(max(p, int64(minProbeInterval)), int64(maxProbeInterval)))
}

func (c *Credit) currentProbeInterval() int64 {
	if p := c.probeInterval.Load(); p > 0 {
		return p
	}
	return int64(initialProbeInterval)
}

func (c *Credit) storeReport(free int, now int64) {
	stamp := uint64(now) / 1000 << countBits
	word := stamp | uint64(min(max(free, 0), countMask))
	for {
		old := c.word.Load()
		if old&^countMask > stamp {
			return
		}
		if c.word.CompareAndSwap(old, word) {
			return
		}
	}
}

// Take takes one slot or a due probe, and reports whether the request may be
// sent.
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
	probe := c.nextProbe.Load()
	return now >= probe && c.nextProbe.CompareAndSwap(probe, now+c.currentProbeInterval())
}

// Free returns the estimate at the given time. It is 1 when a probing request is
// due at a peer without known free slots.
func (c *Credit) Free(now int64) int {
	if n := estimate(c.word.Load(), now); n > 0 {
		return n
	}
	if c.ProbeDue(now) {
		return 1
	}
	return 0
}

// Reported returns the estimate if the report is still valid, and -1 otherwise.
func (c *Credit) Reported(now int64) int {
	w := c.word.Load()
	if now-reportTime(w) >= int64(reportTTL) {
		return -1
	}
	return estimate(w, now)
}

// ProbeDue reports whether a probing request to a peer without known free slots
// is due.
func (c *Credit) ProbeDue(now int64) bool { return now >= c.nextProbe.Load() }

func reportTime(word uint64) int64 { return int64(word>>countBits) * 1000 }

// estimate returns the number of free slots in a report, scaled down linearly
// with its age and rounded up.
func estimate(word uint64, now int64) int {
	free := int64(word & countMask)
	age := now - reportTime(word)
	if free == 0 || age >= int64(reportTTL) {
		return 0
	}
	left := int64(reportTTL) - max(0, age)
	return int((free*left + int64(reportTTL) - 1) / int64(reportTTL))
}
