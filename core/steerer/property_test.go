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
type world struct {
	now      int64
	era      uint64
	revision uint64
	config   uint64
	objects  map[string]*Upstream
	history  []stored
	members  []*member
	queue    []pending
	// registered has the instances that the store knows.
	registered map[string]bool
	copied     *world
}

// stored is a change in the store.
type stored struct {
	revision uint64
	kind     Kind
	object   Object
}

type member struct {
	state   *State
	view    View
	reading map[Kind]Position
	once    map[Kind]bool
	// last has the latest registration of each upstream that the instance has
	// used, out those that it has stopped to use.
	last map[string]uint64
	out  map[string]bool
	// paused members do nothing; those that are cut get no answer of the store.
	paused, cut bool
	version     uint64
}

const worldTick = 100 * time.Millisecond

func newWorld(n int) *world {
	w := &world{now: 1, era: 1, revision: 10, objects: map[string]*Upstream{}, config: 1, registered: map[string]bool{}}
	for i := range n {
		name := fmt.Sprintf("i%02d", i)
		domain := []string{"a-1", "a-2", "b-1"}[i%3]
		w.members = append(w.members, &member{
			state: New(other(name, domain), false), reading: map[Kind]Position{}, once: map[Kind]bool{},
			last: map[string]uint64{}, out: map[string]bool{},
		})
		w.registered[name] = true
	}
	return w
}

// change writes an object.
func (w *world) change(k Kind, o Object) {
	w.revision++
	w.history = append(w.history, stored{w.revision, k, o})
	switch {
	case k == Configs:
		w.config = o.Config.Version
	case k == Instances:
	case o.Deleted:
		delete(w.objects, o.Name)
	default:
		w.objects[o.Name] = o.Upstream
	}
}

func (w *world) list(k Kind) (all []Object) {
	switch k {
	case Configs:
		return []Object{config(w.config)}
	case Upstreams:
		for _, name := range slices.Sorted(maps.Keys(w.objects)) {
			all = append(all, Object{Name: name, Upstream: w.objects[name]})
		}
	case Instances:
		for _, m := range w.members {
			if w.registered[m.state.Self.Name] {
				all = append(all, Object{Name: m.state.Self.Name, Instance: &m.state.Self})
			}
		}
	}
	return all
}

func (w *world) find(name string) *member {
	for _, m := range w.members {
		if m.state.Self.Name == name {
			return m
		}
	}
	return nil
}

// step hands an event to an instance. All effects of an event are executed
// before the next one is handled, as in a process.
func (w *world) step(m *member, e Event, lost func() bool) {
	w.queue = append(w.queue, pending{m, e})
	if len(w.queue) > 1 {
		return
	}
	for len(w.queue) > 0 {
		p := w.queue[0]
		var effects []Effect
		p.to.state, effects = Step(p.to.state, p.event)
		for _, x := range effects {
			w.execute(p.to, x, lost)
		}
		w.queue = w.queue[1:]
	}
}

// pending is an event that waits for its instance.
type pending struct {
	to    *member
	event Event
}

func (w *world) execute(m *member, x Effect, lost func() bool) {
	switch x := x.(type) {
	case Publish:
		m.view = x.View
	case Watch:
		if !x.Enabled {
			delete(m.reading, x.Kind)
			return
		}
		m.reading[x.Kind], m.once[x.Kind] = Position{x.Era, x.Revision}, x.ListOnly
	case SendBeacon:
		for _, to := range w.members {
			if slices.Contains(x.To, to.state.Self.Beacon) && !to.paused && !lost() {
				w.step(to, BeaconReceived{w.now, x.Beacon, m.state.Self.Beacon}, lost)
			}
		}
	case Fetch:
		w.fetch(m, x, lost)
	case Register:
		w.registered[m.state.Self.Name] = true
		w.change(Instances, Object{Name: m.state.Self.Name, Instance: &m.state.Self})
	}
}

// fetch asks another instance; the question or the answer may be lost.
func (w *world) fetch(m *member, x Fetch, lost func() bool) {
	e := Fetched{Now: w.now, Kind: x.Kind, From: x.From.Name}
	to := w.find(x.From.Name)
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
func (w *world) tick(lost func() bool) {
	w.now += int64(worldTick)
	for _, m := range w.members {
		if m.paused {
			continue
		}
		for _, k := range Kinds {
			if revision, on := m.reading[k]; on {
				w.answer(m, k, revision, lost)
			}
		}
		w.step(m, Tick{w.now}, lost)
	}
}

func (w *world) answer(m *member, k Kind, read Position, lost func() bool) {
	revision := read.Revision
	if read.Era != w.era || revision > w.revision {
		revision = 0
	}
	if m.cut || lost() {
		w.step(m, StoreUnavailable{Now: w.now, Kind: k, Cause: "no answer in time"}, lost)
		return
	}
	if _, on := m.reading[k]; on {
		m.reading[k] = Position{w.era, w.revision}
	}
	if revision == 0 {
		if m.once[k] {
			delete(m.reading, k)
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
func (w *world) check(m *member) string {
	if m.view.Config == nil || m.view.Config.Version != w.config {
		return fmt.Sprintf("%s has not version %d", m.state.Self.Name, w.config)
	}
	var want, have []string
	for name, u := range w.objects {
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

func never() bool { return false }

func init() { _ = flag.Set("rapid.seed", "1") }

// TestChangesArrive changes the store while messages and answers get lost and
// instances are paused or cut off. No instance ever steps back to an older
// configuration. Once nothing is lost any more, all know all within the time
// that the readers' proofs, a fetch and a registration's return take; and a
// change is known everywhere within 2 s while nothing is lost at all.
func TestChangesPropagate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.SampledFrom([]int{3, 18, 24}).Draw(t, "instances"))
		count := uint64(0)
		var noise bool
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		lost := func() bool { return noise && random.IntN(10) < 3 }
		act := func() {
			count++
			name := fmt.Sprint("u", rapid.IntRange(0, 5).Draw(t, "upstream"))
			switch rapid.IntRange(0, 9).Draw(t, "act") {
			case 0:
				w.change(Configs, config(w.config+1))
			case 1:
				w.change(Upstreams, gone(name))
			case 2:
				w.change(Upstreams, server(name, numbered(count), draining))
			case 3, 4:
				w.change(Upstreams, server(name, numbered(count)))
			case 5:
				m := w.members[rapid.IntRange(0, len(w.members)-1).Draw(t, "member")]
				m.paused = !m.paused
			case 6:
				m := w.members[rapid.IntRange(0, len(w.members)-1).Draw(t, "member")]
				m.cut = !m.cut
			}
		}
		noise = rapid.Bool().Draw(t, "noise")
		for range rapid.IntRange(5, 40).Draw(t, "ticks") {
			act()
			w.tick(lost)
			for _, m := range w.members {
				if c := m.view.Config; c != nil && c.Version < m.version {
					t.Fatalf("%s steps back from version %d to %d", m.state.Self.Name, m.version, c.Version)
				} else if c != nil {
					m.version = c.Version
				}
			}
		}
		noise = false
		for _, m := range w.members {
			m.paused, m.cut = false, false
		}
		settle(t, w, 6*time.Second)
		w.change(Configs, config(w.config+1))
		w.change(Upstreams, server("last", numbered(count+1)))
		settle(t, w, 2*time.Second)
	})
}

// settle lets time pass without losses and checks all instances at its end.
func settle(t *rapid.T, w *world, d time.Duration) {
	for range int(d / worldTick) {
		w.tick(never)
	}
	for _, m := range w.members {
		if wrong := w.check(m); wrong != "" {
			t.Fatal(wrong)
		}
	}
}
