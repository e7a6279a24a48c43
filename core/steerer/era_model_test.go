package steerer

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// modelState is a state of a small model: a store with one upstream and one
// configuration, and one instance.
type modelState struct {
	simulation *simulation
	// sequence numbers the registrations, restores counts the restores from a backup.
	sequence uint64
	restores int
}

func (ms *modelState) clone() *modelState {
	s := *ms.simulation
	s.registrations, s.history, s.registered = maps.Clone(s.registrations), slices.Clone(s.history), maps.Clone(s.registered)
	si := *s.instances[0]
	si.state, si.watches, si.listOnly = si.state.Clone(), maps.Clone(si.watches), maps.Clone(si.listOnly)
	si.lastSequence, si.removed = maps.Clone(si.lastSequence), maps.Clone(si.removed)
	s.instances = []*simInstance{&si}
	return &modelState{&s, ms.sequence, ms.restores}
}

// fingerprint identifies the state by everything that later states depend on.
func (ms *modelState) fingerprint() string {
	s, si := ms.simulation, ms.simulation.instances[0]
	var b strings.Builder
	fmt.Fprint(&b, s.now, s.era, s.revision, s.config, ms.sequence, ms.restores, formatHistory(s.history))
	for _, o := range s.list(Upstreams) {
		fmt.Fprint(&b, *o.Upstream)
	}
	if c := s.backup; c != nil {
		fmt.Fprint(&b, c.revision, c.config, len(c.registrations), formatHistory(c.history))
	}
	fmt.Fprint(&b, si.watches, si.lastVersion, si.lastSequence, si.removed, si.state.tombstones, si.state.syncStatuses(s.now))
	for _, u := range si.state.upstreams {
		fmt.Fprint(&b, *u)
	}
	return b.String()
}

// formatHistory describes changes of the store.
func formatHistory(all []storeChange) (texts []string) {
	for _, h := range all {
		texts = append(texts, fmt.Sprint(h.revision, h.kind, formatObjects([]Object{h.object})))
	}
	return texts
}

// transitions returns what can happen next, by name. The order of the names affects
// the number of states visited.
func (ms *modelState) transitions() map[string]func(ms *modelState) {
	nextSequence := func(ms *modelState) func() uint64 { return func() uint64 { ms.sequence++; return ms.sequence } }
	all := map[string]func(ms *modelState){
		"register upstream": func(ms *modelState) {
			ms.simulation.write(Upstreams, upstreamObject("u", withSequence(nextSequence(ms)())))
		},
		"change configuration": func(ms *modelState) {
			ms.simulation.write(Configs, configObject(ms.simulation.config+1))
		},
		"tick": func(ms *modelState) { ms.simulation.tick(noLoss) },
		"get upstreams": func(ms *modelState) {
			si := ms.simulation.instances[0]
			if at, on := si.watches[Upstreams]; on {
				ms.simulation.answerWatch(si, Upstreams, at, noLoss)
			}
		},
		"get configurations": func(ms *modelState) {
			si := ms.simulation.instances[0]
			if at, on := si.watches[Configs]; on {
				ms.simulation.answerWatch(si, Configs, at, noLoss)
			}
		},
		"create backup": func(ms *modelState) { ms.simulation.takeBackup() },
	}
	if u := ms.simulation.registrations["u"]; u != nil {
		all["expire registration"] = func(ms *modelState) { ms.simulation.write(Upstreams, deletedObject("u")) }
		if u.Draining {
			// A draining upstream does not become ready again in this incarnation.
			delete(all, "register upstream")
		} else {
			all["drain upstream"] = func(ms *modelState) {
				ms.simulation.write(Upstreams, upstreamObject("u", withSequence(nextSequence(ms)()), draining))
			}
		}
	}
	if ms.simulation.backup != nil && ms.restores < 2 {
		all["restore backup"] = func(ms *modelState) {
			ms.restores++
			ms.simulation.restore(nextSequence(ms))
		}
	}
	return all
}

// TestEveryInterleaving visits all orders of a few writes, backups, up to two
// restores, and answers of the store, for one instance. The instance must never
// revert to older state.
func TestEveryInterleaving(t *testing.T) {
	const depth, states = 6, 54829
	is := is.New(t)
	start := &modelState{simulation: newSimulation(1)}
	for range 4 {
		start.simulation.tick(noLoss)
	}
	// The backup has an upstream that the instance knows.
	start.transitions()["register upstream"](start)
	start.simulation.tick(noLoss)
	start.simulation.takeBackup()
	visited := map[string]bool{start.fingerprint(): true}
	level := []*modelState{start}
	for range depth {
		var next []*modelState
		for _, ms := range level {
			transitions := ms.transitions()
			for _, name := range slices.Sorted(maps.Keys(transitions)) {
				q := ms.clone()
				transitions[name](q)
				if fault := q.simulation.instances[0].checkMonotonic(); fault != "" {
					t.Fatalf("%s, after: %s", fault, name)
				}
				if k := q.fingerprint(); !visited[k] {
					visited[k] = true
					next = append(next, q)
				}
			}
		}
		level = next
	}
	is.Equal(len(visited), states) // states visited
}
