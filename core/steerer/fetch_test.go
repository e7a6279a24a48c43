package steerer

import "fmt"

// largeSystemEvents starts an instance in a system that is too large for every
// instance to watch the store.
func largeSystemEvents() []Event {
	var all []Object
	for i := range 20 {
		domain := "a-2"
		if i%2 == 1 {
			domain = "b-1"
		}
		all = append(all, Object{Name: fmt.Sprintf("i%02d", i), Instance: ptr(peerInstance(fmt.Sprintf("i%02d", i), domain))})
	}
	events := []Event{
		Tick{Now: seconds(0.05)},
		Listed{Now: seconds(0.1), Kind: Instances, Objects: all, Revision: 50},
	}
	for i := range 20 {
		b := Beacon{Name: fmt.Sprintf("i%02d", i), Ready: true}
		if i < 2 {
			at60 := SyncStatus{Revision: 60, Age: 10}
			b.Sync = map[Kind]SyncStatus{Configs: at60, Upstreams: at60, Evacuations: at60, Instances: at60}
		}
		events = append(events, BeaconReceived{Now: seconds(0.2), Beacon: b})
	}
	return append(events, Tick{Now: seconds(0.3)},
		Fetched{Now: seconds(0.31), Kind: Configs, From: "i00", Revision: 60, Whole: true, Objects: []Object{configObject(5)}},
		Fetched{Now: seconds(0.31), Kind: Upstreams, From: "i00", Revision: 60, Whole: true, Objects: []Object{upstreamObject("u1"), upstreamObject("u2")}},
		Fetched{Now: seconds(0.31), Kind: Evacuations, From: "i00", Revision: 60, Whole: true},
	)
}

// readerBeaconAt is a beacon of a reader with a sync status of the upstreams.
func readerBeaconAt(at float64, revision uint64, age int64) Event {
	return BeaconReceived{Now: seconds(at), Beacon: Beacon{Name: "i00", Ready: true, Sync: map[Kind]SyncStatus{Upstreams: {Revision: revision, Age: age}}}}
}

// changedBeaconAt is the same with the revision of the last change of the upstreams.
func changedBeaconAt(at float64, revision, changed uint64) Event {
	return BeaconReceived{Now: seconds(at), Beacon: Beacon{Name: "i00", Ready: true, Sync: map[Kind]SyncStatus{Upstreams: {Revision: revision, Changed: changed, Age: 10}}}}
}

// configBeaconAt is a beacon with a sync status of the configuration.
func configBeaconAt(at float64, revision, changed uint64) Event {
	return BeaconReceived{Now: seconds(at), Beacon: Beacon{Name: "near", Ready: true, Sync: map[Kind]SyncStatus{Configs: {Revision: revision, Changed: changed, Age: 10}}}}
}

// relayScenarios cover systems in which a few instances watch the store and the
// others fetch changes from them.
func relayScenarios() map[string][]Event {
	return map[string][]Event{
		"large-system-asks-readers": append(largeSystemEvents(),
			readerBeaconAt(0.8, 60, 300),
			readerBeaconAt(1.2, 64, 10),
			readerBeaconAt(1.3, 64, 110),
			Fetched{Now: seconds(1.4), Kind: Upstreams, From: "i00", Revision: 64, Objects: []Object{upstreamObject("u1", draining)}},
			readerBeaconAt(1.5, 64, 10),
		),
		"lost-answer-of-the-store-is-made-up-for-by-others": append(startEvents(upstreamObject("u1"), upstreamObject("u2")),
			Tick{Now: seconds(0.3)},
			BeaconReceived{Now: seconds(1), Beacon: Beacon{Name: "near", Ready: true, Sync: map[Kind]SyncStatus{Upstreams: {Revision: 7, Age: 9000}}}},
			BeaconReceived{Now: seconds(1.5), Beacon: Beacon{Name: "near", Ready: true, Sync: map[Kind]SyncStatus{Upstreams: {Revision: 7, Age: 9500}}}},
			Fetched{Now: seconds(1.6), Kind: Upstreams, From: "near", Revision: 7, Objects: []Object{deletedObject("u1")}},
			Changed{Now: seconds(1.7), Kind: Upstreams, Revision: 5, Objects: []Object{upstreamObject("u1")}},
			Changed{Now: seconds(1.8), Kind: Upstreams, Revision: 9, Objects: []Object{upstreamObject("u3")}},
		),
		"lost-question-is-repeated": append(largeSystemEvents(),
			readerBeaconAt(1.2, 64, 10),
			readerBeaconAt(1.6, 64, 10),
			Fetched{Now: seconds(1.7), Kind: Upstreams, From: "i00"},
			readerBeaconAt(1.8, 64, 10),
			readerBeaconAt(2.9, 64, 10),
		),
		"stale-readers-are-replaced": append(largeSystemEvents(),
			readerBeaconAt(1.0, 60, 0),
			readerBeaconAt(2.0, 60, 1000),
			Tick{Now: seconds(2.1)},
			Tick{Now: seconds(2.9)},
			Changed{Now: seconds(3), Kind: Upstreams, Revision: 70, Objects: []Object{deletedObject("u1")}},
			readerBeaconAt(3.2, 72, 5),
			Tick{Now: seconds(3.3)},
			readerBeaconAt(3.4, 72, 5),
		),
		"instance-that-cannot-ask-reads-itself": append(largeSystemEvents(),
			readerBeaconAt(1.2, 64, 10),
			Fetched{Now: seconds(1.9), Kind: Upstreams, From: "i00"},
			readerBeaconAt(2.1, 64, 10),
			Tick{Now: seconds(2.25)},
			Changed{Now: seconds(2.3), Kind: Upstreams, Revision: 64, Objects: []Object{deletedObject("u1")}},
			Tick{Now: seconds(2.4)},
		),
		"expiry-reported-by-a-reader-after-the-return": append(largeSystemEvents(),
			Fetched{Now: seconds(5), Kind: Upstreams, From: "i00", Revision: 80, StoreRecoveredAt: seconds(4.5), Objects: []Object{deletedObject("u1")}},
			Tick{Now: seconds(6)},
			Fetched{Now: seconds(6.1), Kind: Upstreams, From: "i00", Revision: 82, StoreRecoveredAt: seconds(4.5), Objects: []Object{upstreamObject("u1")}},
			Tick{Now: seconds(7)},
		),
		"answer-after-a-second-list-has-its-differences": append(startEvents(upstreamObject("u1"), upstreamObject("u2")),
			Changed{Now: seconds(1), Kind: Upstreams, Revision: 30, Objects: []Object{upstreamObject("u3")}},
			Listed{Now: seconds(2), Kind: Upstreams, Revision: 40, Objects: []Object{upstreamObject("u2")}},
			ChangesRequested{Now: seconds(3), RequestID: 1, Kind: Upstreams, After: 30},
		),
		"instance-between-two-lists-gets-what-has-changed": append(startEvents(upstreamObject("u1"), upstreamObject("u2")),
			Changed{Now: seconds(1), Kind: Upstreams, Revision: 30, Objects: []Object{upstreamObject("u3")}},
			Listed{Now: seconds(2), Kind: Upstreams, Revision: 40, Objects: []Object{upstreamObject("u2"), upstreamObject("u3"), upstreamObject("u4")}},
			ChangesRequested{Now: seconds(3), RequestID: 1, Kind: Upstreams, After: 35},
			Fetched{Now: seconds(4), Kind: Upstreams, From: "near", Revision: 50, Whole: true, Objects: []Object{{Name: "u2", Kept: true}, {Name: "u4", Kept: true}, upstreamObject("u5")}},
			Fetched{Now: seconds(5), Kind: Upstreams, From: "near", Revision: 60, Whole: true, Objects: []Object{{Name: "u2", Kept: true}, {Name: "u9", Kept: true}}},
		),
		"reader-that-knows-of-no-change-is-not-asked": append(largeSystemEvents(),
			changedBeaconAt(1, 64, 60),
			changedBeaconAt(1.2, 70, 66),
			Fetched{Now: seconds(1.3), Kind: Upstreams, From: "i00", Revision: 70, Objects: []Object{deletedObject("u1")}},
			changedBeaconAt(1.5, 90, 66),
			ChangesRequested{Now: seconds(1.6), RequestID: 1, Kind: Upstreams, After: 60},
		),
		"configuration-that-does-not-arrive-ends-the-use-of-the-old-one": append(startEvents(upstreamObject("u1")),
			Tick{Now: seconds(0.3)},
			configBeaconAt(1, 20, 18),
			Tick{Now: seconds(1.5)},
			configBeaconAt(1.5, 21, 18),
			Fetched{Now: seconds(2.2), Kind: Configs, From: "near"},
			Tick{Now: seconds(2.4)},
			Tick{Now: seconds(2.5)},
			configBeaconAt(2.6, 22, 18),
			Fetched{Now: seconds(2.7), Kind: Configs, From: "near", Revision: 22, Objects: []Object{configObject(9)}},
			Tick{Now: seconds(2.8)},
		),
		"answers-to-other-instances": append(startEvents(upstreamObject("u1"), upstreamObject("u2")),
			ChangesRequested{Now: seconds(0.5), RequestID: 1, Kind: Upstreams, After: 0},
			Changed{Now: seconds(1), Kind: Upstreams, Revision: 30, Objects: []Object{upstreamObject("u3")}},
			Changed{Now: seconds(2), Kind: Upstreams, Revision: 40, Objects: []Object{deletedObject("u1")}},
			ChangesRequested{Now: seconds(3), RequestID: 2, Kind: Upstreams, After: 30},
			ChangesRequested{Now: seconds(3), RequestID: 3, Kind: Upstreams, After: 40},
			ChangesRequested{Now: seconds(3), RequestID: 4, Kind: Configs, After: 0},
			ChangesRequested{Now: seconds(3), RequestID: 5, Kind: "unknown", After: 0},
		),
	}
}
