package limiter

import (
	"sync/atomic"
	"time"
)

const (
	// breakerBackoff is the time from the first failure to the first trial. It
	// doubles with every failed trial up to maxBreakerBackoff.
	breakerBackoff    = 200 * time.Millisecond
	maxBreakerBackoff = 3200 * time.Millisecond
	// The word of a CircuitBreaker holds the time in units of 1,024 ns, the number
	// of failures and whether a trial is in progress.
	breakerTimeShift = 8
	breakerTrial     = 1 << 7
	breakerFailures  = breakerTrial - 1
)

// CircuitBreaker is a circuit breaker for connections to one address. Its zero
// value is closed. A failure opens it. While it is open, one trial request at a
// time is allowed, with exponential backoff, until a byte arrives.
type CircuitBreaker struct {
	// word is zero while the breaker is closed. Its time is that of the newest
	// failure or trial.
	word atomic.Uint64
}

func packBreaker(now int64, bits uint64) uint64 {
	return uint64(now)>>10<<breakerTimeShift | bits
}

func breakerTime(word uint64) int64 { return int64(word >> breakerTimeShift << 10) }

// nextTrial returns the time of the next trial.
func nextTrial(word uint64) int64 {
	shift := min(word&breakerFailures-1, 10)
	return breakerTime(word) + min(int64(breakerBackoff)<<shift, int64(maxBreakerBackoff))
}

// RecordFailure opens the breaker after a timeout or a refused connection.
// Further failures count only after a trial has begun, so that requests already
// in flight at the first failure do not count again.
func (p *CircuitBreaker) RecordFailure(now int64) {
	for {
		w := p.word.Load()
		failures := w & breakerFailures
		if w != 0 && w&breakerTrial == 0 {
			return
		}
		if p.word.CompareAndSwap(w, packBreaker(now, min(failures+1, breakerFailures))) {
			return
		}
	}
}

// RecordSuccess closes the breaker after a byte has arrived. Bytes that arrived
// before the failure are ignored.
func (p *CircuitBreaker) RecordSuccess(now int64) {
	for {
		w := p.word.Load()
		if w == 0 || now < breakerTime(w) || p.word.CompareAndSwap(w, 0) {
			return
		}
	}
}

// WouldAllow reports whether a request may be sent, without starting a trial. The
// caller calls Allow before it sends one.
func (p *CircuitBreaker) WouldAllow(now int64) bool {
	w := p.word.Load()
	return w == 0 || now >= nextTrial(w)
}

// Allow reports whether a request may be sent. If the breaker is open, the
// request becomes the trial, and others are rejected until it has succeeded or
// the backoff has passed.
func (p *CircuitBreaker) Allow(now int64) bool {
	for {
		w := p.word.Load()
		if w == 0 {
			return true
		}
		if now < nextTrial(w) {
			return false
		}
		if p.word.CompareAndSwap(w, packBreaker(now, w&breakerFailures|breakerTrial)) {
			return true
		}
	}
}
