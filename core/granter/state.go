package granter

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Key identifies a part; its number of slots can change with the configuration.
type Key struct {
	Upstream string
	Index    int
}

// Write is a conditional update of the lease object whose outcome is not known.
type Write struct {
	Version uint64
	Lease   Lease
	At      time.Time
	// Ends bounds the deadlines of grants made before this write, by any leader.
	Ends time.Time
	// Fresh tells that the writer's records don't cover the epoch before.
	Fresh bool
}

// State is one instance's knowledge of its domain. Its zero value is not
// usable; New makes one.
type State struct {
	Self    Member
	Now     time.Time
	Started time.Time
	// Ticked is the time of the last Tick, or of the end of a pause.
	Ticked time.Time
	// Resumed is the end of the last pause; answers to requests sent before it
	// are ignored.
	Resumed time.Time
	Plan    Plan
	Seeds   []string
	Peers   map[string]Member
	// Renewed is the time at which an instance's incarnation was first heard of.
	Renewed map[string]time.Time
	// Count makes nonces unique within an incarnation.
	Count uint64

	// Version and Lease are the newest lease object seen, FirstSeen the time it
	// was first seen, LastRead the time of asking for the newest answer.
	Version   uint64
	Lease     Lease
	FirstSeen time.Time
	LastRead  time.Time
	// ReadAt is the time of the next read, Unanswered the number of reads
	// without an answer.
	ReadAt     time.Time
	Unanswered int
	// IdleReads is the number of reads in this epoch while the leader was heard.
	IdleReads int
	// Pending is the write in flight. Unresolved are writes whose answer was
	// lost; each may still take effect.
	Pending    *Write
	Unresolved []Write
	WriteAt    time.Time
	Failures   int
	// ReadBefore is the time of the last lost answer; nothing is written until
	// the object was read after it.
	ReadBefore time.Time

	// Voted is the highest epoch that this elector stands by; it never supports
	// a lower one. Promised is the time until which it supports no other.
	Voted     uint64
	VotedFor  string
	Promised  time.Time
	Candidacy *Candidacy
	// Floor is the highest epoch of which any elector has told.
	Floor  uint64
	Absent map[string]time.Time
	ListAt time.Time
	ListBy time.Time

	// Leading tells that this instance holds the lease in Epoch.
	Leading       bool
	Epoch         uint64
	Since         time.Time
	PlatformUntil time.Time
	Supports      map[string]Support
	// Granted is the latest deadline of all grants made.
	Granted   time.Time
	SupportAt time.Time
	// Covers is the epoch up to which Records and Members are complete.
	Covers   uint64
	Members  map[string]*Account
	Records  map[Key]*Record
	Sequence uint64
	// Ends bounds the deadlines of all grants of former leaders.
	Ends time.Time
	Live []string
	// SizedFor is the reserve that alone determined Sizes if Sized is set.
	SizedFor []Reserve
	Sized    bool
	Targets  map[string][]Part
	Sizes    map[Key]int
	Wants    []Want
	Rests    map[string]time.Time
	SelfAt   time.Time
	View     View

	// Known is the highest epoch that this instance has heard of, Leader its leader.
	Known  uint64
	Leader string
	// Heard is the time of the leader's last answer.
	Heard  time.Time
	BeatAt time.Time
	// SeedIndex is the number of tries with seeds.
	SeedIndex int
	Grant     Grant
	Claims    map[Key]Claim
	Reserve   []Reserve
	Holdings  Holdings

	// roster and order are Members and Records in the order of names and keys;
	// nil when the maps have changed.
	roster  []*Account
	order   []entry
	effects []Effect
}

// New returns the state of an instance that starts now.
func New(self Member, now time.Time) *State {
	return &State{
		Self:     self,
		Now:      now,
		Started:  now,
		Ticked:   now,
		Peers:    map[string]Member{},
		Renewed:  map[string]time.Time{},
		Absent:   map[string]time.Time{},
		Supports: map[string]Support{},
		Members:  map[string]*Account{},
		Records:  map[Key]*Record{},
		Rests:    map[string]time.Time{},
		Claims:   map[Key]Claim{},
	}
}

// Step applies an event and returns the effects to perform, in order.
func (s *State) Step(e Event) []Effect {
	s.effects = nil
	s.advance(e)
	switch e := e.(type) {
	case Tick:
		s.tick()
	case PlanChanged:
		s.planChanged(e.Plan)
	case LeaseSeen:
		s.leaseSeen(e)
	case WriteEnded:
		s.writeEnded(e)
	case ListSeen:
		s.listSeen(e)
	case HeartbeatReceived:
		s.heartbeatReceived(e)
	case HeartbeatAnswered:
		s.heartbeatAnswered(e)
	case HeartbeatFailed:
		s.heartbeatFailed(e)
	case VoteReceived:
		s.voteReceived(e)
	case VoteAnswered:
		s.voteAnswered(e)
	case InFlightChanged:
		s.inFlightChanged(e)
	case SeedsSeen:
		s.Seeds = e.Peers
	case LeaveAsked:
		s.Self.Leaving = true
		s.BeatAt = s.Now
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

func (s *State) planChanged(p Plan) {
	s.Plan = p
	s.Live = nil
	for _, a := range s.Members {
		a.counted = false
	}
	s.SelfAt = s.Now
}

// nonce names a write. Name, incarnation and count make it unique without a
// random source.
func (s *State) nonce() uint64 {
	s.Count++
	return hash(s.Self.Name, s.Self.Incarnation, s.Count)
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
func (s *State) demand(upstream string) Demand {
	for _, d := range s.Plan.Demands {
		if d.Upstream == upstream {
			return d
		}
	}
	return Demand{}
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
