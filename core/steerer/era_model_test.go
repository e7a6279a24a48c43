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
type place struct {
	world *world
	// count numbers registrations, eras counts the returns from a copy.
	count uint64
	eras  int
}

func (p *place) clone() *place {
	w := *p.world
	w.objects, w.history, w.registered = maps.Clone(w.objects), slices.Clone(w.history), maps.Clone(w.registered)
	m := *w.members[0]
	m.state, m.reading, m.once = m.state.Clone(), maps.Clone(m.reading), maps.Clone(m.once)
	m.last, m.out = maps.Clone(m.last), maps.Clone(m.out)
	w.members = []*member{&m}
	return &place{&w, p.count, p.eras}
}

// key names what the future depends on.
func (p *place) key() string {
	w, m := p.world, p.world.members[0]
	var b strings.Builder
	fmt.Fprint(&b, w.now, w.era, w.revision, w.config, p.count, p.eras, told(w.history))
	for _, o := range w.list(Upstreams) {
		fmt.Fprint(&b, *o.Upstream)
	}
	if c := w.copied; c != nil {
		fmt.Fprint(&b, c.revision, c.config, len(c.objects), told(c.history))
	}
	fmt.Fprint(&b, m.reading, m.version, m.last, m.out, m.state.departures, m.state.proofs(w.now))
	for _, u := range m.state.upstreams {
		fmt.Fprint(&b, *u)
	}
	return b.String()
}

// told describes changes.
func told(all []stored) (texts []string) {
	for _, h := range all {
		texts = append(texts, fmt.Sprint(h.revision, h.kind, objects([]Object{h.object})))
	}
	return texts
}

// moves are what can happen next.
func (p *place) moves() map[string]func(p *place) {
	number := func(p *place) func() uint64 { return func() uint64 { p.count++; return p.count } }
	all := map[string]func(p *place){
		"registers": func(p *place) { p.world.change(Upstreams, server("u", numbered(number(p)()))) },
		"configured": func(p *place) {
			p.world.change(Configs, config(p.world.config+1))
		},
		"time passes": func(p *place) { p.world.tick(never) },
		"hears of upstreams": func(p *place) {
			m := p.world.members[0]
			if at, on := m.reading[Upstreams]; on {
				p.world.answer(m, Upstreams, at, never)
			}
		},
		"hears of configurations": func(p *place) {
			m := p.world.members[0]
			if at, on := m.reading[Configs]; on {
				p.world.answer(m, Configs, at, never)
			}
		},
		"copied": func(p *place) { p.world.save() },
	}
	if u := p.world.objects["u"]; u != nil {
		all["gone"] = func(p *place) { p.world.change(Upstreams, gone("u")) }
		if u.Draining {
			// It does not become ready again in this life.
			delete(all, "registers")
		} else {
			all["drains"] = func(p *place) { p.world.change(Upstreams, server("u", numbered(number(p)()), draining)) }
		}
	}
	if p.world.copied != nil && p.eras < 2 {
		all["returns from the copy"] = func(p *place) {
			p.eras++
			p.world.restore(number(p))
		}
	}
	return all
}

// TestEveryInterleaving visits all orders of few writes, copies, up to two returns
// from a copy, and answers, for one instance. It never goes back.
func TestEveryInterleaving(t *testing.T) {
	const depth, states = 6, 50643
	is := is.New(t)
	start := &place{world: newWorld(1)}
	for range 4 {
		start.world.tick(never)
	}
	// The copy has an upstream that the instance knows.
	start.moves()["registers"](start)
	start.world.tick(never)
	start.world.save()
	seen := map[string]bool{start.key(): true}
	level := []*place{start}
	for range depth {
		var next []*place
		for _, p := range level {
			moves := p.moves()
			for _, name := range slices.Sorted(maps.Keys(moves)) {
				q := p.clone()
				moves[name](q)
				if wrong := q.world.members[0].watch(); wrong != "" {
					t.Fatalf("%s, after: %s", wrong, name)
				}
				if k := q.key(); !seen[k] {
					seen[k] = true
					next = append(next, q)
				}
			}
		}
		level = next
	}
	is.Equal(len(seen), states) // states visited
}
