package limiter

import "sync/atomic"

// A gate's word holds the busy and the limit count and a generation, so that an
// acquisition that overlaps Set is decided by the old or by the new settings
// and never by a mixture.
const (
	slotBits       = 24
	slotMask       = 1<<slotBits - 1
	generationUnit = 1 << (2 * slotBits)
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
	limit = min(max(limit, 0), slotMask)
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
		epoch := (w>>(2*slotBits) + 1) * generationUnit
		if g.word.CompareAndSwap(w, epoch|uint64(limit)<<slotBits|w&slotMask) {
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
		if int(w&slotMask)+max(0, keep) >= int(w>>slotBits&slotMask) {
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
		if w&slotMask == 0 {
			panic("limiter: Release of a slot that is not in use")
		}
		if g.word.CompareAndSwap(w, w-1) {
			return
		}
	}
}

// Busy returns the number of slots in use.
func (g *Semaphore) InFlight() int { return int(g.word.Load() & slotMask) }

// Limit returns the number of slots.
func (g *Semaphore) Limit() int { return int(g.word.Load() >> slotBits & slotMask) }

// Free returns the number of slots that can be taken at the given time.
func (g *Semaphore) Free(now int64) int {
	if now >= g.deadline.Load() {
		return 0
	}
	w := g.word.Load()
	return max(0, int(w>>slotBits&slotMask)-int(w&slotMask))
}

// Deadline returns the time after which nothing is admitted.
func (g *Semaphore) Deadline() int64 { return g.deadline.Load() }
