package steerer

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// listed and changed bring objects of an era.
func listed(at float64, k Kind, e, revision uint64, all ...Object) Event {
	return Listed{Now: second(at), Kind: k, Era: e, Revision: revision, Objects: all}
}

func changed(at float64, k Kind, e, revision uint64, all ...Object) Event {
	return Changed{Now: second(at), Kind: k, Era: e, Revision: revision, Objects: all}
}

func instance(i Instance) Object { return Object{Name: i.Name, Instance: &i} }

func coldUntil(at float64) func(*Upstream) { return func(u *Upstream) { u.ColdUntil = second(at) } }

// firstEra is an instance that knows all that the store has in its first era.
func firstEra(upstreams ...Object) []Event {
	return []Event{
		listed(0.1, Configs, 1, 100, config(9)),
		listed(0.1, Upstreams, 1, 100, upstreams...),
		listed(0.1, Evacuations, 1, 100),
		listed(0.1, Instances, 1, 100, instance(self()), instance(other("far", "b-1")), instance(other("near", "a-2"))),
	}
}

func heard(at float64, name string, edit ...func(*Beacon)) Event {
	b := Beacon{Name: name, Ready: true, Version: 9}
	for _, f := range edit {
		f(&b)
	}
	return BeaconReceived{Now: second(at), Beacon: b}
}

// eraScripts have a store that comes back from a copy, and upstreams that say that
// they leave.
func eraScripts() map[string][]Event {
	return map[string][]Event{
		"copy-does-not-take-back-what-was-seen": append(firstEra(server("u1", numbered(10)), server("u3", numbered(4)), server("u4", numbered(3)), server("u5", numbered(7), coldUntil(1))),
			changed(1, Upstreams, 1, 110, server("u2", numbered(1)), server("u3", numbered(5), draining), gone("u4")),
			changed(1, Configs, 1, 110, config(10)),
			listed(2, Configs, 2, 90, config(8)),
			listed(2, Upstreams, 2, 90, server("u1", numbered(8)), server("u3", numbered(4)), server("u4", numbered(3)), server("u5", numbered(7), coldUntil(4))),
			// The upstreams and the operator write again.
			changed(2.5, Upstreams, 2, 93, server("u2", numbered(2)), server("u3", numbered(6), draining)),
			changed(2.6, Configs, 2, 94, config(10)),
			changed(2.8, Upstreams, 2, 95, server("u4", numbered(9))),
			Tick{Now: second(4)},
		),
		"upstream-of-the-lost-seconds-is-held-for-a-while": append(firstEra(server("u1")),
			changed(1, Upstreams, 1, 110, server("u2", numbered(1)), server("u3", numbered(1))),
			listed(2, Upstreams, 2, 90, server("u1")),
			changed(2.5, Upstreams, 2, 91, server("u2", numbered(2))),
			listed(3, Upstreams, 2, 92, server("u1"), server("u2", numbered(2))),
			Tick{Now: second(3.8)},
			Tick{Now: second(4)},
			// Back after it had been given up.
			changed(5, Upstreams, 2, 95, server("u3", numbered(1))),
		),
		"id-is-used-again-after-the-copy": append(firstEra(server("u1", numbered(8))),
			changed(1, Upstreams, 1, 110, gone("u1")),
			listed(2, Upstreams, 2, 90, server("u1", numbered(8))),
			changed(3, Upstreams, 2, 91, server("u1", reborn, numbered(1))),
			listed(4, Upstreams, 3, 80, server("u1", numbered(8))),
		),
		"evacuation-is-held-until-it-is-written-again": append(firstEra(server("u1"), server("u2", in("b-1"))),
			changed(1, Evacuations, 1, 110, Object{Name: "b-1"}),
			listed(2, Evacuations, 2, 90),
			Tick{Now: second(3)},
			changed(4, Evacuations, 2, 92, Object{Name: "b-1"}),
			Tick{Now: second(9)},
			changed(10, Evacuations, 2, 95, gone("b-1")),
		),
		"evacuation-that-is-not-written-again-ends": append(firstEra(server("u1"), server("u2", in("b-1"))),
			changed(1, Evacuations, 1, 110, Object{Name: "b-1"}),
			listed(2, Evacuations, 2, 90),
			listed(3, Evacuations, 2, 91),
			ChangesRequested{Now: second(3.5), RequestID: 1, Kind: Evacuations, Era: 2, After: 0},
			Tick{Now: second(6.9)},
			Tick{Now: second(7)},
		),
		"two-returns-within-a-second": append(firstEra(server("u1", numbered(5)), server("u2", numbered(5))),
			changed(1, Upstreams, 1, 110, server("u2", numbered(6), draining)),
			listed(2, Upstreams, 2, 90, server("u1", numbered(5)), server("u2", numbered(5))),
			listed(2.5, Upstreams, 3, 70),
			changed(3, Upstreams, 3, 75, server("u1", numbered(6))),
			changed(3.5, Upstreams, 2, 99, gone("u1")),
			Tick{Now: second(4.5)},
		),
		"answers-of-an-earlier-era-change-nothing": append(firstEra(server("u1", numbered(5))),
			listed(2, Upstreams, 2, 90, server("u1", numbered(6))),
			changed(2.1, Upstreams, 1, 300, gone("u1")),
			Listed{Now: second(2.2), Kind: Upstreams, Era: 1, Revision: 300, Stale: true},
			Fetched{Now: second(2.3), Kind: Upstreams, From: "near", Era: 1, Revision: 300, Whole: true},
			// Changes of a later era do not go on from what is known.
			changed(2.4, Upstreams, 3, 95, gone("u1")),
			Fetched{Now: second(2.5), Kind: Upstreams, From: "near", Era: 3, Revision: 95, Objects: []Object{gone("u1")}},
			ChangesRequested{Now: second(2.6), RequestID: 1, Kind: Upstreams, Era: 1, After: 90},
			ChangesRequested{Now: second(2.7), RequestID: 2, Kind: Upstreams, Era: 2, After: 90},
		),
		"instance-registers-again-once": append(firstEra(),
			heard(1.9, "near"),
			listed(2, Instances, 2, 90, instance(other("near", "a-2"))),
			Tick{Now: second(2.1)},
			Tick{Now: second(4)},
			Tick{Now: second(4.1)},
			changed(4.5, Instances, 2, 95, instance(self())),
			// Lost once more.
			changed(5, Instances, 2, 96, gone("self")),
			Tick{Now: second(7)},
		),
		"instances-that-are-heard-count-without-registration": append(firstEra(),
			heard(1.9, "near"), heard(1.9, "far"),
			listed(2, Instances, 2, 90, instance(self()), instance(other("gone", "a-2"))),
			Tick{Now: second(3)},
			heard(11, "near"),
			Tick{Now: second(12)},
			heard(13, "near"),
		),
		"copy-has-an-old-address-of-an-instance": append(firstEra(),
			heard(1.9, "near"),
			listed(2, Instances, 2, 90, instance(self()), instance(Instance{Name: "near", Front: "old:80", Beacon: "old:70", Domain: "a-2", Region: "a"}), instance(other("far", "b-1"))),
			heard(2.2, "near"),
		),
		"instance-moves-shortly-after-a-return": append(firstEra(),
			heard(1.9, "near"),
			listed(2, Instances, 2, 90, instance(self()), instance(other("near", "a-2")), instance(other("far", "b-1"))),
			heard(2.9, "near"),
			changed(3, Instances, 2, 95, instance(Instance{Name: "near", Front: "new:80", Beacon: "new:70", Domain: "a-2", Region: "a"})),
			heard(3.1, "near"),
		),
		"starting-instance-learns-a-lost-configuration": {
			listed(0.1, Configs, 2, 90, config(8)),
			listed(0.1, Upstreams, 2, 90),
			listed(0.1, Evacuations, 2, 90),
			listed(0.1, Instances, 2, 90, instance(other("near", "a-2"))),
			heard(0.3, "near"),
			heard(0.8, "near"),
			Fetched{Now: second(0.9), Kind: Configs, From: "near", Era: 1, Revision: 120, Whole: true, Objects: []Object{config(9)}},
			heard(1.3, "near"),
		},
		"upstream-that-has-said-it-leaves-gets-nothing": append(firstEra(server("u1", numbered(5)), server("u2")),
			UpstreamLeaving{Now: second(1), Incarnation: Incarnation{"u1", 1}},
			UpstreamLeaving{Now: second(1.1), Incarnation: Incarnation{"u1", 1}},
			Tick{Now: second(1.2)},
			changed(2, Upstreams, 1, 110, server("u1", numbered(6))),
			listed(3, Upstreams, 1, 120, server("u1", numbered(7)), server("u2")),
			changed(4, Evacuations, 1, 130, Object{Name: "a-1"}),
			changed(5, Evacuations, 1, 131, gone("a-1")),
			listed(6, Upstreams, 2, 90, server("u1", numbered(5)), server("u2")),
			changed(7, Upstreams, 2, 91, gone("u1")),
			changed(8, Upstreams, 2, 92, server("u1", numbered(9))),
			UpstreamLeaving{Now: second(8.1), Incarnation: Incarnation{"u2", 1}},
			changed(9, Upstreams, 2, 93, server("u1", reborn, numbered(1))),
		),
		"beacon-tells-of-an-upstream-that-leaves": append(firstEra(server("u1"), server("u2")),
			heard(1, "near", func(b *Beacon) { b.Leaving = []Incarnation{{"u1", 1}} }),
			Tick{Now: second(1.1)},
		),
		"instance-that-may-be-behind-confirms-nothing": append(firstEra(server("u1")),
			Resumed{Now: second(6)},
			ChangesRequested{Now: second(6.1), RequestID: 1, Kind: Upstreams, Era: 1, After: 100},
			changed(6.2, Upstreams, 1, 105, gone("u1")),
			ChangesRequested{Now: second(6.3), RequestID: 2, Kind: Upstreams, Era: 1, After: 100},
		),
	}
}

// TestDeparturesAreBounded remembers the latest of many upstreams that have left.
func TestTombstonesAreBounded(t *testing.T) {
	is := is.New(t)
	s := New(self(), false)
	for n := range 2 * maxDepartures {
		s, _ = Step(s, UpstreamLeaving{Now: int64(n + 1), Incarnation: Incarnation{fmt.Sprint("u", n), 1}})
	}
	is.Equal(len(s.departures), maxDepartures)
	is.True(s.departed(&Upstream{ID: fmt.Sprint("u", 2*maxDepartures-1), Born: 1}))
	is.True(len(s.hints(int64(2*maxDepartures))) <= maxHints)
}
