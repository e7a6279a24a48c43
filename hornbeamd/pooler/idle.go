package pooler

import (
	"math"
	"sync"
	"time"
)

const (
	// minIdle is the least bound that is learned: a reset after less is no sign
	// of a forgotten connection.
	minIdle = 200 * time.Millisecond
	// forgottenTime is how long a learned bound holds.
	forgottenTime = 30 * time.Second
	// forgottenShare is the share of reused connections that must turn out to be
	// forgotten before a bound is learned, forgottenWeight the number of them over
	// which it is taken: three in a row are enough. Upstreams also reset single
	// connections for other reasons.
	forgottenShare  = 0.3
	forgottenWeight = 8
	// refuted is the number of connections in order that end a doubt.
	refuted = 3
)

// Idle learns for how long upstreams of one kind really keep idle connections,
// which may be less than they say. Its zero value sets no bound.
type IdleLimit struct {
	mu sync.Mutex
	// share is the share of reused connections that were forgotten.
	share float64
	// bound is learned from many connections, doubt from a single one. Passed
	// counts the connections that were in order beyond the doubt.
	bound, doubt idleBound
	passed       int
}

// idleBound is a bound on idle time that holds until some time.
type idleBound struct {
	most  time.Duration
	until int64
}

func (b *idleBound) at(now int64) time.Duration {
	if now < b.until {
		return b.most
	}
	return math.MaxInt64
}

func (b *idleBound) tighten(most time.Duration, now int64) {
	*b = idleBound{min(most, b.at(now)), now + int64(forgottenTime)}
}

// Reused notes how a connection that had been idle for the given time was found:
// forgotten by the upstream or in order.
func (i *IdleLimit) Observe(idle time.Duration, forgotten bool, now int64) {
	if idle < minIdle {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if !forgotten {
		i.share -= i.share / forgottenWeight
		if idle >= i.doubt.at(now) {
			i.pass()
		}
		return
	}
	i.share += (1 - i.share) / forgottenWeight
	most := max(minIdle, time.Duration(float64(idle)*idleShare))
	i.doubt.tighten(most, now)
	i.passed = 0
	if i.share >= forgottenShare {
		i.bound.tighten(most, now)
	}
}

// pass counts a connection that speaks against the doubt.
func (i *IdleLimit) pass() {
	if i.passed++; i.passed >= refuted {
		i.doubt = idleBound{}
	}
}

// limit bounds the idle time of connections for requests that may be sent again.
func (i *IdleLimit) limit(now int64) time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.bound.at(now)
}

// Doubt bounds the idle time of connections for requests that must not be lost. A
// single forgotten connection is enough to set it.
func (i *IdleLimit) StrictLimit(now int64) time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	return min(i.doubt.at(now), i.bound.at(now))
}
