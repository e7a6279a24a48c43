package router

import "hornbeamstream.example/core/limiter"

const (
	// maxOwnersExamined bounds the owners of a tier that one search examines.
	maxOwnersExamined = 8
	// maxTargetsScanned is the number of targets up to which all are compared.
	maxTargetsScanned = 16
	// maxCandidates bounds the candidates that a search keeps.
	maxCandidates = 3
	// maxRounds bounds how often a search runs because concurrent requests took
	// the slots that it had found.
	maxRounds = 3
	// spilloverRatio is the ratio of free slots, at headroom weight 1, at or below
	// which more distant owners are considered too.
	spilloverRatio = 0.15
	// delayScale is the one-way delay in nanoseconds that weighs as much as a
	// ratio of free slots of 1.
	delayScale = 100e6
	// unknownFreeRatio is the ratio of free slots assumed for an owner without a
	// recent report, probeSlots the number of free slots assumed for one that
	// reported none and is due for a probe.
	unknownFreeRatio = 0.5
	probeSlots       = 1.0
)

// candidate is a possible destination that seems to have a free slot: a target of
// this instance or a peer.
type candidate struct {
	target *Target
	owner  *owner
	region *regionOwners
	link   *limiter.BandwidthLimiter
	score  float64
}

// search is the state of one call of Choose. It is kept on the stack.
type search struct {
	table   *Table
	request *Request
	tried   *Tried
	home    *regionOwners
	now     int64
	hash    uint64
	// leaveTenths is the share of slots, in tenths, that must stay free for
	// requests of higher priority.
	leaveTenths int
	// ownerSeen reports whether the service has an owner, someTooLate whether one
	// was too far away or too slow to respond before the deadline, someInTime
	// whether one could respond in time.
	ownerSeen, someTooLate, someInTime bool
	// capExhausted reports whether the shift's cap had no token left.
	capExhausted bool
	candidates   [maxCandidates]candidate
	count        int
}

// Choose chooses the destination of a request. If the choice has a Target, its
// gate has been acquired and the caller must release it.
func (t *Table) Choose(q *Request, now int64, tried *Tried) (Choice, Reason) {
	if now >= q.Deadline {
		return Choice{}, DeadlineExceeded
	}
	s := search{table: t, request: q, tried: tried, now: now, hash: q.Hash}
	if tried != nil {
		s.hash += uint64(tried.count) * 0x9e3779b97f4a7c15
	}
	s.hash = mix(s.hash)
	s.leaveTenths = max(0, q.Priority-q.Service.Priority)
	switch {
	case q.Forwarded:
		return s.chooseLocal()
	case q.Service.defaultPlan == nil:
		return s.chooseWithoutPlan()
	case len(q.Service.Targets) == 0 && len(q.Service.Peers) == 0:
		return Choice{}, NoUpstream
	}
	return s.choosePlanned()
}

// chooseLocal routes a forwarded request to a target of this instance. A
// bulk request is refused while its response would have to wait for the link.
func (s *search) chooseLocal() (Choice, Reason) {
	entry := s.request.EntryRegion
	if entry == "" {
		entry = s.request.Region
	}
	link := s.table.counters.links[entry]
	s.ownerSeen = len(s.request.Service.Targets) > 0
	if link != nil && !link.Ready(s.now, s.request.Service.Bulk) {
		s.someInTime = true
		return s.refuse()
	}
	for range maxRounds {
		t, _ := s.bestTarget()
		if t == nil {
			break
		}
		if s.acquire(t) {
			return Choice{Target: t, Link: link}, OK
		}
	}
	return s.refuse()
}

// chooseWithoutPlan tries the targets and all peers of a table that was not made
// by Build.
func (s *search) chooseWithoutPlan() (Choice, Reason) {
	if t, _ := s.bestTarget(); t != nil && s.acquire(t) {
		return Choice{Target: t}, OK
	}
	for _, p := range s.request.Service.Peers {
		if !s.tried.hasPeer(p) && p.Path.WouldAllow(s.now) && p.Credits[s.request.Service.Name].Take(s.now) && p.Path.Allow(s.now) {
			return Choice{Peer: p}, OK
		}
	}
	return Choice{}, NoFreeSlot
}

// choosePlanned follows the plan for the caller's region.
func (s *search) choosePlanned() (Choice, Reason) {
	svc := s.request.Service
	p := svc.plans[s.request.Region]
	if p == nil {
		p = svc.defaultPlan
	}
	if len(p.regions) == 0 {
		return Choice{}, NoUpstream
	}
	homeIndex := p.homeIndex(mix(s.request.Hash ^ weightSeed))
	s.home = p.regions[homeIndex]
	if c, ok := s.applyShift(p); ok {
		return c, OK
	}
	for range maxRounds {
		s.count = 0
		s.collect(p, homeIndex)
		if s.count == 0 {
			break
		}
		if c, ok := s.commit(); ok {
			c.ShiftCapped = s.capExhausted
			return c, OK
		}
	}
	return s.refuse()
}

// collect collects candidates, from the home region first, until one has
// headroom.
func (s *search) collect(p *plan, homeIndex int) {
	if s.collectRegion(s.home) {
		return
	}
	for i, a := range p.regions {
		if i != homeIndex && s.collectRegion(a) {
			return
		}
	}
}

// refuse returns the reason why no destination was found.
func (s *search) refuse() (Choice, Reason) {
	switch {
	case s.someTooLate && !s.someInTime:
		return Choice{}, DeadlineExceeded
	case s.ownerSeen || len(s.request.Service.Targets) > 0:
		return Choice{}, NoFreeSlot
	}
	return Choice{}, NoUpstream
}

// applyShift routes the request to the target region of the service's shift if
// the shift applies to it.
func (s *search) applyShift(p *plan) (Choice, bool) {
	shift := s.request.Service.shift
	if shift == nil || shift.from != s.home.region || !shift.includes(s.request.Hash, s.now) {
		return Choice{}, false
	}
	for _, a := range p.regions {
		if a.region == shift.to {
			s.collectRegion(a)
			return s.commit()
		}
	}
	return Choice{}, false
}

// countsAgainstCap reports whether a destination in the region counts against the
// cap of the service's shift. Once the shift has started, every request that
// moves from its source to its target region does, including spillover.
func (s *search) countsAgainstCap(a *regionOwners) bool {
	shift := s.request.Service.shift
	return shift != nil && s.now >= shift.start && s.home.region == shift.from && a.region == shift.to
}

// collectRegion collects the candidates of a region. It reports whether one has
// headroom, so that no other region needs to be considered.
func (s *search) collectRegion(a *regionOwners) bool {
	if s.capExhausted && s.countsAgainstCap(a) {
		return false
	}
	if s.request.Service.AtMostOnce {
		return s.collectByHash(a)
	}
	if a.region == s.table.Region && s.collectLocal(a) {
		return true
	}
	for _, t := range a.tiers {
		if s.collectTier(a, t) {
			return true
		}
	}
	return false
}

// collectLocal adds the best target of this instance.
func (s *search) collectLocal(a *regionOwners) bool {
	t, free := s.bestTarget()
	if t == nil {
		return false
	}
	return s.add(candidate{target: t, region: a}, float64(free)/float64(max(1, t.Slots)), 0)
}

// collectTier adds the better of the first two available owners of a tier, in an
// order given by the hash.
func (s *search) collectTier(a *regionOwners, t *tier) bool {
	if !s.reachable(t) {
		return false
	}
	var best *owner
	mostFree, found := 0.0, 0
	for k := range min(len(t.owners), maxOwnersExamined) {
		o := t.pick(s.hash, k)
		free := o.freeRatio(s.now)
		if free <= 0 || !s.available(o) {
			continue
		}
		if free > mostFree {
			best, mostFree = o, free
		}
		if found++; found == 2 {
			break
		}
	}
	if best == nil {
		return false
	}
	return s.add(candidate{owner: best, region: a, link: t.link}, mostFree, t.delay)
}

// freeRatio returns the expected ratio of free slots. It is 0 for an owner without
// known free slots, except when a probe is due; then an owner without a recent
// report has a higher ratio than one that reported no free slot.
func (o *owner) freeRatio(now int64) float64 {
	n := o.credit.Reported(now)
	switch {
	case n > 0:
		return float64(n) * o.inverseSlots
	case !o.credit.ProbeDue(now):
		return 0
	case n < 0:
		return unknownFreeRatio
	}
	return probeSlots * o.inverseSlots
}

// available reports whether the owner's peer has not been tried and is usable.
func (s *search) available(o *owner) bool {
	return !s.tried.hasPeer(o.peer) && o.peer.Path.WouldAllow(s.now)
}

// collectByHash adds the first available owner in an order that depends only on
// the request, so that repetitions of an at-most-once request reach the same
// owner. Owners that reported no free slot come last.
func (s *search) collectByHash(a *regionOwners) bool {
	t := a.all
	if t == nil || !s.reachable(t) {
		return false
	}
	var fallback *owner
	for k := range min(len(t.owners), maxOwnersExamined) {
		o := t.pick(mix(s.request.Hash), k)
		if o.peer == nil {
			if target, _ := s.bestTarget(); target != nil {
				return s.add(candidate{target: target, region: a}, 1, 0)
			}
			continue
		}
		free := o.freeRatio(s.now)
		if free <= 0 || !s.available(o) {
			continue
		}
		if o.credit.Reported(s.now) != 0 {
			return s.add(candidate{owner: o, region: a, link: t.link}, 1, t.delay)
		}
		if fallback == nil {
			fallback = o
		}
	}
	if fallback == nil {
		return false
	}
	return s.add(candidate{owner: fallback, region: a, link: t.link}, probeSlots*fallback.inverseSlots, t.delay)
}

// reachable reports whether a response from the tier can arrive before the
// deadline and whether the link accepts the request.
func (s *search) reachable(t *tier) bool {
	s.ownerSeen = true
	if s.now+2*t.delay >= s.request.Deadline {
		s.someTooLate = true
		return false
	}
	s.someInTime = true
	return t.link == nil || t.link.Ready(s.now, s.request.Service.Bulk)
}

// add inserts a candidate, sorted by a score of free slots against delay. It
// reports whether the candidate has headroom, which ranks it before those that
// have none.
func (s *search) add(c candidate, free float64, delay int64) bool {
	h := s.table.headroom
	hasHeadroom := free > h*spilloverRatio
	c.score = h*free - (1-h)*float64(delay)/delayScale
	if hasHeadroom {
		c.score++
	}
	i := min(s.count, maxCandidates-1)
	if s.count == maxCandidates && s.candidates[i].score >= c.score {
		return hasHeadroom
	}
	for ; i > 0 && s.candidates[i-1].score < c.score; i-- {
		s.candidates[i] = s.candidates[i-1]
	}
	s.candidates[i] = c
	s.count = min(s.count+1, maxCandidates)
	return hasHeadroom
}

// commit acquires a slot or a credit of the best candidate that still has one.
func (s *search) commit() (Choice, bool) {
	for i := range s.count {
		c := &s.candidates[i]
		shifted := s.countsAgainstCap(c.region)
		if shifted && !s.request.Service.shift.bucket.Take(s.now) {
			s.capExhausted = true
			continue
		}
		if c.target != nil && s.acquire(c.target) {
			return Choice{Target: c.target, Shifted: shifted}, true
		}
		if c.target == nil && c.owner.credit.Take(s.now) && c.owner.peer.Path.Allow(s.now) {
			return Choice{Peer: c.owner.peer, Shifted: shifted, Link: c.link}, true
		}
	}
	return Choice{}, false
}
