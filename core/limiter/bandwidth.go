package limiter

import (
	"sync/atomic"
	"time"
)

const (
	// maxInteractiveDebt is the debt up to which interactive traffic, which is all
	// that is not bulk, is sent without delay.
	maxInteractiveDebt = 100 * time.Millisecond
	// maxBacklog is the delay above which no new bulk responses are started.
	maxBacklog = 250 * time.Millisecond
)

// BandwidthLimiter limits the bytes sent on a link between two regions. Its zero
// value sets no limit. All bytes count. Bulk traffic waits until the debt of all
// traffic is paid, interactive traffic only while its own debt exceeds
// maxInteractiveDebt. What interactive traffic sends above the rate therefore
// makes bulk traffic wait longer.
type BandwidthLimiter struct {
	rates    atomic.Pointer[bandwidthRates]
	deadline atomic.Int64
	// allPaidAt and interactivePaidAt are the times at which the debt of all
	// traffic and that of interactive traffic are paid.
	allPaidAt, interactivePaidAt atomic.Int64
}

type bandwidthRates struct{ rate, fallback float64 }

// Set changes the rate in bytes per second and the deadline, after which the
// fallback rate applies. A rate of zero means no limit.
func (l *BandwidthLimiter) Set(rate, fallback float64, deadline int64) {
	if r := l.rates.Load(); r == nil || r.rate != rate || r.fallback != fallback {
		l.rates.Store(&bandwidthRates{rate, fallback})
	}
	l.deadline.Store(deadline)
}

// Renew changes the deadline, unless the fallback rate applies because there was
// no grant.
func (l *BandwidthLimiter) Renew(deadline int64) {
	if l.deadline.Load() > 0 {
		l.deadline.Store(deadline)
	}
}

// Charge counts n bytes and returns how long the sender has to wait before it
// sends more. Interactive traffic waits only while its own debt exceeds
// maxInteractiveDebt.
func (l *BandwidthLimiter) Charge(now int64, n int, bulk bool) time.Duration {
	rate := l.rate(now)
	if rate <= 0 {
		return 0
	}
	cost := int64(float64(n) * float64(time.Second) / rate)
	all := advance(&l.allPaidAt, now, cost)
	if bulk {
		return time.Duration(all - now)
	}
	return max(0, time.Duration(advance(&l.interactivePaidAt, now, cost)-now)-maxInteractiveDebt)
}

// Ready reports whether a new response may be started on the link.
func (l *BandwidthLimiter) Ready(now int64, bulk bool) bool {
	if l.rate(now) <= 0 {
		return true
	}
	if bulk {
		return l.allPaidAt.Load()-now <= int64(maxBacklog)
	}
	return l.interactivePaidAt.Load()-now <= int64(maxInteractiveDebt+maxBacklog)
}

func (l *BandwidthLimiter) rate(now int64) float64 {
	r := l.rates.Load()
	switch {
	case r == nil:
		return 0
	case now < l.deadline.Load():
		return r.rate
	}
	return r.fallback
}

// advance adds cost to a debt and returns the time at which it is paid.
func advance(paid *atomic.Int64, now, cost int64) int64 {
	for {
		old := paid.Load()
		end := max(old, now) + cost
		if paid.CompareAndSwap(old, end) {
			return end
		}
	}
}
