package granter

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// PartKey identifies a part. The number of slots of a part can change with the
// configuration.
type PartKey struct {
	Upstream string
	Index    int
}

// LeaseUpdate is a conditional update of the lease object, started at Started,
// whose outcome is not known.
type LeaseUpdate struct {
	Version uint64
	Lease   Lease
	Started time.Time
	// PriorGrantsEnd bounds the deadlines of grants made before this write by any
	// leader.
	PriorGrantsEnd time.Time
	// ResetAllocations tells that the writer's allocations don't cover the
	// previous epoch.
	ResetAllocations bool
}

// State is the state of one instance. Its zero value is not usable; New returns
// one that is.
type State struct {
	Self    Member
	Now     time.Time
	Started time.Time
	// LastTick is the time of the last Tick or of the end of a pause.
	LastTick time.Time
	// ResumedAt is the end of the last pause of the process. Responses to requests
	// sent before it are ignored.
	ResumedAt time.Time
	Config    Config
	// Seeds are the addresses of SeedsChanged, Peers the newest incarnations of
	// the known instances by name.
	Seeds []string
	Peers map[string]Member
	// IncarnationFirstHeard is the time at which an instance's present incarnation
	// was first heard of.
	IncarnationFirstHeard map[string]time.Time
	// NonceCounter makes nonces unique within an incarnation.
	NonceCounter uint64

	// Version and Lease are the newest lease object seen, LeaseFirstSeen the time
	// it was first seen, LastReadSent the time at which the latest answered read
	// was sent.
	Version        uint64
	Lease          Lease
	LeaseFirstSeen time.Time
	LastReadSent   time.Time
	// NextRead is the time of the next read, UnansweredReads the number of reads
	// since the last answer.
	NextRead        time.Time
	UnansweredReads int
	// IdleReads is the number of reads in this epoch while followsLeader was true.
	IdleReads int
	// PendingWrite is the write in flight. UnresolvedWrites are writes whose
	// answer was lost; each may still take effect.
	PendingWrite     *LeaseUpdate
	UnresolvedWrites []LeaseUpdate
	// NextWrite is the earliest time of the next write, WriteFailures the number
	// of failed and unresolved writes since the last confirmed one, at most 3.
	NextWrite     time.Time
	WriteFailures int
	// ReadRequiredAfter is the time after which the lease object must have been
	// read before it is written again. It is set when an answer is lost, on a
	// conflict, and when a higher epoch is heard of.
	ReadRequiredAfter time.Time

	// VotedEpoch is the highest epoch that this elector voted for; it never
	// supports a lower one. PromisedUntil is the time until which it supports no
	// other leader or candidate than VotedFor.
	VotedEpoch    uint64
	VotedFor      string
	PromisedUntil time.Time
	Candidacy     *Candidacy
	// MaxReportedEpoch is the highest epoch that any elector reported.
	MaxReportedEpoch uint64
	// AbsentSince maps members of the lease that the platform's list no longer
	// names to when that was first seen. LastList is the time of the last answer,
	// NextList that of the next read of the list.
	AbsentSince map[string]time.Time
	LastList    time.Time
	NextList    time.Time

	// Leading tells whether this instance holds the lease, in Epoch.
	Leading     bool
	Epoch       uint64
	LeaderSince time.Time
	// PlatformLeaseUntil is the end of the term of the last confirmed write.
	PlatformLeaseUntil time.Time
	SupportByElector   map[string]Support
	// LastGrantDeadline is the latest deadline of all grants made.
	LastGrantDeadline  time.Time
	NextSupportRequest time.Time
	// AllocationsEpoch is the epoch up to which Allocations and Members are
	// complete.
	AllocationsEpoch uint64
	Members          map[string]*MemberState
	Allocations      map[PartKey]*Allocation
	Sequence         uint64
	// PriorGrantsEnd bounds the deadlines of all grants of former leaders.
	PriorGrantsEnd time.Time
	// LiveMembers are the sorted names of the members that may get parts; nil
	// when TargetParts must be computed anew.
	LiveMembers []string
	// PartSizesReserve is the reserve for which PartSizes was computed, if
	// PartSizesCached is set.
	PartSizesReserve []Reserve
	PartSizesCached  bool
	// TargetParts are the parts that each member should hold.
	TargetParts     map[string][]Part
	PartSizes       map[PartKey]int
	PendingReserves []PendingReserve
	// QuarantinedSince maps the keys of quarantined slots to the time at which
	// this leader first saw them.
	QuarantinedSince map[string]time.Time
	NextSelfGrant    time.Time
	View             View

	// KnownEpoch is the highest epoch that this instance has heard of, Leader its
	// leader.
	KnownEpoch uint64
	Leader     string
	// LastLeaderResponse is the time of the leader's last response.
	LastLeaderResponse time.Time
	NextHeartbeat      time.Time
	// SeedIndex counts the heartbeats sent without hearing from the leader. It
	// selects the peer for the next one.
	SeedIndex int
	Grant     Grant
	HeldParts map[PartKey]HeldPart
	Reserve   []Reserve
	Holdings  Holdings

	// sortedMembers and sortedAllocations cache Members and Allocations sorted by
	// name and key; nil when the maps have changed.
	sortedMembers     []*MemberState
	sortedAllocations []allocationEntry
	effects           []Effect
}

// New returns the state of an instance that starts at the time now.
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
	s.advanceClock(e)
	switch e := e.(type) {
	case Tick:
		s.tick()
	case ConfigChanged:
		s.configChanged(e.Config)
	case LeaseRead:
		s.leaseRead(e)
	case WriteCompleted:
		s.writeCompleted(e)
	case InstancesListed:
		s.instancesListed(e)
	case HeartbeatReceived:
		s.heartbeatReceived(e)
	case HeartbeatResponseReceived:
		s.heartbeatResponseReceived(e)
	case HeartbeatFailed:
		s.heartbeatFailed(e)
	case VoteRequestReceived:
		s.voteRequestReceived(e)
	case VoteResponseReceived:
		s.voteResponseReceived(e)
	case InFlightChanged:
		s.inFlightChanged(e)
	case SeedsChanged:
		s.Seeds = e.Peers
	case LeaveRequested:
		s.Self.Leaving = true
		s.NextHeartbeat = s.Now
	}
	s.publishHoldings()
	return s.effects
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

// tick does the periodic work of the leader or of a member.
func (s *State) tick() {
	s.expireHeldParts()
	s.expirePendingWrite()
	if s.Leading {
		s.runLeader()
	} else {
		s.maybeSendHeartbeat()
		s.tryAcquireLease()
	}
	s.maybeReadLease()
}

func (s *State) configChanged(p Config) {
	s.Config = p
	s.LiveMembers = nil
	for _, ms := range s.Members {
		ms.ratesValid = false
	}
	s.NextSelfGrant = s.Now
}

// nonce returns an identifier for a write. Name, incarnation and counter make it
// unique without a random source.
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

// upstreamConfig returns the configuration of an upstream, or the zero value if
// there is none.
func (s *State) upstreamConfig(upstream string) UpstreamConfig {
	for _, u := range s.Config.Upstreams {
		if u.Upstream == upstream {
			return u
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
