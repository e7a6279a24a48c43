package limiter

import (
	"math"
	"sync/atomic"
	"time"
)

// bucketWindow is the length of the window in which a bucket gives at most its
// rate. It is longer than a second, because delays vary between the decision
// and the place where the traffic is counted.
const bucketWindow = 1050 * time.Millisecond

// bucketLapse is more than a renewal in time extends a grant's deadline by. A
// larger step means that another holder may have used the rate in between.
const bucketLapse = time.Second

// Bucket is a token bucket. Its zero value gives nothing. It gives at most
// rate tokens in any window of a second. A bucket whose rate has changed or
// whose grant had lapsed starts empty: the tokens that its former holder gave
// in the last second and its own ones then stay within the rate too.
type TokenBucket struct {
	state    atomic.Pointer[bucketState]
	deadline atomic.Int64
}

// bucketState belongs to one rate. A change of the rate replaces it.
type bucketState struct {
	rate, burst float64
	// interval is the time in which one token flows in; slack is how far the
	// bucket's time may run ahead; 0 gives nothing.
	interval, slack int64
	// full is the time at which the bucket is full again; 0 before the first Take.
	full atomic.Int64
}

// Set changes the rate per second, the burst and the time after which nothing
// is given. The burst is part of the rate: what remains flows in evenly. It is
// at least one token. A rate below 1 gives nothing, because a single token
// would exceed it.
func (b *TokenBucket) Set(rate, burst float64, deadline int64) {
	s := b.state.Load()
	if s == nil || s.rate != rate || s.burst != burst || deadline-b.deadline.Load() > int64(bucketLapse) {
		b.deadline.Store(0)
		b.state.Store(newBucketState(rate, burst))
	}
	b.deadline.Store(deadline)
}

// Renew moves the time after which nothing is given and keeps rate and burst.
func (b *TokenBucket) Renew(deadline int64) {
	if s := b.state.Load(); s != nil {
		b.Set(s.rate, s.burst, deadline)
	}
}

func newBucketState(rate, burst float64) *bucketState {
	s := &bucketState{rate: rate, burst: burst}
	whole := math.Floor(rate)
	if !(whole >= 1) || whole > 1e9 {
		return s
	}
	size := math.Max(1, math.Min(math.Floor(burst), whole))
	// Any window holds at most size tokens and one for every interval in it,
	// and whole-size+1 intervals do not fit into a window.
	s.interval = int64(math.Ceil(float64(bucketWindow)/(whole-size+1))) + 1
	s.slack = int64(size-1) * s.interval
	return s
}

// Take takes one token.
func (b *TokenBucket) Take(now int64) bool {
	s := b.state.Load()
	if s == nil || s.interval == 0 || now >= b.deadline.Load() {
		return false
	}
	for {
		full := s.full.Load()
		if full == 0 {
			s.full.CompareAndSwap(0, now+s.slack+s.interval)
			continue
		}
		if full > now+s.slack {
			return false
		}
		if s.full.CompareAndSwap(full, max(full, now)+s.interval) {
			// A token of a bucket that has been replaced meanwhile is void.
			return b.state.Load() == s
		}
	}
}
