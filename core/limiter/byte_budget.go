package limiter

import "sync/atomic"

const (
	// SmallBytes is the size up to which a body counts as small. A part of a ByteBudget,
	// one in smallShare, is reserved for small bodies, so that ordinary ones still pass
	// when large ones have used up the rest.
	SmallBytes = 64 << 10
	smallShare = 16
)

// ByteBudget limits the bytes that are held for bodies at the same time. Its zero value
// admits nothing.
type ByteBudget struct {
	// Limit is the limit in bytes.
	Limit int64
	used  atomic.Int64
}

// Reserve adds n bytes to the bytes in use, for a body of the given size. It reports whether
// they are within the limit; otherwise nothing is reserved.
func (b *ByteBudget) Reserve(n, size int64) bool {
	limit := b.Limit
	if size > SmallBytes {
		limit -= limit / smallShare
	}
	if b.used.Add(n) <= limit {
		return true
	}
	b.used.Add(-n)
	return false
}

// Release takes n bytes off the bytes in use.
func (b *ByteBudget) Release(n int64) { b.used.Add(-n) }

// Used returns the bytes in use.
func (b *ByteBudget) Used() int64 { return b.used.Load() }
