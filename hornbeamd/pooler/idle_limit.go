package pooler

import (
	"math"
	"sync"
	"time"
)

const (
	// minIdleLimit is the lowest limit that is learned. A reset after a shorter
	// idle time does not indicate a stale connection.
	minIdleLimit = 200 * time.Millisecond
	// learnedLimitTTL is how long a learned limit holds.
	learnedLimitTTL = 30 * time.Second
	// staleThreshold is the ratio of stale to all reused connections from which
	// a limit is learned, staleWindow the number of connections that the moving
	// average covers: three stale ones in a row are enough. The threshold is
	// above 0 because upstreams also reset single connections for other reasons.
	staleThreshold = 0.3
	staleWindow    = 8
	// suspicionClearCount is the number of working connections that clear a
	// suspected limit.
	suspicionClearCount = 3
)

// IdleLimit learns how long the upstreams of a service actually keep idle
// connections, which may be less than they announce. The zero value sets no
// limit.
type IdleLimit struct {
	mu sync.Mutex
	// staleRatio is the moving average of the ratio of stale to all reused
	// connections.
	staleRatio float64
	// learned is a limit supported by many connections, suspected one based on a
	// single connection. successes counts the connections that worked after
	// idling for the suspected limit or longer.
	learned, suspected expiringLimit
	successes          int
}

// expiringLimit is a limit on the idle time that expires.
type expiringLimit struct {
	limit   time.Duration
	expires int64
}

func (l *expiringLimit) at(now int64) time.Duration {
	if now < l.expires {
		return l.limit
	}
	return math.MaxInt64
}

func (l *expiringLimit) tighten(limit time.Duration, now int64) {
	*l = expiringLimit{min(limit, l.at(now)), now + int64(learnedLimitTTL)}
}

// Observe records whether a connection that had been idle for the given time
// turned out to be stale, that is, dropped by the upstream.
func (i *IdleLimit) Observe(idle time.Duration, stale bool, now int64) {
	if idle < minIdleLimit {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if !stale {
		i.staleRatio -= i.staleRatio / staleWindow
		if idle >= i.suspected.at(now) {
			i.recordSuccess()
		}
		return
	}
	i.staleRatio += (1 - i.staleRatio) / staleWindow
	limit := max(minIdleLimit, time.Duration(float64(idle)*idleTimeoutFraction))
	i.suspected.tighten(limit, now)
	i.successes = 0
	if i.staleRatio >= staleThreshold {
		i.learned.tighten(limit, now)
	}
}

// recordSuccess counts a connection that contradicts the suspected limit.
func (i *IdleLimit) recordSuccess() {
	if i.successes++; i.successes >= suspicionClearCount {
		i.suspected = expiringLimit{}
	}
}

// limit returns the maximum idle time of connections for requests that may be
// retried.
func (i *IdleLimit) limit(now int64) time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.learned.at(now)
}

// StrictLimit returns the maximum idle time of connections for requests that
// must not be lost. A single stale connection is enough to set it.
func (i *IdleLimit) StrictLimit(now int64) time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	return min(i.suspected.at(now), i.learned.at(now))
}
