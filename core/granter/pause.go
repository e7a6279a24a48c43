package granter

import "time"

// eventTime returns the time that an event carries.
func eventTime(e Event) time.Time {
	switch e := e.(type) {
	case Tick:
		return e.Now
	case PlanChanged:
		return e.Now
	case LeaseSeen:
		return e.Now
	case WriteEnded:
		return e.Now
	case ListSeen:
		return e.Now
	case HeartbeatReceived:
		return e.Now
	case HeartbeatAnswered:
		return e.Now
	case HeartbeatFailed:
		return e.Now
	case VoteReceived:
		return e.Now
	case VoteAnswered:
		return e.Now
	case InFlightChanged:
		return e.Now
	case SeedsSeen:
		return e.Now
	case LeaveAsked:
		return e.Now
	}
	return time.Time{}
}

// advance moves the clock to the event's time, before anything else is done
// with the event. An event that was queued before others keeps the later time.
func (s *State) advance(e Event) {
	s.Now = later(s.Now, eventTime(e))
	if s.Now.Sub(s.Ticked) > PauseGap {
		s.resume()
	}
	if _, ok := e.(Tick); ok {
		s.Ticked = s.Now
	}
	if s.Leading && !s.Now.Before(s.leaseEnd()) {
		s.stepDown("lease expired")
	}
}

// resume gives up everything that a paused process may no longer hold. Promises
// to others stay.
func (s *State) resume() {
	s.Ticked = s.Now
	s.Resumed = s.Now
	s.giveUp()
	s.Candidacy = nil
	s.BeatAt = s.Now
	s.ReadAt = s.Now
	if s.Leading {
		s.stepDown("pause")
	}
}
