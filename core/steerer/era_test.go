package steerer

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// listedAt and changedAt return events with objects of an era.
func listedAt(at float64, k Kind, e, revision uint64, all ...Object) Event {
	return Listed{Now: seconds(at), AskedAt: seconds(at - 0.1), Kind: k, Era: e, Revision: revision, Objects: all}
}

func changedAt(at float64, k Kind, e, revision uint64, all ...Object) Event {
	return Changed{Now: seconds(at), AskedAt: seconds(at - 0.1), Kind: k, Era: e, Revision: revision, Objects: all}
}

func instanceObject(i Instance) Object { return Object{Name: i.Name, Instance: &i} }

func withColdUntil(at float64) func(*Upstream) {
	return func(u *Upstream) { u.ColdUntil = seconds(at) }
}

// firstEraEvents lists all objects of the store in its first era.
func firstEraEvents(upstreams ...Object) []Event {
	return []Event{
		listedAt(0.1, Configs, 1, 100, configObject(9)),
		listedAt(0.1, Upstreams, 1, 100, upstreams...),
		listedAt(0.1, Evacuations, 1, 100),
		listedAt(0.1, Instances, 1, 100, instanceObject(self()), instanceObject(peerInstance("far", "b-1")), instanceObject(peerInstance("near", "a-2"))),
	}
}

func beaconAt(at float64, name string, edit ...func(*Beacon)) Event {
	b := Beacon{Name: name, Ready: true, Version: 9}
	for _, f := range edit {
		f(&b)
	}
	return BeaconReceived{Now: seconds(at), Beacon: b}
}

// eraScenarios cover a store that is restored from a backup, and upstreams that
// announce that they are leaving.
func eraScenarios() map[string][]Event {
	return map[string][]Event{
		"copy-does-not-take-back-what-was-seen": append(firstEraEvents(upstreamObject("u1", withSequence(10)), upstreamObject("u3", withSequence(4)), upstreamObject("u4", withSequence(3)), upstreamObject("u5", withSequence(7), withColdUntil(1))),
			changedAt(1, Upstreams, 1, 110, upstreamObject("u2", withSequence(1)), upstreamObject("u3", withSequence(5), draining), deletedObject("u4")),
			changedAt(1, Configs, 1, 110, configObject(10)),
			listedAt(2, Configs, 2, 90, configObject(8)),
			listedAt(2, Upstreams, 2, 90, upstreamObject("u1", withSequence(8)), upstreamObject("u3", withSequence(4)), upstreamObject("u4", withSequence(3)), upstreamObject("u5", withSequence(7), withColdUntil(4))),
			// The upstreams and the operator repeat their writes.
			changedAt(2.5, Upstreams, 2, 93, upstreamObject("u2", withSequence(2)), upstreamObject("u3", withSequence(6), draining)),
			changedAt(2.6, Configs, 2, 94, configObject(10)),
			changedAt(2.8, Upstreams, 2, 95, upstreamObject("u4", withSequence(9))),
			Tick{Now: seconds(4)},
		),
		"upstream-of-the-lost-seconds-is-held-for-a-while": append(firstEraEvents(upstreamObject("u1")),
			changedAt(1, Upstreams, 1, 110, upstreamObject("u2", withSequence(1)), upstreamObject("u3", withSequence(1))),
			listedAt(2, Upstreams, 2, 90, upstreamObject("u1")),
			changedAt(2.5, Upstreams, 2, 91, upstreamObject("u2", withSequence(2))),
			listedAt(3, Upstreams, 2, 92, upstreamObject("u1"), upstreamObject("u2", withSequence(2))),
			Tick{Now: seconds(3.8)},
			Tick{Now: seconds(4)},
			// It registers again after it was removed.
			changedAt(5, Upstreams, 2, 95, upstreamObject("u3", withSequence(1))),
		),
		"id-is-used-again-after-the-copy": append(firstEraEvents(upstreamObject("u1", withSequence(8))),
			changedAt(1, Upstreams, 1, 110, deletedObject("u1")),
			listedAt(2, Upstreams, 2, 90, upstreamObject("u1", withSequence(8))),
			changedAt(3, Upstreams, 2, 91, upstreamObject("u1", restarted, withSequence(1))),
			listedAt(4, Upstreams, 3, 80, upstreamObject("u1", withSequence(8))),
		),
		"evacuation-is-held-until-it-is-written-again": append(firstEraEvents(upstreamObject("u1"), upstreamObject("u2", inDomain("b-1"))),
			changedAt(1, Evacuations, 1, 110, Object{Name: "b-1"}),
			listedAt(2, Evacuations, 2, 90),
			Tick{Now: seconds(3)},
			changedAt(4, Evacuations, 2, 92, Object{Name: "b-1"}),
			Tick{Now: seconds(9)},
			changedAt(10, Evacuations, 2, 95, deletedObject("b-1")),
		),
		"evacuation-that-is-not-written-again-ends": append(firstEraEvents(upstreamObject("u1"), upstreamObject("u2", inDomain("b-1"))),
			changedAt(1, Evacuations, 1, 110, Object{Name: "b-1"}),
			listedAt(2, Evacuations, 2, 90),
			listedAt(3, Evacuations, 2, 91),
			ChangesRequested{Now: seconds(3.5), RequestID: 1, Kind: Evacuations, Era: 2, After: 0},
			Tick{Now: seconds(6.9)},
			Tick{Now: seconds(7)},
		),
		"two-returns-within-a-second": append(firstEraEvents(upstreamObject("u1", withSequence(5)), upstreamObject("u2", withSequence(5))),
			changedAt(1, Upstreams, 1, 110, upstreamObject("u2", withSequence(6), draining)),
			listedAt(2, Upstreams, 2, 90, upstreamObject("u1", withSequence(5)), upstreamObject("u2", withSequence(5))),
			listedAt(2.5, Upstreams, 3, 70),
			changedAt(3, Upstreams, 3, 75, upstreamObject("u1", withSequence(6))),
			changedAt(3.5, Upstreams, 2, 99, deletedObject("u1")),
			Tick{Now: seconds(4.5)},
		),
		"answers-of-an-earlier-era-change-nothing": append(firstEraEvents(upstreamObject("u1", withSequence(5))),
			listedAt(2, Upstreams, 2, 90, upstreamObject("u1", withSequence(6))),
			changedAt(2.1, Upstreams, 1, 300, deletedObject("u1")),
			Listed{Now: seconds(2.2), Kind: Upstreams, Era: 1, Revision: 300, Stale: true},
			Fetched{Now: seconds(2.3), Kind: Upstreams, From: "near", Era: 1, Revision: 300, Whole: true},
			// Changes of a later era cannot be applied to the state known here.
			changedAt(2.4, Upstreams, 3, 95, deletedObject("u1")),
			Fetched{Now: seconds(2.5), Kind: Upstreams, From: "near", Era: 3, Revision: 95, Objects: []Object{deletedObject("u1")}},
			ChangesRequested{Now: seconds(2.6), RequestID: 1, Kind: Upstreams, Era: 1, After: 90},
			ChangesRequested{Now: seconds(2.7), RequestID: 2, Kind: Upstreams, Era: 2, After: 90},
		),
		"instance-registers-again-once": append(firstEraEvents(),
			beaconAt(1.9, "near"),
			listedAt(2, Instances, 2, 90, instanceObject(peerInstance("near", "a-2"))),
			Tick{Now: seconds(2.1)},
			Tick{Now: seconds(4)},
			Tick{Now: seconds(4.1)},
			changedAt(4.5, Instances, 2, 95, instanceObject(self())),
			// The store loses the registration once more.
			changedAt(5, Instances, 2, 96, deletedObject("self")),
			Tick{Now: seconds(7)},
		),
		"instances-that-are-heard-count-without-registration": append(firstEraEvents(),
			beaconAt(1.9, "near"), beaconAt(1.9, "far"),
			listedAt(2, Instances, 2, 90, instanceObject(self()), instanceObject(peerInstance("gone", "a-2"))),
			Tick{Now: seconds(3)},
			beaconAt(11, "near"),
			Tick{Now: seconds(12)},
			beaconAt(13, "near"),
		),
		"copy-has-an-old-address-of-an-instance": append(firstEraEvents(),
			beaconAt(1.9, "near"),
			listedAt(2, Instances, 2, 90, instanceObject(self()), instanceObject(Instance{Name: "near", Front: "old:80", Beacon: "old:70", Domain: "a-2", Region: "a"}), instanceObject(peerInstance("far", "b-1"))),
			beaconAt(2.2, "near"),
		),
		"instance-moves-shortly-after-a-return": append(firstEraEvents(),
			beaconAt(1.9, "near"),
			listedAt(2, Instances, 2, 90, instanceObject(self()), instanceObject(peerInstance("near", "a-2")), instanceObject(peerInstance("far", "b-1"))),
			beaconAt(2.9, "near"),
			changedAt(3, Instances, 2, 95, instanceObject(Instance{Name: "near", Front: "new:80", Beacon: "new:70", Domain: "a-2", Region: "a"})),
			beaconAt(3.1, "near"),
		),
		"starting-instance-learns-a-lost-configuration": {
			listedAt(0.1, Configs, 2, 90, configObject(8)),
			listedAt(0.1, Upstreams, 2, 90),
			listedAt(0.1, Evacuations, 2, 90),
			listedAt(0.1, Instances, 2, 90, instanceObject(peerInstance("near", "a-2"))),
			beaconAt(0.3, "near"),
			beaconAt(0.8, "near"),
			Fetched{Now: seconds(0.9), Kind: Configs, From: "near", Era: 1, Revision: 120, Whole: true, Objects: []Object{configObject(9)}},
			beaconAt(1.3, "near"),
		},
		"upstream-that-has-said-it-leaves-gets-nothing": append(firstEraEvents(upstreamObject("u1", withSequence(5)), upstreamObject("u2")),
			UpstreamLeaving{Now: seconds(1), Incarnation: Incarnation{"u1", 1}},
			UpstreamLeaving{Now: seconds(1.1), Incarnation: Incarnation{"u1", 1}},
			Tick{Now: seconds(1.2)},
			changedAt(2, Upstreams, 1, 110, upstreamObject("u1", withSequence(6))),
			listedAt(3, Upstreams, 1, 120, upstreamObject("u1", withSequence(7)), upstreamObject("u2")),
			changedAt(4, Evacuations, 1, 130, Object{Name: "a-1"}),
			changedAt(5, Evacuations, 1, 131, deletedObject("a-1")),
			listedAt(6, Upstreams, 2, 90, upstreamObject("u1", withSequence(5)), upstreamObject("u2")),
			changedAt(7, Upstreams, 2, 91, deletedObject("u1")),
			changedAt(8, Upstreams, 2, 92, upstreamObject("u1", withSequence(9))),
			UpstreamLeaving{Now: seconds(8.1), Incarnation: Incarnation{"u2", 1}},
			changedAt(9, Upstreams, 2, 93, upstreamObject("u1", restarted, withSequence(1))),
		),
		"beacon-tells-of-an-upstream-that-leaves": append(firstEraEvents(upstreamObject("u1"), upstreamObject("u2")),
			beaconAt(1, "near", func(b *Beacon) { b.Leaving = []Incarnation{{"u1", 1}} }),
			Tick{Now: seconds(1.1)},
		),
		"instance-that-may-be-behind-confirms-nothing": append(firstEraEvents(upstreamObject("u1")),
			Resumed{Now: seconds(6)},
			ChangesRequested{Now: seconds(6.1), RequestID: 1, Kind: Upstreams, Era: 1, After: 100},
			changedAt(6.2, Upstreams, 1, 105, deletedObject("u1")),
			ChangesRequested{Now: seconds(6.3), RequestID: 2, Kind: Upstreams, Era: 1, After: 100},
		),
	}
}

// TestTombstonesAreBounded checks that the latest tombstones are kept when many
// upstreams leave.
func TestTombstonesAreBounded(t *testing.T) {
	is := is.New(t)
	s := New(self(), false)
	for n := range 2 * maxTombstones {
		s, _ = Step(s, UpstreamLeaving{Now: int64(n + 1), Incarnation: Incarnation{fmt.Sprint("u", n), 1}})
	}
	is.Equal(len(s.tombstones), maxTombstones)
	is.True(s.isTombstoned(&Upstream{ID: fmt.Sprint("u", 2*maxTombstones-1), Born: 1}))
	is.True(len(s.recentlyLeaving(int64(2*maxTombstones))) <= maxLeavingPerBeacon)
}
