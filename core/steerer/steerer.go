package steerer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"hornbeamstream.example/core/quarantiner"
)

const (
	// beaconInterval is the time between two beacons to instances in the same region.
	beaconInterval = 500 * time.Millisecond
	// minPublishInterval is the minimum time between two views. The next tick after
	// it publishes pending changes.
	minPublishInterval = 50 * time.Millisecond
	// firstListDelay is the time that instances starting together have to register
	// before they list each other.
	firstListDelay = time.Second
	// remoteBeaconEvery is the number of beacon rounds per beacon to other regions.
	remoteBeaconEvery = 3
	// localBeaconTimeout is how long an instance in the same region is used without
	// a beacon, remoteBeaconTimeout the same for other regions. They tolerate three
	// lost beacons, or two from other regions.
	localBeaconTimeout  = 2200 * time.Millisecond
	remoteBeaconTimeout = 5 * time.Second
	// reregisterGrace is the time after the store has recovered in which
	// registrations that expired during its outage may be renewed.
	reregisterGrace = 1900 * time.Millisecond
	// restoredColdTime is how long the upstreams of a domain count as cold after its
	// evacuation ends. A registration reports a cold upstream within 1.5 s.
	restoredColdTime = 2 * time.Second
)

// State is the control plane state of an instance. New returns an initial one.
type State struct {
	Self    Instance
	Bounds  Bounds
	Regions map[string]string

	config *Config
	// configName is the name of the object that holds the configuration.
	configName string
	upstreams  map[string]*upstream
	// evacuations maps each evacuated domain to the time until which the evacuation
	// is held although the store does not have it, or 0 if the store has it.
	evacuations map[string]int64
	// domainColdUntil maps a domain whose evacuation has ended to the time until
	// which its upstreams count as cold.
	domainColdUntil map[string]int64
	peers           map[string]*peer
	sync            map[Kind]*syncState
	// firstListAt is when the instances are listed for the first time.
	firstListAt int64
	// unavailable has the kinds for which the last call to the store failed.
	unavailable map[Kind]bool
	// recoveredAt is when the store last answered again after a failure, by kind.
	recoveredAt  map[Kind]int64
	shuttingDown bool
	// tombstones has the ended incarnations by upstream ID.
	tombstones map[string]tombstone
	// selfRegistered reports whether the store has had this instance's registration.
	selfRegistered bool
	// selfListed reports whether the store has had a registration of this name, so
	// that the others count this instance.
	selfListed bool
	// rateLimits has this instance's own recent observations by upstream ID.
	// rateLimitChangedAt is when one of the limits last started or ended.
	rateLimits         map[string]rateLimitObservation
	rateLimitChangedAt int64
	quarantine         quarantineState
	usage              usageState
	// coldObservations has this instance's own recent observations by upstream ID,
	// nextProbeAt is when the upstreams are probed next.
	coldObservations map[string]coldObservation
	nextProbeAt      int64
	// anyHeld reports whether objects may be held that the store does not have.
	anyHeld bool
	// reregisterAt is when this instance registers again, or 0 if it need not.
	reregisterAt int64
	// configLagSince is when another instance was first seen with a newer
	// configuration. It is valid only if it is after configuredAt, the time of the
	// last configuration change here.
	configLagSince, configuredAt int64
	// configLagging reports whether the configuration must not be used, because a newer one
	// does not arrive.
	configLagging bool
	nextBeaconAt  int64
	beaconRounds  int
	lastBeaconAt  int64
	// nextPublishAt is the earliest time for the next view.
	nextPublishAt int64
	// dirty means that the view has changed since it was last published.
	dirty bool
}

// New returns the initial state of an instance. If first is set, the whole system
// starts for the first time, and the instance delays its first list so that the
// others have time to register.
func New(self Instance, first bool) *State {
	firstListAt := int64(0)
	if first {
		firstListAt = int64(firstListDelay)
	}
	return &State{
		firstListAt:      firstListAt,
		Self:             self,
		upstreams:        map[string]*upstream{},
		evacuations:      map[string]int64{},
		tombstones:       map[string]tombstone{},
		rateLimits:       map[string]rateLimitObservation{},
		coldObservations: map[string]coldObservation{},
		quarantine:       quarantineState{stored: map[quarantiner.Digest]bool{}, writeAt: map[quarantiner.Digest]int64{}},
		domainColdUntil:  map[string]int64{},
		peers:            map[string]*peer{},
		sync:             newSyncStates(),
		unavailable:      map[Kind]bool{},
		recoveredAt:      map[Kind]int64{},
	}
}

// Step applies one event to the state and returns the effects to execute. It
// modifies s in place.
func Step(s *State, e Event) (*State, []Effect) {
	var out []Effect
	var now int64
	switch e := e.(type) {
	case Listed:
		now = e.Now
		out = s.markAvailable(e.Now, e.Kind)
		at := s.sync[e.Kind].position(e.Era, e.Revision)
		if s.outdated(e.Kind, at) {
			out = append(out, s.logOutdated(e.Kind, at))
			break
		}
		n := s.listUpdate(e.Kind, e.Objects, at)
		n.confirmed, n.askedAt = !e.Stale, e.AskedAt
		out = append(out, s.applyList(e.Now, e.Kind, e.Objects, at)...)
		out = append(out, s.advance(e.Now, n)...)
		if e.Kind == Instances {
			out = append(out, s.assignWatches(e.Now)...)
		}
	case Changed:
		now = e.Now
		out = s.markAvailable(e.Now, e.Kind)
		at := s.sync[e.Kind].position(e.Era, e.Revision)
		if s.outdated(e.Kind, at) || s.startsEra(e.Kind, at) {
			out = append(out, s.logOutdated(e.Kind, at))
			break
		}
		out = append(out, s.applyObjects(e.Now, e.Kind, e.Objects)...)
		out = append(out, s.advance(e.Now, syncUpdate{kind: e.Kind, changes: e.Objects, synced: at, confirmed: true, askedAt: e.AskedAt})...)
	case Fetched:
		now = e.Now
		out = s.applyFetched(e)
	case ChangesRequested:
		now = e.Now
		out = []Effect{s.reply(e)}
	case StoreUnavailable:
		now = e.Now
		out = s.markUnavailable(e)
	case BeaconReceived:
		now = e.Now
		out = s.receiveBeacon(e)
	case Tick:
		now = e.Now
		out = s.tick(e.Now)
	case SettingsChanged:
		now = e.Now
		s.Bounds, s.Regions, s.dirty = e.Bounds, e.Regions, true
		if s.config != nil {
			s.configureUsage()
		}
		out = []Effect{LogEvent{Type: "adjusted", Subject: s.Self.Name}}
	case UpstreamLeaving:
		now = e.Now
		out = s.markLeaving(e.Now, e.Incarnation, "it has said so")
	case UpstreamLimited:
		now = e.Now
		s.observeRateLimit(e)
	case UpstreamCrashed:
		now = e.Now
		out = s.observeCrash(e)
	case RequestAnswered:
		now = e.Now
		out = s.observeAnswer(e)
	case UsageSampled:
		now = e.Now
		out = s.sampleUsage(e)
	case UpstreamCold:
		now = e.Now
		out = s.observeCold(e)
	case Resumed:
		now = e.Now
		out = s.resume(e.Now)
	case ShutdownStarted:
		now = e.Now
		s.shuttingDown, s.dirty, s.nextBeaconAt = true, true, 0
		out = append(s.tick(e.Now), LogEvent{Type: "leaving", Subject: s.Self.Name})
	}
	out = append(out, s.publishQuarantine()...)
	if s.dirty && (now >= s.nextPublishAt || s.shuttingDown || isResumed(e)) {
		s.dirty, s.nextPublishAt = false, now+int64(minPublishInterval)
		out = append(out, Publish{s.view(now)})
	}
	return s, out
}

// isResumed reports whether the process has just resumed. The published view is
// outdated then and is replaced without delay.
func isResumed(e Event) bool {
	_, ok := e.(Resumed)
	return ok
}

func (s *State) markUnavailable(e StoreUnavailable) (out []Effect) {
	if s.sync[e.Kind].confirms(e.AskedAt) {
		out = s.confirmElsewhere(e.Now, e.Kind)
	}
	if s.unavailable[e.Kind] {
		return out
	}
	s.unavailable[e.Kind] = true
	if e.Kind == Configs {
		s.dirty = true
	}
	return append(out, LogEvent{Type: "lost", Subject: string(e.Kind), Cause: e.Cause})
}

func (s *State) markAvailable(now int64, k Kind) []Effect {
	if !s.unavailable[k] {
		return nil
	}
	s.unavailable[k] = false
	if k == Configs {
		s.dirty = true
	}
	s.recoveredAt[k] = now
	return []Effect{LogEvent{Type: "regained", Subject: string(k)}}
}

func (s *State) receiveBeacon(e BeaconReceived) (out []Effect) {
	p := s.peers[e.Beacon.Name]
	if p == nil {
		return s.fetchFromUnknown(e)
	}
	before := p.available(e.Now)
	p.lastBeaconAt, p.ready = e.Now, e.Beacon.Ready
	p.updateSync(e)
	for _, k := range Kinds {
		q, ok := e.Beacon.Sync[k]
		// After a pause of the process, a beacon may have waited since before it.
		if ss := s.sync[k]; ok && ss.known && ss.pausedAt == 0 && !ss.synced.Before(ss.position(q.Era, q.Revision)) && q.Age < int64(confirmTimeout/time.Millisecond) {
			out = append(out, s.markFresh(k, "by a beacon of "+p.Name)...)
		}
	}
	switch after := p.available(e.Now); {
	case before && !after:
		s.dirty = true
		out = append(out, LogEvent{Type: "withdrawn", Subject: p.Name, Cause: "it is not ready"})
	case after && !before:
		s.dirty = true
		out = append(out, LogEvent{Type: "found", Subject: p.Name})
	}
	for _, i := range e.Beacon.Leaving {
		out = append(out, s.markLeaving(e.Now, i, "another instance says so")...)
	}
	out = append(out, applyReports(e.Now, e.Beacon.RateLimits)...)
	out = append(out, s.mergeQuarantine(e.Now, e.Beacon.Crashes)...)
	out = append(out, applyColdReports(e.Now, e.Beacon.Cold)...)
	out = append(out, s.applyUsage(e, p)...)
	out = append(out, s.fetchNewerConfig(e, p)...)
	return append(out, s.fetchFromPeer(e.Now, p)...)
}

// available reports whether callers may use the instance.
func (p *peer) available(now int64) bool { return p.ready && p.heardRecently(now) }

// heardRecently reports whether a beacon has arrived within the timeout.
func (p *peer) heardRecently(now int64) bool {
	return p.lastBeaconAt != 0 && now-p.lastBeaconAt < int64(p.beaconTimeout)
}

func (s *State) tick(now int64) (out []Effect) {
	out = append(s.assumeFresh(now), s.updateConfigLag(now)...)
	for _, name := range slices.Sorted(maps.Keys(s.upstreams)) {
		if u := s.upstreams[name]; u.expiresAt != 0 && now >= u.expiresAt {
			s.addExpiredTombstone(now, u)
			delete(s.upstreams, name)
			s.dirty = true
			out = append(out, LogEvent{Type: "removed", Subject: name, Cause: "not back after the store's return"})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.peers)) {
		if p := s.peers[name]; p.ready && !p.heardRecently(now) {
			p.ready, s.dirty = false, true
			out = append(out, LogEvent{Type: "silent", Subject: name, Cause: "no beacon in time"})
		}
	}
	for domain, until := range s.domainColdUntil {
		if now >= until {
			delete(s.domainColdUntil, domain)
		}
	}
	out = append(out, s.releaseExpiredHolds(now)...)
	out = append(out, s.reregister(now)...)
	out = append(out, s.tickQuarantine(now)...)
	out = append(out, s.probe(now)...)
	out = append(out, s.assignWatches(now)...)
	if now >= s.nextBeaconAt {
		s.nextBeaconAt, s.lastBeaconAt = now+int64(beaconInterval), now
		s.beaconRounds++
		out = append(out, s.sendBeacons(now)...)
	}
	return out
}

// sendBeacons sends a beacon to the instances in the same region. Those in other
// regions get one less often, unless the beacon has a sync status, leaving upstreams or
// the start or end of a limit, or this instance shuts down. Reports of crashing requests
// and of cold upstreams go to all.
func (s *State) sendBeacons(now int64) []Effect {
	b := s.newBeacon(Beacon{Sync: s.syncStatuses(now), Leaving: s.recentlyLeaving(now)})
	b.RateLimits = s.rateLimitReports(now, maxLimitsPerBeacon-len(b.Leaving)/2)
	limitChanged := len(b.RateLimits) > 0 && now-s.rateLimitChangedAt < int64(limitUrgentTime)
	everywhere := s.shuttingDown || len(b.Sync) > 0 || len(b.Leaving) > 0 || limitChanged || s.beaconRounds%remoteBeaconEvery == 0
	all := s.beaconAddresses(true)
	return slices.Concat([]Effect{SendBeacon{To: s.beaconAddresses(everywhere), Beacon: b}}, s.quarantineBeacons(now, all), s.coldBeacons(now, all))
}

// beaconAddresses returns the addresses of the other instances, of all regions if
// everywhere is set.
func (s *State) beaconAddresses(everywhere bool) []string {
	to := make([]string, 0, len(s.peers))
	for _, name := range slices.Sorted(maps.Keys(s.peers)) {
		if p := s.peers[name]; everywhere || p.Region == s.Self.Region {
			to = append(to, p.Beacon)
		}
	}
	return to
}

// newBeacon returns a beacon with what each has.
func (s *State) newBeacon(b Beacon) Beacon {
	b.Name, b.Ready = s.Self.Name, s.ready()
	if s.config != nil {
		b.Version = s.config.Version
	}
	return b
}

// ready reports whether this instance can accept requests.
func (s *State) ready() bool {
	return !s.shuttingDown && s.config != nil && s.sync[Upstreams].known && s.sync[Evacuations].known && !s.stale()
}

func (s *State) view(now int64) View {
	v := View{Config: s.config, Ready: s.ready(), Stale: s.stale(), Self: s.Self, Peers: []Instance{s.Self}, Bounds: s.Bounds, Regions: s.Regions, PeersIncomplete: !s.sync[Instances].known || !s.selfListed}
	v.ConfigUnconfirmed = s.unavailable[Configs] && !s.coveredByPeer(now, Configs)
	for _, u := range s.upstreams {
		if _, evacuated := s.evacuations[u.Domain]; u.Draining || evacuated || s.isTombstoned(&u.Upstream) {
			continue
		}
		w := u.Upstream
		if until := s.domainColdUntil[u.Domain]; until > now {
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
		if p.available(now) {
			v.Available = append(v.Available, p.Instance)
		}
	}
	byName := func(a, b Instance) int { return cmp.Compare(a.Name, b.Name) }
	slices.SortFunc(v.Peers, byName)
	slices.SortFunc(v.Available, byName)
	return v
}
