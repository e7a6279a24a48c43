package router

// lookMax bounds how many owners of a tier are looked at in one decision.
const lookMax = 8

// candidate is an owner that seems to have a free slot.
type candidate struct {
	own   bool
	owner *owner
	tier  *tier
	// free is the share of the owner's slots that is free.
	free  float64
	score float64
}

// search is the state of one decision. It lives on the stack.
type search struct {
	table *Table
	q     *Request
	tried *Tried
	now   int64
	hash  uint64
	// seen tells that an owner exists, late that one was too far away to
	// answer before the deadline.
	seen, late bool
	best, next candidate
}

// Choose picks a place for the request. On success with a Target, its gate has
// been acquired and the caller releases it.
func (t *Table) Choose(q *Request, now int64, tried *Tried) (Choice, Reason) {
	if now >= q.Deadline {
		return Choice{}, TooLate
	}
	if tried == nil {
		tried = &Tried{}
	}
	if q.Hop {
		return t.admit(q, now, tried)
	}
	s := search{table: t, q: q, tried: tried, now: now, hash: q.Hash}
	if q.Service.unknown == nil {
		return s.plain()
	}
	return s.run()
}

// admit places a request of another instance on an own gate.
func (t *Table) admit(q *Request, now int64, tried *Tried) (Choice, Reason) {
	s := search{table: t, q: q, tried: tried, now: now, hash: q.Hash}
	g := s.target()
	if g == nil {
		if len(q.Service.Targets) == 0 {
			return Choice{}, NoUpstream
		}
		return Choice{}, Full
	}
	entry := q.Entry
	if entry == "" {
		entry = q.Region
	}
	return Choice{Target: g, Link: t.counters.links[entry]}, Placed
}

// plain looks at all places of a table that was not made by Build.
func (s *search) plain() (Choice, Reason) {
	if g := s.target(); g != nil {
		return Choice{Target: g}, Placed
	}
	for _, p := range s.q.Service.Peers {
		if !s.tried.peer(p) && p.Path.Usable(s.now) && p.Credits[s.q.Service.Name].Take(s.now) {
			return Choice{Peer: p}, Placed
		}
	}
	return Choice{}, Full
}

// run follows the plan of the caller's region.
func (s *search) run() (Choice, Reason) {
	svc := s.q.Service
	p := svc.plans[s.q.Region]
	if p == nil {
		p = svc.unknown
	}
	first := p.first(mix(s.hash))
	home := p.areas[first]
	if c, ok := s.shifted(p, home); ok {
		return c, Placed
	}
	if c, ok := s.visit(home, home); ok {
		return c, Placed
	}
	for i, a := range p.areas {
		if i == first {
			continue
		}
		if c, ok := s.visit(a, home); ok {
			return c, Placed
		}
	}
	return s.fail()
}

func (s *search) fail() (Choice, Reason) {
	switch {
	case s.late:
		return Choice{}, TooLate
	case s.seen || len(s.q.Service.Targets) > 0:
		return Choice{}, Full
	}
	return Choice{}, NoUpstream
}

// shifted moves the request if the service's shift says so.
func (s *search) shifted(p *plan, home *area) (Choice, bool) {
	h := s.q.Service.shift
	if h == nil || h.from != home.region || !h.covers(s.hash, s.now) {
		return Choice{}, false
	}
	for _, a := range p.areas {
		if a.region == h.to {
			return s.visit(a, home)
		}
	}
	return Choice{}, false
}

// capped takes a token if the request would leave home for the target of the
// service's shift: all that moves there counts against the cap.
func (s *search) capped(a, home *area) (moved, ok bool) {
	h := s.q.Service.shift
	if h == nil || home.region != h.from || a.region != h.to {
		return false, true
	}
	return true, h.bucket.Take(s.now)
}

// visit tries to place the request in one region.
func (s *search) visit(a, home *area) (Choice, bool) {
	moved, ok := s.capped(a, home)
	if !ok {
		return Choice{}, false
	}
	c, ok := s.place(a)
	c.Shifted = moved && ok
	return c, ok
}

func (s *search) place(a *area) (Choice, bool) {
	if a.region == s.table.Region {
		if g := s.target(); g != nil {
			return Choice{Target: g}, true
		}
	}
	for _, r := range a.tiers {
		if c, ok := s.peer(r); ok {
			return c, true
		}
	}
	return Choice{}, false
}

// target acquires the own gate with the most free slots.
func (s *search) target() *Target {
	targets := s.q.Service.Targets
	for {
		var best *Target
		most := 0
		for i := range targets {
			g := &targets[i]
			if free := g.Gate.Free(s.now); free > most && s.usable(g) {
				best, most = g, free
			}
		}
		if best == nil || best.Gate.Acquire(s.now) {
			return best
		}
	}
}

func (s *search) usable(g *Target) bool {
	return !s.tried.target(g) && (g.Path == nil || g.Path.Usable(s.now))
}

// peer takes a credit of the better of two owners.
func (s *search) peer(r *tier) (Choice, bool) {
	s.seen = true
	if s.now+2*r.delay >= s.q.Deadline {
		s.late = true
		return Choice{}, false
	}
	n := len(r.owners)
	start := int(s.hash % uint64(n))
	var best *owner
	var most int64
	for k := range n {
		o := &r.owners[(start+k)%n]
		free := int64(o.credit.Free(s.now))
		if free > most && o.peer.Path.Usable(s.now) && !s.tried.peer(o.peer) {
			best, most = o, free
		}
	}
	if best == nil || !best.credit.Take(s.now) {
		return Choice{}, false
	}
	return Choice{Peer: best.peer, Link: r.link}, true
}

// mix makes the choice by weight independent of the choice by shift.
func mix(h uint64) uint64 {
	h ^= h >> 32
	h *= 0xd6e8feb86659fd93
	return h ^ h>>32
}
