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
func (w *world) save() {
	w.copied = &world{
		revision: w.revision, config: w.config, objects: maps.Clone(w.objects),
		history: slices.Clone(w.history), registered: maps.Clone(w.registered),
	}
}

// restore takes the store back to the copy, in a new era. It returns what the
// operator and the upstreams write again some time later.
func (w *world) restore(number func() uint64) (again func()) {
	c, lost := w.copied, maps.Clone(w.objects)
	version := w.config
	w.era++
	w.revision, w.config, w.objects, w.history, w.registered = c.revision, c.config, maps.Clone(c.objects), slices.Clone(c.history), maps.Clone(c.registered)
	return func() {
		if w.config < version {
			w.change(Configs, config(version))
		}
		for _, name := range slices.Sorted(maps.Keys(lost)) {
			u := *lost[name]
			if now := w.objects[name]; now != nil && now.Sequence > u.Sequence {
				continue
			}
			u.Sequence = number()
			w.change(Upstreams, Object{Name: name, Upstream: &u})
		}
		for _, name := range slices.Sorted(maps.Keys(c.objects)) {
			if now := w.objects[name]; lost[name] == nil && now != nil && now.Sequence == c.objects[name].Sequence {
				w.change(Upstreams, gone(name))
			}
		}
	}
}

// watch checks that an instance never goes back: not to an older configuration,
// not to an older registration, and not to an upstream that it has stopped to use
// without a newer one.
func (m *member) watch() string {
	if c := m.view.Config; c != nil {
		if c.Version < m.version {
			return fmt.Sprintf("%s steps back from version %d to %d", m.state.Self.Name, m.version, c.Version)
		}
		m.version = c.Version
	}
	used := map[string]bool{}
	for _, u := range m.view.Upstreams {
		used[u.ID] = true
		switch last, ok := m.last[u.ID]; {
		case ok && u.Sequence < last:
			return fmt.Sprintf("%s takes registration %d of %s for %d", m.state.Self.Name, u.Sequence, u.ID, last)
		case ok && m.out[u.ID] && u.Sequence == last:
			return fmt.Sprintf("%s uses %s again, which had left", m.state.Self.Name, u.ID)
		}
		m.last[u.ID], m.out[u.ID] = u.Sequence, false
	}
	for name := range m.last {
		m.out[name] = m.out[name] || !used[name]
	}
	return ""
}

// TestEras takes the store back to a copy, once or more, while instances are
// paused or cut off and messages get lost. No instance ever goes back. Once all is
// written again and nothing is lost any more, all know all, and the store has all
// instances.
func TestStoreRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.SampledFrom([]int{1, 3, 18}).Draw(t, "instances"))
		w.save()
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
			m := w.members[rapid.IntRange(0, len(w.members)-1).Draw(t, "member")]
			switch rapid.IntRange(0, 11).Draw(t, "act") {
			case 0:
				w.change(Configs, config(w.config+1))
			case 1:
				if w.objects[name] != nil {
					w.change(Upstreams, gone(name))
				}
			case 2:
				if w.objects[name] != nil {
					w.change(Upstreams, server(name, numbered(number()), draining))
				}
			case 3, 4:
				if u := w.objects[name]; u == nil || !u.Draining {
					w.change(Upstreams, server(name, numbered(number())))
				}
			case 5:
				m.paused = !m.paused
			case 6:
				m.cut = !m.cut
			case 7:
				if len(again) == 0 {
					w.save()
				}
			case 8:
				again = append(again, w.restore(number))
			case 9:
				rewrite()
			}
			w.tick(lost)
			for _, m := range w.members {
				if wrong := m.watch(); wrong != "" {
					t.Fatal(wrong)
				}
			}
		}
		rewrite()
		noise = false
		for _, m := range w.members {
			m.paused, m.cut = false, false
		}
		settle(t, w, 8*time.Second)
		for _, m := range w.members {
			if !w.registered[m.state.Self.Name] {
				t.Fatalf("%s is not in the store", m.state.Self.Name)
			}
		}
	})
}
