package steerer

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// pauseScenarios are event sequences around a pause of the process by name.
func pauseScenarios() map[string][]Event {
	beacon := func(name string, at float64, revision uint64) Event {
		p := SyncStatus{Revision: revision, Age: 20}
		return BeaconReceived{Now: seconds(at), Beacon: Beacon{Name: name, Ready: true, Sync: map[Kind]SyncStatus{Configs: p, Upstreams: p, Evacuations: p}}}
	}
	return map[string][]Event{
		"answers-from-before-a-pause-confirm-nothing": append(startEvents(upstreamObject("u1"), upstreamObject("u2")),
			Tick{Now: seconds(1)},
			Resumed{Now: seconds(6)},
			beacon("near", 6.01, 0),
			Changed{Now: seconds(6.02), AskedAt: seconds(1), Kind: Configs},
			Changed{Now: seconds(6.02), AskedAt: seconds(1), Kind: Evacuations},
			Fetched{Now: seconds(6.03), AskedAt: seconds(0.9), Kind: Upstreams, From: "near", Revision: 1},
			Tick{Now: seconds(6.1)},
			Changed{Now: seconds(6.2), AskedAt: seconds(6), Kind: Configs, Objects: []Object{configObject(9)}},
			Changed{Now: seconds(6.2), AskedAt: seconds(6), Kind: Upstreams, Objects: []Object{deletedObject("u1")}},
			Changed{Now: seconds(6.2), AskedAt: seconds(6), Kind: Evacuations},
		),
		"paused-instance-waits-while-calls-are-unanswered": append(startEvents(upstreamObject("u1")),
			Tick{Now: seconds(1)},
			Resumed{Now: seconds(6)},
			Tick{Now: seconds(7.1)},
			Tick{Now: seconds(8.9)},
			Tick{Now: seconds(9)},
		),
		"paused-instance-serves-what-it-knows-while-the-store-is-down": append(startEvents(upstreamObject("u1")),
			Tick{Now: seconds(1)},
			beacon("near", 1.1, 0),
			Resumed{Now: seconds(6)},
			StoreUnavailable{Now: seconds(6.1), AskedAt: seconds(2), Kind: Configs, Cause: "asked before the pause"},
			StoreUnavailable{Now: seconds(6.2), AskedAt: seconds(6), Kind: Configs, Cause: "refused"},
			Fetched{Now: seconds(6.3), AskedAt: seconds(6.2), Kind: Configs, From: "near", Revision: 8, Objects: []Object{configObject(9)}},
			StoreUnavailable{Now: seconds(6.3), AskedAt: seconds(6), Kind: Upstreams, Cause: "refused"},
			StoreUnavailable{Now: seconds(6.3), AskedAt: seconds(6), Kind: Evacuations, Cause: "refused"},
			Fetched{Now: seconds(6.9), AskedAt: seconds(6.3), Kind: Upstreams, From: "near"},
			Tick{Now: seconds(7.1)},
		),
		"paused-instance-of-a-large-system-asks-readers": append(largeSystemEvents(),
			beacon("i01", 1, 60),
			beacon("i00", 1.1, 60),
			Tick{Now: seconds(1.2)},
			Resumed{Now: seconds(6)},
			Fetched{Now: seconds(6.1), AskedAt: seconds(6), Kind: Upstreams, From: "i00", Revision: 72, Objects: []Object{deletedObject("u1")}},
			Fetched{Now: seconds(6.1), AskedAt: seconds(6), Kind: Evacuations, From: "i00", Revision: 72},
			Fetched{Now: seconds(6.7), AskedAt: seconds(6), Kind: Configs, From: "i00"},
			Fetched{Now: seconds(7.4), AskedAt: seconds(6.7), Kind: Configs, From: "i01"},
			Tick{Now: seconds(7.45)},
			Changed{Now: seconds(7.5), AskedAt: seconds(7.4), Kind: Configs, Revision: 73, Objects: []Object{configObject(9)}},
		),
	}
}

// delayed is an event that waited for an instance while it was paused.
type delayed struct {
	target *simInstance
	event  Event
}

// pause stops an instance. An answer to each of its watches is on its way.
func (s *simulation) pause(si *simInstance) (late []delayed) {
	si.paused = true
	for _, k := range Kinds {
		if _, on := si.watches[k]; on {
			late = append(late, delayed{si, Changed{Now: s.now, AskedAt: s.now, Kind: k, Era: s.era, Revision: si.state.sync[k].synced.Revision}})
		}
	}
	for _, to := range s.instances {
		if !to.paused && to != si {
			late = append(late, delayed{si, BeaconReceived{Now: s.now, Beacon: to.state.newBeacon(Beacon{Sync: to.state.syncStatuses(s.now)}), From: to.state.Self.Beacon}})
		}
	}
	return late
}

// resume lets an instance run again. What waited for it is read now.
func (s *simulation) resume(si *simInstance, late []delayed) {
	si.paused = false
	s.step(si, Resumed{Now: s.now}, noLoss)
	for _, d := range late {
		switch e := d.event.(type) {
		case Changed:
			e.Now = s.now
			s.step(si, e, noLoss)
		case BeaconReceived:
			e.Now = s.now
			s.step(si, e, noLoss)
		}
	}
}

// TestNoOutdatedViewAfterPause guards against instances that send requests by what they knew
// before a pause, because something that waited for them since then seemed to confirm it.
func TestNoOutdatedViewAfterPause(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.SampledFrom([]int{3, 18, 24}).Draw(t, "instances"))
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		late := map[*simInstance][]delayed{}
		// least is the version that an instance must know in order to be in use.
		least := map[*simInstance]uint64{}
		for range 20 {
			s.tick(noLoss)
		}
		for range rapid.IntRange(20, 80).Draw(t, "ticks") {
			before := s.config
			if random.IntN(4) == 0 {
				s.write(Configs, configObject(s.config+1))
			}
			si := s.instances[random.IntN(len(s.instances))]
			switch {
			case si.paused:
				least[si] = before
				s.resume(si, late[si])
			case random.IntN(3) == 0:
				late[si] = s.pause(si)
			}
			s.tick(noLoss)
			for _, si := range s.instances {
				if v := si.view; !si.paused && !v.Stale && v.Config.Version < least[si] {
					t.Fatalf("%s uses version %d, the store had %d when it was resumed", si.state.Self.Name, v.Config.Version, least[si])
				}
			}
		}
		for _, si := range s.instances {
			if si.paused {
				s.resume(si, late[si])
			}
		}
		checkConverged(t, s, 3*time.Second)
	})
}
