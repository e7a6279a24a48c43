package steerer

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// simulation is a store and many instances on a fake clock. Messages and calls may
// be lost; instances may be paused or disconnected from the store. The store may be
// restored from a backup.
type simulation struct {
	now           int64
	era           uint64
	revision      uint64
	config        uint64
	registrations map[string]*Upstream
	history       []storeChange
	instances     []*simInstance
	queue         []queuedEvent
	// registered has the names of the instances that are registered in the store.
	registered map[string]bool
	backup     *simulation
}

// storeChange is a change in the store.
type storeChange struct {
	revision uint64
	kind     Kind
	object   Object
}

type simInstance struct {
	state    *State
	view     View
	watches  map[Kind]Position
	listOnly map[Kind]bool
	// lastSequence has the latest registration of each upstream that the instance
	// has used, removed the upstreams that it has stopped using.
	lastSequence map[string]uint64
	removed      map[string]bool
	// A paused instance does nothing; a disconnected one gets no answer from the
	// store.
	paused, disconnected bool
	lastVersion          uint64
}

const tickInterval = 100 * time.Millisecond

func newSimulation(n int) *simulation {
	s := &simulation{now: 1, era: 1, revision: 10, registrations: map[string]*Upstream{}, config: 1, registered: map[string]bool{}}
	for i := range n {
		name := fmt.Sprintf("i%02d", i)
		domain := []string{"a-1", "a-2", "b-1"}[i%3]
		s.instances = append(s.instances, &simInstance{
			state: New(peerInstance(name, domain), false), watches: map[Kind]Position{}, listOnly: map[Kind]bool{},
			lastSequence: map[string]uint64{}, removed: map[string]bool{},
		})
		s.registered[name] = true
	}
	return s
}

// write writes an object to the store.
func (s *simulation) write(k Kind, o Object) {
	s.revision++
	s.history = append(s.history, storeChange{s.revision, k, o})
	switch {
	case k == Configs:
		s.config = o.Config.Version
	case k == Instances:
	case o.Deleted:
		delete(s.registrations, o.Name)
	default:
		s.registrations[o.Name] = o.Upstream
	}
}

func (s *simulation) list(k Kind) (all []Object) {
	switch k {
	case Configs:
		return []Object{configObject(s.config)}
	case Upstreams:
		for _, name := range slices.Sorted(maps.Keys(s.registrations)) {
			all = append(all, Object{Name: name, Upstream: s.registrations[name]})
		}
	case Instances:
		for _, si := range s.instances {
			if s.registered[si.state.Self.Name] {
				all = append(all, Object{Name: si.state.Self.Name, Instance: &si.state.Self})
			}
		}
	}
	return all
}

func (s *simulation) instanceByName(name string) *simInstance {
	for _, si := range s.instances {
		if si.state.Self.Name == name {
			return si
		}
	}
	return nil
}

// step passes an event to an instance. All effects of an event are executed before
// the next event is handled, as in a process.
func (s *simulation) step(si *simInstance, e Event, drop func() bool) {
	s.queue = append(s.queue, queuedEvent{si, e})
	if len(s.queue) > 1 {
		return
	}
	for len(s.queue) > 0 {
		p := s.queue[0]
		var effects []Effect
		p.target.state, effects = Step(p.target.state, p.event)
		for _, x := range effects {
			s.execute(p.target, x, drop)
		}
		s.queue = s.queue[1:]
	}
}

// queuedEvent is an event waiting for its instance.
type queuedEvent struct {
	target *simInstance
	event  Event
}

func (s *simulation) execute(si *simInstance, x Effect, drop func() bool) {
	switch x := x.(type) {
	case Publish:
		si.view = x.View
	case Watch:
		if !x.Enabled {
			delete(si.watches, x.Kind)
			return
		}
		si.watches[x.Kind], si.listOnly[x.Kind] = Position{x.Era, x.Revision}, x.ListOnly
	case SendBeacon:
		for _, to := range s.instances {
			if slices.Contains(x.To, to.state.Self.Beacon) && !to.paused && !drop() {
				s.step(to, BeaconReceived{s.now, x.Beacon, si.state.Self.Beacon}, drop)
			}
		}
	case Fetch:
		s.fetch(si, x, drop)
	case Register:
		s.registered[si.state.Self.Name] = true
		s.write(Instances, Object{Name: si.state.Self.Name, Instance: &si.state.Self})
	}
}

// fetch requests changes from another instance; the request or the reply may be
// lost.
func (s *simulation) fetch(si *simInstance, x Fetch, drop func() bool) {
	e := Fetched{Now: s.now, AskedAt: s.now, Kind: x.Kind, From: x.From.Name}
	to := s.instanceByName(x.From.Name)
	if to != nil && !to.paused && !drop() {
		var effects []Effect
		to.state, effects = Step(to.state, ChangesRequested{Now: s.now, RequestID: 1, Kind: x.Kind, Era: x.Era, After: x.After})
		r := effects[0].(Reply)
		e.Objects, e.Era, e.Revision, e.Whole = r.Objects, r.Era, r.Revision, r.Whole
	}
	if !drop() || e.Revision == 0 {
		s.step(si, e, drop)
	}
}

// tick advances the clock: instances that watch the store get its answers, and all
// instances tick.
func (s *simulation) tick(drop func() bool) {
	s.now += int64(tickInterval)
	for _, si := range s.instances {
		if si.paused {
			continue
		}
		for _, k := range Kinds {
			if at, on := si.watches[k]; on {
				s.answerWatch(si, k, at, drop)
			}
		}
		s.step(si, Tick{s.now}, drop)
	}
}

// compact drops the history of the store: all watches are answered by lists.
func (s *simulation) compact() {
	for _, si := range s.instances {
		for k := range si.watches {
			si.watches[k] = Position{s.era, 0}
		}
	}
}

func (s *simulation) answerWatch(si *simInstance, k Kind, at Position, drop func() bool) {
	revision := at.Revision
	if at.Era != s.era || revision > s.revision {
		revision = 0
	}
	if si.disconnected || drop() {
		s.step(si, StoreUnavailable{Now: s.now, AskedAt: s.now, Kind: k, Cause: "no answer in time"}, drop)
		return
	}
	if _, on := si.watches[k]; on {
		si.watches[k] = Position{s.era, s.revision}
	}
	if revision == 0 {
		if si.listOnly[k] {
			delete(si.watches, k)
		}
		s.step(si, Listed{Now: s.now, AskedAt: s.now, Kind: k, Objects: s.list(k), Era: s.era, Revision: s.revision}, drop)
		return
	}
	var found []Object
	for _, h := range s.history {
		if h.kind == k && h.revision > revision {
			found = append(found, h.object)
		}
	}
	s.step(si, Changed{Now: s.now, AskedAt: s.now, Kind: k, Objects: found, Era: s.era, Revision: s.revision}, drop)
}

// checkSynced compares the view of an instance with the store and returns a
// description of the difference, if any.
func (s *simulation) checkSynced(si *simInstance) string {
	if si.view.Config == nil || si.view.Config.Version != s.config {
		return fmt.Sprintf("%s does not have version %d", si.state.Self.Name, s.config)
	}
	var want, have []string
	for name, u := range s.registrations {
		if !u.Draining {
			want = append(want, name)
		}
	}
	for _, u := range si.view.Upstreams {
		have = append(have, u.ID)
	}
	slices.Sort(want)
	if !slices.Equal(want, have) {
		return fmt.Sprintf("%s knows %v, the store has %v", si.state.Self.Name, have, want)
	}
	return ""
}

func noLoss() bool { return false }

func init() { _ = flag.Set("rapid.seed", "1") }

// TestChangesPropagate changes the store while messages are lost and instances are
// paused or disconnected from the store. No instance may ever revert to an older
// configuration. Once no more messages are lost, all instances must agree with the
// store within the time that the readers' sync statuses, a fetch and the grace
// period for registrations take. Without losses, a change must reach every
// instance within 2 s.
func TestChangesPropagate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.SampledFrom([]int{3, 18, 24}).Draw(t, "instances"))
		sequence := uint64(0)
		var lossy bool
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		drop := func() bool { return lossy && random.IntN(10) < 3 }
		randomChange := func() {
			sequence++
			name := fmt.Sprint("u", rapid.IntRange(0, 5).Draw(t, "upstream"))
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0:
				s.write(Configs, configObject(s.config+1))
			case 1:
				s.write(Upstreams, deletedObject(name))
			case 2:
				s.write(Upstreams, upstreamObject(name, withSequence(sequence), draining))
			case 3, 4:
				s.write(Upstreams, upstreamObject(name, withSequence(sequence)))
			case 5:
				si := s.instances[rapid.IntRange(0, len(s.instances)-1).Draw(t, "instance")]
				si.paused = !si.paused
			case 6:
				si := s.instances[rapid.IntRange(0, len(s.instances)-1).Draw(t, "instance")]
				si.disconnected = !si.disconnected
			case 7:
				s.compact()
			}
		}
		lossy = rapid.Bool().Draw(t, "lossy")
		for range rapid.IntRange(5, 40).Draw(t, "ticks") {
			randomChange()
			s.tick(drop)
			for _, si := range s.instances {
				if c := si.view.Config; c != nil && c.Version < si.lastVersion {
					t.Fatalf("%s reverts from version %d to %d", si.state.Self.Name, si.lastVersion, c.Version)
				} else if c != nil {
					si.lastVersion = c.Version
				}
			}
		}
		lossy = false
		for _, si := range s.instances {
			si.paused, si.disconnected = false, false
		}
		checkConverged(t, s, 6*time.Second)
		s.write(Configs, configObject(s.config+1))
		s.write(Upstreams, upstreamObject("last", withSequence(sequence+1)))
		checkConverged(t, s, 2*time.Second)
	})
}

// checkConverged advances the clock by d without losses and then checks all
// instances.
func checkConverged(t *rapid.T, s *simulation, d time.Duration) {
	for range int(d / tickInterval) {
		s.tick(noLoss)
	}
	for _, si := range s.instances {
		if fault := s.checkSynced(si); fault != "" {
			t.Fatal(fault)
		}
	}
}
