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
	Regions map[string]string

	config *Config
	// configName is the name of its object.
	configName string
	upstreams  map[string]*upstream
	evacuated  map[string]bool
	// restored holds the time at which the upstreams of a domain that was
	// evacuated count as warm again.
	restored map[string]int64
	peers    map[string]*peer
	sources  map[Kind]*source
	// listAt is when the instances are listed for the first time.
	listAt int64
	lost   map[Kind]bool
	// returned is when the store answered again for a kind after it was lost.
	returned map[Kind]int64
	leaving  bool
	// next is when the next beacons are sent, rounds how often they were.
	next   int64
	rounds int
	dirty  bool
}

// upstream is a registration.
type upstream struct {
	Upstream
	// goneAt is the time at which a registration that has expired while the
	// store was away counts as gone; 0 while it exists.
	goneAt int64
}

// peer is another instance.
type peer struct {
	Instance
	// heard is when its last beacon arrived; 0 means never.
	heard int64
	ready bool
	// silence is how long it is used without a beacon.
	silence time.Duration
	// proofs has what the instance has read from the store itself.
	proofs map[Kind]proof
}

// New returns the state of an instance that knows nothing yet. Regions gives
// the region of each failure domain. If the whole system starts for the first
// time, the instance leaves the others time to register.
func New(self Instance, regions map[string]string, first bool) *State {
	listAt := int64(0)
	if first {
		listAt = int64(gatherTime)
	}
	return &State{
		listAt:    listAt,
		Self:      self,
		Regions:   regions,
		upstreams: map[string]*upstream{},
		evacuated: map[string]bool{},
		restored:  map[string]int64{},
		peers:     map[string]*peer{},
		sources:   newSources(),
		lost:      map[Kind]bool{},
		returned:  map[Kind]int64{},
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
		out = append(out, s.list(e.Now, e.Kind, e.Objects)...)
		out = append(out, s.advance(e.Now, news{e.Kind, e.Objects, e.Revision, true, !e.Stale})...)
		if e.Kind == Instances {
			out = append(out, s.assign(e.Now)...)
		}
	case Changed:
		now = e.Now
		out = s.regain(e.Now, e.Kind)
		out = append(out, s.apply(e.Now, e.Kind, e.Objects)...)
		out = append(out, s.advance(e.Now, news{e.Kind, e.Objects, e.Revision, false, true})...)
	case Fetched:
		now = e.Now
		out = s.fetched(e)
	case Asked:
		now = e.Now
		out = []Effect{s.reply(e)}
	case Lost:
		now = e.Now
		out = s.lose(e)
	case Heard:
		now = e.Now
		out = s.hear(e)
	case Tick:
		now = e.Now
		out = s.tick(e.Now)
	case Left:
		now = e.Now
		s.leaving, s.dirty, s.next = true, true, 0
		out = append(s.tick(e.Now), Note{What: "leaving", Subject: s.Self.Name})
	}
	if s.dirty {
		s.dirty = false
		out = append(out, Publish{s.view(now)})
	}
	return s, out
}

func (s *State) lose(e Lost) []Effect {
	if s.lost[e.Kind] {
		return nil
	}
	s.lost[e.Kind] = true
	return []Effect{Note{What: "lost", Subject: string(e.Kind), Cause: e.Cause}}
}

func (s *State) regain(now int64, k Kind) []Effect {
	if !s.lost[k] {
		return nil
	}
	s.lost[k] = false
	s.returned[k] = now
	return []Effect{Note{What: "regained", Subject: string(k)}}
}

// list takes over all objects of a kind.
func (s *State) list(now int64, k Kind, all []Object) []Effect {
	present := map[string]bool{}
	for _, o := range all {
		present[o.Name] = true
	}
	out := s.apply(now, k, all)
	for _, name := range s.names(k) {
		if !present[name] {
			out = append(out, s.change(now, k, Object{Name: name, Deleted: true})...)
		}
	}
	return out
}

func (s *State) apply(now int64, k Kind, objects []Object) (out []Effect) {
	for _, o := range objects {
		out = append(out, s.change(now, k, o)...)
	}
	return out
}

// names lists the known objects of a kind.
func (s *State) names(k Kind) []string {
	switch k {
	case Upstreams:
		return slices.Sorted(maps.Keys(s.upstreams))
	case Evacuations:
		return slices.Sorted(maps.Keys(s.evacuated))
	case Instances:
		return slices.Sorted(maps.Keys(s.peers))
	}
	return nil
}

func (s *State) change(now int64, k Kind, o Object) []Effect {
	switch k {
	case Configs:
		return s.configure(o)
	case Upstreams:
		return s.register(now, o)
	case Evacuations:
		return s.evacuate(now, o)
	case Instances:
		return s.meet(o)
	}
	return nil
}

// configure takes a configuration over if it is newer than the one in force.
func (s *State) configure(o Object) []Effect {
	c := o.Config
	switch {
	case o.Deleted || c == nil:
		return []Effect{Note{What: "rejected", Subject: o.Name, Cause: "the configuration cannot be removed"}}
	case s.config != nil && c.Version < s.config.Version:
		return []Effect{Note{What: "rejected", Subject: o.Name, Version: c.Version, Cause: "an older version than the one in force"}}
	case s.config != nil && c.Version == s.config.Version:
		return nil
	}
	s.config, s.configName, s.dirty = c, o.Name, true
	return []Effect{Note{What: "configured", Subject: o.Name, Version: c.Version}}
}

func (s *State) register(now int64, o Object) []Effect {
	old := s.upstreams[o.Name]
	if o.Deleted || o.Upstream == nil {
		return s.expire(now, o.Name, old)
	}
	u := &upstream{Upstream: *o.Upstream}
	if old != nil && u.older(old) {
		return []Effect{Note{What: "rejected", Subject: o.Name, Cause: "an older registration than the known one"}}
	}
	s.upstreams[o.Name], s.dirty = u, true
	switch {
	case old == nil:
		return []Effect{Note{What: "added", Subject: o.Name}}
	case old.Born != u.Born:
		return []Effect{Note{What: "restarted", Subject: o.Name}}
	case u.Draining && !old.Draining:
		return []Effect{Note{What: "drained", Subject: o.Name, Cause: "its registration says so"}}
	case u.ColdUntil > now && old.ColdUntil <= now:
		return []Effect{Note{What: "cold", Subject: o.Name}}
	}
	return nil
}

// older tells whether the registration was written before the other one.
func (u *upstream) older(other *upstream) bool {
	if u.Born != other.Born {
		return u.Born < other.Born
	}
	return u.Sequence < other.Sequence
}

// expire removes a registration. One that has expired while the store was away
// is kept for a short time, in which its upstream may register again.
func (s *State) expire(now int64, name string, u *upstream) []Effect {
	if u == nil || u.goneAt != 0 {
		return nil
	}
	back, ok := s.returned[Upstreams]
	if ok && now-back < int64(returnTime) && !u.Draining {
		u.goneAt, u.Doubtful, s.dirty = back+int64(returnTime), true, true
		return []Effect{Note{What: "expired", Subject: name, Cause: "while the store was away"}}
	}
	delete(s.upstreams, name)
	s.dirty = true
	return []Effect{Note{What: "removed", Subject: name}}
}

func (s *State) evacuate(now int64, o Object) []Effect {
	if o.Deleted == !s.evacuated[o.Name] {
		return nil
	}
	s.dirty = true
	if o.Deleted {
		delete(s.evacuated, o.Name)
		s.restored[o.Name] = now + int64(restoredTime)
		return []Effect{Note{What: "restored", Subject: o.Name}}
	}
	s.evacuated[o.Name] = true
	return []Effect{Note{What: "evacuated", Subject: o.Name}}
}

// meet takes note of another instance. An instance that is gone from the store
// no longer shares the budgets.
func (s *State) meet(o Object) []Effect {
	if o.Name == s.Self.Name {
		return nil
	}
	old := s.peers[o.Name]
	if o.Deleted || o.Instance == nil {
		if old == nil {
			return nil
		}
		delete(s.peers, o.Name)
		s.dirty = true
		return []Effect{Note{What: "parted", Subject: o.Name}}
	}
	if old != nil && old.Instance == *o.Instance {
		return nil
	}
	p := &peer{Instance: *o.Instance, silence: silentTime}
	if p.Region != s.Self.Region {
		p.silence = remoteTime
	}
	s.peers[o.Name], s.dirty = p, true
	s.next = 0
	return []Effect{Note{What: "met", Subject: o.Name}}
}

func (s *State) hear(e Heard) (out []Effect) {
	p := s.peers[e.Beacon.Name]
	if p == nil {
		return nil
	}
	was := p.alive(e.Now)
	p.heard, p.ready = e.Now, e.Beacon.Ready
	p.prove(e)
	switch now := p.alive(e.Now); {
	case was && !now:
		s.dirty = true
		out = append(out, Note{What: "withdrawn", Subject: p.Name, Cause: "it is not ready"})
	case now && !was:
		s.dirty = true
		out = append(out, Note{What: "found", Subject: p.Name})
	}
	return append(out, s.fetchFrom(e.Now, p)...)
}

// alive tells whether callers may use the instance.
func (p *peer) alive(now int64) bool { return p.ready && p.near(now) }

// near tells whether a beacon has come lately.
func (p *peer) near(now int64) bool { return p.heard != 0 && now-p.heard < int64(p.silence) }

func (s *State) tick(now int64) (out []Effect) {
	for _, name := range slices.Sorted(maps.Keys(s.upstreams)) {
		if u := s.upstreams[name]; u.goneAt != 0 && now >= u.goneAt {
			delete(s.upstreams, name)
			s.dirty = true
			out = append(out, Note{What: "removed", Subject: name, Cause: "not back after the store's return"})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.peers)) {
		if p := s.peers[name]; p.ready && !p.near(now) {
			p.ready, s.dirty = false, true
			out = append(out, Note{What: "silent", Subject: name, Cause: "no beacon in time"})
		}
	}
	for domain, until := range s.restored {
		if now >= until {
			delete(s.restored, domain)
		}
	}
	out = append(out, s.assign(now)...)
	if now >= s.next {
		s.next = now + int64(beaconTime)
		s.rounds++
		out = append(out, s.beacon(now))
	}
	return out
}

// beacon goes to the instances of the region, and less often to the others
// unless they need it to know what this instance has read.
func (s *State) beacon(now int64) Send {
	b := Beacon{Name: s.Self.Name, Ready: s.ready(), Proofs: s.proofs(now)}
	if s.config != nil {
		b.Version = s.config.Version
	}
	everywhere := s.leaving || len(b.Proofs) > 0 || s.rounds%remoteRounds == 0
	to := make([]string, 0, len(s.peers))
	for _, name := range slices.Sorted(maps.Keys(s.peers)) {
		if p := s.peers[name]; everywhere || p.Region == s.Self.Region {
			to = append(to, p.Beacon)
		}
	}
	return Send{To: to, Beacon: b}
}

// ready tells whether this instance can take requests.
func (s *State) ready() bool {
	return !s.leaving && s.config != nil && s.sources[Upstreams].known && s.sources[Evacuations].known
}

func (s *State) view(now int64) View {
	v := View{Config: s.config, Ready: s.ready(), Peers: []Instance{s.Self}}
	for _, u := range s.upstreams {
		if u.Draining || s.evacuated[u.Domain] {
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
		v.Fronts = append(v.Fronts, s.Self)
	}
	for _, p := range s.peers {
		v.Peers = append(v.Peers, p.Instance)
		if p.alive(now) {
			v.Fronts = append(v.Fronts, p.Instance)
		}
	}
	byName := func(a, b Instance) int { return cmp.Compare(a.Name, b.Name) }
	slices.SortFunc(v.Peers, byName)
	slices.SortFunc(v.Fronts, byName)
	return v
}

// Nearest returns the addresses of at most limit instances that a caller may
// use: those of its region, and those of all regions if there are none.
func (v *View) Nearest(region string, limit int) []string {
	var near, all []string
	for _, f := range v.Fronts {
		all = append(all, f.Front)
		if f.Region == region {
			near = append(near, f.Front)
		}
	}
	if len(near) == 0 {
		near = all
	}
	return near[:min(len(near), limit)]
}
