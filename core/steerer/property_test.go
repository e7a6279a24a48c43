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

// world is a store and many instances on a fake clock. Messages and calls may be
// lost; instances may be paused or cut off from the store. The store may come back
// from a copy.
type simulation struct {
	now           int64
	era           uint64
	revision      uint64
	config        uint64
	registrations map[string]*Upstream
	history       []storeChange
	instances     []*simInstance
	queue         []queuedEvent
	// registered has the instances that the store knows.
	registered map[string]bool
	backup     *simulation
}

// stored is a change in the store.
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
	// last has the latest registration of each upstream that the instance has
	// used, out those that it has stopped to use.
	lastSequence map[string]uint64
	removed      map[string]bool
	// paused members do nothing; those that are cut get no answer of the store.
	paused, disconnected bool
	lastVersion          uint64
}

const tickInterval = 100 * time.Millisecond

func newSimulation(n int) *simulation {
	w := &simulation{now: 1, era: 1, revision: 10, registrations: map[string]*Upstream{}, config: 1, registered: map[string]bool{}}
	for i := range n {
		name := fmt.Sprintf("i%02d", i)
		domain := []string{"a-1", "a-2", "b-1"}[i%3]
		w.instances = append(w.instances, &simInstance{
			state: New(peerInstance(name, domain), false), watches: map[Kind]Position{}, listOnly: map[Kind]bool{},
			lastSequence: map[string]uint64{}, removed: map[string]bool{},
		})
		w.registered[name] = true
	}
	return w
}

// change writes an object.
func (w *simulation) write(k Kind, o Object) {
	w.revision++
	w.history = append(w.history, storeChange{w.revision, k, o})
	switch {
	case k == Configs:
		w.config = o.Config.Version
	case k == Instances:
	case o.Deleted:
		delete(w.registrations, o.Name)
	default:
		w.registrations[o.Name] = o.Upstream
	}
}

func (w *simulation) list(k Kind) (all []Object) {
	switch k {
	case Configs:
		return []Object{configObject(w.config)}
	case Upstreams:
		for _, name := range slices.Sorted(maps.Keys(w.registrations)) {
			all = append(all, Object{Name: name, Upstream: w.registrations[name]})
		}
	case Instances:
		for _, m := range w.instances {
			if w.registered[m.state.Self.Name] {
				all = append(all, Object{Name: m.state.Self.Name, Instance: &m.state.Self})
			}
		}
	}
	return all
}

func (w *simulation) instanceByName(name string) *simInstance {
	for _, m := range w.instances {
		if m.state.Self.Name == name {
			return m
		}
	}
	return nil
}

// step hands an event to an instance. All effects of an event are executed
// before the next one is handled, as in a process.
func (w *simulation) step(m *simInstance, e Event, lost func() bool) {
	w.queue = append(w.queue, queuedEvent{m, e})
	if len(w.queue) > 1 {
		return
	}
	for len(w.queue) > 0 {
		p := w.queue[0]
		var effects []Effect
		p.target.state, effects = Step(p.target.state, p.event)
		for _, x := range effects {
			w.execute(p.target, x, lost)
		}
		w.queue = w.queue[1:]
	}
}

// pending is an event that waits for its instance.
type queuedEvent struct {
	target *simInstance
	event  Event
}

func (w *simulation) execute(m *simInstance, x Effect, lost func() bool) {
	switch x := x.(type) {
	case Publish:
		m.view = x.View
	case Watch:
		if !x.Enabled {
			delete(m.watches, x.Kind)
			return
		}
		m.watches[x.Kind], m.listOnly[x.Kind] = Position{x.Era, x.Revision}, x.ListOnly
	case SendBeacon:
		for _, to := range w.instances {
			if slices.Contains(x.To, to.state.Self.Beacon) && !to.paused && !lost() {
				w.step(to, BeaconReceived{w.now, x.Beacon, m.state.Self.Beacon}, lost)
			}
		}
	case Fetch:
		w.fetch(m, x, lost)
	case Register:
		w.registered[m.state.Self.Name] = true
		w.write(Instances, Object{Name: m.state.Self.Name, Instance: &m.state.Self})
	}
}

// fetch asks another instance; the question or the answer may be lost.
func (w *simulation) fetch(m *simInstance, x Fetch, lost func() bool) {
	e := Fetched{Now: w.now, Kind: x.Kind, From: x.From.Name}
	to := w.instanceByName(x.From.Name)
	if to != nil && !to.paused && !lost() {
		var effects []Effect
		to.state, effects = Step(to.state, ChangesRequested{Now: w.now, RequestID: 1, Kind: x.Kind, Era: x.Era, After: x.After})
		r := effects[0].(Reply)
		e.Objects, e.Era, e.Revision, e.Whole = r.Objects, r.Era, r.Revision, r.Whole
	}
	if !lost() || e.Revision == 0 {
		w.step(m, e, lost)
	}
}

// tick lets time pass: readers get the store's answers, and all instances tick.
func (w *simulation) tick(lost func() bool) {
	w.now += int64(tickInterval)
	for _, m := range w.instances {
		if m.paused {
			continue
		}
		for _, k := range Kinds {
			if revision, on := m.watches[k]; on {
				w.answerWatch(m, k, revision, lost)
			}
		}
		w.step(m, Tick{w.now}, lost)
	}
}

func (w *simulation) answerWatch(m *simInstance, k Kind, read Position, lost func() bool) {
	revision := read.Revision
	if read.Era != w.era || revision > w.revision {
		revision = 0
	}
	if m.disconnected || lost() {
		w.step(m, StoreUnavailable{Now: w.now, Kind: k, Cause: "no answer in time"}, lost)
		return
	}
	if _, on := m.watches[k]; on {
		m.watches[k] = Position{w.era, w.revision}
	}
	if revision == 0 {
		if m.listOnly[k] {
			delete(m.watches, k)
		}
		w.step(m, Listed{Now: w.now, Kind: k, Objects: w.list(k), Era: w.era, Revision: w.revision}, lost)
		return
	}
	var found []Object
	for _, h := range w.history {
		if h.kind == k && h.revision > revision {
			found = append(found, h.object)
		}
	}
	w.step(m, Changed{Now: w.now, Kind: k, Objects: found, Era: w.era, Revision: w.revision}, lost)
}

// check compares what an instance knows with the store.
func (w *simulation) checkSynced(m *simInstance) string {
	if m.view.Config == nil || m.view.Config.Version != w.config {
		return fmt.Sprintf("%s has not version %d", m.state.Self.Name, w.config)
	}
	var want, have []string
	for name, u := range w.registrations {
		if !u.Draining {
			want = append(want, name)
		}
	}
	for _, u := range m.view.Upstreams {
		have = append(have, u.ID)
	}
	slices.Sort(want)
	if !slices.Equal(want, have) {
		return fmt.Sprintf("%s knows %v, the store has %v", m.state.Self.Name, have, want)
	}
	return ""
}

func noLoss() bool { return false }

func init() { _ = flag.Set("rapid.seed", "1") }

// TestChangesArrive changes the store while messages and answers get lost and
// instances are paused or cut off. No instance ever steps back to an older
// configuration. Once nothing is lost any more, all know all within the time
// that the readers' proofs, a fetch and a registration's return take; and a
// change is known everywhere within 2 s while nothing is lost at all.
func TestChangesPropagate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(rapid.SampledFrom([]int{3, 18, 24}).Draw(t, "instances"))
		count := uint64(0)
		var noise bool
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		lost := func() bool { return noise && random.IntN(10) < 3 }
		act := func() {
			count++
			name := fmt.Sprint("u", rapid.IntRange(0, 5).Draw(t, "upstream"))
			switch rapid.IntRange(0, 9).Draw(t, "act") {
			case 0:
				w.write(Configs, configObject(w.config+1))
			case 1:
				w.write(Upstreams, deletedObject(name))
			case 2:
				w.write(Upstreams, upstreamObject(name, withSequence(count), draining))
			case 3, 4:
				w.write(Upstreams, upstreamObject(name, withSequence(count)))
			case 5:
				m := w.instances[rapid.IntRange(0, len(w.instances)-1).Draw(t, "member")]
				m.paused = !m.paused
			case 6:
				m := w.instances[rapid.IntRange(0, len(w.instances)-1).Draw(t, "member")]
				m.disconnected = !m.disconnected
			}
		}
		noise = rapid.Bool().Draw(t, "noise")
		for range rapid.IntRange(5, 40).Draw(t, "ticks") {
			act()
			w.tick(lost)
			for _, m := range w.instances {
				if c := m.view.Config; c != nil && c.Version < m.lastVersion {
					t.Fatalf("%s steps back from version %d to %d", m.state.Self.Name, m.lastVersion, c.Version)
				} else if c != nil {
					m.lastVersion = c.Version
				}
			}
		}
		noise = false
		for _, m := range w.instances {
			m.paused, m.disconnected = false, false
		}
		checkConverged(t, w, 6*time.Second)
		w.write(Configs, configObject(w.config+1))
		w.write(Upstreams, upstreamObject("last", withSequence(count+1)))
		checkConverged(t, w, 2*time.Second)
	})
}

// settle lets time pass without losses and checks all instances at its end.
func checkConverged(t *rapid.T, w *simulation, d time.Duration) {
	for range int(d / tickInterval) {
		w.tick(noLoss)
	}
	for _, m := range w.instances {
		if wrong := w.checkSynced(m); wrong != "" {
			t.Fatal(wrong)
		}
	}
}
