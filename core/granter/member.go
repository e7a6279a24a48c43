package granter

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// leaderTimeout is the time without a response from the leader after which a
// member also asks other instances for the leader.
const leaderTimeout = 3 * HeartbeatInterval

// HeldPart is a part that this instance was granted and has not released. It is
// reported to the leader only until Until, after which a leader may have moved
// the part.
type HeldPart struct {
	Part  Part
	Until time.Time
	// DroppedVersion is the first version of Holdings without the part, 0 while
	// the part is granted.
	DroppedVersion uint64
}

// maybeSendHeartbeat sends a heartbeat if one is due.
func (s *State) maybeSendHeartbeat() {
	if s.Now.Before(s.NextHeartbeat) {
		return
	}
	s.NextHeartbeat = s.Now.Add(HeartbeatInterval)
	if to := s.heartbeatTarget(); to != "" {
		s.sendHeartbeat(to)
	}
}

// heartbeatTarget returns the address for the next heartbeat: the leader's or,
// every other time while the leader is silent, that of another instance.
func (s *State) heartbeatTarget() string {
	leader := s.Peers[s.Leader].Peer
	if s.Leader == s.Self.Name {
		leader = ""
	}
	if leader != "" && s.Now.Sub(s.LastLeaderResponse) < leaderTimeout {
		return leader
	}
	s.SeedIndex++
	others := s.otherPeers()
	if len(others) == 0 || leader != "" && s.SeedIndex%2 == 0 {
		return leader
	}
	return others[s.SeedIndex/2%len(others)]
}

// otherPeers returns the addresses of other instances that may know the leader.
func (s *State) otherPeers() []string {
	all := slices.Clone(s.Seeds)
	for _, name := range s.Lease.Electors {
		all = append(all, s.Peers[name].Peer)
	}
	slices.Sort(all)
	all = slices.Compact(all)
	return slices.DeleteFunc(all, func(to string) bool { return to == "" || to == s.Self.Peer })
}

func (s *State) sendHeartbeat(to string) {
	s.emit(SendHeartbeat{To: to, Epoch: s.KnownEpoch, Seen: s.acceptedSequence(), Held: s.heldParts()})
}

// acceptedSequence returns the sequence number of the last grant accepted in the
// current epoch, or 0.
func (s *State) acceptedSequence() uint64 {
	if s.Grant.Epoch != s.KnownEpoch {
		return 0
	}
	return s.Grant.Sequence
}

// heldParts returns the parts to report to the leader, sorted.
func (s *State) heldParts() []Part {
	s.expireHeldParts()
	var parts []Part
	for _, h := range s.HeldParts {
		parts = append(parts, h.Part)
	}
	sortParts(parts)
	return parts
}

// expireHeldParts removes the held parts that a leader may have moved.
func (s *State) expireHeldParts() {
	maps.DeleteFunc(s.HeldParts, func(_ PartKey, h HeldPart) bool { return !s.Now.Before(h.Until) })
}

// recordPeer stores the addresses of an instance.
func (s *State) recordPeer(m Member) {
	if m.Name == "" || m.Incarnation < s.Peers[m.Name].Incarnation {
		return
	}
	if m.Incarnation > s.Peers[m.Name].Incarnation {
		delete(s.AbsentSince, m.Name)
		s.IncarnationFirstHeard[m.Name] = s.Now
	}
	s.Peers[m.Name] = m
}

// heardFrom records an instance that sent a message. The message is more recent
// than the platform's list, so the instance no longer counts as absent.
func (s *State) heardFrom(m Member) {
	s.recordPeer(m)
	delete(s.AbsentSince, m.Name)
}

// enterEpoch records a new epoch and its leader.
func (s *State) enterEpoch(epoch uint64, leader string) {
	s.KnownEpoch, s.Leader = epoch, leader
	s.NextHeartbeat = s.Now
	s.IdleReads = 0
	wait := time.Duration(0)
	if !s.isElector() {
		// The jitter keeps the members that only need their reserve from reading
		// the lease object all at once.
		wait = time.Duration(hash(s.Self.Name, epoch)%2000) * time.Millisecond
	}
	s.NextRead = earlier(s.NextRead, s.Now.Add(wait))
}

func (s *State) heartbeatResponseReceived(e HeartbeatResponseReceived) {
	s.heardFrom(e.From)
	if s.Leading || e.Epoch < s.KnownEpoch {
		return
	}
	if e.Epoch > s.KnownEpoch {
		s.enterEpoch(e.Epoch, e.Leader)
	}
	if s.Leader == "" {
		s.Leader = e.Leader
	}
	if e.From.Name != s.Leader || e.Leader != s.Leader {
		return
	}
	s.LastLeaderResponse = s.Now
	if e.Valid <= 0 || e.Sent.Before(s.ResumedAt) {
		return
	}
	s.acceptGrant(Grant{
		Epoch:    e.Epoch,
		Sequence: e.Sequence,
		Deadline: e.Sent.Add(e.Valid),
		Parts:    e.Parts,
		Quotas:   e.Quotas,
	})
}

func (s *State) heartbeatFailed(HeartbeatFailed) {
	if s.Now.Sub(s.LastLeaderResponse) >= leaderTimeout {
		s.NextHeartbeat = earlier(s.NextHeartbeat, s.Now.Add(HeartbeatInterval/2))
	}
}

// acceptGrant accepts a grant unless the same or a later one was accepted before.
// The leader relies on this order when it withdraws parts.
func (s *State) acceptGrant(g Grant) {
	if g.Epoch < s.Grant.Epoch || g.Epoch == s.Grant.Epoch && g.Sequence <= s.Grant.Sequence {
		return
	}
	s.Grant = g
	kept := map[PartKey]bool{}
	for _, p := range g.Parts {
		k := PartKey{p.Upstream, p.Index}
		kept[k] = true
		until := g.Deadline.Add(s.upstreamConfig(p.Upstream).Limit)
		s.HeldParts[k] = HeldPart{Part: p, Until: later(until, s.HeldParts[k].Until)}
	}
	s.markDropped(kept)
}

// markDropped marks the held parts that are no longer granted.
func (s *State) markDropped(kept map[PartKey]bool) {
	for k, h := range s.HeldParts {
		if !kept[k] && h.DroppedVersion == 0 {
			h.DroppedVersion = s.Holdings.Version + 1
			s.HeldParts[k] = h
		}
	}
}

// dropGrant ends the use of everything granted. Epoch and sequence number stay,
// so that older grants are still refused.
func (s *State) dropGrant() {
	s.Grant = Grant{Epoch: s.Grant.Epoch, Sequence: s.Grant.Sequence}
	s.markDropped(nil)
}

// inFlightChanged releases the parts that are neither granted nor in use.
func (s *State) inFlightChanged(e InFlightChanged) {
	busy := map[PartKey]bool{}
	for _, p := range e.Busy {
		busy[PartKey{p.Upstream, p.Index}] = true
	}
	before := len(s.HeldParts)
	maps.DeleteFunc(s.HeldParts, func(k PartKey, h HeldPart) bool {
		return h.DroppedVersion > 0 && h.DroppedVersion <= e.Version && !busy[k]
	})
	if len(s.HeldParts) < before {
		s.NextHeartbeat, s.NextSelfGrant = s.Now, s.Now
	}
}

// publishHoldings reports what this instance may use if that has changed.
func (s *State) publishHoldings() {
	h := Holdings{Version: s.Holdings.Version, Reserve: s.Reserve}
	if s.Now.Before(s.Grant.Deadline) {
		h.Parts, h.Quotas, h.Deadline = s.Grant.Parts, s.Grant.Quotas, s.Grant.Deadline
	}
	if slices.Equal(h.Parts, s.Holdings.Parts) && slices.Equal(h.Quotas, s.Holdings.Quotas) &&
		slices.Equal(h.Reserve, s.Holdings.Reserve) && h.Deadline.Equal(s.Holdings.Deadline) {
		return
	}
	h.Version++
	s.Holdings = h
	s.emit(HoldingsChanged{Holdings: h})
}

func sortParts(parts []Part) {
	slices.SortFunc(parts, func(a, b Part) int {
		return cmp.Or(strings.Compare(a.Upstream, b.Upstream), cmp.Compare(a.Index, b.Index))
	})
}

func sortMembers(members []Member) {
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
}
