package steerer

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// place is a state of the small model: a store with one upstream and one
// configuration, and one instance.
type modelState struct {
	simulation *simulation
	// count numbers registrations, eras counts the returns from a copy.
	sequence uint64
	restores int
}

func (p *modelState) clone() *modelState {
	w := *p.simulation
	w.registrations, w.history, w.registered = maps.Clone(w.registrations), slices.Clone(w.history), maps.Clone(w.registered)
	m := *w.instances[0]
	m.state, m.watches, m.listOnly = m.state.Clone(), maps.Clone(m.watches), maps.Clone(m.listOnly)
	m.lastSequence, m.removed = maps.Clone(m.lastSequence), maps.Clone(m.removed)
	w.instances = []*simInstance{&m}
	return &modelState{&w, p.sequence, p.restores}
}

// key names what the future depends on.
func (p *modelState) fingerprint() string {
	w, m := p.simulation, p.simulation.instances[0]
	var b strings.Builder
	fmt.Fprint(&b, w.now, w.era, w.revision, w.config, p.sequence, p.restores, formatHistory(w.history))
	for _, o := range w.list(Upstreams) {
		fmt.Fprint(&b, *o.Upstream)
	}
	if c := w.backup; c != nil {
		fmt.Fprint(&b, c.revision, c.config, len(c.registrations), formatHistory(c.history))
	}
	fmt.Fprint(&b, m.watches, m.lastVersion, m.lastSequence, m.removed, m.state.tombstones, m.state.syncStatuses(w.now))
	for _, u := range m.state.upstreams {
		fmt.Fprint(&b, *u)
	}
	return b.String()
}

// told describes changes.
func formatHistory(all []storeChange) (texts []string) {
	for _, h := range all {
		texts = append(texts, fmt.Sprint(h.revision, h.kind, formatObjects([]Object{h.object})))
	}
	return texts
}

// moves are what can happen next.
func (p *modelState) transitions() map[string]func(p *modelState) {
	number := func(p *modelState) func() uint64 { return func() uint64 { p.sequence++; return p.sequence } }
	all := map[string]func(p *modelState){
		"registers": func(p *modelState) { p.simulation.write(Upstreams, upstreamObject("u", withSequence(number(p)()))) },
		"configured": func(p *modelState) {
			p.simulation.write(Configs, configObject(p.simulation.config+1))
		},
		"time passes": func(p *modelState) { p.simulation.tick(noLoss) },
		"hears of upstreams": func(p *modelState) {
			m := p.simulation.instances[0]
			if at, on := m.watches[Upstreams]; on {
				p.simulation.answerWatch(m, Upstreams, at, noLoss)
			}
		},
		"hears of configurations": func(p *modelState) {
			m := p.simulation.instances[0]
			if at, on := m.watches[Configs]; on {
				p.simulation.answerWatch(m, Configs, at, noLoss)
			}
		},
		"copied": func(p *modelState) { p.simulation.takeBackup() },
	}
	if u := p.simulation.registrations["u"]; u != nil {
		all["gone"] = func(p *modelState) { p.simulation.write(Upstreams, deletedObject("u")) }
		if u.Draining {
			// It does not become ready again in this life.
			delete(all, "registers")
		} else {
			all["drains"] = func(p *modelState) {
				p.simulation.write(Upstreams, upstreamObject("u", withSequence(number(p)()), draining))
			}
		}
	}
	if p.simulation.backup != nil && p.restores < 2 {
		all["returns from the copy"] = func(p *modelState) {
			p.restores++
			p.simulation.restore(number(p))
		}
	}
	return all
}

// TestEveryInterleaving visits all orders of few writes, copies, up to two returns
// from a copy, and answers, for one instance. It never goes back.
func TestEveryInterleaving(t *testing.T) {
	const depth, states = 6, 50643
	is := is.New(t)
	start := &modelState{simulation: newSimulation(1)}
	for range 4 {
		start.simulation.tick(noLoss)
	}
	// The copy has an upstream that the instance knows.
	start.transitions()["registers"](start)
	start.simulation.tick(noLoss)
	start.simulation.takeBackup()
	seen := map[string]bool{start.fingerprint(): true}
	level := []*modelState{start}
	for range depth {
		var next []*modelState
		for _, p := range level {
			moves := p.transitions()
			for _, name := range slices.Sorted(maps.Keys(moves)) {
				q := p.clone()
				moves[name](q)
				if wrong := q.simulation.instances[0].checkMonotonic(); wrong != "" {
					t.Fatalf("%s, after: %s", wrong, name)
				}
				if k := q.fingerprint(); !seen[k] {
					seen[k] = true
					next = append(next, q)
				}
			}
		}
		level = next
	}
	is.Equal(len(seen), states) // states visited
}
