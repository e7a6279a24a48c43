package router

// bestTarget returns the target with the most free slots, and their number. If
// there are more than maxTargetsScanned targets, it compares the first two with
// free slots, starting at a position given by the hash.
func (s *search) bestTarget() (best *Target, mostFree int) {
	targets := s.request.Service.Targets
	n := len(targets)
	if n == 0 {
		return nil, 0
	}
	i := int(s.hash % uint64(n))
	found := 0
	for range n {
		t := &targets[i]
		if i++; i == n {
			i = 0
		}
		free := t.Gate.Free(s.now) - s.slotsToLeave(t)
		if free <= 0 || !s.usable(t) {
			continue
		}
		if free > mostFree {
			best, mostFree = t, free
		}
		if found++; found == 2 && n > maxTargetsScanned {
			break
		}
	}
	return best, mostFree
}

// slotsToLeave returns the number of slots that must stay free for requests of
// higher priority, because the request's priority was lowered. It rounds up.
func (s *search) slotsToLeave(t *Target) int {
	if s.leaveTenths == 0 {
		return 0
	}
	return (s.leaveTenths*t.Gate.Limit() + 9) / 10
}

// usable reports whether the upstream can respond in time, has not been tried
// yet and has a usable path.
func (s *search) usable(t *Target) bool {
	if s.now+t.latency >= s.request.Deadline {
		s.someTooLate = true
		return false
	}
	s.someInTime = true
	return !s.tried.hasTarget(t) && (t.Path == nil || t.Path.WouldAllow(s.now))
}

// acquire takes a slot of the target. It does so before it calls Path.Try, so
// that a full gate does not use up the probe of a suspected path.
func (s *search) acquire(t *Target) bool {
	if !t.Gate.TryAcquireAbove(s.now, s.slotsToLeave(t)) {
		return false
	}
	if t.Path == nil || t.Path.Allow(s.now) {
		return true
	}
	t.Gate.Release()
	return false
}
