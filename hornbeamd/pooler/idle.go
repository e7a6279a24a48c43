package pooler

import (
	"math"
	"sync"
	"time"
)

const (
	// minIdle is the least bound that is learned: a reset after less is no sign
	// of a forgotten connection.
	minIdleLimit = 200 * time.Millisecond
	// forgottenTime is how long a learned bound holds.
	learnedLimitTTL = 30 * time.Second
	// forgottenShare is the share of reused connections that must turn out to be
	// forgotten before a bound is learned, forgottenWeight the number of them over
	// which it is taken: three in a row are enough. Upstreams also reset single
	// connections for other reasons.
	staleThreshold = 0.3
	staleWindow    = 8
	// refuted is the number of connections in order that end a doubt.
	suspicionClearCount = 3
)

// Idle learns for how long upstreams of one kind really keep idle connections,
// which may be less than they say. Its zero value sets no bound.
type IdleLimit struct {
	mu sync.Mutex
	// share is the share of reused connections that were forgotten.
	staleRatio float64
	// bound is learned from many connections, doubt from a single one. Passed
	// counts the connections that were in order beyond the doubt.
	learned, suspected expiringLimit
	successes          int
}

// idleBound is a bound on idle time that holds until some time.
type expiringLimit struct {
	limit   time.Duration
	expires int64
}

func (b *expiringLimit) at(now int64) time.Duration {
	if now < b.expires {
		return b.limit
	}
	return math.MaxInt64
}

func (b *expiringLimit) tighten(most time.Duration, now int64) {
	*b = expiringLimit{min(most, b.at(now)), now + int64(learnedLimitTTL)}
}

// Reused notes how a connection that had been idle for the given time was found:
// forgotten by the upstream or in order.
func (i *IdleLimit) Observe(idle time.Duration, forgotten bool, now int64) {
	if idle < minIdleLimit {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if !forgotten {
		i.staleRatio -= i.staleRatio / staleWindow
		if idle >= i.suspected.at(now) {
			i.recordSuccess()
		}
		return
	}
	i.staleRatio += (1 - i.staleRatio) / staleWindow
	most := max(minIdleLimit, time.Duration(float64(idle)*idleTimeoutFraction))
	i.suspected.tighten(most, now)
	i.successes = 0
	if i.staleRatio >= staleThreshold {
		i.learned.tighten(most, now)
	}
}

// pass counts a connection that speaks against the doubt.
func (i *IdleLimit) recordSuccess() {
	if i.successes++; i.successes >= suspicionClearCount {
		i.suspected = expiringLimit{}
	}
}

// limit bounds the idle time of connections for requests that may be sent again.
func (i *IdleLimit) limit(now int64) time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.learned.at(now)
}

// Doubt bounds the idle time of connections for requests that must not be lost. A
// single forgotten connection is enough to set it.
func (i *IdleLimit) StrictLimit(now int64) time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	return min(i.suspected.at(now), i.learned.at(now))
}
