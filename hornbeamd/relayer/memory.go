package relayer

import (
	"errors"
	"time"

	"hornbeamstream.example/core/limiter"
)

const (
	// defaultMaxHeldBytes is the default of Config.MaxHeldBytes.
	defaultMaxHeldBytes = 64 << 20
	// stallTime is the time without a received byte from which on a caller's body counts
	// as stalled. Stalled bodies are the first to be dropped when the budget is short.
	stallTime = time.Second
)

// errEvicted means that a body was dropped in favor of others.
var errEvicted = errors.New("the memory was needed for other requests")

// byteBudget limits the bytes of requests and responses that are held at the same time.
type byteBudget struct {
	limiter.ByteBudget
	// evict, if not nil, drops the body of one caller's request that has not been sent
	// to an upstream. It reports whether it did. It drops no body whose owner it is
	// called for.
	evict func(owner *conn) bool
}

// Reserve implements collector.Budget for responses.
func (b *byteBudget) Reserve(n, size int64) bool { return b.reserveFor(n, size, nil) }

// reserveFor adds n bytes to the bytes in use for a body of the given size. If necessary, it
// drops other bodies. Owner is the connection that the body arrives on, nil for a response.
// It reports whether the bytes are within the limit; otherwise nothing is reserved.
func (b *byteBudget) reserveFor(n, size int64, owner *conn) bool {
	for !b.ByteBudget.Reserve(n, size) {
		if b.evict == nil || !b.evict(owner) {
			return false
		}
	}
	return true
}

// evictionCandidate is a caller's connection that may be closed in favor of others.
type evictionCandidate struct {
	// idle reports whether no request is in progress on it.
	idle bool
	// quiet is the time since it became idle or since the last byte of its request.
	quiet time.Duration
	// held is the number of bytes of its request's body.
	held int64
}

// rank orders candidates by class when bytes are short: stalled bodies, idle connections,
// other bodies.
func (c evictionCandidate) rank() int {
	switch {
	case c.held > 0 && c.quiet >= stallTime:
		return 3
	case c.idle:
		return 2
	case c.held > 0:
		return 1
	}
	return 0
}

// precedesForBytes reports whether c is closed before d when bytes are short: of the same
// class, the one that holds the most, or is idle for longest. One of rank 0 holds nothing and
// is not closed.
func (c evictionCandidate) precedesForBytes(d evictionCandidate) bool {
	switch a, b := c.rank(), d.rank(); {
	case a != b:
		return a > b
	case c.idle:
		return c.quiet > d.quiet
	}
	return c.held > d.held
}

// precedesForConns reports whether c is closed before d when connections are short: idle ones
// first, and the ones that are quiet for longest.
func (c evictionCandidate) precedesForConns(d evictionCandidate) bool {
	if c.idle != d.idle {
		return c.idle
	}
	return c.quiet > d.quiet
}
