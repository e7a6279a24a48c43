package observer

import (
	"slices"
	"time"
)

// State is what is known of the watched upstreams.
type State struct {
	now   time.Time
	names []string
	all   map[string]*upstream
}

// upstream is what is known of one upstream.
type upstream struct {
	spec Spec
	signals
	limiter
	prober
	published Verdict
	known     bool
}

// New returns a state that watches nothing.
func New(now time.Time) *State {
	return &State{now: now, all: map[string]*upstream{}}
}

// Step takes an event and returns probes to be sent and changed verdicts, ordered
// by upstream.
func (s *State) Step(e Event) []Effect {
	switch e := e.(type) {
	case Tick:
		return s.tick(e.Now)
	case SpecsChanged:
		return s.specsChanged(e)
	case Sampled:
		return s.sampled(e)
	case Probed:
		return s.probed(e)
	case Signaled:
		return s.signaled(e)
	}
	return nil
}

func (s *State) tick(now time.Time) []Effect {
	s.now = now
	var effects []Effect
	for _, name := range s.names {
		u := s.all[name]
		u.idle(now, u.spec.Slots)
		if u.due(now) {
			u.sent(now, u.spec.Probers)
			effects = append(effects, Probe{Upstream: name})
		}
		effects = u.publish(effects)
	}
	return effects
}

func (s *State) specsChanged(e SpecsChanged) []Effect {
	s.now = e.Now
	old := s.all
	s.all = make(map[string]*upstream, len(e.Specs))
	s.names = s.names[:0]
	for i, spec := range e.Specs {
		u := old[spec.Upstream]
		if u == nil {
			u = &upstream{}
			u.open(e.Now, spec.Slots)
			u.spread(e.Now, i)
		}
		if u.spec.Drained != spec.Drained {
			u.mark(FromConfig, spec.Drained, e.Now, e.Now)
		}
		if u.spec.Probers > spec.Probers {
			// This instance has become a holder and needs a fresh report.
			u.expedite(e.Now)
		}
		u.spec = spec
		u.clamp(spec.Slots)
		s.all[spec.Upstream] = u
		s.names = append(s.names, spec.Upstream)
	}
	slices.Sort(s.names)
	return s.publish()
}

func (s *State) publish() []Effect {
	var effects []Effect
	for _, name := range s.names {
		effects = s.all[name].publish(effects)
	}
	return effects
}

// publish appends the verdict if it differs from the last one.
func (u *upstream) publish(effects []Effect) []Effect {
	old := u.published
	v := Verdict{Upstream: u.spec.Upstream, Limit: u.whole(u.spec.Slots, old.Limit), Latency: u.expected(), Cause: u.cause}
	if since, source, ok := u.leaving(); ok {
		v.Limit, v.Leaving, v.Since, v.Cause = 0, true, since, source.cause()
	}
	if u.known && v.Limit == old.Limit && v.Leaving == old.Leaving && v.Since.Equal(old.Since) &&
		v.Latency == old.Latency {
		return effects
	}
	u.published, u.known = v, true
	return append(effects, v)
}

func (s *State) sampled(e Sampled) []Effect {
	s.now = e.Now
	for _, x := range e.Samples {
		u := s.all[x.Upstream]
		if u == nil {
			continue
		}
		if x.Leaving {
			u.beginHold(e.Now)
			u.mark(FromUpstream, true, e.Now, e.Now)
		}
		if x.Refused > 0 {
			u.refused(e.Now, x.Refused)
		}
		u.observe(e.Now, x, u.spec.Slots, s.sibling(u))
	}
	return s.publish()
}

// sibling returns the median latency of the other upstreams of the service that
// have traffic, 0 if there are none.
func (s *State) sibling(u *upstream) time.Duration {
	var all []time.Duration
	for _, name := range s.names {
		o := s.all[name]
		if o != u && u.spec.Service != "" && o.spec.Service == u.spec.Service &&
			o.active(s.now) && o.samples >= usualLeast {
			all = append(all, o.latency)
		}
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[(len(all)-1)/2]
}

func (s *State) probed(e Probed) []Effect {
	s.now = e.Now
	u := s.all[e.Health.Upstream]
	if u == nil {
		return nil
	}
	u.ended(e.Health)
	switch h := e.Health; {
	case h.Refused:
		u.refused(e.Now, 1)
	case h.State == "":
		u.failed(e.Now)
	default:
		u.accepted(e.Sent, e.Now)
		u.reported(e, h.State == "leaving")
		u.report(e.Now, h, u.spec.Slots)
	}
	return s.publish()
}

func (s *State) signaled(e Signaled) []Effect {
	s.now = e.Now
	u := s.all[e.Upstream]
	if u == nil || e.Source < 0 || e.Source >= sources {
		return nil
	}
	if e.Source == FromUpstream && e.Leaving && e.At.After(u.marks[FromUpstream].at) {
		u.beginHold(e.Now)
	}
	u.mark(e.Source, e.Leaving, e.At, e.Now)
	return s.publish()
}
