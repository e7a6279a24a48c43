package router

// target returns the own target with the most free slots and their number. Of
// many targets, two that have free slots are compared.
func (s *search) bestTarget() (best *Target, most int) {
	targets := s.request.Service.Targets
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
		free := g.Gate.Free(s.now) - s.slotsToLeave(g)
		if free <= 0 || !s.usable(g) {
			continue
		}
		if free > most {
			best, most = g, free
		}
		if hits++; hits == 2 && n > maxTargetsScanned {
			break
		}
	}
	return best, most
}

// kept returns the number of slots that the request leaves to others because
// its priority was lowered.
func (s *search) slotsToLeave(g *Target) int {
	if s.leaveTenths == 0 {
		return 0
	}
	return (s.leaveTenths*g.Gate.Limit() + 9) / 10
}

func (s *search) usable(g *Target) bool {
	if s.now+g.latency >= s.request.Deadline {
		s.someTooLate = true
		return false
	}
	s.someInTime = true
	return !s.tried.hasTarget(g) && (g.Path == nil || g.Path.Usable(s.now))
}

// acquire takes a slot before it tries a suspected path, so that a full gate does
// not use up the try.
func (s *search) acquire(g *Target) bool {
	if !g.Gate.AcquireAbove(s.now, s.slotsToLeave(g)) {
		return false
	}
	if g.Path == nil || g.Path.Try(s.now) {
		return true
	}
	g.Gate.Release()
	return false
}
