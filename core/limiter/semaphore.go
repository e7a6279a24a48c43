package limiter

import "sync/atomic"

// The word of a Semaphore holds the number of slots in use, the limit and a
// generation, so that an acquisition concurrent with Set sees either the old or
// the new settings, never a mixture.
const (
	slotBits       = 24
	slotMask       = 1<<slotBits - 1
	generationUnit = 1 << (2 * slotBits)
)

// Semaphore is a counting semaphore for a part of an upstream's slots. Its zero
// value admits nothing. At most limit requests are in flight, unless the limit
// was lowered below the number in flight; then nothing is admitted until enough
// of them have ended.
type Semaphore struct {
	word     atomic.Uint64
	deadline atomic.Int64
}

// Set changes the limit and the deadline, after which nothing is admitted.
func (g *Semaphore) Set(limit int, deadline int64) {
	limit = min(max(limit, 0), slotMask)
	if g.Limit() == limit && g.deadline.Load() == deadline {
		return
	}
	// The lower of the two limits applies while the deadline changes.
	g.setLimit(min(limit, g.Limit()))
	g.deadline.Store(deadline)
	g.setLimit(limit)
}

func (g *Semaphore) setLimit(limit int) {
	for {
		w := g.word.Load()
		generation := (w>>(2*slotBits) + 1) * generationUnit
		if g.word.CompareAndSwap(w, generation|uint64(limit)<<slotBits|w&slotMask) {
			return
		}
	}
}

// TryAcquire acquires a slot if one is free and the deadline has not passed.
func (g *Semaphore) TryAcquire(now int64) bool { return g.TryAcquireAbove(now, 0) }

// TryAcquireAbove acquires a slot if more than reserve slots are free and the
// deadline has not passed. Requests of low priority leave the reserve to others.
func (g *Semaphore) TryAcquireAbove(now int64, reserve int) bool {
	for {
		w := g.word.Load()
		if now >= g.deadline.Load() {
			return false
		}
		if int(w&slotMask)+max(0, reserve) >= int(w>>slotBits&slotMask) {
			return false
		}
		if g.word.CompareAndSwap(w, w+1) {
			return true
		}
	}
}

// Release releases a slot. It panics if no slot is in use, because a slot that
// is released twice would overload the upstream.
func (g *Semaphore) Release() {
	for {
		w := g.word.Load()
		if w&slotMask == 0 {
			panic("limiter: Release without a matching TryAcquire")
		}
		if g.word.CompareAndSwap(w, w-1) {
			return
		}
	}
}

// InFlight returns the number of slots in use.
func (g *Semaphore) InFlight() int { return int(g.word.Load() & slotMask) }

// Limit returns the number of slots.
func (g *Semaphore) Limit() int { return int(g.word.Load() >> slotBits & slotMask) }

// Free returns the number of slots that can be acquired at the given time.
func (g *Semaphore) Free(now int64) int {
	if now >= g.deadline.Load() {
		return 0
	}
	w := g.word.Load()
	return max(0, int(w>>slotBits&slotMask)-int(w&slotMask))
}

// Deadline returns the time after which nothing is admitted.
func (g *Semaphore) Deadline() int64 { return g.deadline.Load() }
