package granter

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// MemberState is what the leader knows about a member.
type MemberState struct {
	Member Member
	// FirstHeard is the time at which this incarnation was first heard of.
	FirstHeard time.Time
	LastHeard  time.Time
	// AckedSequence is the sequence number of the last grant that the member is
	// known to have accepted.
	AckedSequence uint64
	// OutstandingGrants are the grants whose quotas may still be in use.
	OutstandingGrants []Grant

	// maxRates caches the largest outstanding rate of each quota in
	// Config.Quotas. It is valid until ratesExpire while ratesValid is set.
	maxRates    []float64
	ratesExpire time.Time
	ratesValid  bool
}

// Allocation is the leader's record of a part.
type Allocation struct {
	Holder      string
	Incarnation uint64
	// Until is the latest deadline of a grant of the part, counted from the
	// leader's response.
	Until time.Time
	// Limit is the largest request limit of the upstream at any grant of the part.
	Limit time.Duration
	// DroppedSequence is the sequence number of the holder's first grant without
	// the part, 0 while the part is granted.
	DroppedSequence uint64
}

// reassignableAt returns the time after which nobody uses the part, even if the
// holder is never heard of again.
func (al *Allocation) reassignableAt() time.Time { return al.Until.Add(LeaseMargin + al.Limit) }

// resetAllocations drops all allocations, because another leader may have made
// grants since they were recorded. All those grants end by priorGrantsEnd.
func (s *State) resetAllocations(priorGrantsEnd time.Time) {
	s.PriorGrantsEnd = priorGrantsEnd
	clear(s.Allocations)
	clear(s.Members)
	s.sortedMembers, s.sortedAllocations = nil, nil
	clear(s.QuarantinedSince)
}

// expectMembers treats the lease's members as just heard from, so that parts
// stay where they are while the members learn of the new leader.
func (s *State) expectMembers(members []Member) {
	for _, m := range members {
		ms := s.Members[m.Name]
		if ms == nil {
			ms = &MemberState{Member: m, FirstHeard: s.Now}
			s.Members[m.Name] = ms
			s.sortedMembers = nil
		}
		ms.LastHeard = s.Now
	}
}

func (s *State) heartbeatReceived(e HeartbeatReceived) {
	s.heardFrom(e.From)
	if e.Epoch > s.KnownEpoch {
		s.findNewerLeader(e)
	}
	response := SendHeartbeatResponse{Call: e.Call, Leader: s.Leader, Epoch: s.KnownEpoch}
	if !s.Leading || e.Epoch > s.Epoch {
		s.emit(response)
		return
	}
	response.Leader, response.Epoch = s.Self.Name, s.Epoch
	ms := s.memberState(e.From)
	if ms == nil {
		s.emit(response)
		return
	}
	if e.Epoch == s.Epoch {
		s.adoptHeldParts(ms, e.Held)
		s.releaseParts(ms, e.Seen, e.Held)
	}
	g := s.newGrant(ms)
	response.Valid = max(0, g.Deadline.Sub(s.Now))
	response.Sequence, response.Parts, response.Quotas = g.Sequence, g.Parts, g.Quotas
	s.emit(response)
}

// findNewerLeader looks for the leader of an epoch that the sender of a
// heartbeat knows and this process doesn't.
func (s *State) findNewerLeader(e HeartbeatReceived) {
	s.NextRead = s.Now
	if s.Leading {
		s.ReadRequiredAfter = s.Now
		return
	}
	s.sendHeartbeat(e.From.Peer)
}

// memberState returns the state of a member that was just heard from, or nil if
// a newer incarnation of it is known.
func (s *State) memberState(m Member) *MemberState {
	ms := s.Members[m.Name]
	if ms == nil {
		ms = &MemberState{FirstHeard: s.Now}
		s.Members[m.Name] = ms
		s.sortedMembers = nil
	}
	if m.Incarnation < ms.Member.Incarnation {
		return nil
	}
	if m.Incarnation > ms.Member.Incarnation {
		ms.FirstHeard, ms.AckedSequence, ms.ratesValid = s.Now, 0, false
	}
	ms.Member, ms.LastHeard = m, s.Now
	return ms
}

// adoptHeldParts records the parts that a member was granted by a former leader.
// A member reports a part only as long as no leader can have moved it, so no two
// members report the same part.
func (s *State) adoptHeldParts(ms *MemberState, held []Part) {
	for _, p := range held {
		k := PartKey{p.Upstream, p.Index}
		limit := s.upstreamConfig(p.Upstream).Limit
		if s.Allocations[k] != nil || !s.Now.Before(s.PriorGrantsEnd.Add(LeaseMargin+limit)) {
			continue
		}
		s.Allocations[k] = &Allocation{
			Holder:      ms.Member.Name,
			Incarnation: ms.Member.Incarnation,
			Until:       later(s.PriorGrantsEnd, s.Now),
			Limit:       limit,
		}
		s.sortedAllocations = nil
	}
}

// releaseParts frees the parts that a member released: it has accepted a grant
// without them and has no requests in flight on them.
func (s *State) releaseParts(ms *MemberState, seen uint64, held []Part) {
	if seen > ms.AckedSequence {
		ms.AckedSequence, ms.ratesValid = seen, false
	}
	for _, e := range s.allocationsByKey() {
		al := e.allocation
		if al.Holder != ms.Member.Name || al.Incarnation != ms.Member.Incarnation {
			continue
		}
		if al.DroppedSequence == 0 || seen < al.DroppedSequence {
			continue
		}
		if !slices.ContainsFunc(held, func(p Part) bool { return PartKey{p.Upstream, p.Index} == e.key }) {
			*al = Allocation{}
		}
	}
}

// newGrant makes a new grant for a member.
func (s *State) newGrant(ms *MemberState) Grant {
	s.Sequence++
	end := earlier(s.Now.Add(GrantTerm), s.leaseEnd().Add(-LeaseMargin))
	g := Grant{Epoch: s.Epoch, Sequence: s.Sequence, Deadline: end}
	if !s.Now.Before(end) {
		return Grant{}
	}
	included := make(map[PartKey]bool, len(s.TargetParts[ms.Member.Name]))
	for _, p := range s.TargetParts[ms.Member.Name] {
		k := PartKey{p.Upstream, p.Index}
		if s.allocate(k, ms, end) {
			included[k] = true
			g.Parts = append(g.Parts, p)
		}
	}
	for _, e := range s.allocationsByKey() {
		al := e.allocation
		if al.Holder == ms.Member.Name && al.DroppedSequence == 0 && !included[e.key] {
			al.DroppedSequence = g.Sequence
		}
	}
	s.LastGrantDeadline = later(s.LastGrantDeadline, end)
	g.Quotas = s.quotaShares(ms)
	ms.OutstandingGrants = append(ms.OutstandingGrants, Grant{Sequence: g.Sequence, Deadline: end, Quotas: g.Quotas})
	ms.ratesValid = false
	return g
}

// allocate records a part for a member if no other process can still use it, and
// reports whether it did.
func (s *State) allocate(k PartKey, ms *MemberState, end time.Time) bool {
	al := s.Allocations[k]
	limit := s.upstreamConfig(k.Upstream).Limit
	if al == nil {
		if s.Now.Before(s.PriorGrantsEnd.Add(LeaseMargin + limit)) {
			return false
		}
		al = &Allocation{}
		s.Allocations[k] = al
		s.sortedAllocations = nil
	}
	same := al.Holder == ms.Member.Name && al.Incarnation == ms.Member.Incarnation
	if !same && s.Now.Before(al.reassignableAt()) {
		return false
	}
	if !same {
		*al = Allocation{}
	}
	al.Holder, al.Incarnation = ms.Member.Name, ms.Member.Incarnation
	al.Until = later(al.Until, end)
	al.Limit = max(al.Limit, limit)
	al.DroppedSequence = 0
	return true
}

// grantSelf makes a grant for the leader itself.
func (s *State) grantSelf() {
	ms := s.memberState(s.Self)
	s.releaseParts(ms, s.acceptedSequence(), s.heldParts())
	s.adoptHeldParts(ms, s.heldParts())
	if g := s.newGrant(ms); !g.Deadline.IsZero() {
		s.acceptGrant(g)
	}
}

// updateTargets recomputes which member should hold which part if the live
// members or the part sizes have changed.
func (s *State) updateTargets() {
	live := s.liveNames()
	same := s.LiveMembers != nil && slices.Equal(live, s.LiveMembers)
	if same && s.PartSizesCached && s.partSizesValid() {
		return
	}
	partSizes := s.partSizes()
	s.PartSizesReserve = s.Lease.Reserve
	s.PartSizesCached = s.partSizesValid()
	if same && maps.Equal(partSizes, s.PartSizes) {
		return
	}
	s.LiveMembers, s.PartSizes = live, partSizes
	s.TargetParts = map[string][]Part{}
	for _, k := range slices.SortedFunc(maps.Keys(partSizes), compareKeys) {
		to := rendezvousOwner(k, live)
		s.TargetParts[to] = append(s.TargetParts[to], Part{Upstream: k.Upstream, Index: k.Index, Slots: partSizes[k]})
	}
}

// compareKeys orders parts by upstream, then index.
func compareKeys(a, b PartKey) int {
	return cmp.Or(strings.Compare(a.Upstream, b.Upstream), cmp.Compare(a.Index, b.Index))
}

// rendezvousOwner chooses the member for a part by rendezvous hashing, so that a
// change of members moves as few parts as possible.
func rendezvousOwner(k PartKey, live []string) string {
	best, maxHash := "", uint64(0)
	for _, name := range live {
		d := xxhash.New()
		_, _ = d.WriteString(name)
		_, _ = d.Write([]byte{0, byte(k.Index), byte(k.Index >> 8)})
		_, _ = d.WriteString(k.Upstream)
		if h := d.Sum64(); best == "" || h > maxHash {
			best, maxHash = name, h
		}
	}
	return best
}

// liveNames returns the sorted names of the members that may get parts. A
// leaving leader gets parts only if there is no other such member.
func (s *State) liveNames() []string {
	var names []string
	for _, ms := range s.membersByName() {
		if !ms.Member.Leaving && ms.Member.Name != s.Self.Name && s.Now.Sub(ms.LastHeard) < MemberTimeout {
			names = append(names, ms.Member.Name)
		}
	}
	if !s.Self.Leaving || len(names) == 0 {
		names = append(names, s.Self.Name)
	}
	slices.Sort(names)
	return names
}

// partSizesValid reports whether PartSizesReserve is the reserve of every
// possible lease and no further reserve slot is pending. A new configuration is
// noticed by LiveMembers, which it resets.
func (s *State) partSizesValid() bool {
	if len(s.PendingReserves) > 0 {
		return false
	}
	return !slices.ContainsFunc(s.possibleLeases(), func(l *Lease) bool { return !slices.Equal(l.Reserve, s.PartSizesReserve) })
}

// partSizes divides the slots that are not reserved into parts.
func (s *State) partSizes() map[PartKey]int {
	reserved := s.reservedSlots()
	partSizes := map[PartKey]int{}
	for _, u := range s.Config.Upstreams {
		left := u.Slots - reserved[u.Upstream]
		for i := 0; left > 0; i++ {
			partSizes[PartKey{u.Upstream, i}] = min(left, MaxPartSlots)
			left -= MaxPartSlots
		}
	}
	return partSizes
}
