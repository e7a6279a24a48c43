package limiter

import (
	"sync/atomic"
	"time"
)

const (
	// pathBackoff is the time from the first suspicion to the first try; it
	// doubles with every failed try up to pathBackoffMax.
	pathBackoff    = 200 * time.Millisecond
	pathBackoffMax = 3200 * time.Millisecond
	// A path's word holds the time in units of 1,024 ns, the number of failures
	// and whether a try is under way.
	pathShift = 8
	pathTry   = 1 << 7
	pathFails = pathTry - 1
)

// Path judges whether connections to one address work. Its zero value is
// usable. After a suspicion, one request at a time may try the path, with
// growing pauses, until a byte arrives.
type CircuitBreaker struct {
	// word is zero while the path is not suspected. Its time is that of the
	// suspicion or of the newest try.
	word atomic.Uint64
}

func pathWord(now int64, bits uint64) uint64 {
	return uint64(now)>>10<<pathShift | bits
}

func pathTime(word uint64) int64 { return int64(word >> pathShift << 10) }

// pathRetry returns the time of the next try.
func pathRetry(word uint64) int64 {
	shift := min(word&pathFails-1, 10)
	return pathTime(word) + min(int64(pathBackoff)<<shift, int64(pathBackoffMax))
}

// Suspect marks the path after silence or refusal. Failures of requests that
// were already under way at the first one do not count again.
func (p *CircuitBreaker) RecordFailure(now int64) {
	for {
		w := p.word.Load()
		fails := w & pathFails
		if w != 0 && w&pathTry == 0 {
			return
		}
		if p.word.CompareAndSwap(w, pathWord(now, min(fails+1, pathFails))) {
			return
		}
	}
}

// Proven marks the path after a byte has arrived. Bytes that arrived before the
// suspicion prove nothing.
func (p *CircuitBreaker) RecordSuccess(now int64) {
	for {
		w := p.word.Load()
		if w == 0 || now < pathTime(w) || p.word.CompareAndSwap(w, 0) {
			return
		}
	}
}

// Usable tells whether the path may be tried. Who then uses it calls Try.
func (p *CircuitBreaker) WouldAllow(now int64) bool {
	w := p.word.Load()
	return w == 0 || now >= pathRetry(w)
}

// Try tells whether the path may be tried and, if it is suspected, makes others
// wait until the try has been proven or its pause is over.
func (p *CircuitBreaker) Allow(now int64) bool {
	for {
		w := p.word.Load()
		if w == 0 {
			return true
		}
		if now < pathRetry(w) {
			return false
		}
		if p.word.CompareAndSwap(w, pathWord(now, w&pathFails|pathTry)) {
			return true
		}
	}
}
