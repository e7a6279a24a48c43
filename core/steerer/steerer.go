package steerer

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// beaconTime is the time between two beacons to the same instance.
	beaconTime = 500 * time.Millisecond
	// publishTime is the least time between two views. A tick publishes what has
	// changed meanwhile.
	publishTime = 50 * time.Millisecond
	// gatherTime is the time in which instances that start together register.
	gatherTime = time.Second
	// remoteRounds is the number of beacons to instances of the own region for one
	// to those of other regions.
	remoteRounds = 3
	// silentTime is how long an instance is used without a beacon: three of them
	// may get lost, or two in other regions.
	silentTime = 2200 * time.Millisecond
	remoteTime = 5 * time.Second
	// returnTime is how long registrations that expired while the store was
	// away may take to come back after its return.
	returnTime = 1900 * time.Millisecond
	// restoredTime is how long the upstreams of a domain count as cold after its
	// evacuation ended: a registration reports a cold upstream within 1.5 s.
	restoredTime = 2 * time.Second
)

// State is what the instance believes. New makes one.
type State struct {
	Self    Instance
	Bounds  Bounds
	Regions map[string]string

	config *Config
	// configName is the name of its object.
	configName string
	upstreams  map[string]*upstream
	// evacuated has the domains that are evacuated, with the time until which the
	// evacuation holds although the store does not have it; 0 if it has it.
	evacuated map[string]int64
	// restored holds the time at which the upstreams of a domain that was
	// evacuated count as warm again.
	restored map[string]int64
	peers    map[string]*peer
	sources  map[Kind]*source
	// listAt is when the instances are listed for the first time.
	listAt int64
	lost   map[Kind]bool
	// answered is when the store answered again for a kind after it was lost.
	answered map[Kind]int64
	leaving  bool
	// departures has the ends of upstreams by their IDs.
	departures map[string]departure
	// seen tells that the store had the registration of this instance.
	seen bool
	// holds tells that something is held that the store does not have.
	holds bool
	// announceAt is when this instance registers again; 0 means that it need not.
	announceAt int64
	// trailing is since when another instance has a newer configuration, unless
	// one came into force here since: configuredAt is when the last one did.
	trailing, configuredAt int64
	// next is when the next beacons are sent, rounds how often they were.
	next   int64
	rounds int
	// sent is when the last beacons were sent.
	sent int64
	// publishAt is the time before which no view is published.
	publishAt int64
	dirty     bool
}

// New returns the state of an instance that knows nothing yet. If the whole
// system starts for the first time, the instance leaves the others time to
// register.
func New(self Instance, first bool) *State {
	listAt := int64(0)
	if first {
		listAt = int64(gatherTime)
	}
	return &State{
		listAt:     listAt,
		Self:       self,
		upstreams:  map[string]*upstream{},
		evacuated:  map[string]int64{},
		departures: map[string]departure{},
		restored:   map[string]int64{},
		peers:      map[string]*peer{},
		sources:    newSources(),
		lost:       map[Kind]bool{},
		answered:   map[Kind]int64{},
	}
}

// Step applies one event to the state and returns what is to be done.
func Step(s *State, e Event) (*State, []Effect) {
	var out []Effect
	var now int64
	switch e := e.(type) {
	case Listed:
		now = e.Now
		out = s.regain(e.Now, e.Kind)
		at := s.sources[e.Kind].mark(e.Era, e.Revision)
		if s.outdated(e.Kind, at) {
			break
		}
		out = append(out, s.list(e.Now, e.Kind, e.Objects, at)...)
		out = append(out, s.advance(e.Now, news{e.Kind, e.Objects, at, true, !e.Stale})...)
		if e.Kind == Instances {
			out = append(out, s.assign(e.Now)...)
		}
	case Changed:
		now = e.Now
		out = s.regain(e.Now, e.Kind)
		at := s.sources[e.Kind].mark(e.Era, e.Revision)
		if s.outdated(e.Kind, at) || s.turned(e.Kind, at) {
			break
		}
		out = append(out, s.apply(e.Now, e.Kind, e.Objects)...)
		out = append(out, s.advance(e.Now, news{e.Kind, e.Objects, at, false, true})...)
	case Fetched:
		now = e.Now
		out = s.fetched(e)
	case ChangesRequested:
		now = e.Now
		out = []Effect{s.reply(e)}
	case StoreUnavailable:
		now = e.Now
		out = s.lose(e)
	case BeaconReceived:
		now = e.Now
		out = s.hear(e)
	case Tick:
		now = e.Now
		out = s.tick(e.Now)
	case SettingsChanged:
		now = e.Now
		s.Bounds, s.Regions, s.dirty = e.Bounds, e.Regions, true
		out = []Effect{LogEvent{Type: "adjusted", Subject: s.Self.Name}}
	case UpstreamLeaving:
		now = e.Now
		out = s.depart(e.Now, e.Incarnation, "it has said so")
	case Resumed:
		now = e.Now
		out = s.wake(e.Now)
	case ShutdownStarted:
		now = e.Now
		s.leaving, s.dirty, s.next = true, true, 0
		out = append(s.tick(e.Now), LogEvent{Type: "leaving", Subject: s.Self.Name})
	}
	if s.dirty && (now >= s.publishAt || s.leaving || isWoken(e)) {
		s.dirty, s.publishAt = false, now+int64(publishTime)
		out = append(out, Publish{s.view(now)})
	}
	return s, out
}

// isWoken tells whether an event must not wait for the next view: the one in force
// is old.
func isWoken(e Event) bool {
	_, ok := e.(Resumed)
	return ok
}

func (s *State) lose(e StoreUnavailable) []Effect {
	if s.lost[e.Kind] {
		return nil
	}
	s.lost[e.Kind] = true
	return []Effect{LogEvent{Type: "lost", Subject: string(e.Kind), Cause: e.Cause}}
}

func (s *State) regain(now int64, k Kind) []Effect {
	if !s.lost[k] {
		return nil
	}
	s.lost[k] = false
	s.answered[k] = now
	return []Effect{LogEvent{Type: "regained", Subject: string(k)}}
}

func (s *State) hear(e BeaconReceived) (out []Effect) {
	p := s.peers[e.Beacon.Name]
	if p == nil {
		return s.askStranger(e)
	}
	was := p.alive(e.Now)
	p.heard, p.ready = e.Now, e.Beacon.Ready
	p.prove(e)
	for k, q := range e.Beacon.Sync {
		if c := s.sources[k]; c != nil && c.known && !c.at.Before(c.mark(q.Era, q.Revision)) && q.Age < int64(sureTime/time.Millisecond) {
			s.confirm(c)
		}
	}
	switch now := p.alive(e.Now); {
	case was && !now:
		s.dirty = true
		out = append(out, LogEvent{Type: "withdrawn", Subject: p.Name, Cause: "it is not ready"})
	case now && !was:
		s.dirty = true
		out = append(out, LogEvent{Type: "found", Subject: p.Name})
	}
	for _, i := range e.Beacon.Leaving {
		out = append(out, s.depart(e.Now, i, "another instance says so")...)
	}
	out = append(out, s.catchUp(e, p)...)
	return append(out, s.fetchFrom(e.Now, p)...)
}

// alive tells whether callers may use the instance.
func (p *peer) alive(now int64) bool { return p.ready && p.near(now) }

// near tells whether a beacon has come lately.
func (p *peer) near(now int64) bool { return p.heard != 0 && now-p.heard < int64(p.silence) }

func (s *State) tick(now int64) (out []Effect) {
	s.settle(now)
	for _, name := range slices.Sorted(maps.Keys(s.upstreams)) {
		if u := s.upstreams[name]; u.goneAt != 0 && now >= u.goneAt {
			s.forget(now, u)
			delete(s.upstreams, name)
			s.dirty = true
			out = append(out, LogEvent{Type: "removed", Subject: name, Cause: "not back after the store's return"})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.peers)) {
		if p := s.peers[name]; p.ready && !p.near(now) {
			p.ready, s.dirty = false, true
			out = append(out, LogEvent{Type: "silent", Subject: name, Cause: "no beacon in time"})
		}
	}
	for domain, until := range s.restored {
		if now >= until {
			delete(s.restored, domain)
		}
	}
	out = append(out, s.release(now)...)
	out = append(out, s.announced(now)...)
	out = append(out, s.assign(now)...)
	if now >= s.next {
		s.next, s.sent = now+int64(beaconTime), now
		s.rounds++
		out = append(out, s.beacon(now))
	}
	return out
}

// beacon goes to the instances of the region, and less often to the others
// unless they need it to know what this instance has read.
func (s *State) beacon(now int64) SendBeacon {
	b := Beacon{Name: s.Self.Name, Ready: s.ready(), Sync: s.proofs(now), Leaving: s.hints(now)}
	if s.config != nil {
		b.Version = s.config.Version
	}
	everywhere := s.leaving || len(b.Sync) > 0 || len(b.Leaving) > 0 || s.rounds%remoteRounds == 0
	to := make([]string, 0, len(s.peers))
	for _, name := range slices.Sorted(maps.Keys(s.peers)) {
		if p := s.peers[name]; everywhere || p.Region == s.Self.Region {
			to = append(to, p.Beacon)
		}
	}
	return SendBeacon{To: to, Beacon: b}
}

// ready tells whether this instance can take requests.
func (s *State) ready() bool {
	return !s.leaving && s.config != nil && s.sources[Upstreams].known && s.sources[Evacuations].known && !s.stale()
}

func (s *State) view(now int64) View {
	v := View{Config: s.config, Ready: s.ready(), Stale: s.stale(), Self: s.Self, Peers: []Instance{s.Self}, Bounds: s.Bounds, Regions: s.Regions}
	for _, u := range s.upstreams {
		if _, evacuated := s.evacuated[u.Domain]; u.Draining || evacuated || s.departed(&u.Upstream) {
			continue
		}
		w := u.Upstream
		if until := s.restored[u.Domain]; until > now {
			w.ColdUntil = max(w.ColdUntil, until)
		}
		v.Upstreams = append(v.Upstreams, w)
	}
	slices.SortFunc(v.Upstreams, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	if v.Ready {
		v.Available = append(v.Available, s.Self)
	}
	for _, p := range s.peers {
		v.Peers = append(v.Peers, p.Instance)
		if p.alive(now) {
			v.Available = append(v.Available, p.Instance)
		}
	}
	byName := func(a, b Instance) int { return cmp.Compare(a.Name, b.Name) }
	slices.SortFunc(v.Peers, byName)
	slices.SortFunc(v.Available, byName)
	return v
}
