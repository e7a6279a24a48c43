package router

import "hornbeamstream.example/core/limiter"

const (
	// lookMax bounds how many owners of a tier are looked at in one decision.
	lookMax = 8
	// scanMax is the number of own targets up to which all are compared.
	scanMax = 16
	// candidatesMax bounds how many places are kept, best first.
	candidatesMax = 3
	// roundsMax bounds how often a decision starts anew because other requests
	// took the slots that it had found.
	roundsMax = 3
	// spillShare is the share of free slots, at the headroom weight 1, below
	// which a place is no longer taken without looking further away.
	spillShare = 0.15
	// farDelay is the one-way delay in nanoseconds that weighs as much as all
	// slots of a place.
	farDelay = 100e6
	// unknownShare is the share of free slots expected of an owner without a
	// recent report, emptySlots the number expected when it reported none.
	unknownShare = 0.5
	emptySlots   = 1.0
)

// candidate is a place that seems to have a free slot: a target of this
// instance or an owner.
type candidate struct {
	target *Target
	owner  *owner
	area   *area
	link   *limiter.BandwidthLimiter
	score  float64
}

// search is the state of one decision. It lives on the stack.
type search struct {
	table *Table
	q     *Request
	tried *Tried
	home  *area
	now   int64
	hash  uint64
	// keep is the number of slots in ten that are left to higher priorities.
	keep int
	// seen tells that an owner exists, late that one was too far away or too
	// slow to answer before the deadline, full that one was not.
	seen, late, full bool
	// denied tells that the shift's cap gave no token.
	denied bool
	found  [candidatesMax]candidate
	count  int
}

// Choose picks a place for the request. On success with a Target, its gate has
// been acquired and the caller releases it.
func (t *Table) Choose(q *Request, now int64, tried *Tried) (Choice, Reason) {
	if now >= q.Deadline {
		return Choice{}, DeadlineExceeded
	}
	s := search{table: t, q: q, tried: tried, now: now, hash: q.Hash}
	if tried != nil {
		s.hash += uint64(tried.count) * 0x9e3779b97f4a7c15
	}
	s.hash = mix(s.hash)
	s.keep = max(0, q.Priority-q.Service.Priority)
	switch {
	case q.Forwarded:
		return s.admit()
	case q.Service.unknown == nil:
		return s.plain()
	case len(q.Service.Targets) == 0 && len(q.Service.Peers) == 0:
		return Choice{}, NoUpstream
	}
	return s.run()
}

// admit places a request of another instance on an own gate. A bulk request is
// refused while the answer would have to wait for its link.
func (s *search) admit() (Choice, Reason) {
	entry := s.q.EntryRegion
	if entry == "" {
		entry = s.q.Region
	}
	link := s.table.counters.links[entry]
	s.seen = len(s.q.Service.Targets) > 0
	if link != nil && !link.Ready(s.now, s.q.Service.Bulk) {
		s.full = true
		return s.fail()
	}
	for range roundsMax {
		g, _ := s.target()
		if g == nil {
			break
		}
		if s.acquire(g) {
			return Choice{Target: g, Link: link}, OK
		}
	}
	return s.fail()
}

// plain looks at all places of a table that was not made by Build.
func (s *search) plain() (Choice, Reason) {
	if g, _ := s.target(); g != nil && s.acquire(g) {
		return Choice{Target: g}, OK
	}
	for _, p := range s.q.Service.Peers {
		if !s.tried.peer(p) && p.Path.WouldAllow(s.now) && p.Credits[s.q.Service.Name].Take(s.now) && p.Path.Allow(s.now) {
			return Choice{Peer: p}, OK
		}
	}
	return Choice{}, NoFreeSlot
}

// run follows the plan of the caller's region.
func (s *search) run() (Choice, Reason) {
	svc := s.q.Service
	p := svc.plans[s.q.Region]
	if p == nil {
		p = svc.unknown
	}
	if len(p.areas) == 0 {
		return Choice{}, NoUpstream
	}
	first := p.first(mix(s.q.Hash ^ weightSeed))
	s.home = p.areas[first]
	if c, ok := s.shifted(p); ok {
		return c, OK
	}
	for range roundsMax {
		s.count = 0
		s.survey(p, first)
		if s.count == 0 {
			break
		}
		if c, ok := s.commit(); ok {
			c.ShiftCapped = s.denied
			return c, OK
		}
	}
	return s.fail()
}

// survey collects candidates, the home region first, until one has headroom.
func (s *search) survey(p *plan, first int) {
	if s.look(s.home) {
		return
	}
	for i, a := range p.areas {
		if i != first && s.look(a) {
			return
		}
	}
}

func (s *search) fail() (Choice, Reason) {
	switch {
	case s.late && !s.full:
		return Choice{}, DeadlineExceeded
	case s.seen || len(s.q.Service.Targets) > 0:
		return Choice{}, NoFreeSlot
	}
	return Choice{}, NoUpstream
}

// shifted moves the request if the service's shift says so.
func (s *search) shifted(p *plan) (Choice, bool) {
	h := s.q.Service.shift
	if h == nil || h.from != s.home.region || !h.covers(s.q.Hash, s.now) {
		return Choice{}, false
	}
	for _, a := range p.areas {
		if a.region == h.to {
			s.look(a)
			return s.commit()
		}
	}
	return Choice{}, false
}

// capped tells whether a placement would leave the home region for the target
// of the service's shift. Once the shift has started, all that moves there counts
// against the cap, also requests that spill over.
func (s *search) capped(a *area) bool {
	h := s.q.Service.shift
	return h != nil && s.now >= h.start && s.home.region == h.from && a.region == h.to
}

// look collects the candidates of a region. It tells whether one has headroom,
// so that no other region needs to be looked at.
func (s *search) look(a *area) bool {
	if s.denied && s.capped(a) {
		return false
	}
	if s.q.Service.AtMostOnce {
		return s.lookStable(a)
	}
	if a.region == s.table.Region && s.lookHere(a) {
		return true
	}
	for _, r := range a.tiers {
		if s.lookTier(a, r) {
			return true
		}
	}
	return false
}

func (s *search) lookHere(a *area) bool {
	g, free := s.target()
	if g == nil {
		return false
	}
	return s.add(candidate{target: g, area: a}, float64(free)/float64(max(1, g.Slots)), 0)
}

// lookTier adds the better of two owners of a tier.
func (s *search) lookTier(a *area, r *tier) bool {
	if !s.reachable(r) {
		return false
	}
	var best *owner
	most, hits := 0.0, 0
	for k := range min(len(r.owners), lookMax) {
		o := r.pick(s.hash, k)
		free := o.free(s.now)
		if free <= 0 || !s.open(o) {
			continue
		}
		if free > most {
			best, most = o, free
		}
		if hits++; hits == 2 {
			break
		}
	}
	if best == nil {
		return false
	}
	return s.add(candidate{owner: best, area: a, link: r.link}, most, r.delay)
}

// free returns the expected share of free slots. A report of no free slot is
// worth a try from time to time, an owner without a report somewhat more.
func (o *owner) free(now int64) float64 {
	n := o.credit.Reported(now)
	switch {
	case n > 0:
		return float64(n) * o.inverse
	case !o.credit.ProbeDue(now):
		return 0
	case n < 0:
		return unknownShare
	}
	return emptySlots * o.inverse
}

func (s *search) open(o *owner) bool {
	return !s.tried.peer(o.peer) && o.peer.Path.WouldAllow(s.now)
}

// lookStable adds the first owner in an order that depends on the request
// alone, so that repeats of a request meet the same owner. Owners that
// reported no free slot come last.
func (s *search) lookStable(a *area) bool {
	r := a.stable
	if r == nil || !s.reachable(r) {
		return false
	}
	var last *owner
	for k := range min(len(r.owners), lookMax) {
		o := r.pick(mix(s.q.Hash), k)
		if o.peer == nil {
			if g, _ := s.target(); g != nil {
				return s.add(candidate{target: g, area: a}, 1, 0)
			}
			continue
		}
		free := o.free(s.now)
		if free <= 0 || !s.open(o) {
			continue
		}
		if o.credit.Reported(s.now) != 0 {
			return s.add(candidate{owner: o, area: a, link: r.link}, 1, r.delay)
		}
		if last == nil {
			last = o
		}
	}
	if last == nil {
		return false
	}
	return s.add(candidate{owner: last, area: a, link: r.link}, emptySlots*last.inverse, r.delay)
}

// reachable tells whether an answer from the tier can arrive in time and
// whether the link has room for the request.
func (s *search) reachable(r *tier) bool {
	s.seen = true
	if s.now+2*r.delay >= s.q.Deadline {
		s.late = true
		return false
	}
	s.full = true
	return r.link == nil || r.link.Ready(s.now, s.q.Service.Bulk)
}

// add keeps a candidate, ranked by free slots against delay. It tells whether
// the place has headroom; then it comes first.
func (s *search) add(c candidate, free float64, delay int64) bool {
	h := s.table.headroom
	roomy := free > h*spillShare
	c.score = h*free - (1-h)*float64(delay)/farDelay
	if roomy {
		c.score++
	}
	i := min(s.count, candidatesMax-1)
	if s.count == candidatesMax && s.found[i].score >= c.score {
		return roomy
	}
	for ; i > 0 && s.found[i-1].score < c.score; i-- {
		s.found[i] = s.found[i-1]
	}
	s.found[i] = c
	s.count = min(s.count+1, candidatesMax)
	return roomy
}

// commit takes the slot or the credit of the best candidate that still has one.
func (s *search) commit() (Choice, bool) {
	for i := range s.count {
		c := &s.found[i]
		moved := s.capped(c.area)
		if moved && !s.q.Service.shift.bucket.Take(s.now) {
			s.denied = true
			continue
		}
		if c.target != nil && s.acquire(c.target) {
			return Choice{Target: c.target, Shifted: moved}, true
		}
		if c.target == nil && c.owner.credit.Take(s.now) && c.owner.peer.Path.Allow(s.now) {
			return Choice{Peer: c.owner.peer, Shifted: moved, Link: c.link}, true
		}
	}
	return Choice{}, false
}
