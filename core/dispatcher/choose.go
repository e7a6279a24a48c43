package dispatcher

import (
	"slices"
	"sync/atomic"
	"time"
)

// Reason says why a request was refused.
type Reason string

// Reasons of refusals.
const (
	// NoUpstream means that the service has no usable upstream.
	NoUpstream Reason = "no upstream"
	// Overload means that no upstream can answer in time.
	Overload Reason = "overload"
	// Budget means that the service's retry budget is used up.
	RetryBudgetExhausted Reason = "retry budget"
	// Paused means that all upstreams of the service have asked for a pause.
	Paused Reason = "upstreams pause"
)

const (
	// failedCost is the cost of a failure in multiples of the route's aim.
	failureCostFactor = 2
	// downCost keeps requests away from unreachable upstreams while there are
	// others.
	unavailableCost = 2 * time.Second
	// strayCost keeps requests in the region where they should run.
	wrongRegionCost = time.Second
	// minReturn and maxReturn bound the time after which a refused request may
	// come back.
	minRetryAfter = 60 * time.Millisecond
	maxRetryAfter = 1500 * time.Millisecond
	// hashMix separates the hashes of one key for different purposes.
	hashMultiplier = 0x9e3779b97f4a7c15
)

// Request is what a decision depends on.
type Request struct {
	Route *Route
	Pool  *Pool
	// Key is the hash of the object that the request concerns, 0 if unknown.
	Key uint64
	Now int64
	// Deadline is the time after which an answer is worth nothing.
	Deadline int64
	// Tried lists the upstreams that the request was sent to before.
	Tried []*Upstream
	// probed is the upstream at which the request tries whether a cut way works
	// again.
	probing *Upstream
}

// Decision is the outcome of Choose. Without an upstream the request is refused.
type Decision struct {
	Upstream *Upstream
	// Expected is the time that the answer should take, of which Wait is spent
	// waiting for a slot.
	Expected, Wait time.Duration
	// Unknown is the time that the answer should take if the upstream does not
	// know the request's key.
	ExpectedCold time.Duration
	// Warm tells that the upstream should know the request's key, Known that this
	// instance has sent it there lately.
	LikelyWarm, KnownWarm bool
	// Load is the estimated number of requests at the upstream, Age that of
	// the upstream's own report that it rests on.
	Load      float64
	ReportAge time.Duration
	// Reason and Return explain a refusal and say when to come back.
	Reason     Reason
	RetryAfter time.Duration
}

// SelectPart returns the service that takes a request of the route. Requests
// of one key prefer one service, as long as all services keep their shares.
func (r *Route) SelectPool(key uint64, now int64) *Pool {
	if len(r.Pools) == 0 {
		return nil
	}
	if len(r.Pools) == 1 {
		return r.Pools[0].Pool
	}
	if key == 0 {
		key = uint64(now) * hashMultiplier
	}
	i := r.poolIndex(key)
	r.Pools[i].sent.add()
	return r.Pools[i].Pool
}

// partOf picks a part by the key's hash unless that part is ahead of its share.
func (r *Route) poolIndex(key uint64) int {
	const slack = 3
	total := 1.0
	for i := range r.Pools {
		total += r.Pools[i].sent.value()
	}
	point := unitHash(key * hashMultiplier)
	picked, behind, lag := len(r.Pools)-1, 0, -1e18
	sum := 0.0
	for i := range r.Pools {
		sum += r.Pools[i].share
		if point < sum {
			picked = min(picked, i)
		}
		if d := r.Pools[i].share*total - r.Pools[i].sent.value(); d > lag {
			behind, lag = i, d
		}
	}
	p := &r.Pools[picked]
	if p.sent.value() > p.share*total+slack {
		return behind
	}
	return picked
}

// counter counts requests and forgets old ones by halves.
type decayingCounter struct{ n atomic.Int64 }

// counterSize is the count at which a counter is halved. All parts of a route
// are halved alike only on average, which their shares bear.
const counterLimit = 4096

func (c *decayingCounter) add() {
	if n := c.n.Add(1); n >= counterLimit {
		c.n.Store(n / 2)
	}
}

func (c *decayingCounter) value() float64 { return float64(c.n.Load()) }

// candidate is an upstream with its cost.
type candidate struct {
	upstream       *Upstream
	cost           float64
	wait, expected time.Duration
	// unknown is the time that it takes if the key is not known.
	expectedCold time.Duration
	// warm tells that the upstream should know the key, known that this instance
	// has sent it there.
	likelyWarm, knownWarm bool
	rank                  uint64
	load                  float64
	reportAge             time.Duration
	// second tells that the upstream takes the key's requests only in empty slots.
	secondary bool
}

// Choose picks the upstream with the least expected time to an answer. The
// caller must call Done on the decision's upstream after the exchange.
func Choose(r *Request) Decision {
	var buf [maxCandidates]candidate
	preferred := r.candidates(buf[:0])
	if len(preferred) == 0 {
		return r.noCandidate()
	}
	if u := preferred[0].upstream; u.path.down(r.Now) && u.path.tryProbe(r.Now) {
		r.probing = u
	}
	r.score(preferred)
	f := candidateSet{members: preferred, homeRegion: r.homeRegion(preferred)}
	f.away = r.leavesHome(f, f.cheapest())
	return r.admit(f)
}

// nobody is the decision if no upstream may take the request.
func (r *Request) noCandidate() Decision {
	until, ok := r.firstPauseEnd()
	if !ok {
		return Decision{Reason: NoUpstream, RetryAfter: maxRetryAfter / 4}
	}
	// Callers that are told the same time must not return together.
	return Decision{Reason: Paused, RetryAfter: time.Duration(until-r.Now) + r.jitter(maxRetryAfter/4)}
}

// home is the region where the request should run: that of its key's owner if it
// has one, the own region otherwise.
func (r *Request) homeRegion(preferred []candidate) string {
	if r.owned() {
		return preferred[0].upstream.Region
	}
	return r.Pool.region
}

// leaves decides whether the request runs in another region than its home. The
// share of requests that do so moves within a bound.
func (r *Request) leavesHome(f candidateSet, best int) bool {
	rather := f.outsideHome(best)
	if r.owned() {
		return r.Pool.spillover.moveLimiter.limit(rather, r.Now)
	}
	return r.Pool.spillover.leavesRegion(r.Pool, r.spilloverKey(), rather, r.Now)
}

// spillKey orders requests for the bounds on moves between regions.
func (r *Request) spilloverKey() uint64 {
	if r.Key != 0 {
		return r.Key
	}
	return uint64(r.Now) * hashMultiplier
}

// enter takes a place at the best candidate, or at the next best one if it takes
// no more requests at present.
func (r *Request) admit(f candidateSet) Decision {
	for {
		c := f.members[f.best()]
		if int64(c.expected) > r.Deadline-r.Now || r.queueTooLong(&c) {
			return Decision{Reason: Overload, RetryAfter: r.retryAfter(c.wait), Expected: c.expected, Wait: c.wait, Load: c.load, ReportAge: c.reportAge}
		}
		if c.upstream.admit(r.Now) {
			c.upstream.begin(r.Now)
			if left := c.upstream.Region != f.homeRegion; left != f.away {
				r.Pool.spillover.moveLimiter.correct(left)
			}
			return Decision{Upstream: c.upstream, Expected: c.expected, ExpectedCold: c.expectedCold, Wait: c.wait, LikelyWarm: c.likelyWarm, KnownWarm: c.knownWarm, Load: c.load, ReportAge: c.reportAge}
		}
		f.members = slices.DeleteFunc(f.members, func(x candidate) bool { return x.upstream == c.upstream })
		if len(f.members) == 0 {
			return Decision{Reason: Overload, RetryAfter: r.retryAfter(minRetryAfter)}
		}
	}
}

// crowded tells whether the wait for a slot alone takes longer than the aim. In its
// place a request would be answered late, and so would all those behind it. An aim
// that no run can reach says nothing.
func (r *Request) queueTooLong(c *candidate) bool {
	return r.Route.Aim > 0 && c.wait > max(r.Route.Aim, time.Duration(r.Route.serviceTime.warm()))
}

// comeBack is when room is likely after a wait of the given length: somewhat
// spread, so that callers do not return together.
func (r *Request) retryAfter(wait time.Duration) time.Duration {
	d := min(max(wait/2, minRetryAfter), maxRetryAfter)
	return d + r.jitter(d/2)
}

// spread is a part of the given time, so that callers do not return together.
func (r *Request) jitter(most time.Duration) time.Duration {
	return time.Duration(float64(most) * unitHash(r.Key^uint64(r.Now)))
}

// usable tells whether the upstream may take the request.
func (r *Request) usable(u *Upstream) bool {
	return u.Available(r.Now) && r.allowedRegion(u) && !slices.Contains(r.Tried, u)
}

// candidate returns an upstream with its rank, which orders upstreams for a key
// alike on all instances.
func (r *Request) candidate(u *Upstream) candidate {
	rank := (r.Key ^ u.seed) * hashMultiplier
	rank ^= rank >> 29
	return candidate{upstream: u, rank: rank * hashMultiplier}
}

// group is where an upstream lies from an instance's point of view.
type locality uint8

const (
	sameDomain locality = iota
	sameRegion
	otherRegion
	localities
)

// group returns the group of an upstream for the request. Only large answers
// keep to the failure domain: a key that two domains share runs cold twice.
func (r *Request) locality(u *Upstream) locality {
	switch {
	case u.remote():
		return otherRegion
	case r.Route.Bulk && u.RTT == sameDomainRTT:
		return sameDomain
	}
	return sameRegion
}

// replicas is the number of upstreams of a group that may know the key.
func (r *Request) replicas(g locality) int {
	if g == sameRegion && !r.Route.Bulk {
		return 2
	}
	return 1
}

// maxPreferred is the largest number of upstreams that may know a key.
const maxCandidates = int(localities) + 1

// preferred lists the usable upstreams that may know the key: the first ones by
// rank of each group, in the order of the groups. Without a key all may take
// the request.
func (r *Request) candidates(found []candidate) []candidate {
	if r.Key == 0 {
		return r.allUsable(found)
	}
	if r.owned() {
		return r.ownerCandidates(found)
	}
	var first, second [localities]candidate
	for _, u := range r.Pool.Upstreams {
		if !r.usable(u) {
			continue
		}
		c, g := r.candidate(u), r.locality(u)
		switch {
		case first[g].upstream == nil || c.rank > first[g].rank:
			first[g], second[g] = c, first[g]
		case second[g].upstream == nil || c.rank > second[g].rank:
			second[g] = c
		}
	}
	for g := range localities {
		if first[g].upstream != nil {
			found = append(found, first[g])
		}
		if second[g].upstream != nil && r.replicas(g) > 1 {
			second[g].secondary = true
			found = append(found, second[g])
		}
	}
	return found
}

// all lists all usable upstreams.
func (r *Request) allUsable(found []candidate) []candidate {
	for _, u := range r.Pool.Upstreams {
		if r.usable(u) {
			found = append(found, r.candidate(u))
		}
	}
	return found
}

func (r *Request) allowedRegion(u *Upstream) bool {
	return len(r.Route.Homes) == 0 || slices.Contains(r.Route.Homes, u.Region)
}

// weigh computes the costs of candidates. Another instance may have sent the
// request's key to their upstreams.
func (r *Request) score(found []candidate) {
	for i := range found {
		r.scoreOne(&found[i])
	}
}

func (r *Request) scoreOne(c *candidate) {
	u := c.upstream
	s := u.snapshot(r.Now, r.Key)
	work := r.Route.serviceTime
	c.load, c.reportAge = s.load, s.reportAge
	c.knownWarm = s.warm
	c.likelyWarm = s.warm || r.Key != 0
	run := work.cold()
	switch {
	case c.knownWarm:
		run = work.warm()
	case c.likelyWarm:
		run = work.likelyWarm()
	}
	slots := float64(max(1, u.Slots))
	slow := s.slowdown
	if u.cold(r.Now) {
		slow *= 2
	}
	wait := max(0, s.load+1-slots) / slots * work.mean() * slow
	c.wait = time.Duration(wait)
	c.expected = u.RTT + time.Duration(wait+run*slow)
	c.expectedCold = u.RTT + time.Duration(wait+work.cold()*slow)
	c.cost = float64(c.expected)
	if u == r.probing {
		return
	}
	c.cost += failureCostFactor * s.failureRate * float64(r.Route.Aim)
	// Evens out the load among upstreams that are alike.
	c.cost += s.load / slots * work.warm() / 4
	if late := s.silence - time.Duration(work.cold()*slow) - c.wait; late > maxSilence {
		c.cost += float64(unavailableCost)
	}
	if s.down || u.path.down(r.Now) {
		c.cost += float64(unavailableCost)
	}
	if c.secondary {
		c.cost += secondaryCost(work, s, slots)
	}
}

// secondCost keeps the second upstream of a key for what the first one cannot
// take at once: it may not know the key yet, and a run without it must not
// displace others.
func secondaryCost(w *serviceTime, s snapshot, slots float64) float64 {
	cost := 0.0
	if !s.warm {
		cost += w.cold() - w.warm()
	}
	if s.load+1 > slots {
		cost += float64(unavailableCost)
	}
	return cost
}
