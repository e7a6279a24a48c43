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
	failedCost = 2
	// downCost keeps requests away from unreachable upstreams while there are
	// others.
	downCost = 2 * time.Second
	// strayCost keeps requests in the region where they should run.
	strayCost = time.Second
	// minReturn and maxReturn bound the time after which a refused request may
	// come back.
	minReturn = 60 * time.Millisecond
	maxReturn = 1500 * time.Millisecond
	// hashMix separates the hashes of one key for different purposes.
	hashMix = 0x9e3779b97f4a7c15
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
	probed *Upstream
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
		key = uint64(now) * hashMix
	}
	i := r.partOf(key)
	r.Pools[i].sent.add()
	return r.Pools[i].Pool
}

// partOf picks a part by the key's hash unless that part is ahead of its share.
func (r *Route) partOf(key uint64) int {
	const slack = 3
	total := 1.0
	for i := range r.Pools {
		total += r.Pools[i].sent.value()
	}
	point := spillPoint(key * hashMix)
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
type counter struct{ n atomic.Int64 }

// counterSize is the count at which a counter is halved. All parts of a route
// are halved alike only on average, which their shares bear.
const counterSize = 4096

func (c *counter) add() {
	if n := c.n.Add(1); n >= counterSize {
		c.n.Store(n / 2)
	}
}

func (c *counter) value() float64 { return float64(c.n.Load()) }

// candidate is an upstream with its cost.
type candidate struct {
	u          *Upstream
	cost       float64
	wait, took time.Duration
	// unknown is the time that it takes if the key is not known.
	unknown time.Duration
	// warm tells that the upstream should know the key, known that this instance
	// has sent it there.
	warm, known bool
	rank        uint64
	load        float64
	report      time.Duration
	// second tells that the upstream takes the key's requests only in empty slots.
	second bool
}

// Choose picks the upstream with the least expected time to an answer. The
// caller must call Done on the decision's upstream after the exchange.
func Choose(r *Request) Decision {
	var buf [maxPreferred]candidate
	preferred := r.preferred(buf[:0])
	if len(preferred) == 0 {
		return r.nobody()
	}
	if u := preferred[0].u; u.path.cut(r.Now) && u.path.probe(r.Now) {
		r.probed = u
	}
	r.weigh(preferred)
	f := field{found: preferred, home: r.home(preferred)}
	f.away = r.leaves(f, f.cheapest())
	return r.enter(f)
}

// nobody is the decision if no upstream may take the request.
func (r *Request) nobody() Decision {
	until, ok := r.firstReturn()
	if !ok {
		return Decision{Reason: NoUpstream, RetryAfter: maxReturn / 4}
	}
	// Callers that are told the same time must not return together.
	return Decision{Reason: Paused, RetryAfter: time.Duration(until-r.Now) + r.spread(maxReturn/4)}
}

// home is the region where the request should run: that of its key's owner if it
// has one, the own region otherwise.
func (r *Request) home(preferred []candidate) string {
	if r.owned() {
		return preferred[0].u.Region
	}
	return r.Pool.region
}

// leaves decides whether the request runs in another region than its home. The
// share of requests that do so moves within a bound.
func (r *Request) leaves(f field, best int) bool {
	rather := f.strays(best)
	if r.owned() {
		return r.Pool.spill.moves.bound(rather, r.Now)
	}
	return r.Pool.spill.leaves(r.Pool, r.spillKey(), rather, r.Now)
}

// spillKey orders requests for the bounds on moves between regions.
func (r *Request) spillKey() uint64 {
	if r.Key != 0 {
		return r.Key
	}
	return uint64(r.Now) * hashMix
}

// enter takes a place at the best candidate, or at the next best one if it takes
// no more requests at present.
func (r *Request) enter(f field) Decision {
	for {
		c := f.found[f.best()]
		if int64(c.took) > r.Deadline-r.Now || r.crowded(&c) {
			return Decision{Reason: Overload, RetryAfter: r.comeBack(c.wait), Expected: c.took, Wait: c.wait, Load: c.load, ReportAge: c.report}
		}
		if c.u.admit(r.Now) {
			c.u.enter(r.Now)
			if left := c.u.Region != f.home; left != f.away {
				r.Pool.spill.moves.correct(left)
			}
			return Decision{Upstream: c.u, Expected: c.took, ExpectedCold: c.unknown, Wait: c.wait, LikelyWarm: c.warm, KnownWarm: c.known, Load: c.load, ReportAge: c.report}
		}
		f.found = slices.DeleteFunc(f.found, func(x candidate) bool { return x.u == c.u })
		if len(f.found) == 0 {
			return Decision{Reason: Overload, RetryAfter: r.comeBack(minReturn)}
		}
	}
}

// crowded tells whether the wait for a slot alone takes longer than the aim. In its
// place a request would be answered late, and so would all those behind it. An aim
// that no run can reach says nothing.
func (r *Request) crowded(c *candidate) bool {
	return r.Route.Aim > 0 && c.wait > max(r.Route.Aim, time.Duration(r.Route.work.warm()))
}

// comeBack is when room is likely after a wait of the given length: somewhat
// spread, so that callers do not return together.
func (r *Request) comeBack(wait time.Duration) time.Duration {
	d := min(max(wait/2, minReturn), maxReturn)
	return d + r.spread(d/2)
}

// spread is a part of the given time, so that callers do not return together.
func (r *Request) spread(most time.Duration) time.Duration {
	return time.Duration(float64(most) * spillPoint(r.Key^uint64(r.Now)))
}

// usable tells whether the upstream may take the request.
func (r *Request) usable(u *Upstream) bool {
	return u.Available(r.Now) && r.allowed(u) && !slices.Contains(r.Tried, u)
}

// candidate returns an upstream with its rank, which orders upstreams for a key
// alike on all instances.
func (r *Request) candidate(u *Upstream) candidate {
	rank := (r.Key ^ u.seed) * hashMix
	rank ^= rank >> 29
	return candidate{u: u, rank: rank * hashMix}
}

// group is where an upstream lies from an instance's point of view.
type group uint8

const (
	ownDomain group = iota
	ownRegion
	otherRegion
	groups
)

// group returns the group of an upstream for the request. Only large answers
// keep to the failure domain: a key that two domains share runs cold twice.
func (r *Request) group(u *Upstream) group {
	switch {
	case u.remote():
		return otherRegion
	case r.Route.Bulk && u.RTT == domainTrip:
		return ownDomain
	}
	return ownRegion
}

// replicas is the number of upstreams of a group that may know the key.
func (r *Request) replicas(g group) int {
	if g == ownRegion && !r.Route.Bulk {
		return 2
	}
	return 1
}

// maxPreferred is the largest number of upstreams that may know a key.
const maxPreferred = int(groups) + 1

// preferred lists the usable upstreams that may know the key: the first ones by
// rank of each group, in the order of the groups. Without a key all may take
// the request.
func (r *Request) preferred(found []candidate) []candidate {
	if r.Key == 0 {
		return r.all(found)
	}
	if r.owned() {
		return r.owners(found)
	}
	var first, second [groups]candidate
	for _, u := range r.Pool.Upstreams {
		if !r.usable(u) {
			continue
		}
		c, g := r.candidate(u), r.group(u)
		switch {
		case first[g].u == nil || c.rank > first[g].rank:
			first[g], second[g] = c, first[g]
		case second[g].u == nil || c.rank > second[g].rank:
			second[g] = c
		}
	}
	for g := range groups {
		if first[g].u != nil {
			found = append(found, first[g])
		}
		if second[g].u != nil && r.replicas(g) > 1 {
			second[g].second = true
			found = append(found, second[g])
		}
	}
	return found
}

// all lists all usable upstreams.
func (r *Request) all(found []candidate) []candidate {
	for _, u := range r.Pool.Upstreams {
		if r.usable(u) {
			found = append(found, r.candidate(u))
		}
	}
	return found
}

func (r *Request) allowed(u *Upstream) bool {
	return len(r.Route.Homes) == 0 || slices.Contains(r.Route.Homes, u.Region)
}

// weigh computes the costs of candidates. Another instance may have sent the
// request's key to their upstreams.
func (r *Request) weigh(found []candidate) {
	for i := range found {
		r.weighOne(&found[i])
	}
}

func (r *Request) weighOne(c *candidate) {
	u := c.u
	s := u.state(r.Now, r.Key)
	work := r.Route.work
	c.load, c.report = s.load, s.report
	c.known = s.warm
	c.warm = s.warm || r.Key != 0
	run := work.cold()
	switch {
	case c.known:
		run = work.warm()
	case c.warm:
		run = work.assumed()
	}
	slots := float64(max(1, u.Slots))
	slow := s.slow
	if u.cold(r.Now) {
		slow *= 2
	}
	wait := max(0, s.load+1-slots) / slots * work.mean() * slow
	c.wait = time.Duration(wait)
	c.took = u.RTT + time.Duration(wait+run*slow)
	c.unknown = u.RTT + time.Duration(wait+work.cold()*slow)
	c.cost = float64(c.took)
	if u == r.probed {
		return
	}
	c.cost += failedCost * s.failing * float64(r.Route.Aim)
	// Evens out the load among upstreams that are alike.
	c.cost += s.load / slots * work.warm() / 4
	if late := s.late - time.Duration(work.cold()*slow) - c.wait; late > silenceTime {
		c.cost += float64(downCost)
	}
	if s.down || u.path.cut(r.Now) {
		c.cost += float64(downCost)
	}
	if c.second {
		c.cost += secondCost(work, s, slots)
	}
}

// secondCost keeps the second upstream of a key for what the first one cannot
// take at once: it may not know the key yet, and a run without it must not
// displace others.
func secondCost(w *work, s state, slots float64) float64 {
	cost := 0.0
	if !s.warm {
		cost += w.cold() - w.warm()
	}
	if s.load+1 > slots {
		cost += float64(downCost)
	}
	return cost
}
