package granter

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Key identifies a part; its number of slots can change with the configuration.
type PartKey struct {
	Upstream string
	Index    int
}

// Write is a conditional update of the lease object whose outcome is not known.
type LeaseUpdate struct {
	Version uint64
	Lease   Lease
	Started time.Time
	// Ends bounds the deadlines of grants made before this write, by any leader.
	PriorGrantsEnd time.Time
	// Fresh tells that the writer's records don't cover the epoch before.
	ResetAllocations bool
}

// State is one instance's knowledge of its domain. Its zero value is not
// usable; New makes one.
type State struct {
	Self    Member
	Now     time.Time
	Started time.Time
	// Ticked is the time of the last Tick, or of the end of a pause.
	LastTick time.Time
	// Resumed is the end of the last pause; answers to requests sent before it
	// are ignored.
	ResumedAt time.Time
	Config    Config
	Seeds     []string
	Peers     map[string]Member
	// Renewed is the time at which an instance's incarnation was first heard of.
	IncarnationFirstHeard map[string]time.Time
	// Count makes nonces unique within an incarnation.
	NonceCounter uint64

	// Version and Lease are the newest lease object seen, FirstSeen the time it
	// was first seen, LastRead the time of asking for the newest answer.
	Version        uint64
	Lease          Lease
	LeaseFirstSeen time.Time
	LastReadSent   time.Time
	// ReadAt is the time of the next read, Unanswered the number of reads
	// without an answer.
	NextRead        time.Time
	UnansweredReads int
	// IdleReads is the number of reads in this epoch while the leader was heard.
	IdleReads int
	// Pending is the write in flight. Unresolved are writes whose answer was
	// lost; each may still take effect.
	PendingWrite     *LeaseUpdate
	UnresolvedWrites []LeaseUpdate
	NextWrite        time.Time
	WriteFailures    int
	// ReadBefore is the time of the last lost answer; nothing is written until
	// the object was read after it.
	ReadRequiredAfter time.Time

	// Voted is the highest epoch that this elector stands by; it never supports
	// a lower one. Promised is the time until which it supports no other.
	VotedEpoch    uint64
	VotedFor      string
	PromisedUntil time.Time
	Candidacy     *Candidacy
	// Floor is the highest epoch of which any elector has told.
	MaxReportedEpoch uint64
	AbsentSince      map[string]time.Time
	LastList         time.Time
	NextList         time.Time

	// Leading tells that this instance holds the lease in Epoch.
	Leading            bool
	Epoch              uint64
	LeaderSince        time.Time
	PlatformLeaseUntil time.Time
	SupportByElector   map[string]Support
	// Granted is the latest deadline of all grants made.
	LastGrantDeadline  time.Time
	NextSupportRequest time.Time
	// Covers is the epoch up to which Records and Members are complete.
	AllocationsEpoch uint64
	Members          map[string]*MemberState
	Allocations      map[PartKey]*Allocation
	Sequence         uint64
	// Ends bounds the deadlines of all grants of former leaders.
	PriorGrantsEnd time.Time
	LiveMembers    []string
	// SizedFor is the reserve that alone determined Sizes if Sized is set.
	PartSizesReserve []Reserve
	PartSizesCached  bool
	TargetParts      map[string][]Part
	PartSizes        map[PartKey]int
	PendingReserves  []PendingReserve
	QuarantinedSince map[string]time.Time
	NextSelfGrant    time.Time
	View             View

	// Known is the highest epoch that this instance has heard of, Leader its leader.
	KnownEpoch uint64
	Leader     string
	// Heard is the time of the leader's last answer.
	LastLeaderResponse time.Time
	NextHeartbeat      time.Time
	// SeedIndex is the number of tries with seeds.
	SeedIndex int
	Grant     Grant
	HeldParts map[PartKey]HeldPart
	Reserve   []Reserve
	Holdings  Holdings

	// roster and order are Members and Records in the order of names and keys;
	// nil when the maps have changed.
	roster  []*MemberState
	order   []entry
	effects []Effect
}

// New returns the state of an instance that starts now.
func New(self Member, now time.Time) *State {
	return &State{
		Self:                  self,
		Now:                   now,
		Started:               now,
		LastTick:              now,
		Peers:                 map[string]Member{},
		IncarnationFirstHeard: map[string]time.Time{},
		AbsentSince:           map[string]time.Time{},
		SupportByElector:      map[string]Support{},
		Members:               map[string]*MemberState{},
		Allocations:           map[PartKey]*Allocation{},
		QuarantinedSince:      map[string]time.Time{},
		HeldParts:             map[PartKey]HeldPart{},
	}
}

// Step applies an event and returns the effects to perform, in order.
func (s *State) Step(e Event) []Effect {
	s.effects = nil
	s.advance(e)
	switch e := e.(type) {
	case Tick:
		s.tick()
	case ConfigChanged:
		s.planChanged(e.Config)
	case LeaseRead:
		s.leaseSeen(e)
	case WriteCompleted:
		s.writeEnded(e)
	case InstancesListed:
		s.listSeen(e)
	case HeartbeatReceived:
		s.heartbeatReceived(e)
	case HeartbeatResponseReceived:
		s.heartbeatAnswered(e)
	case HeartbeatFailed:
		s.heartbeatFailed(e)
	case VoteRequestReceived:
		s.voteReceived(e)
	case VoteResponseReceived:
		s.voteAnswered(e)
	case InFlightChanged:
		s.inFlightChanged(e)
	case SeedsChanged:
		s.Seeds = e.Peers
	case LeaveRequested:
		s.Self.Leaving = true
		s.NextHeartbeat = s.Now
	}
	s.publish()
	return s.effects
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

// tick does what is due, the leader's work or a member's.
func (s *State) tick() {
	s.trimClaims()
	s.abandon()
	if s.Leading {
		s.lead()
	} else {
		s.follow()
		s.stand()
	}
	s.readDue()
}

func (s *State) planChanged(p Config) {
	s.Config = p
	s.LiveMembers = nil
	for _, a := range s.Members {
		a.counted = false
	}
	s.NextSelfGrant = s.Now
}

// nonce names a write. Name, incarnation and count make it unique without a
// random source.
func (s *State) nonce() uint64 {
	s.NonceCounter++
	return hash(s.Self.Name, s.Self.Incarnation, s.NonceCounter)
}

func hash(name string, numbers ...uint64) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(name)
	for _, n := range numbers {
		_, _ = d.Write([]byte{
			0, byte(n), byte(n >> 8), byte(n >> 16), byte(n >> 24),
			byte(n >> 32), byte(n >> 40), byte(n >> 48), byte(n >> 56),
		})
	}
	return d.Sum64()
}

// demand returns the configuration of an upstream.
func (s *State) demand(upstream string) UpstreamConfig {
	for _, d := range s.Config.Upstreams {
		if d.Upstream == upstream {
			return d
		}
	}
	return UpstreamConfig{}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
