package limiter

import (
	"sync/atomic"
	"time"
)

const (
	// linkDebt is the debt that traffic other than bulk may cause before it has
	// to wait.
	linkDebt = 100 * time.Millisecond
	// linkBacklog is the wait above which no new bulk answers are started.
	linkBacklog = 250 * time.Millisecond
)

// Link is the byte budget of a link between two regions. Its zero value does
// not limit. All bytes count; bulk waits until all have been paid for, others
// only when their own debt is larger than allowed. What others send above the
// rate is paid by bulk, which waits longer.
type BandwidthLimiter struct {
	rates    atomic.Pointer[linkRates]
	deadline atomic.Int64
	// all and others are the times at which all bytes, and those that are not
	// bulk, are paid for.
	all, others atomic.Int64
}

type linkRates struct{ rate, static float64 }

// Set changes the rate in bytes per second and the time after which the rate
// falls back to the static one. A rate of zero is no limit.
func (l *BandwidthLimiter) Set(rate, static float64, deadline int64) {
	if r := l.rates.Load(); r == nil || r.rate != rate || r.static != static {
		l.rates.Store(&linkRates{rate, static})
	}
	l.deadline.Store(deadline)
}

// Renew moves the time after which the rate falls back, unless the static rate
// is in force because there was no grant.
func (l *BandwidthLimiter) Renew(deadline int64) {
	if l.deadline.Load() > 0 {
		l.deadline.Store(deadline)
	}
}

// Charge counts n bytes and returns how long the sender has to wait before it
// sends more. Only bulk traffic is made to wait, unless the link's debt is
// larger than what others may cause.
func (l *BandwidthLimiter) Charge(now int64, n int, bulk bool) time.Duration {
	rate := l.rate(now)
	if rate <= 0 {
		return 0
	}
	cost := int64(float64(n) * float64(time.Second) / rate)
	all := advance(&l.all, now, cost)
	if bulk {
		return time.Duration(all - now)
	}
	return max(0, time.Duration(advance(&l.others, now, cost)-now)-linkDebt)
}

// Ready tells whether a new answer may be started on the link.
func (l *BandwidthLimiter) Ready(now int64, bulk bool) bool {
	if l.rate(now) <= 0 {
		return true
	}
	if bulk {
		return l.all.Load()-now <= int64(linkBacklog)
	}
	return l.others.Load()-now <= int64(linkDebt+linkBacklog)
}

func (l *BandwidthLimiter) rate(now int64) float64 {
	r := l.rates.Load()
	switch {
	case r == nil:
		return 0
	case now < l.deadline.Load():
		return r.rate
	}
	return r.static
}

// advance moves the time at which a debt is paid.
func advance(paid *atomic.Int64, now, cost int64) int64 {
	for {
		old := paid.Load()
		end := max(old, now) + cost
		if paid.CompareAndSwap(old, end) {
			return end
		}
	}
}
