package router

// target returns the own target with the most free slots and their number. Of
// many targets, two that have free slots are compared.
func (s *search) target() (best *Target, most int) {
	targets := s.q.Service.Targets
	n := len(targets)
	if n == 0 {
		return nil, 0
	}
	i := int(s.hash % uint64(n))
	hits := 0
	for range n {
		g := &targets[i]
		if i++; i == n {
			i = 0
		}
		free := g.Gate.Free(s.now) - s.kept(g)
		if free <= 0 || !s.usable(g) {
			continue
		}
		if free > most {
			best, most = g, free
		}
		if hits++; hits == 2 && n > scanMax {
			break
		}
	}
	return best, most
}

// kept returns the number of slots that the request leaves to others because
// its priority was lowered.
func (s *search) kept(g *Target) int {
	if s.keep == 0 {
		return 0
	}
	return (s.keep*g.Gate.Limit() + 9) / 10
}

func (s *search) usable(g *Target) bool {
	if s.now+g.latency >= s.q.Deadline {
		s.late = true
		return false
	}
	s.full = true
	return !s.tried.target(g) && (g.Path == nil || g.Path.WouldAllow(s.now))
}

// acquire takes a slot before it tries a suspected path, so that a full gate does
// not use up the try.
func (s *search) acquire(g *Target) bool {
	if !g.Gate.TryAcquireAbove(s.now, s.kept(g)) {
		return false
	}
	if g.Path == nil || g.Path.Allow(s.now) {
		return true
	}
	g.Gate.Release()
	return false
}
