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

// takeBackup copies the contents of the store.
func (s *simulation) takeBackup() {
	s.backup = &simulation{
		revision: s.revision, config: s.config, registrations: maps.Clone(s.registrations),
		history: slices.Clone(s.history), registered: maps.Clone(s.registered),
	}
}

// restore restores the store from the backup, in a new era. The returned function
// repeats the lost writes, as the operator and the upstreams do some time later.
func (s *simulation) restore(nextSequence func() uint64) (rewrite func()) {
	c, before := s.backup, maps.Clone(s.registrations)
	version := s.config
	s.era++
	s.revision, s.config, s.registrations, s.history, s.registered = c.revision, c.config, maps.Clone(c.registrations), slices.Clone(c.history), maps.Clone(c.registered)
	return func() {
		if s.config < version {
			s.write(Configs, configObject(version))
		}
		for _, name := range slices.Sorted(maps.Keys(before)) {
			u := *before[name]
			if now := s.registrations[name]; now != nil && now.Sequence > u.Sequence {
				continue
			}
			u.Sequence = nextSequence()
			s.write(Upstreams, Object{Name: name, Upstream: &u})
		}
		for _, name := range slices.Sorted(maps.Keys(c.registrations)) {
			if now := s.registrations[name]; before[name] == nil && now != nil && now.Sequence == c.registrations[name].Sequence {
				s.write(Upstreams, deletedObject(name))
			}
		}
	}
}

// checkMonotonic checks that an instance never reverts to an older configuration,
// to an older registration, or, without a newer registration, to an upstream that
// it has stopped using. It returns a description of the fault, if any.
func (si *simInstance) checkMonotonic() string {
	if c := si.view.Config; c != nil {
		if c.Version < si.lastVersion {
			return fmt.Sprintf("%s reverts from version %d to %d", si.state.Self.Name, si.lastVersion, c.Version)
		}
		si.lastVersion = c.Version
	}
	used := map[string]bool{}
	for _, u := range si.view.Upstreams {
		used[u.ID] = true
		switch last, ok := si.lastSequence[u.ID]; {
		case ok && u.Sequence < last:
			return fmt.Sprintf("%s uses registration %d of %s after %d", si.state.Self.Name, u.Sequence, u.ID, last)
		case ok && si.removed[u.ID] && u.Sequence == last:
			return fmt.Sprintf("%s uses %s again without a newer registration", si.state.Self.Name, u.ID)
		}
		si.lastSequence[u.ID], si.removed[u.ID] = u.Sequence, false
	}
	for name := range si.lastSequence {
		si.removed[name] = si.removed[name] || !used[name]
	}
	return ""
}

// TestStoreRestores restores the store from a backup, once or more, while instances
// are paused or disconnected from the store and messages are lost. No instance may
// ever revert to older state. Once the lost writes have been repeated and no more
// messages are lost, all instances must agree with the store, and the store must
// have all of them.
func TestStoreRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.SampledFrom([]int{1, 3, 18}).Draw(t, "instances"))
		s.takeBackup()
		sequence := uint64(0)
		nextSequence := func() uint64 { sequence++; return sequence }
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		lossy := rapid.Bool().Draw(t, "lossy")
		drop := func() bool { return lossy && random.IntN(10) < 3 }
		var rewrites []func()
		rewriteAll := func() {
			for _, f := range rewrites {
				f()
			}
			rewrites = nil
		}
		for range rapid.IntRange(10, 60).Draw(t, "ticks") {
			name := fmt.Sprint("u", rapid.IntRange(0, 4).Draw(t, "upstream"))
			si := s.instances[rapid.IntRange(0, len(s.instances)-1).Draw(t, "instance")]
			switch rapid.IntRange(0, 11).Draw(t, "action") {
			case 0:
				s.write(Configs, configObject(s.config+1))
			case 1:
				if s.registrations[name] != nil {
					s.write(Upstreams, deletedObject(name))
				}
			case 2:
				if s.registrations[name] != nil {
					s.write(Upstreams, upstreamObject(name, withSequence(nextSequence()), draining))
				}
			case 3, 4:
				if u := s.registrations[name]; u == nil || !u.Draining {
					s.write(Upstreams, upstreamObject(name, withSequence(nextSequence())))
				}
			case 5:
				si.paused = !si.paused
			case 6:
				si.disconnected = !si.disconnected
			case 7:
				if len(rewrites) == 0 {
					s.takeBackup()
				}
			case 8:
				rewrites = append(rewrites, s.restore(nextSequence))
			case 9:
				rewriteAll()
			}
			s.tick(drop)
			for _, si := range s.instances {
				if fault := si.checkMonotonic(); fault != "" {
					t.Fatal(fault)
				}
			}
		}
		rewriteAll()
		lossy = false
		for _, si := range s.instances {
			si.paused, si.disconnected = false, false
		}
		checkConverged(t, s, 8*time.Second)
		for _, si := range s.instances {
			if !s.registered[si.state.Self.Name] {
				t.Fatalf("%s is not in the store", si.state.Self.Name)
			}
		}
	})
}
