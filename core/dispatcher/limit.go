package dispatcher

import "sync"

// RateLimit is what an answer says about the rate of requests that its upstream
// accepts from all instances together.
type RateLimit struct {
	// Stated reports whether the answer states a limit, Valid whether the limit is
	// readable.
	Stated, Valid bool
	// PerSecond is the limit in requests per second, if Valid is set.
	PerSecond float64
}

// rateLimit is the limit that an incarnation has last stated.
type rateLimit struct {
	mu     sync.Mutex
	active bool
	// perSecond is the rate that all instances together may use.
	perSecond float64
	// statedAt is when the limit was last stated.
	statedAt int64
	// sends counts this instance's requests since the limit came into force.
	sends int
}

// LimitChange describes a change of an upstream's limit.
type LimitChange struct {
	// Changed reports whether the limit has come into force, changed or ended. Active
	// reports whether one is in force now.
	Changed, Active bool
	PerSecond       float64
	// Sends counts this instance's requests under the limit, once it has ended.
	Sends int
}

// ObserveLimit records what an answer of the upstream says about its limit. SentAt is
// when the request was sent, now when its answer arrived. An answer without a limit
// ends the limit only if its request was sent after the limit was last stated, because
// answers may overtake each other on different connections.
func (u *Upstream) ObserveLimit(l RateLimit, sentAt, now int64) (c LimitChange) {
	s := &u.pauseState.limit
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case l.Stated && l.Valid:
		c.Changed = !s.active || s.perSecond != l.PerSecond
		if !s.active {
			s.sends = 0
		}
		s.active, s.perSecond, s.statedAt = true, l.PerSecond, now
	case !l.Stated && s.active && sentAt > s.statedAt:
		c.Changed, c.Sends = true, s.sends
		s.active = false
	}
	c.Active, c.PerSecond = s.active, s.perSecond
	return c
}

// CountSend counts a request that is sent to the upstream. It reports whether a limit
// is in force.
func (u *Upstream) CountSend() (limited bool) {
	s := &u.pauseState.limit
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.active {
		s.sends++
	}
	return s.active
}
