package steerer

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// coldScenarios are event sequences by name, with upstreams that turn cold while the store
// is down.
func coldScenarios() map[string][]Event {
	near := BeaconReceived{Now: seconds(0.9), Beacon: Beacon{Name: "near", Ready: true}}
	return map[string][]Event{
		"cold-upstream-is-found-while-the-store-is-down": append(startEvents(upstreamObject("u1"), upstreamObject("u2"), upstreamObject("u3", draining)),
			Tick{Now: seconds(0.5)}, // not yet
			near,
			StoreUnavailable{Now: seconds(1), Kind: Upstreams, Cause: "down"},
			Tick{Now: seconds(1)},
			UpstreamCold{Now: seconds(1.05), Incarnation: Incarnation{"u1", 1}, Until: seconds(4)},
			Tick{Now: seconds(1.1)},
			UpstreamCold{Now: seconds(1.15), Incarnation: Incarnation{"u1", 1}, Until: seconds(4)}, // no news
			Tick{Now: seconds(1.6)},
			Listed{Now: seconds(2), Kind: Upstreams, Objects: []Object{upstreamObject("u1"), upstreamObject("u2")}},
			Tick{Now: seconds(2.5)}, // the store is back
			Tick{Now: seconds(5)},   // too old to report
		),
		"cold-upstream-of-another-instance": append(startEvents(upstreamObject("u1")),
			BeaconReceived{Now: seconds(1), Beacon: Beacon{Name: "near", Ready: true, Cold: []ColdReport{{Incarnation{"u1", 1}, 2000}, {Incarnation{"u2", 1}, -5}, {Incarnation{"u3", 1}, 1 << 62}}}},
		),
	}
}

// TestEveryUpstreamIsProbedOnce checks that each upstream is probed by one of the instances
// that hear each other, and by an instance that hears no other.
func TestEveryUpstreamIsProbedOnce(t *testing.T) {
	is := is.New(t)
	names := []string{"far", "near", "self"}
	var upstreams []Object
	for n := range 40 {
		upstreams = append(upstreams, upstreamObject(fmt.Sprint("u", n)))
	}
	probed := map[Incarnation]int{}
	for _, own := range append(names, "alone") {
		s := New(peerInstance(own, "a-1"), false)
		for _, e := range startEvents(upstreams...) {
			s, _ = Step(s, e)
		}
		s, _ = Step(s, Changed{Now: seconds(0.2), Kind: Instances, Objects: []Object{{Name: "self", Instance: ptr(self())}}, Revision: 1})
		for _, name := range names {
			if own != "alone" {
				s, _ = Step(s, BeaconReceived{Now: seconds(0.9), Beacon: Beacon{Name: name, Ready: true}})
			}
		}
		s, _ = Step(s, StoreUnavailable{Now: seconds(1), Kind: Upstreams})
		_, out := Step(s, Tick{Now: seconds(1)})
		for _, x := range out {
			if p, ok := x.(Probe); ok {
				for _, i := range p.Upstreams {
					probed[i]++
				}
			}
		}
	}
	is.Equal(len(probed), 40)
	for _, n := range probed {
		is.Equal(n, 2) // by one of three, and by the one that is alone
	}
}

// TestColdBeaconFitsIntoDatagram guards against beacons that are cut off on the way when
// many upstreams turn cold together.
func TestColdBeaconFitsIntoDatagram(t *testing.T) {
	is := is.New(t)
	s := New(self(), false)
	for _, e := range startEvents() {
		s, _ = Step(s, e)
	}
	for n := range 100 {
		s, _ = Step(s, UpstreamCold{Now: seconds(1), Incarnation: Incarnation{fmt.Sprintf("i-4f060b07%02d", n), 1767954779000}, Until: seconds(3000)})
	}
	reported := 0
	_, out := Step(s, Tick{Now: seconds(1.5)})
	for _, x := range out {
		if b, ok := x.(SendBeacon); ok {
			data, err := json.Marshal(b.Beacon)
			is.NoErr(err)
			is.True(len(data) <= 1200)
			reported += len(b.Beacon.Cold)
		}
	}
	is.Equal(reported, 100)
}
