package limiter

import (
	"math"
	"sync/atomic"
	"time"
)

// bucketWindow is the length of the window in which a bucket grants at most its
// rate. It is longer than a second because the delay between the decision and
// the place where the traffic is counted varies.
const bucketWindow = 1050 * time.Millisecond

// maxRenewalStep exceeds the step by which a timely renewal extends the deadline
// of a grant. After a larger step another holder may have used the rate in
// between.
const maxRenewalStep = time.Second

// TokenBucket is a token bucket, implemented as a generic cell rate algorithm.
// Its zero value grants nothing. It grants at most rate tokens in any window of
// a second. A bucket whose rate has changed or whose grant had expired starts
// empty, so that its tokens and those that the previous holder granted in the
// last second stay within the rate together.
type TokenBucket struct {
	state    atomic.Pointer[bucketState]
	deadline atomic.Int64
}

// bucketState is the state for one rate and burst. A change of either replaces
// it.
type bucketState struct {
	rate, burst float64
	// interval is the time in which one token is refilled; 0 grants nothing.
	// tolerance is how far fullAt may be ahead of the current time.
	interval, tolerance int64
	// fullAt is the time at which the bucket is full again; 0 before the first
	// Take.
	fullAt atomic.Int64
}

// Set changes the rate per second, the burst and the deadline, after which
// nothing is granted. The burst is part of the rate; the rest of the rate is
// refilled evenly. The burst is at least one token. A rate below 1 grants
// nothing, because a single token would exceed it.
func (b *TokenBucket) Set(rate, burst float64, deadline int64) {
	s := b.state.Load()
	if s == nil || s.rate != rate || s.burst != burst || deadline-b.deadline.Load() > int64(maxRenewalStep) {
		b.deadline.Store(0)
		b.state.Store(newBucketState(rate, burst))
	}
	b.deadline.Store(deadline)
}

// Renew changes the deadline and keeps the rate and the burst.
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
	// A window holds at most size tokens plus one for each full interval in it,
	// and whole-size+1 intervals do not fit into a window.
	s.interval = int64(math.Ceil(float64(bucketWindow)/(whole-size+1))) + 1
	s.tolerance = int64(size-1) * s.interval
	return s
}

// Take takes one token and reports whether one was available.
func (b *TokenBucket) Take(now int64) bool {
	s := b.state.Load()
	if s == nil || s.interval == 0 || now >= b.deadline.Load() {
		return false
	}
	for {
		full := s.fullAt.Load()
		if full == 0 {
			s.fullAt.CompareAndSwap(0, now+s.tolerance+s.interval)
			continue
		}
		if full > now+s.tolerance {
			return false
		}
		if s.fullAt.CompareAndSwap(full, max(full, now)+s.interval) {
			// A token of a state that has been replaced meanwhile is not valid.
			return b.state.Load() == s
		}
	}
}
