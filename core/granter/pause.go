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

// advance moves the clock to the event's time, before anything else is done
// with the event. An event that was queued before others keeps the later time.
func (s *State) advance(e Event) {
	s.Now = later(s.Now, eventTime(e))
	if s.Now.Sub(s.LastTick) > MaxTickGap {
		s.resume()
	}
	if _, ok := e.(Tick); ok {
		s.LastTick = s.Now
	}
	if s.Leading && !s.Now.Before(s.leaseEnd()) {
		s.stepDown("lease expired")
	}
}

// resume gives up everything that a paused process may no longer hold. Promises
// to others stay.
func (s *State) resume() {
	s.LastTick = s.Now
	s.ResumedAt = s.Now
	s.giveUp()
	s.Candidacy = nil
	s.NextHeartbeat = s.Now
	s.NextRead = s.Now
	if s.Leading {
		s.stepDown("pause")
	}
}
