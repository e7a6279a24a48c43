package steerer

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"hornbeamstream.example/core/quarantiner"
)

// quarantineScenarios are event sequences by name, with requests that crash upstreams.
func quarantineScenarios() map[string][]Event {
	crash := func(at float64, upstream string) Event {
		return UpstreamCrashed{Now: seconds(at), Incarnation: Incarnation{upstream, 1}, Digest: 7}
	}
	quarantineObject := func(digest quarantiner.Digest) Object {
		return Object{Name: digest.String(), Quarantine: &Quarantine{[]uint32{1, 2, 3}}}
	}
	report := func(at float64, crashes ...quarantiner.ReportedCrash) Event {
		return BeaconReceived{Now: seconds(at), Beacon: Beacon{Name: "near", Ready: true, Crashes: []quarantiner.Report{{Digest: 7, Crashes: crashes}}}}
	}
	after := func(events ...Event) []Event { return append(startEvents(upstreamObject("u1")), events...) }
	quarantined := []Event{crash(1, "u1"), crash(1.5, "u2"), crash(2, "u3")}
	return map[string][]Event{
		"crashing-request-is-quarantined-and-stored": after(append(quarantined,
			Tick{Now: seconds(2.2)}, Tick{Now: seconds(2.8)}, // the third by name writes third
			Tick{Now: seconds(4)},
			Tick{Now: seconds(5)}, // repeated, as the answer may be lost
			Changed{Now: seconds(5.1), Kind: Quarantines, Objects: []Object{quarantineObject(7)}, Revision: 3},
			Tick{Now: seconds(8)},
		)...),
		"another-instance-stores-the-quarantine": after(append(quarantined,
			Changed{Now: seconds(2.1), Kind: Quarantines, Objects: []Object{quarantineObject(7)}, Revision: 3},
			Tick{Now: seconds(3)}, Tick{Now: seconds(5)},
		)...),
		"reports-of-other-instances-count": after(
			crash(1, "u1"),
			report(1.6, quarantiner.ReportedCrash{Upstream: 2, Age: 100}),
			report(2.1, quarantiner.ReportedCrash{Upstream: 2, Age: 600}, quarantiner.ReportedCrash{Upstream: 3, Age: 0}),
			BeaconReceived{Now: seconds(2.5), Beacon: Beacon{Name: "far", Crashes: []quarantiner.Report{{Digest: 7, Answered: true, AnswerAge: 50}}}},
		),
		"starting-instance-reads-quarantines": after(
			Listed{Now: seconds(0.3), Kind: Quarantines, Objects: []Object{quarantineObject(7), quarantineObject(8), {Name: "odd", Quarantine: &Quarantine{[]uint32{1, 2, 3}}}, {Name: quarantiner.Digest(9).String(), Quarantine: &Quarantine{[]uint32{1, 1, 1}}}}, Revision: 3},
			Changed{Now: seconds(1), Kind: Quarantines, Objects: []Object{deletedObject(quarantiner.Digest(8).String())}, Revision: 4},
			ChangesRequested{Now: seconds(1.5), RequestID: 1, Kind: Quarantines},
		),
		"answer-ends-the-quarantine": after(append(quarantined,
			Changed{Now: seconds(2.1), Kind: Quarantines, Objects: []Object{quarantineObject(7)}, Revision: 3},
			RequestAnswered{Now: seconds(3), Digest: 7},
			Tick{Now: seconds(3.8)},
			Listed{Now: seconds(4), Kind: Quarantines, Objects: []Object{quarantineObject(7)}, Revision: 4},
			Tick{Now: seconds(6)}, // repeated, as the answer may be lost
			Changed{Now: seconds(6.1), Kind: Quarantines, Objects: []Object{deletedObject(quarantiner.Digest(7).String())}, Revision: 5},
			RequestAnswered{Now: seconds(6.2), Digest: 11}, // was never suspected
		)...),
		"copy-lacks-a-quarantine": after(append(quarantined,
			Listed{Now: seconds(2.1), Kind: Quarantines, Objects: []Object{quarantineObject(7)}, Era: 1, Revision: 9},
			Listed{Now: seconds(3), Kind: Quarantines, Era: 2, Revision: 5},
			Tick{Now: seconds(4)},
			Changed{Now: seconds(4.1), Kind: Quarantines, Objects: []Object{quarantineObject(7)}, Era: 2, Revision: 6},
			Tick{Now: seconds(8)},
		)...),
		"quarantine-is-held-while-the-store-is-away": after(append(quarantined,
			StoreUnavailable{Now: seconds(2.1), Kind: Quarantines, Cause: "down"},
			Tick{Now: seconds(3)}, Tick{Now: seconds(9)},
			Changed{Now: seconds(10), Kind: Quarantines, Objects: []Object{quarantineObject(7)}, Revision: 3},
		)...),
	}
}

// TestCrashBeaconFitsIntoDatagram guards against beacons that are cut off on the way, and
// against too many of them, when many requests were in progress at ending upstreams.
func TestCrashBeaconFitsIntoDatagram(t *testing.T) {
	const maxBytes = 1200
	for _, peers := range []int{2, relayThreshold + 1} {
		is := is.New(t)
		s := New(self(), false)
		for _, e := range startEvents() {
			s, _ = Step(s, e)
		}
		for n := range peers - 2 {
			name := fmt.Sprint("p", n)
			s, _ = Step(s, Changed{Now: seconds(0.2), Kind: Instances, Objects: []Object{{Name: name, Instance: ptr(peerInstance(name, "a-2"))}}, Revision: uint64(3 + n)})
		}
		for n := range 400 {
			for k := range quarantiner.Threshold + 1 {
				s, _ = Step(s, UpstreamCrashed{Now: seconds(1 + 0.5*float64(k)), Incarnation: Incarnation{fmt.Sprint("u", n, k), 1}, Digest: quarantiner.Digest(1<<63 + uint64(n))})
			}
		}
		_, out := Step(s, Tick{Now: seconds(3)})
		beacons, reports := 0, 0
		for _, x := range out {
			if b, ok := x.(SendBeacon); ok {
				data, err := json.Marshal(b.Beacon)
				is.NoErr(err)
				is.True(len(data) <= maxBytes)
				beacons, reports = beacons+1, reports+len(b.Beacon.Crashes)
			}
		}
		want := maxReportBeacons
		if peers > relayThreshold {
			want = 1
		}
		is.Equal(beacons, 1+want)
		is.Equal(reports, want*maxReportsPerBeacon)
	}
}

// TestInstancesTakeTurns checks that the instances write a quarantine one after the other.
func TestInstancesTakeTurns(t *testing.T) {
	is := is.New(t)
	positions := map[int]bool{}
	for _, own := range []string{"a", "b", "c"} {
		s := New(peerInstance(own, "a-1"), false)
		for _, name := range []string{"a", "b", "c"} {
			s, _ = Step(s, Changed{Now: seconds(0.1), Kind: Instances, Objects: []Object{{Name: name, Instance: ptr(peerInstance(name, "a-1"))}}, Revision: 3})
		}
		position, instances := s.turn()
		positions[position] = true
		is.Equal(instances, 3)
	}
	is.Equal(len(positions), 3)
}
