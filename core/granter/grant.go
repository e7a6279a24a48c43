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
type Account struct {
	Member Member
	// Since is the time at which this incarnation was first heard of.
	Since time.Time
	Heard time.Time
	Seen  uint64
	// Outstanding are grants whose quotas may still be in use.
	Outstanding []Grant

	// rates are the largest outstanding rates of the plan's quotas. They hold
	// until expires while counted is set.
	rates   []float64
	expires time.Time
	counted bool
}

// Record is the leader's account of a part.
type Record struct {
	Holder      string
	Incarnation uint64
	// Until is the latest deadline of a grant of the part, counted from the
	// leader's answer.
	Until time.Time
	Limit time.Duration
	// Dropped is the sequence of the first grant without the part, 0 while it
	// is granted.
	Dropped uint64
}

// movable returns the time after which nobody uses the part, even if the holder
// is never heard of again.
func (r *Record) movable() time.Time { return r.Until.Add(LeaseMargin + r.Limit) }

// forget drops all records, because another leader granted since they were made.
func (s *State) forget(ends time.Time) {
	s.Ends = ends
	clear(s.Records)
	clear(s.Members)
	s.roster, s.order = nil, nil
	clear(s.Rests)
}

// seat expects heartbeats of the lease's members, so that parts stay where they
// are while the members learn of the new leader.
func (s *State) seat(members []Member) {
	for _, m := range members {
		a := s.Members[m.Name]
		if a == nil {
			a = &Account{Member: m, Since: s.Now}
			s.Members[m.Name] = a
			s.roster = nil
		}
		a.Heard = s.Now
	}
}

func (s *State) heartbeatReceived(e HeartbeatReceived) {
	s.hear(e.From)
	if e.Epoch > s.Known {
		s.hearHigher(e)
	}
	answer := AnswerHeartbeat{Call: e.Call, Leader: s.Leader, Epoch: s.Known}
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
	s.ReadAt = s.Now
	if s.Leading {
		s.ReadBefore = s.Now
		return
	}
	s.beat(e.From.Peer)
}

// account returns the account of a heartbeat's sender, or nil when a newer
// incarnation of it is known.
func (s *State) account(m Member) *Account {
	a := s.Members[m.Name]
	if a == nil {
		a = &Account{Since: s.Now}
		s.Members[m.Name] = a
		s.roster = nil
	}
	if m.Incarnation < a.Member.Incarnation {
		return nil
	}
	if m.Incarnation > a.Member.Incarnation {
		a.Since, a.Seen, a.counted = s.Now, 0, false
	}
	a.Member, a.Heard = m, s.Now
	return a
}

// claim records parts that a member had under the former leader. A member
// claims a part only as long as no leader can have moved it, so the first claim
// is the only one.
func (s *State) claim(a *Account, held []Part) {
	for _, p := range held {
		k := Key{p.Upstream, p.Index}
		limit := s.demand(p.Upstream).Limit
		if s.Records[k] != nil || !s.Now.Before(s.Ends.Add(LeaseMargin+limit)) {
			continue
		}
		s.Records[k] = &Record{
			Holder:      a.Member.Name,
			Incarnation: a.Member.Incarnation,
			Until:       later(s.Ends, s.Now),
			Limit:       limit,
		}
		s.order = nil
	}
}

// release frees parts that a member gave back: it has accepted a grant without
// them and has nothing in flight on them.
func (s *State) release(a *Account, seen uint64, held []Part) {
	if seen > a.Seen {
		a.Seen, a.counted = seen, false
	}
	for _, e := range s.ordered() {
		r := e.record
		if r.Holder != a.Member.Name || r.Incarnation != a.Member.Incarnation {
			continue
		}
		if r.Dropped == 0 || seen < r.Dropped {
			continue
		}
		if !slices.ContainsFunc(held, func(p Part) bool { return Key{p.Upstream, p.Index} == e.key }) {
			*r = Record{}
		}
	}
}

// grant makes a new grant for a member.
func (s *State) grant(a *Account) Grant {
	s.Sequence++
	end := earlier(s.Now.Add(GrantTerm), s.leaseEnd().Add(-LeaseMargin))
	g := Grant{Epoch: s.Epoch, Sequence: s.Sequence, Deadline: end}
	if !s.Now.Before(end) {
		return Grant{}
	}
	included := make(map[Key]bool, len(s.Targets[a.Member.Name]))
	for _, p := range s.Targets[a.Member.Name] {
		k := Key{p.Upstream, p.Index}
		if s.assign(k, a, end) {
			included[k] = true
			g.Parts = append(g.Parts, p)
		}
	}
	for _, e := range s.ordered() {
		r := e.record
		if r.Holder == a.Member.Name && r.Dropped == 0 && !included[e.key] {
			r.Dropped = g.Sequence
		}
	}
	s.Granted = later(s.Granted, end)
	g.Quotas = s.quotas(a)
	a.Outstanding = append(a.Outstanding, Grant{Sequence: g.Sequence, Deadline: end, Quotas: g.Quotas})
	a.counted = false
	return g
}

// assign records a part for a member if nobody else can use it.
func (s *State) assign(k Key, a *Account, end time.Time) bool {
	r := s.Records[k]
	limit := s.demand(k.Upstream).Limit
	if r == nil {
		if s.Now.Before(s.Ends.Add(LeaseMargin + limit)) {
			return false
		}
		r = &Record{}
		s.Records[k] = r
		s.order = nil
	}
	same := r.Holder == a.Member.Name && r.Incarnation == a.Member.Incarnation
	if !same && s.Now.Before(r.movable()) {
		return false
	}
	if !same {
		*r = Record{}
	}
	r.Holder, r.Incarnation = a.Member.Name, a.Member.Incarnation
	r.Until = later(r.Until, end)
	r.Limit = max(r.Limit, limit)
	r.Dropped = 0
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
	same := s.Live != nil && slices.Equal(live, s.Live)
	if same && s.Sized && s.uniform() {
		return
	}
	sizes := s.sizes()
	s.SizedFor = s.Lease.Reserve
	s.Sized = s.uniform()
	if same && maps.Equal(sizes, s.Sizes) {
		return
	}
	s.Live, s.Sizes = live, sizes
	s.Targets = map[string][]Part{}
	for _, k := range slices.SortedFunc(maps.Keys(sizes), compareKeys) {
		to := owner(k, live)
		s.Targets[to] = append(s.Targets[to], Part{Upstream: k.Upstream, Index: k.Index, Slots: sizes[k]})
	}
}

func compareKeys(a, b Key) int {
	return cmp.Or(strings.Compare(a.Upstream, b.Upstream), cmp.Compare(a.Index, b.Index))
}

// owner chooses the member for a part by rendezvous hashing, so that a change
// of members moves only the parts that it has to.
func owner(k Key, live []string) string {
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
		if !a.Member.Leaving && a.Member.Name != s.Self.Name && s.Now.Sub(a.Heard) < MemberTerm {
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
	if len(s.Wants) > 0 {
		return false
	}
	return !slices.ContainsFunc(s.possible(), func(l *Lease) bool { return !slices.Equal(l.Reserve, s.SizedFor) })
}

// sizes divides the slots that are not reserved into parts.
func (s *State) sizes() map[Key]int {
	reserved := s.reserved()
	sizes := map[Key]int{}
	for _, d := range s.Plan.Demands {
		left := d.Slots - reserved[d.Upstream]
		for i := 0; left > 0; i++ {
			sizes[Key{d.Upstream, i}] = min(left, PartSlots)
			left -= PartSlots
		}
	}
	return sizes
}
