package steerer

import (
	"cmp"
	"slices"
	"time"
)

// Instances ask each other for what they have not read from the store themselves.

// fetchFrom asks an instance for the changes that it has read and that are not
// known here.
func (s *State) fetchFrom(now int64, p *peer) (out []Effect) {
	for _, k := range Kinds {
		c := s.sources[k]
		q, ok := p.proofs[k]
		proven := c.mark(q.mark.Era, q.mark.Revision)
		switch {
		case !ok || c.known && !c.at.Before(proven):
			continue
		case !c.known && !s.lost[k]:
			// A whole list is a burden for a reader; the store has more room.
			continue
		}
		if c.wanted.Before(proven) {
			c.wanted = proven
		}
		if c.behind == 0 {
			c.behind = now
		}
		switch {
		case c.reading && now-c.behind < int64(lagTime):
			// The own call is about to bring the same.
			continue
		case c.asked != 0 && now-c.asked < int64(fetchTime):
			continue
		}
		c.asked = now
		out = append(out, Fetch{Kind: k, From: p.Instance, Era: c.at.Era, After: c.revisionToRead()})
	}
	return out
}

// catchUp asks an instance whose configuration has been newer than the one in force
// here for a while: the store may have lost it.
func (s *State) catchUp(e BeaconReceived, p *peer) []Effect {
	c := s.sources[Configs]
	if s.config == nil || e.Beacon.Version <= s.config.Version {
		return nil
	}
	switch {
	case s.trailing <= s.configuredAt:
		s.trailing = e.Now
		return nil
	case e.Now-s.trailing < int64(lagTime), c.asked != 0 && e.Now-c.asked < int64(fetchTime):
		return nil
	}
	c.asked = e.Now
	return []Effect{Fetch{Kind: Configs, From: p.Instance}}
}

// askStranger asks an instance that is not known for all that it knows, if no
// instance is known at all and the store does not answer.
func (s *State) askStranger(e BeaconReceived) (out []Effect) {
	away := s.lost[Instances] || e.Now >= s.listAt+int64(firstTime)
	if s.sources[Instances].known || !away || !e.Beacon.Ready || e.From == "" {
		return nil
	}
	for _, k := range Kinds {
		c := s.sources[k]
		if c.known || c.asked != 0 && e.Now-c.asked < int64(fetchTime) {
			continue
		}
		c.asked = e.Now
		out = append(out, Fetch{Kind: k, From: Instance{Name: e.Beacon.Name, Beacon: e.From}})
	}
	return out
}

func (s *State) fetched(e Fetched) (out []Effect) {
	c := s.sources[e.Kind]
	if c == nil {
		return nil
	}
	c.asked = 0
	if e.StoreRecoveredAt > s.answered[e.Kind] {
		s.answered[e.Kind] = e.StoreRecoveredAt
	}
	at := c.mark(e.Era, e.Revision)
	switch {
	case e.Revision == 0, !e.Whole && s.turned(e.Kind, at):
		return nil
	case s.outdated(e.Kind, at) && e.Kind == Configs && e.Whole:
		// A configuration is in force by its version, not by what the store has.
		return s.apply(e.Now, e.Kind, e.Objects)
	case s.outdated(e.Kind, at):
		return nil
	}
	known := c.at
	if e.Whole {
		out = s.list(e.Now, e.Kind, e.Objects, at)
	} else {
		out = s.apply(e.Now, e.Kind, e.Objects)
	}
	lagged := c.reading && known.Before(at)
	s.confirm(c)
	out = append(out, s.advance(e.Now, news{kind: e.Kind, objects: e.Objects, at: at, whole: e.Whole})...)
	if lagged {
		// The answer to the own call was lost, or its connection is silent.
		out = append(out, Watch{Kind: e.Kind, Enabled: true, Era: c.at.Era, Revision: c.at.Revision, PollTimeout: c.wait, SlowRetry: !s.isReader(e.Now)})
	}
	return out
}

// reply tells another instance what is known here.
func (s *State) reply(e ChangesRequested) Reply {
	c := s.sources[e.Kind]
	r := Reply{RequestID: e.RequestID}
	if c == nil || !c.known || !c.sure {
		// What may be old confirms nothing to others.
		return r
	}
	r.Era, r.Revision = c.at.Era, c.at.Revision
	if back, ok := s.answered[e.Kind]; ok && e.Now-back < int64(returnTime) {
		r.SinceStoreRecovery = time.Duration(e.Now - back)
	}
	if e.After < c.base || e.After == 0 || c.mark(e.Era, 0).Era != c.at.Era {
		r.Whole, r.Objects = true, s.objects(e.Kind)
		return r
	}
	for _, h := range c.history {
		if h.revision > e.After {
			r.Objects = append(r.Objects, h.object)
		}
	}
	return r
}

// objects lists all objects of a kind, ordered by name.
func (s *State) objects(k Kind) (all []Object) {
	switch k {
	case Configs:
		if s.config != nil {
			all = append(all, Object{Name: s.configName, Config: s.config})
		}
	case Upstreams:
		for _, u := range s.upstreams {
			if u.goneAt == 0 {
				all = append(all, Object{Name: u.ID, Upstream: &u.Upstream})
			}
		}
	case Evacuations:
		for domain, until := range s.evacuated {
			if until == 0 {
				all = append(all, Object{Name: domain})
			}
		}
	case Instances:
		all = append(all, Object{Name: s.Self.Name, Instance: &s.Self})
		for _, p := range s.peers {
			if p.heldUntil == 0 {
				all = append(all, Object{Name: p.Name, Instance: &p.Instance})
			}
		}
	}
	slices.SortFunc(all, func(a, b Object) int { return cmp.Compare(a.Name, b.Name) })
	return all
}
