package dispatcher

import (
	"slices"
	"time"
)

// Reason says why a request was refused.
type Reason string

// Reasons of refusals.
const (
	// NoUpstream means that the service has no usable upstream.
	NoUpstream Reason = "no upstream"
	// Overload means that no upstream is expected to answer in time.
	Overload Reason = "overload"
	// RetryBudgetExhausted means that the service's retry budget is exhausted.
	RetryBudgetExhausted Reason = "retry budget"
	// Paused means that all usable upstreams of the service have asked for a
	// pause.
	Paused Reason = "upstreams pause"
	// Limited means that this instance's shares of the limits of all usable
	// upstreams are used up.
	Limited Reason = "upstream limits"
)

const (
	// failureCostFactor is the cost of a failure in multiples of the route's
	// latency aim.
	failureCostFactor = 2
	// unavailableCost keeps requests away from unreachable upstreams as long as
	// others are available.
	unavailableCost = 2 * time.Second
	// wrongRegionCost keeps requests in the region chosen for them.
	wrongRegionCost = time.Second
	// minRetryAfter and maxRetryAfter bound the delay after which the caller may
	// retry a refused request, before jitter.
	minRetryAfter = 60 * time.Millisecond
	maxRetryAfter = 1500 * time.Millisecond
	// hashMultiplier, 2^64 divided by the golden ratio, derives independent
	// hashes of one key for different purposes.
	hashMultiplier = 0x9e3779b97f4a7c15
)

// Request is the input of Choose.
type Request struct {
	Route *Route
	Pool  *Pool
	// Workspace is on whose behalf the request is sent, nil if it does not matter.
	Workspace *Workspace
	// Key is the hash of the requested object, 0 if unknown.
	Key uint64
	Now int64
	// Deadline is the time after which an answer is of no use to the caller.
	Deadline int64
	// Tried lists the upstreams of earlier attempts.
	Tried []*Upstream
	// probing is the upstream that the request may be sent to as a probe of a
	// network path that is down.
	probing *Upstream
	// ignoreRamps means that upstreams take all keys even if they ramp up.
	ignoreRamps bool
	// preview means that the decision is not carried out and must change nothing.
	preview bool
}

// Decision is the result of Choose. If Upstream is nil, the request is refused.
type Decision struct {
	Upstream *Upstream
	// At is when the request was admitted.
	At int64
	// Expected is the expected latency, of which Wait is spent in the upstream's
	// queue.
	Expected, Wait time.Duration
	// ExpectedCold is the expected latency if the upstream has not cached the
	// request's key.
	ExpectedCold time.Duration
	// LikelyWarm reports whether the upstream is assumed to have cached the
	// request's key, KnownWarm whether this instance has sent it the key recently.
	LikelyWarm, KnownWarm bool
	// Load is the estimated number of requests at the upstream, ReportAge the age
	// of the load report that the estimate is based on.
	Load      float64
	ReportAge time.Duration
	// Reason says why the request is refused, RetryAfter when the caller may retry
	// it.
	Reason     Reason
	RetryAfter time.Duration
}

// candidate is an upstream with its expected latency and cost, in nanoseconds.
type candidate struct {
	upstream       *Upstream
	cost           float64
	wait, expected time.Duration
	// sharesMachine reports whether the upstream says how slow its machine is.
	sharesMachine bool
	// expectedCold is the expected latency if the key is not cached.
	expectedCold time.Duration
	// likelyWarm reports whether the upstream is assumed to have cached the key,
	// knownWarm whether this instance has sent it the key recently.
	likelyWarm, knownWarm bool
	rank                  uint64
	load                  float64
	reportAge             time.Duration
	// secondary reports whether the upstream takes the key's requests only if it
	// has a free slot.
	secondary bool
}

// Choose picks the upstream with the lowest cost, which is the expected latency
// plus penalties. Unless the request is refused, the caller must call the
// decision's Done method after the exchange.
func Choose(r *Request) Decision {
	var buf [maxCandidates]candidate
	candidates := r.allCandidates(buf[:0])
	if len(candidates) == 0 {
		return r.noCandidate()
	}
	if u := candidates[0].upstream; u.path.down(r.Now) && u.path.tryProbe(r.Now) {
		r.probing = u
	}
	r.score(candidates)
	set := candidateSet{members: candidates, homeRegion: r.homeRegion(candidates)}
	set.away = r.leavesHome(set, set.cheapest())
	return r.admit(set)
}

// noCandidate returns the refusal of a request that no upstream may take.
func (r *Request) noCandidate() Decision {
	at, reason, ok := r.firstOpening()
	if !ok {
		return Decision{Reason: NoUpstream, RetryAfter: maxRetryAfter / 4}
	}
	// Jitter keeps callers that are told the same time from retrying together.
	wait := time.Duration(at - r.Now)
	if reason == Limited {
		// Another instance may have a share to spare.
		wait = min(wait, maxRetryAfter)
	}
	return Decision{Reason: reason, RetryAfter: wait + r.jitter(maxRetryAfter/4)}
}

// homeRegion returns the region where the request should run: that of its key's
// owner if the key is owned, this instance's region otherwise.
func (r *Request) homeRegion(candidates []candidate) string {
	if r.owned() {
		return candidates[0].upstream.Region
	}
	return r.Pool.region
}

// leavesHome decides whether the request runs outside of its home region. The
// share of requests that do so changes at a limited rate.
func (r *Request) leavesHome(set candidateSet, best int) bool {
	cheaperAway := set.outsideHome(best)
	if r.owned() {
		return r.Pool.spillover.moveLimiter.limit(cheaperAway, r.Now)
	}
	return r.Pool.spillover.leavesRegion(r.Pool, r.spilloverKey(), cheaperAway, r.Now)
}

// spilloverKey returns the key whose hash decides whether the request spills over
// to another region. Requests without a key are spread by time.
func (r *Request) spilloverKey() uint64 {
	if r.Key != 0 {
		return r.Key
	}
	return uint64(r.Now) * hashMultiplier
}

// admit starts the request at the best candidate. If that one admits no more
// requests at the moment, it tries the next best one.
func (r *Request) admit(set candidateSet) Decision {
	for {
		c := set.members[set.best()]
		if int64(c.expected) > r.Deadline-r.Now || r.queueTooLong(&c) {
			return Decision{Reason: Overload, RetryAfter: r.retryAfter(c.wait), Expected: c.expected, Wait: c.wait, Load: c.load, ReportAge: c.reportAge}
		}
		if c.upstream.admit(r.Now) {
			c.upstream.begin(r.Now)
			if left := c.upstream.Region != set.homeRegion; left != set.away {
				r.Pool.spillover.moveLimiter.correct(left)
			}
			return Decision{Upstream: c.upstream, At: r.Now, Expected: c.expected, ExpectedCold: c.expectedCold, Wait: c.wait, LikelyWarm: c.likelyWarm, KnownWarm: c.knownWarm, Load: c.load, ReportAge: c.reportAge}
		}
		set.members = slices.DeleteFunc(set.members, func(x candidate) bool { return x.upstream == c.upstream })
		if len(set.members) == 0 {
			return Decision{Reason: Overload, RetryAfter: r.retryAfter(minRetryAfter)}
		}
	}
}

// queueTooLong reports whether the wait for a slot alone exceeds the route's
// latency aim. The request would be answered late, and so would all those queued
// behind it. An aim shorter than a warm run cannot be met, so the warm service
// time is the bound then. The wait at an upstream that shares its machine with others
// cannot be foreseen well enough, because its speed changes several times a second.
func (r *Request) queueTooLong(c *candidate) bool {
	return !c.sharesMachine && r.Route.Aim > 0 && c.wait > max(r.Route.Aim, time.Duration(r.serviceTime().warm()))
}

// retryAfter returns the delay after which a slot is likely to be free, given the
// current wait. Jitter keeps callers from retrying together.
func (r *Request) retryAfter(wait time.Duration) time.Duration {
	d := min(max(wait/2, minRetryAfter), maxRetryAfter)
	return d + r.jitter(d/2)
}

// jitter returns a pseudo-random duration below limit.
func (r *Request) jitter(limit time.Duration) time.Duration {
	return time.Duration(float64(limit) * unitHash(r.Key^uint64(r.Now)))
}

// score computes the costs of candidates. Their upstreams are assumed to have
// cached the request's key even if this instance has not sent it, since other
// instances may have.
func (r *Request) score(candidates []candidate) {
	for i := range candidates {
		r.scoreOne(&candidates[i])
	}
}

// serviceTime returns the estimated service time of the route's requests at the upstreams of
// the request's pool.
func (r *Request) serviceTime() *serviceTime {
	for i := range r.Route.Pools {
		if p := &r.Route.Pools[i]; p.Pool == r.Pool {
			return p.serviceTime
		}
	}
	return r.Route.Pools[0].serviceTime
}

func (r *Request) scoreOne(c *candidate) {
	u := c.upstream
	s := u.snapshot(r.Now, r.Key)
	serviceTime := r.serviceTime()
	c.load, c.reportAge = s.load, s.reportAge
	c.knownWarm = s.warm
	c.likelyWarm = s.warm || r.Key != 0
	runTime := serviceTime.cold()
	switch {
	case c.knownWarm:
		runTime = serviceTime.warm()
	case c.likelyWarm:
		runTime = serviceTime.likelyWarm()
	}
	slots := float64(max(1, u.Slots))
	slowdown := s.slowdown
	if u.cold(r.Now) {
		slowdown *= 2
	}
	wait := max(0, s.load+1-slots) / slots * serviceTime.mean() * slowdown
	c.wait = time.Duration(wait)
	c.sharesMachine = s.sharesMachine
	c.expected = u.RTT + time.Duration(wait+runTime*slowdown)
	c.expectedCold = u.RTT + time.Duration(wait+serviceTime.cold()*slowdown)
	c.cost = float64(c.expected)
	if u == r.probing {
		return
	}
	c.cost += failureCostFactor * s.failureRate * float64(r.Route.Aim)
	// Balances the load among otherwise equal upstreams.
	c.cost += s.load / slots * serviceTime.warm() / 4
	if silence := s.silence - time.Duration(serviceTime.cold()*slowdown) - c.wait; silence > maxSilence {
		c.cost += float64(unavailableCost)
	}
	if s.down || u.path.down(r.Now) {
		c.cost += float64(unavailableCost)
	}
	if c.secondary {
		c.cost += secondaryCost(serviceTime, s, slots)
	}
}

// secondaryCost reserves a key's secondary upstreams for requests that the first
// one cannot run at once: they may not have cached the key yet, and a cold run
// must not displace other requests.
func secondaryCost(t *serviceTime, s snapshot, slots float64) float64 {
	cost := 0.0
	if !s.warm {
		cost += t.cold() - t.warm()
	}
	if s.load+1 > slots {
		cost += float64(unavailableCost)
	}
	return cost
}
