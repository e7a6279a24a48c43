package limiter

import "sync/atomic"

// A gate's word holds the busy and the limit count and a generation, so that an
// acquisition that overlaps Set is decided by the old or by the new settings
// and never by a mixture.
const (
	gateBits  = 24
	gateMask  = 1<<gateBits - 1
	gateEpoch = 1 << (2 * gateBits)
)

// Gate admits requests to one part of an upstream's slots. Its zero value
// admits nothing. At most limit requests are in flight, unless the limit was
// lowered below the number that already was; then nothing is admitted until
// enough have ended.
type Semaphore struct {
	word     atomic.Uint64
	deadline atomic.Int64
}

// Set changes the limit and the time after which nothing is admitted.
func (g *Semaphore) Set(limit int, deadline int64) {
	limit = min(max(limit, 0), gateMask)
	if g.Limit() == limit && g.deadline.Load() == deadline {
		return
	}
	// The lower of both limits is in force while the deadline changes.
	g.setLimit(min(limit, g.Limit()))
	g.deadline.Store(deadline)
	g.setLimit(limit)
}

func (g *Semaphore) setLimit(limit int) {
	for {
		w := g.word.Load()
		epoch := (w>>(2*gateBits) + 1) * gateEpoch
		if g.word.CompareAndSwap(w, epoch|uint64(limit)<<gateBits|w&gateMask) {
			return
		}
	}
}

// Acquire takes a slot if one is free and the deadline has not passed.
func (g *Semaphore) TryAcquire(now int64) bool { return g.TryAcquireAbove(now, 0) }

// AcquireAbove takes a slot if more than keep slots are free and the deadline
// has not passed. Requests of low priority leave keep slots to others.
func (g *Semaphore) TryAcquireAbove(now int64, keep int) bool {
	for {
		w := g.word.Load()
		if now >= g.deadline.Load() {
			return false
		}
		if int(w&gateMask)+max(0, keep) >= int(w>>gateBits&gateMask) {
			return false
		}
		if g.word.CompareAndSwap(w, w+1) {
			return true
		}
	}
}

// Release gives a slot back. It panics if no slot is in use, because a slot
// that is given back twice would overload the upstream.
func (g *Semaphore) Release() {
	for {
		w := g.word.Load()
		if w&gateMask == 0 {
			panic("limiter: Release of a slot that is not in use")
		}
		if g.word.CompareAndSwap(w, w-1) {
			return
		}
	}
}

// Busy returns the number of slots in use.
func (g *Semaphore) InFlight() int { return int(g.word.Load() & gateMask) }

// Limit returns the number of slots.
func (g *Semaphore) Limit() int { return int(g.word.Load() >> gateBits & gateMask) }

// Free returns the number of slots that can be taken at the given time.
func (g *Semaphore) Free(now int64) int {
	if now >= g.deadline.Load() {
		return 0
	}
	w := g.word.Load()
	return max(0, int(w>>gateBits&gateMask)-int(w&gateMask))
}

// Deadline returns the time after which nothing is admitted.
func (g *Semaphore) Deadline() int64 { return g.deadline.Load() }
