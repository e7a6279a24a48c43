package granter

import "time"

// eventTime returns the time that an event carries.
func eventTime(e Event) time.Time {
	switch e := e.(type) {
	case Tick:
		return e.Now
	case ConfigChanged:
		return e.Now
	case LeaseRead:
		return e.Now
	case WriteCompleted:
		return e.Now
	case InstancesListed:
		return e.Now
	case HeartbeatReceived:
		return e.Now
	case HeartbeatResponseReceived:
		return e.Now
	case HeartbeatFailed:
		return e.Now
	case VoteRequestReceived:
		return e.Now
	case VoteResponseReceived:
		return e.Now
	case InFlightChanged:
		return e.Now
	case SeedsChanged:
		return e.Now
	case LeaveRequested:
		return e.Now
	}
	return time.Time{}
}

// advanceClock moves the clock to the event's time before the event is handled.
// The clock never goes back: an event older than the last one is handled at the
// time of the last one. A process that was paused or whose lease has expired
// stops using what it held.
func (s *State) advanceClock(e Event) {
	s.Now = later(s.Now, eventTime(e))
	if s.Now.Sub(s.LastTick) > MaxTickGap {
		s.resumeAfterPause()
	}
	if _, ok := e.(Tick); ok {
		s.LastTick = s.Now
	}
	if s.Leading && !s.Now.Before(s.leaseEnd()) {
		s.stepDown("lease expired")
	}
}

// resumeAfterPause drops the grant and the leadership, which a paused process may
// have lost without noticing. Its promises to other processes stay in force.
func (s *State) resumeAfterPause() {
	s.LastTick = s.Now
	s.ResumedAt = s.Now
	s.dropGrant()
	s.Candidacy = nil
	s.NextHeartbeat = s.Now
	s.NextRead = s.Now
	if s.Leading {
		s.stepDown("pause")
	}
}
