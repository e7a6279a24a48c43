package granter

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// silence is the time without an answer from the leader after which a member
// also asks others who leads.
const silence = 3 * HeartbeatInterval

// Claim is a part that this instance was granted and has not given back. It is
// reported to the leader only until Until, after which a leader may have moved
// the part.
type HeldPart struct {
	Part  Part
	Until time.Time
	// Drop is the version of Holdings that no longer names the part, 0 while
	// it is granted.
	DroppedVersion uint64
}

// follow sends the heartbeat that is due.
func (s *State) follow() {
	if s.Now.Before(s.NextHeartbeat) {
		return
	}
	s.NextHeartbeat = s.Now.Add(HeartbeatInterval)
	if to := s.contact(); to != "" {
		s.beat(to)
	}
}

// contact returns the address for the next heartbeat: the leader's, or while
// the leader is silent every other time that of another instance.
func (s *State) contact() string {
	leader := s.Peers[s.Leader].Peer
	if s.Leader == s.Self.Name {
		leader = ""
	}
	if leader != "" && s.Now.Sub(s.LastLeaderResponse) < silence {
		return leader
	}
	s.SeedIndex++
	others := s.others()
	if len(others) == 0 || leader != "" && s.SeedIndex%2 == 0 {
		return leader
	}
	return others[s.SeedIndex/2%len(others)]
}

// others returns the addresses of instances that may know the leader.
func (s *State) others() []string {
	all := slices.Clone(s.Seeds)
	for _, name := range s.Lease.Electors {
		all = append(all, s.Peers[name].Peer)
	}
	slices.Sort(all)
	all = slices.Compact(all)
	return slices.DeleteFunc(all, func(to string) bool { return to == "" || to == s.Self.Peer })
}

func (s *State) beat(to string) {
	s.emit(SendHeartbeat{To: to, Epoch: s.KnownEpoch, Seen: s.seen(), Held: s.held()})
}

// seen returns the sequence of the last accepted grant of the current epoch.
func (s *State) seen() uint64 {
	if s.Grant.Epoch != s.KnownEpoch {
		return 0
	}
	return s.Grant.Sequence
}

func (s *State) held() []Part {
	s.trimClaims()
	var parts []Part
	for _, c := range s.HeldParts {
		parts = append(parts, c.Part)
	}
	sortParts(parts)
	return parts
}

// trimClaims forgets claims when a leader may have moved the part.
func (s *State) trimClaims() {
	maps.DeleteFunc(s.HeldParts, func(_ PartKey, c HeldPart) bool { return !s.Now.Before(c.Until) })
}

// meet remembers the addresses of an instance.
func (s *State) meet(m Member) {
	if m.Name == "" || m.Incarnation < s.Peers[m.Name].Incarnation {
		return
	}
	if m.Incarnation > s.Peers[m.Name].Incarnation {
		delete(s.AbsentSince, m.Name)
		s.IncarnationFirstHeard[m.Name] = s.Now
	}
	s.Peers[m.Name] = m
}

// hear remembers an instance that sent a message, which is more recent news
// than the platform's list.
func (s *State) hear(m Member) {
	s.meet(m)
	delete(s.AbsentSince, m.Name)
}

// learn records a new epoch and its leader.
func (s *State) learn(epoch uint64, leader string) {
	s.KnownEpoch, s.Leader = epoch, leader
	s.NextHeartbeat = s.Now
	s.IdleReads = 0
	wait := time.Duration(0)
	if !s.elector() {
		// Members that only need their reserve don't all read at once.
		wait = time.Duration(hash(s.Self.Name, epoch)%2000) * time.Millisecond
	}
	s.NextRead = earlier(s.NextRead, s.Now.Add(wait))
}

func (s *State) heartbeatAnswered(e HeartbeatResponseReceived) {
	s.hear(e.From)
	if s.Leading || e.Epoch < s.KnownEpoch {
		return
	}
	if e.Epoch > s.KnownEpoch {
		s.learn(e.Epoch, e.Leader)
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
	s.accept(Grant{
		Epoch:    e.Epoch,
		Sequence: e.Sequence,
		Deadline: e.Sent.Add(e.Valid),
		Parts:    e.Parts,
		Quotas:   e.Quotas,
	})
}

func (s *State) heartbeatFailed(HeartbeatFailed) {
	if s.Now.Sub(s.LastLeaderResponse) >= silence {
		s.NextHeartbeat = earlier(s.NextHeartbeat, s.Now.Add(HeartbeatInterval/2))
	}
}

// accept takes a grant unless a later one was accepted. The leader relies on
// this order when it takes parts away.
func (s *State) accept(g Grant) {
	if g.Epoch < s.Grant.Epoch || g.Epoch == s.Grant.Epoch && g.Sequence <= s.Grant.Sequence {
		return
	}
	s.Grant = g
	kept := map[PartKey]bool{}
	for _, p := range g.Parts {
		k := PartKey{p.Upstream, p.Index}
		kept[k] = true
		until := g.Deadline.Add(s.demand(p.Upstream).Limit)
		s.HeldParts[k] = HeldPart{Part: p, Until: later(until, s.HeldParts[k].Until)}
	}
	s.dropClaims(kept)
}

// dropClaims marks the claims on parts that are no longer granted.
func (s *State) dropClaims(kept map[PartKey]bool) {
	for k, c := range s.HeldParts {
		if !kept[k] && c.DroppedVersion == 0 {
			c.DroppedVersion = s.Holdings.Version + 1
			s.HeldParts[k] = c
		}
	}
}

// giveUp ends the use of everything granted. The order of grants is kept.
func (s *State) giveUp() {
	s.Grant = Grant{Epoch: s.Grant.Epoch, Sequence: s.Grant.Sequence}
	s.dropClaims(nil)
}

// inFlightChanged gives parts back that are neither granted nor in use.
func (s *State) inFlightChanged(e InFlightChanged) {
	busy := map[PartKey]bool{}
	for _, p := range e.Busy {
		busy[PartKey{p.Upstream, p.Index}] = true
	}
	before := len(s.HeldParts)
	maps.DeleteFunc(s.HeldParts, func(k PartKey, c HeldPart) bool {
		return c.DroppedVersion > 0 && c.DroppedVersion <= e.Version && !busy[k]
	})
	if len(s.HeldParts) < before {
		s.NextHeartbeat, s.NextSelfGrant = s.Now, s.Now
	}
}

// publish reports what this instance may use, if that changed.
func (s *State) publish() {
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
