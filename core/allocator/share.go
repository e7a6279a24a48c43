package allocator

import (
	"math"
	"sync"
	"time"
)

const (
	// slotTime is the granularity of the count of recent requests.
	slotTime  = 100 * time.Millisecond
	slotCount = int(reportDelay/slotTime) + 1
)

// Share is the part of a bound at one instance. Its zero value admits all requests, because
// it has no limit. A Share must not be copied.
type Share struct {
	mu    sync.Mutex
	grant Grant
	// recent counts the admitted requests of the last slots, the current one at
	// index slot % slotCount.
	recent [slotCount]float64
	slot   int64
	// arrived counts the requests since sampledAt, demand is their average rate.
	arrived   uint64
	admitted  uint64
	refused   uint64
	demand    float64
	sampledAt int64
	// seed spreads the rounding over instances and bounds.
	seed uint64
}

// Use is what a Share has done, for operators.
type Use struct {
	Grant             Grant
	Admitted, Refused uint64
	Demand            float64
}

// SetSeed sets a number that differs between instances and bounds.
func (s *Share) SetSeed(seed uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seed = seed
}

// Update replaces the grant.
func (s *Share) Update(g Grant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grant = g
}

// Limit sets the bound, and the part of the instance as long as there has been no total. It
// takes effect before the next totals.
func (s *Share) Limit(b Bound, instances int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.grant.At == 0 {
		s.grant = NewGrant(b, 0, Total{Level: b.Burst}, instances, 0)
		return
	}
	if b.Rate < s.grant.Bound.Rate || b.Burst < s.grant.Bound.Burst {
		s.grant.Headroom = min(s.grant.Headroom, b.Burst+b.margin())
	}
	s.grant.Bound = b
}

// Refusal says why a request is not admitted, and when the caller may come back.
type Refusal struct {
	RetryAfter time.Duration
	Basis      Basis
	// Headroom is the number of tokens of all instances that may be used.
	Headroom float64
}

// Take admits a request, or returns why it is refused.
func (s *Share) Take(now int64) (r Refusal, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrived++
	if !s.grant.Bound.Limited() {
		s.admitted++
		return r, true
	}
	s.advance(now)
	if r, ok = s.decide(now); !ok {
		s.refused++
		return r, false
	}
	s.count(now, 1)
	s.admitted++
	return r, true
}

// Preview returns what Take would, and counts nothing.
func (s *Share) Preview(now int64) (r Refusal, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.grant.Bound.Limited() {
		return r, true
	}
	s.advance(now)
	return s.decide(now)
}

// decide returns whether a request may be admitted.
func (s *Share) decide(now int64) (r Refusal, ok bool) {
	allowed := s.grant.allowed(now)
	used := 0.0
	for _, n := range s.recent {
		used += n
	}
	if used+1 > allowed && used+unit(s.seed^uint64(now/int64(reportDelay))) >= allowed && !s.byChance(now, used) {
		return Refusal{s.retryAfter(now), s.grant.Basis(now), s.grant.Headroom}, false
	}
	return r, true
}

// byChance reports whether a request is admitted although the instance's part of the tokens
// is too small to count them.
func (s *Share) byChance(now int64, used float64) bool {
	g := &s.grant
	return g.Basis(now) == Scarce && g.Part*g.Headroom < minCounted && used < g.Mean+3*math.Sqrt(g.Mean)+2 &&
		unit(s.seed^uint64(now)^s.admitted<<32^s.refused) < g.Chance
}

// Charge counts one more run of an admitted request.
func (s *Share) Charge(now int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now)
	s.count(now, 1)
	s.admitted++
}

// Return takes an admission back, because the request has not run.
func (s *Share) Return(now int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.admitted > 0 {
		s.admitted--
	}
	s.advance(now)
	s.recent[s.slot%int64(slotCount)]--
}

// advance empties the slots that have passed.
func (s *Share) advance(now int64) {
	slot := now / int64(slotTime)
	for n := 0; s.slot < slot && n < slotCount; n++ {
		s.slot++
		s.recent[s.slot%int64(slotCount)] = 0
	}
	s.slot = max(s.slot, slot)
}

func (s *Share) count(now int64, n float64) {
	s.recent[now/int64(slotTime)%int64(slotCount)] += n
}

const (
	// elsewhereRetryAfter is the Retry-After of a request that another instance may be
	// able to admit. minRetryAfter and maxRetryAfter bound that of others.
	elsewhereRetryAfter          = 60 * time.Millisecond
	minRetryAfter, maxRetryAfter = 200 * time.Millisecond, 2 * time.Second
)

// retryAfter returns the time until tokens are left for all, or a short time if only this
// instance has none.
func (s *Share) retryAfter(now int64) time.Duration {
	g := &s.grant
	wait := elsewhereRetryAfter
	if g.Basis(now) == Scarce && g.Bound.Rate > 0 {
		// All demand beyond the rate has to wait, the more the scarcer the tokens are.
		missing := max(0, 1-g.Headroom) / g.Bound.Rate
		wait = min(max(time.Duration(missing*float64(time.Second)), minRetryAfter), maxRetryAfter)
	}
	// Spread, so that callers who are refused together don't return together.
	return time.Duration(float64(wait) * (0.75 + 0.5*unit(s.seed+uint64(now))))
}

// Sample returns the report of this instance. It is called once in each ReportInterval.
func (s *Share) Sample(now int64) Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	if took := now - s.sampledAt; s.sampledAt != 0 && took > 0 {
		rate := float64(s.arrived) / time.Duration(took).Seconds()
		s.demand += (rate - s.demand) * (1 - math.Exp(-float64(took)/float64(demandTime)))
	}
	s.arrived, s.sampledAt = 0, now
	return Report{Admitted: s.admitted, Demand: s.demand}
}

// Use returns what the share has done.
func (s *Share) Use() Use {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Use{Grant: s.grant, Admitted: s.admitted, Refused: s.refused, Demand: s.demand}
}

// unit hashes a number to [0, 1).
func unit(n uint64) float64 {
	n ^= n >> 33
	n *= 0xff51afd7ed558ccd
	n ^= n >> 33
	n *= 0xc4ceb9fe1a85ec53
	n ^= n >> 33
	return float64(n>>11) / (1 << 53)
}
