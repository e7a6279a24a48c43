package granter

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Account is what the leader knows of a member.
type MemberState struct {
	Member Member
	// Since is the time at which this incarnation was first heard of.
	FirstHeard    time.Time
	LastHeard     time.Time
	AckedSequence uint64
	// Outstanding are grants whose quotas may still be in use.
	OutstandingGrants []Grant

	// rates are the largest outstanding rates of the plan's quotas. They hold
	// until expires while counted is set.
	rates   []float64
	expires time.Time
	counted bool
}

// Record is the leader's account of a part.
type Allocation struct {
	Holder      string
	Incarnation uint64
	// Until is the latest deadline of a grant of the part, counted from the
	// leader's answer.
	Until time.Time
	Limit time.Duration
	// Dropped is the sequence of the first grant without the part, 0 while it
	// is granted.
	DroppedSequence uint64
}

// movable returns the time after which nobody uses the part, even if the holder
// is never heard of again.
func (r *Allocation) movable() time.Time { return r.Until.Add(LeaseMargin + r.Limit) }

// forget drops all records, because another leader granted since they were made.
func (s *State) forget(ends time.Time) {
	s.PriorGrantsEnd = ends
	clear(s.Allocations)
	clear(s.Members)
	s.roster, s.order = nil, nil
	clear(s.QuarantinedSince)
}

// seat expects heartbeats of the lease's members, so that parts stay where they
// are while the members learn of the new leader.
func (s *State) seat(members []Member) {
	for _, m := range members {
		a := s.Members[m.Name]
		if a == nil {
			a = &MemberState{Member: m, FirstHeard: s.Now}
			s.Members[m.Name] = a
			s.roster = nil
		}
		a.LastHeard = s.Now
	}
}

func (s *State) heartbeatReceived(e HeartbeatReceived) {
	s.hear(e.From)
	if e.Epoch > s.KnownEpoch {
		s.hearHigher(e)
	}
	answer := SendHeartbeatResponse{Call: e.Call, Leader: s.Leader, Epoch: s.KnownEpoch}
	if !s.Leading || e.Epoch > s.Epoch {
		s.emit(answer)
		return
	}
	answer.Leader, answer.Epoch = s.Self.Name, s.Epoch
	a := s.account(e.From)
	if a == nil {
		s.emit(answer)
		return
	}
	if e.Epoch == s.Epoch {
		s.claim(a, e.Held)
		s.release(a, e.Seen, e.Held)
	}
	g := s.grant(a)
	answer.Valid = max(0, g.Deadline.Sub(s.Now))
	answer.Sequence, answer.Parts, answer.Quotas = g.Sequence, g.Parts, g.Quotas
	s.emit(answer)
}

// hearHigher looks for a leader that the sender knows and this process doesn't.
func (s *State) hearHigher(e HeartbeatReceived) {
	s.NextRead = s.Now
	if s.Leading {
		s.ReadRequiredAfter = s.Now
		return
	}
	s.beat(e.From.Peer)
}

// account returns the account of a heartbeat's sender, or nil when a newer
// incarnation of it is known.
func (s *State) account(m Member) *MemberState {
	a := s.Members[m.Name]
	if a == nil {
		a = &MemberState{FirstHeard: s.Now}
		s.Members[m.Name] = a
		s.roster = nil
	}
	if m.Incarnation < a.Member.Incarnation {
		return nil
	}
	if m.Incarnation > a.Member.Incarnation {
		a.FirstHeard, a.AckedSequence, a.counted = s.Now, 0, false
	}
	a.Member, a.LastHeard = m, s.Now
	return a
}

// claim records parts that a member had under the former leader. A member
// claims a part only as long as no leader can have moved it, so the first claim
// is the only one.
func (s *State) claim(a *MemberState, held []Part) {
	for _, p := range held {
		k := PartKey{p.Upstream, p.Index}
		limit := s.demand(p.Upstream).Limit
		if s.Allocations[k] != nil || !s.Now.Before(s.PriorGrantsEnd.Add(LeaseMargin+limit)) {
			continue
		}
		s.Allocations[k] = &Allocation{
			Holder:      a.Member.Name,
			Incarnation: a.Member.Incarnation,
			Until:       later(s.PriorGrantsEnd, s.Now),
			Limit:       limit,
		}
		s.order = nil
	}
}

// release frees parts that a member gave back: it has accepted a grant without
// them and has nothing in flight on them.
func (s *State) release(a *MemberState, seen uint64, held []Part) {
	if seen > a.AckedSequence {
		a.AckedSequence, a.counted = seen, false
	}
	for _, e := range s.ordered() {
		r := e.record
		if r.Holder != a.Member.Name || r.Incarnation != a.Member.Incarnation {
			continue
		}
		if r.DroppedSequence == 0 || seen < r.DroppedSequence {
			continue
		}
		if !slices.ContainsFunc(held, func(p Part) bool { return PartKey{p.Upstream, p.Index} == e.key }) {
			*r = Allocation{}
		}
	}
}

// grant makes a new grant for a member.
func (s *State) grant(a *MemberState) Grant {
	s.Sequence++
	end := earlier(s.Now.Add(GrantTerm), s.leaseEnd().Add(-LeaseMargin))
	g := Grant{Epoch: s.Epoch, Sequence: s.Sequence, Deadline: end}
	if !s.Now.Before(end) {
		return Grant{}
	}
	included := make(map[PartKey]bool, len(s.TargetParts[a.Member.Name]))
	for _, p := range s.TargetParts[a.Member.Name] {
		k := PartKey{p.Upstream, p.Index}
		if s.assign(k, a, end) {
			included[k] = true
			g.Parts = append(g.Parts, p)
		}
	}
	for _, e := range s.ordered() {
		r := e.record
		if r.Holder == a.Member.Name && r.DroppedSequence == 0 && !included[e.key] {
			r.DroppedSequence = g.Sequence
		}
	}
	s.LastGrantDeadline = later(s.LastGrantDeadline, end)
	g.Quotas = s.quotas(a)
	a.OutstandingGrants = append(a.OutstandingGrants, Grant{Sequence: g.Sequence, Deadline: end, Quotas: g.Quotas})
	a.counted = false
	return g
}

// assign records a part for a member if nobody else can use it.
func (s *State) assign(k PartKey, a *MemberState, end time.Time) bool {
	r := s.Allocations[k]
	limit := s.demand(k.Upstream).Limit
	if r == nil {
		if s.Now.Before(s.PriorGrantsEnd.Add(LeaseMargin + limit)) {
			return false
		}
		r = &Allocation{}
		s.Allocations[k] = r
		s.order = nil
	}
	same := r.Holder == a.Member.Name && r.Incarnation == a.Member.Incarnation
	if !same && s.Now.Before(r.movable()) {
		return false
	}
	if !same {
		*r = Allocation{}
	}
	r.Holder, r.Incarnation = a.Member.Name, a.Member.Incarnation
	r.Until = later(r.Until, end)
	r.Limit = max(r.Limit, limit)
	r.DroppedSequence = 0
	return true
}

// grantSelf grants the leader's own parts.
func (s *State) grantSelf() {
	a := s.account(s.Self)
	s.release(a, s.seen(), s.held())
	s.claim(a, s.held())
	if g := s.grant(a); !g.Deadline.IsZero() {
		s.accept(g)
	}
}

// refresh recomputes who should hold which part when members or slots changed.
func (s *State) refresh() {
	live := s.live()
	same := s.LiveMembers != nil && slices.Equal(live, s.LiveMembers)
	if same && s.PartSizesCached && s.uniform() {
		return
	}
	sizes := s.sizes()
	s.PartSizesReserve = s.Lease.Reserve
	s.PartSizesCached = s.uniform()
	if same && maps.Equal(sizes, s.PartSizes) {
		return
	}
	s.LiveMembers, s.PartSizes = live, sizes
	s.TargetParts = map[string][]Part{}
	for _, k := range slices.SortedFunc(maps.Keys(sizes), compareKeys) {
		to := owner(k, live)
		s.TargetParts[to] = append(s.TargetParts[to], Part{Upstream: k.Upstream, Index: k.Index, Slots: sizes[k]})
	}
}

func compareKeys(a, b PartKey) int {
	return cmp.Or(strings.Compare(a.Upstream, b.Upstream), cmp.Compare(a.Index, b.Index))
}

// owner chooses the member for a part by rendezvous hashing, so that a change
// of members moves only the parts that it has to.
func owner(k PartKey, live []string) string {
	best, top := "", uint64(0)
	for _, name := range live {
		d := xxhash.New()
		_, _ = d.WriteString(name)
		_, _ = d.Write([]byte{0, byte(k.Index), byte(k.Index >> 8)})
		_, _ = d.WriteString(k.Upstream)
		if h := d.Sum64(); best == "" || h > top {
			best, top = name, h
		}
	}
	return best
}

// live returns the sorted names of the members that may get parts. A leaving
// leader without any other member keeps them.
func (s *State) live() []string {
	var names []string
	for _, a := range s.accounts() {
		if !a.Member.Leaving && a.Member.Name != s.Self.Name && s.Now.Sub(a.LastHeard) < MemberTimeout {
			names = append(names, a.Member.Name)
		}
	}
	if !s.Self.Leaving || len(names) == 0 {
		names = append(names, s.Self.Name)
	}
	slices.Sort(names)
	return names
}

// uniform tells whether SizedFor is the reserve of every possible lease and no
// other slot is wanted. A changed plan is noticed by Live, which it resets.
func (s *State) uniform() bool {
	if len(s.PendingReserves) > 0 {
		return false
	}
	return !slices.ContainsFunc(s.possible(), func(l *Lease) bool { return !slices.Equal(l.Reserve, s.PartSizesReserve) })
}

// sizes divides the slots that are not reserved into parts.
func (s *State) sizes() map[PartKey]int {
	reserved := s.reserved()
	sizes := map[PartKey]int{}
	for _, d := range s.Config.Upstreams {
		left := d.Slots - reserved[d.Upstream]
		for i := 0; left > 0; i++ {
			sizes[PartKey{d.Upstream, i}] = min(left, MaxPartSlots)
			left -= MaxPartSlots
		}
	}
	return sizes
}
