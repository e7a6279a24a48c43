package limiter

import (
	"sync/atomic"
	"time"
)

const (
	// creditTerm is how long a report is believed. The estimate falls to zero
	// over this time, because others use the peer's slots too.
	creditTerm = 500 * time.Millisecond
	// creditPause is the first pause between two tries at a peer that is not known
	// to have free slots. Refusals lengthen and answers shorten it within the
	// bounds, so that about one try in seven succeeds. Fewer tries leave slots
	// unused when all are in demand, more find hardly any.
	creditPause    = 10 * time.Millisecond
	creditShortest = 2 * time.Millisecond
	creditLongest  = 100 * time.Millisecond
	// creditBits is the width of the count; the rest of the word is the time in
	// microseconds.
	creditBits = 12
	creditMask = 1<<creditBits - 1
)

// Credit estimates the free slots of a service at a peer. Its zero value is
// unknown and gives one try at a time.
type Credit struct {
	word atomic.Uint64
	// probe is the time of the next try without a known free slot, pause the
	// present pause between two such tries; 0 stands for creditPause.
	probe, pause atomic.Int64
}

// Set records the number of free slots that the peer reported with an answer. A
// report that is older than the one in use is ignored.
func (c *Credit) Update(free int, now int64) {
	c.stretch(1, 2)
	c.set(free, now)
}

// Refused records that the peer refused a request because it had no free slot.
func (c *Credit) RecordRefusal(now int64) {
	c.stretch(9, 8)
	c.set(0, now)
	c.probe.Store(now + c.pauseNow())
}

// stretch multiplies the pause by a fraction.
func (c *Credit) stretch(numerator, denominator int64) {
	p := c.pauseNow() * numerator / denominator
	c.pause.Store(min(max(p, int64(creditShortest)), int64(creditLongest)))
}

func (c *Credit) pauseNow() int64 {
	if p := c.pause.Load(); p > 0 {
		return p
	}
	return int64(creditPause)
}

func (c *Credit) set(free int, now int64) {
	stamp := uint64(now) / 1000 << creditBits
	word := stamp | uint64(min(max(free, 0), creditMask))
	for {
		old := c.word.Load()
		if old&^creditMask > stamp {
			return
		}
		if c.word.CompareAndSwap(old, word) {
			return
		}
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
	return now >= probe && c.probe.CompareAndSwap(probe, now+c.pauseNow())
}

// Free returns the estimate at the given time. It is 1 when a try is due at a
// peer without known free slots.
func (c *Credit) Free(now int64) int {
	if n := estimate(c.word.Load(), now); n > 0 {
		return n
	}
	if c.ProbeDue(now) {
		return 1
	}
	return 0
}

// Known returns the estimate of a report that is still believed, or -1.
func (c *Credit) Reported(now int64) int {
	w := c.word.Load()
	if now-creditTime(w) >= int64(creditTerm) {
		return -1
	}
	return estimate(w, now)
}

// Due tells whether a try at a peer without known free slots is due.
func (c *Credit) ProbeDue(now int64) bool { return now >= c.probe.Load() }

func creditTime(word uint64) int64 { return int64(word>>creditBits) * 1000 }

// estimate returns the number of free slots, rounded up, that are left of a
// report as it ages.
func estimate(word uint64, now int64) int {
	free := int64(word & creditMask)
	age := now - creditTime(word)
	if free == 0 || age >= int64(creditTerm) {
		return 0
	}
	left := int64(creditTerm) - max(0, age)
	return int((free*left + int64(creditTerm) - 1) / int64(creditTerm))
}
