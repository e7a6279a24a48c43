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
)

// Idle learns for how long upstreams of one kind really keep idle connections,
// which may be less than they say. Its zero value sets no bound.
type Idle struct {
	mu    sync.Mutex
	most  time.Duration
	until int64
}

// Forgotten notes that a connection was found unusable after it had been idle
// for the given time.
func (i *Idle) Forgotten(idle time.Duration, now int64) {
	most := max(minIdle, time.Duration(float64(idle)*idleShare))
	i.mu.Lock()
	defer i.mu.Unlock()
	if now < i.until {
		most = min(most, i.most)
	}
	i.most, i.until = most, now+int64(forgottenTime)
}

func (i *Idle) limit(now int64) time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	if now < i.until {
		return i.most
	}
	return math.MaxInt64
}
