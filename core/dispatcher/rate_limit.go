package dispatcher

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"hornbeamstream.example/core/steerer"
)

// An upstream may limit the rate of requests that it accepts from all instances
// together. The limit is divided without communication: of the instances as ranked by
// peerSet, the first ones get equal shares and the others none. An instance may send a
// whole request at once, however small its share, so the number of shares is bounded by
// the requests that the upstream accepts within a window.

const (
	// Within each limitWindow, an upstream accepts limitFactor times what its limit
	// allows, and limitSlack more.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitReserve is the part of these that is not shared out. It allows for stand-ins
	// and for instances that not all others know of yet.
	limitReserve = 0.25
	// limitUtilization is the part of the limit that the shares add up to.
	limitUtilization = 0.95
	// limitBurst is how much earlier than evenly spaced a request may be sent, in
	// intervals between requests.
	limitBurst = 0.2
	// limitJitter is how much closer together requests may arrive than they were sent.
	limitJitter = 200 * time.Millisecond
	// minSharedRate and maxSharedRate bound the rate in requests per second that is
	// shared out. It is not 0 because the end of a limit shows only in the response to
	// a request.
	minSharedRate, maxSharedRate = 0.1, 1e6
	// standInDelay is the time without news of a limit after which one of the instances
	// without a share sends a request, and after which the next one does. Those with a
	// share may be gone.
	standInDelay = 10 * time.Second
)

// limitShares is the division of a limit among a number of instances.
type limitShares struct {
	perSecond float64
	instances int
	// count is the number of instances with a share.
	count int
	// interval is the time between the requests of one of them at even spacing.
	interval time.Duration
}

// divideLimit divides a limit into as many shares as possible.
func divideLimit(perSecond float64, instances int) limitShares {
	s := limitShares{perSecond: perSecond, instances: instances}
	rate := minSharedRate
	if perSecond > rate {
		rate = min(perSecond, maxSharedRate)
	}
	accepted := (1 - limitReserve) * (limitFactor*rate*limitWindow.Seconds() + limitSlack)
	for s.count = min(max(1, instances), int(accepted)); ; s.count-- {
		s.interval = time.Duration(float64(s.count) / (limitUtilization * rate) * float64(time.Second))
		if s.count == 1 || float64(s.count*s.mostInWindow()) <= accepted {
			return s
		}
	}
}

// burst returns how much earlier than evenly spaced a request may be sent.
func (s *limitShares) burst() int64 { return int64(limitBurst * float64(s.interval)) }

// mostInWindow returns the largest number of requests of one instance that arrive within
// a window.
func (s *limitShares) mostInWindow() int {
	return 1 + int((int64(limitWindow+limitJitter)+s.burst())/int64(s.interval))
}

// RateLimit is what a response says about the rate of requests that its upstream
// accepts from all instances together.
type RateLimit struct {
	// Stated reports whether the response states a limit, Valid whether the limit is
	// readable.
	Stated, Valid bool
	// PerSecond is the limit in requests per second, if Valid is set.
	PerSecond float64
}

// rateLimit is the limit of an incarnation and the use of this instance's share.
type rateLimit struct {
	// inForce is set while there is a limit.
	inForce atomic.Bool

	mu     sync.Mutex
	shares limitShares
	// since is when the limit came into force, observedAt when the observation was made
	// that is the latest one known, here or at another instance.
	since, observedAt int64
	// spacedAt is when the next request is due at even spacing.
	spacedAt int64
	// usedAt is when this instance last sent a request under the limit, or 0 for never.
	usedAt int64
	// sends counts this instance's requests since the limit came into force.
	sends int
}

// RateLimitChange describes the effect of an observation on an upstream's limit.
type RateLimitChange struct {
	// Changed reports whether the limit has come into force, changed or ended. Active
	// reports whether one is in force now.
	Changed, Active bool
	PerSecond       float64
	// Sends counts this instance's requests under the limit.
	Sends int
}

// ObserveRateLimit records what a response of the upstream says about its limit. SentAt is
// when the request was sent, now when its response arrived. A response without a limit
// may have been overtaken by one with a limit on another connection, so it counts as of
// the time of its request.
func (u *Upstream) ObserveRateLimit(l RateLimit, sentAt, now int64) RateLimitChange {
	switch {
	case l.Stated && l.Valid:
		return u.applyLimit(steerer.RateLimitState{InForce: true, PerSecond: l.PerSecond}, now, now)
	case !l.Stated && u.flow.limit.inForce.Load():
		return u.applyLimit(steerer.RateLimitState{}, sentAt, now)
	}
	return RateLimitChange{}
}

// applyLimit records an observation made at the given time.
func (u *Upstream) applyLimit(o steerer.RateLimitState, at, now int64) (c RateLimitChange) {
	l, peers := &u.flow.limit, u.peers.Load()
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.inForce.Load()
	if at > l.observedAt {
		c.Changed = before != o.InForce || before && l.shares.perSecond != o.PerSecond
		l.observedAt = at
		l.inForce.Store(o.InForce)
		u.flow.restricted.Store(true)
	}
	if c.Changed && o.InForce {
		l.shares = divideLimit(o.PerSecond, peers.size())
		if !before {
			l.since, l.sends, l.usedAt, l.spacedAt = now, 0, 0, math.MaxInt64
		}
		// The instances learn of a limit at about the same time, so their first requests
		// are spaced by rank.
		turn := min(1, float64(1+peers.rank(u.Region, u.seed))/float64(l.shares.count))
		l.spacedAt = min(l.spacedAt, now+int64(turn*float64(l.shares.interval)))
	}
	c.Active, c.PerSecond, c.Sends = l.inForce.Load(), l.shares.perSecond, l.sends
	return c
}

// opensAt returns when this instance may send the next request to the upstream under the
// limit. The caller must hold l.mu.
func (l *rateLimit) opensAt(u *Upstream) int64 {
	peers := u.peers.Load()
	if peers != nil && peers.incomplete {
		return math.MaxInt64
	}
	if n := peers.size(); n != l.shares.instances {
		l.shares = divideLimit(l.shares.perSecond, n)
	}
	if turn := 1 + peers.rank(u.Region, u.seed) - l.shares.count; turn > 0 {
		opensAt := l.observedAt + int64(turn)*int64(standInDelay)
		if l.usedAt != 0 {
			standIns := l.shares.instances - l.shares.count
			opensAt = max(opensAt, l.usedAt+int64(standIns)*int64(standInDelay))
		}
		return opensAt
	}
	return l.spacedAt - l.shares.burst()
}

// limitOpensAt returns when this instance may send the next request under the
// upstream's limit, 0 if there is none.
func (u *Upstream) limitOpensAt() int64 {
	l := &u.flow.limit
	if !l.inForce.Load() {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.opensAt(u)
}

// useLimit takes a request from this instance's share of the limit, if there is one. It
// reports whether the request may be sent.
func (u *Upstream) useLimit(now int64) bool {
	l := &u.flow.limit
	if !l.inForce.Load() {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if now < l.opensAt(u) {
		return false
	}
	l.spacedAt = max(l.spacedAt, now) + int64(l.shares.interval)
	l.usedAt = now
	return true
}

// BeginSend reports whether a request may still be sent that was admitted at the given
// time, and whether a limit is in force. The upstream may have left, paused or stated a
// limit since.
func (u *Upstream) BeginSend(admittedAt, now int64) (ok, limited bool) {
	l := &u.flow.limit
	switch {
	case u.Closed(), u.Paused(now):
		return false, false
	case !l.inForce.Load():
		return true, false
	}
	l.mu.Lock()
	since := l.since
	l.mu.Unlock()
	if since >= admittedAt && !u.useLimit(now) {
		return false, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sends++
	return true, true
}
