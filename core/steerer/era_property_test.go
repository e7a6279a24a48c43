package steerer

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// save copies what the store has.
func (w *simulation) takeBackup() {
	w.backup = &simulation{
		revision: w.revision, config: w.config, registrations: maps.Clone(w.registrations),
		history: slices.Clone(w.history), registered: maps.Clone(w.registered),
	}
}

// restore takes the store back to the copy, in a new era. It returns what the
// operator and the upstreams write again some time later.
func (w *simulation) restore(number func() uint64) (again func()) {
	c, lost := w.backup, maps.Clone(w.registrations)
	version := w.config
	w.era++
	w.revision, w.config, w.registrations, w.history, w.registered = c.revision, c.config, maps.Clone(c.registrations), slices.Clone(c.history), maps.Clone(c.registered)
	return func() {
		if w.config < version {
			w.write(Configs, configObject(version))
		}
		for _, name := range slices.Sorted(maps.Keys(lost)) {
			u := *lost[name]
			if now := w.registrations[name]; now != nil && now.Sequence > u.Sequence {
				continue
			}
			u.Sequence = number()
			w.write(Upstreams, Object{Name: name, Upstream: &u})
		}
		for _, name := range slices.Sorted(maps.Keys(c.registrations)) {
			if now := w.registrations[name]; lost[name] == nil && now != nil && now.Sequence == c.registrations[name].Sequence {
				w.write(Upstreams, deletedObject(name))
			}
		}
	}
}

// watch checks that an instance never goes back: not to an older configuration,
// not to an older registration, and not to an upstream that it has stopped to use
// without a newer one.
func (m *simInstance) checkMonotonic() string {
	if c := m.view.Config; c != nil {
		if c.Version < m.lastVersion {
			return fmt.Sprintf("%s steps back from version %d to %d", m.state.Self.Name, m.lastVersion, c.Version)
		}
		m.lastVersion = c.Version
	}
	used := map[string]bool{}
	for _, u := range m.view.Upstreams {
		used[u.ID] = true
		switch last, ok := m.lastSequence[u.ID]; {
		case ok && u.Sequence < last:
			return fmt.Sprintf("%s takes registration %d of %s for %d", m.state.Self.Name, u.Sequence, u.ID, last)
		case ok && m.removed[u.ID] && u.Sequence == last:
			return fmt.Sprintf("%s uses %s again, which had left", m.state.Self.Name, u.ID)
		}
		m.lastSequence[u.ID], m.removed[u.ID] = u.Sequence, false
	}
	for name := range m.lastSequence {
		m.removed[name] = m.removed[name] || !used[name]
	}
	return ""
}

// TestEras takes the store back to a copy, once or more, while instances are
// paused or cut off and messages get lost. No instance ever goes back. Once all is
// written again and nothing is lost any more, all know all, and the store has all
// instances.
func TestStoreRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(rapid.SampledFrom([]int{1, 3, 18}).Draw(t, "instances"))
		w.takeBackup()
		count := uint64(0)
		number := func() uint64 { count++; return count }
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		noise := rapid.Bool().Draw(t, "noise")
		lost := func() bool { return noise && random.IntN(10) < 3 }
		var again []func()
		rewrite := func() {
			for _, f := range again {
				f()
			}
			again = nil
		}
		for range rapid.IntRange(10, 60).Draw(t, "ticks") {
			name := fmt.Sprint("u", rapid.IntRange(0, 4).Draw(t, "upstream"))
			m := w.instances[rapid.IntRange(0, len(w.instances)-1).Draw(t, "member")]
			switch rapid.IntRange(0, 11).Draw(t, "act") {
			case 0:
				w.write(Configs, configObject(w.config+1))
			case 1:
				if w.registrations[name] != nil {
					w.write(Upstreams, deletedObject(name))
				}
			case 2:
				if w.registrations[name] != nil {
					w.write(Upstreams, upstreamObject(name, withSequence(number()), draining))
				}
			case 3, 4:
				if u := w.registrations[name]; u == nil || !u.Draining {
					w.write(Upstreams, upstreamObject(name, withSequence(number())))
				}
			case 5:
				m.paused = !m.paused
			case 6:
				m.disconnected = !m.disconnected
			case 7:
				if len(again) == 0 {
					w.takeBackup()
				}
			case 8:
				again = append(again, w.restore(number))
			case 9:
				rewrite()
			}
			w.tick(lost)
			for _, m := range w.instances {
				if wrong := m.checkMonotonic(); wrong != "" {
					t.Fatal(wrong)
				}
			}
		}
		rewrite()
		noise = false
		for _, m := range w.instances {
			m.paused, m.disconnected = false, false
		}
		checkConverged(t, w, 8*time.Second)
		for _, m := range w.instances {
			if !w.registered[m.state.Self.Name] {
				t.Fatalf("%s is not in the store", m.state.Self.Name)
			}
		}
	})
}
