package reducer

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hornbeamstream.example/core/follower"
	"hornbeamstream.example/core/granter"
	"hornbeamstream.example/core/observer"
	"hornbeamstream.example/core/recorder"
)

// State is the control state of one instance. Create it with New.
type State struct {
	Self   granter.Member
	Region string
	// Seeds are Peer addresses from the settings.
	Seeds []string

	Granter  *granter.State
	Follower *follower.State
	Observer *observer.State

	// Views holds the newest view of every failure domain, LastHeard the latest
	// time at which this instance, or one that it exchanged messages with,
	// received a message from it.
	Views     map[string]granter.View
	LastHeard map[string]time.Time
	// LostDomains are the failure domains from which no message has arrived for
	// domainLostTimeout.
	LostDomains []string
	Holdings    granter.Holdings
	Verdicts    map[string]observer.Verdict
	// Signals are the newest signals about upstreams of the instance's failure
	// domain. Its members share them.
	Signals map[SignalKey]observer.Signaled
	// LastListedLeaving is, by upstream, the time at which the platform's list
	// last marked it as leaving.
	LastListedLeaving map[string]time.Time
	// Draining holds the leaving upstreams that may still have requests of this
	// instance in flight.
	Draining map[string]DrainProgress
	Clock    recorder.Clock
	Gossip   Gossip
	// NextListRead is the time of the next read of the platform's list.
	NextListRead time.Time
	// NextDrainEnd is the time at which the next drain expires; zero if none
	// does.
	NextDrainEnd time.Time

	now     time.Time
	changed bool
	effects []Effect
}

// SignalKey identifies a signal. The newest one of each upstream and source is
// kept.
type SignalKey struct {
	Upstream string
	Source   observer.Source
}

// DrainProgress tracks an upstream from its first leaving signal until no request
// is in flight.
type DrainProgress struct {
	// Version is the number of the ticket that requested the drain, or zero.
	Version uint64
	Since   time.Time
}

// New returns the state of a starting instance.
func New(self granter.Member, region string, seeds []string, now time.Time) *State {
	seed := xxhash.Sum64String(self.Name) ^ self.Incarnation
	s := &State{
		Self:              self,
		Region:            region,
		Seeds:             slices.Clone(seeds),
		Granter:           granter.New(self, now),
		Follower:          follower.New(now, seed),
		Observer:          observer.New(now),
		Views:             map[string]granter.View{},
		LastHeard:         map[string]time.Time{},
		Verdicts:          map[string]observer.Verdict{},
		Signals:           map[SignalKey]observer.Signaled{},
		LastListedLeaving: map[string]time.Time{},
		Draining:          map[string]DrainProgress{},
		Gossip:            Gossip{Unreachable: map[string]bool{}},
		now:               now,
	}
	return s
}

// Step applies an event and returns the effects in order. A new table is
// published at most once a step.
func (s *State) Step(e Event) []Effect {
	s.effects = nil
	switch e := e.(type) {
	case Tick:
		s.tick(e)
	case RequestReceived:
		s.requestReceived(e)
	case ResponseReceived:
		s.responseReceived(e)
	case SendFailed:
		s.sendFailed(e)
	case GranterEvent:
		s.now = e.Now
		s.performGranter(s.Granter.Step(e.Event))
	case FollowerEvent:
		s.now = e.Now
		s.performFollower(s.Follower.Step(e.Event))
	case ObserverEvent:
		s.now = e.Now
		s.observe(e.Event)
	case ListSeen:
		s.listSeen(e)
	case LeaveAsked:
		s.leave(e)
	}
	s.publish()
	return s.effects
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

// record adds a timeline event that happened at the time of the current step.
func (s *State) record(e recorder.Event) {
	e.Stamp = s.Clock.Now(s.now)
	e.Wall = s.now
	e.Instance = s.Self.Name
	e.Domain = s.Self.Domain
	s.emit(Record{Event: e})
}

func (s *State) publish() {
	if !s.changed {
		return
	}
	s.changed = false
	s.emit(Publish{
		Config:   s.Follower.Config,
		Holdings: s.Holdings,
		Views:    sortedValues(s.Views),
		Verdicts: sortedValues(s.Verdicts),
		Lost:     s.LostDomains,
	})
}

func sortedValues[V any](m map[string]V) []V {
	values := make([]V, 0, len(m))
	for _, k := range slices.Sorted(maps.Keys(m)) {
		values = append(values, m[k])
	}
	return values
}

func (s *State) tick(e Tick) {
	gap := e.Now.Sub(s.now)
	s.now = e.Now
	if gap > granter.MaxTickGap {
		s.record(recorder.Event{Kind: recorder.KindPaused, Cause: "no tick for " + gap.Round(time.Millisecond).String()})
	}
	// The busy parts refer to the holdings published before this step.
	version := s.Holdings.Version
	// The granter runs first: after a pause of the process it must give up its
	// leases before anything else happens.
	s.performGranter(s.Granter.Step(granter.Tick{Now: e.Now}))
	s.performGranter(s.Granter.Step(granter.InFlightChanged{Now: e.Now, Version: version, Busy: e.Busy}))
	s.performFollower(s.Follower.Step(follower.Tick{Now: e.Now, Relay: s.isRelay()}))
	if len(e.Samples) > 0 {
		s.observe(observer.Sampled{Now: e.Now, Samples: e.Samples})
	}
	s.observe(observer.Tick{Now: e.Now})
	s.recordEmptied(e.Busy)
	s.readList()
	s.endDrains()
	s.updateLostDomains()
	s.gossip()
}

// isRelay reports whether this instance watches the platform for its failure
// domain. The leader does, and the first other elector does as a standby.
func (s *State) isRelay() bool {
	if s.Granter.Leading {
		return true
	}
	for _, name := range s.Granter.Lease.Electors {
		if name != s.Granter.Lease.Leader {
			return name == s.Self.Name
		}
	}
	return false
}

func (s *State) leave(e LeaveAsked) {
	s.now = e.Now
	s.Self.Leaving = true
	s.record(recorder.Event{Kind: recorder.KindLeaving, Cause: "planned stop"})
	s.performGranter(s.Granter.Step(granter.LeaveRequested{Now: e.Now}))
	s.changed = true
}
