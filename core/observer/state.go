package observer

import (
	"slices"
	"time"
)

// State is the state of the watched upstreams.
type State struct {
	now       time.Time
	names     []string
	upstreams map[string]*upstream
}

// upstream is the state of one upstream.
type upstream struct {
	spec Spec
	signals
	adaptiveLimit
	prober
	published    Verdict
	hasPublished bool
}

// New returns a state that watches nothing.
func New(now time.Time) *State {
	return &State{now: now, upstreams: map[string]*upstream{}}
}

// Step applies an event and returns the probes to be sent and the changed
// verdicts, ordered by upstream.
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
		u := s.upstreams[name]
		u.onIdle(now, u.spec.Slots)
		if u.probeDue(now) {
			u.probeStarted(now, u.spec.Probers)
			effects = append(effects, Probe{Upstream: name})
		}
		effects = u.publish(effects)
	}
	return effects
}

func (s *State) specsChanged(e SpecsChanged) []Effect {
	s.now = e.Now
	old := s.upstreams
	s.upstreams = make(map[string]*upstream, len(e.Specs))
	s.names = s.names[:0]
	for i, spec := range e.Specs {
		u := old[spec.Upstream]
		if u == nil {
			u = &upstream{}
			u.startFull(e.Now, spec.Slots)
			u.stagger(e.Now, i)
		}
		if u.spec.Drained != spec.Drained {
			u.recordSignal(FromConfig, spec.Drained, e.Now, e.Now)
		}
		if u.spec.Probers > spec.Probers {
			// This instance now holds slots of the upstream and needs a new report.
			u.expedite(e.Now)
		}
		u.spec = spec
		u.clamp(spec.Slots)
		s.upstreams[spec.Upstream] = u
		s.names = append(s.names, spec.Upstream)
	}
	slices.Sort(s.names)
	return s.publish()
}

func (s *State) publish() []Effect {
	var effects []Effect
	for _, name := range s.names {
		effects = s.upstreams[name].publish(effects)
	}
	return effects
}

// publish appends the verdict if it differs from the previous one.
func (u *upstream) publish(effects []Effect) []Effect {
	old := u.published
	v := Verdict{Upstream: u.spec.Upstream, Limit: u.rounded(u.spec.Slots, old.Limit), Latency: u.latencyLowerBound(), Cause: u.cause}
	if since, source, ok := u.leaving(); ok {
		v.Limit, v.Leaving, v.Since, v.Cause = 0, true, since, source.cause()
	}
	if u.hasPublished && v.Limit == old.Limit && v.Leaving == old.Leaving && v.Since.Equal(old.Since) &&
		v.Latency == old.Latency {
		return effects
	}
	u.published, u.hasPublished = v, true
	return append(effects, v)
}

func (s *State) sampled(e Sampled) []Effect {
	s.now = e.Now
	for _, x := range e.Samples {
		u := s.upstreams[x.Upstream]
		if u == nil {
			continue
		}
		if x.Leaving {
			u.startHoldDown(e.Now)
			u.recordSignal(FromUpstream, true, e.Now, e.Now)
		}
		if x.Refused > 0 {
			u.recordRefusals(e.Now, x.Refused)
		}
		u.observe(e.Now, x, u.spec.Slots, s.siblingLatency(u))
	}
	return s.publish()
}

// siblingLatency returns the median latency of the other upstreams of the
// service that have recent traffic, or 0 if there are none.
func (s *State) siblingLatency(u *upstream) time.Duration {
	var all []time.Duration
	for _, name := range s.names {
		o := s.upstreams[name]
		if o != u && u.spec.Service != "" && o.spec.Service == u.spec.Service &&
			o.hasRecentTraffic(s.now) && o.latencySamples >= minBaselineSamples {
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
	u := s.upstreams[e.Health.Upstream]
	if u == nil {
		return nil
	}
	u.probeEnded(e.Health)
	switch h := e.Health; {
	case h.Refused:
		u.recordRefusals(e.Now, 1)
	case h.State == "":
		u.probeFailed(e.Now)
	default:
		u.recordAccepted(e.Sent, e.Now)
		u.recordHealth(e, h.State == "leaving")
		u.applyReport(e.Now, h, u.spec.Slots)
	}
	return s.publish()
}

func (s *State) signaled(e Signaled) []Effect {
	s.now = e.Now
	u := s.upstreams[e.Upstream]
	if u == nil || e.Source < 0 || e.Source >= sourceCount {
		return nil
	}
	if e.Source == FromUpstream && e.Leaving && e.At.After(u.latest[FromUpstream].at) {
		u.startHoldDown(e.Now)
	}
	u.recordSignal(e.Source, e.Leaving, e.At, e.Now)
	return s.publish()
}
