package steerer

// Instances fetch from each other what they do not watch in the store themselves.

// fetchFromPeer requests the changes that a peer has read from the store and that
// are not known here.
func (s *State) fetchFromPeer(now int64, p *peer) (out []Effect) {
	for _, k := range Kinds {
		ss := s.sync[k]
		q, ok := p.reported[k]
		peerPosition := ss.position(q.position.Era, q.position.Revision)
		switch {
		case !ok || ss.known && !ss.synced.Before(peerPosition):
			continue
		case ss.known && ss.unchangedUntil(q):
			ss.skipTo(peerPosition, now)
			continue
		case !ss.known && !s.unavailable[k]:
			// Sending a complete list costs a reader much; the store can afford it.
			continue
		}
		if ss.target.Before(peerPosition) {
			ss.target = peerPosition
		}
		if c := ss.position(q.position.Era, q.changed); ss.targetChange.Before(c) {
			ss.targetChange = c
		}
		if ss.behindSince == 0 {
			ss.behindSince = now
		}
		switch {
		case ss.watching && now-ss.behindSince < int64(ownWatchGrace):
			// This instance's own watch is about to deliver the same changes.
			continue
		case ss.fetchSentAt != 0 && now-ss.fetchSentAt < int64(fetchTimeout):
			continue
		}
		ss.fetchSentAt = now
		out = append(out, Fetch{Kind: k, From: p.Instance, Era: ss.synced.Era, After: ss.watchRevision()})
	}
	return out
}

// fetchWhole requests the complete list after one that did not fit to what is known here.
func (s *State) fetchWhole(e Fetched) []Effect {
	p := s.peers[e.From]
	if p == nil {
		return nil
	}
	s.sync[e.Kind].fetchSentAt = e.Now
	return []Effect{Fetch{Kind: e.Kind, From: p.Instance}}
}

// unchangedUntil reports whether there are no changes from what is known up to the position of
// a peer.
func (ss *syncState) unchangedUntil(q peerSync) bool {
	return q.changed != 0 && (q.position.Era == 0 || q.position.Era == ss.synced.Era) && ss.synced.Revision >= q.changed
}

// skipTo records that there are no changes up to a position.
func (ss *syncState) skipTo(p Position, now int64) {
	ss.synced = p
	if !ss.synced.Before(ss.target) {
		ss.behindSince = 0
	} else {
		ss.behindSince = now
	}
}

// fetchNewerConfig requests the configuration of a peer that has had a newer one
// than this instance for a while. The store may have lost it.
func (s *State) fetchNewerConfig(e BeaconReceived, p *peer) []Effect {
	ss := s.sync[Configs]
	if s.config == nil || e.Beacon.Version <= s.config.Version {
		return nil
	}
	switch {
	case s.configLagSince <= s.configuredAt:
		s.configLagSince = e.Now
		return nil
	case e.Now-s.configLagSince < int64(ownWatchGrace), ss.fetchSentAt != 0 && e.Now-ss.fetchSentAt < int64(fetchTimeout):
		return nil
	}
	ss.fetchSentAt = e.Now
	return []Effect{Fetch{Kind: Configs, From: p.Instance}}
}

// fetchFromUnknown requests all objects from an instance that is not registered
// here, if the instances are not known yet and the store does not answer.
func (s *State) fetchFromUnknown(e BeaconReceived) (out []Effect) {
	storeDown := s.unavailable[Instances] || e.Now >= s.firstListAt+int64(firstAnswerTimeout)
	if s.sync[Instances].known || !storeDown || !e.Beacon.Ready || e.From == "" {
		return nil
	}
	for _, k := range Kinds {
		ss := s.sync[k]
		if ss.known || ss.fetchSentAt != 0 && e.Now-ss.fetchSentAt < int64(fetchTimeout) {
			continue
		}
		ss.fetchSentAt = e.Now
		out = append(out, Fetch{Kind: k, From: Instance{Name: e.Beacon.Name, Beacon: e.From}})
	}
	return out
}

func (s *State) applyFetched(e Fetched) (out []Effect) {
	ss := s.sync[e.Kind]
	if ss == nil {
		return nil
	}
	if !ss.confirms(e.AskedAt) {
		// The answer may have waited since before a pause of the process.
		return nil
	}
	ss.fetchSentAt = 0
	if e.StoreRecoveredAt > s.recoveredAt[e.Kind] {
		s.recoveredAt[e.Kind] = e.StoreRecoveredAt
	}
	at := ss.position(e.Era, e.Revision)
	switch {
	case e.Revision == 0, !e.Whole && s.startsEra(e.Kind, at):
		return s.confirmElsewhere(e.Now, e.Kind)
	case s.outdated(e.Kind, at) && e.Kind == Configs && e.Whole:
		// Configurations are ordered by version rather than by store position.
		return s.applyObjects(e.Now, e.Kind, e.Objects)
	case s.outdated(e.Kind, at):
		return s.confirmElsewhere(e.Now, e.Kind)
	}
	if e.Whole && s.lacksKept(e.Kind, e.Objects) {
		return s.fetchWhole(e)
	}
	known := ss.synced
	n := syncUpdate{kind: e.Kind, changes: e.Objects, synced: at}
	if e.Whole {
		n = s.listUpdate(e.Kind, e.Objects, at)
		out = s.applyList(e.Now, e.Kind, e.Objects, at)
	} else {
		out = s.applyObjects(e.Now, e.Kind, e.Objects)
	}
	lagged := ss.watching && known.Before(at)
	out = append(out, s.markFresh(e.Kind, "by instance "+e.From)...)
	out = append(out, s.advance(e.Now, n)...)
	if lagged {
		// The answer to this instance's own watch was lost, or its connection is dead.
		out = append(out, Watch{Kind: e.Kind, Enabled: true, Era: ss.synced.Era, Revision: ss.synced.Revision, PollTimeout: ss.pollTimeout, SlowRetry: !s.isReader(e.Now)})
	}
	return out
}
