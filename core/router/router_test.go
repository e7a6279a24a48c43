package router

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"hornbeamstream.example/core/granter"
	"hornbeamstream.example/core/loader"
	"hornbeamstream.example/core/observer"
)

var testNow = time.Unix(1_800_000_000, 0)

// twoRegions is a deployment with two regions of one domain each.
func twoRegions() *loader.State {
	return &loader.State{
		Version: 3,
		Regions: map[string]loader.Region{"akl": {}, "wlg": {}},
		Domains: map[string]loader.Domain{
			"akl-a": {Region: "akl", Instances: 2}, "wlg-a": {Region: "wlg", Instances: 2},
		},
		Links: map[string]loader.Link{
			"akl/wlg": {Capacity: 1 << 29, Delay: 20}, "wlg/akl": {Capacity: 1 << 29, Delay: 20},
		},
		Services: map[string]loader.Service{
			"timetable": {Limit: 2000, Priority: 1}, "booking": {Limit: 2000, Once: true},
		},
		Upstreams: map[string]loader.Upstream{
			"t1": {Service: "timetable", Domain: "akl-a", Address: "127.0.0.1:1", Slots: 4, Conns: 9},
			"t2": {Service: "timetable", Domain: "wlg-a", Address: "127.0.0.1:2", Slots: 4, Conns: 9},
		},
		Policies: map[string]loader.Policy{"main": {Headroom: 0.2, Reserve: 0.1}},
	}
}

func member(name, domain string) granter.Member {
	return granter.Member{Name: name, Domain: domain, Data: name + ":1"}
}

func testInput() Input {
	return Input{
		Now: testNow, Config: twoRegions(), Self: "i1", Domain: "akl-a", Region: "akl",
		Holdings: granter.Holdings{
			Parts:    []granter.Part{{Upstream: "t1", Slots: 4}},
			Quotas:   []granter.Quota{{Name: "shift/timetable", Rate: 100}},
			Deadline: testNow.Add(3 * time.Second),
		},
		Views: []granter.View{
			{
				Domain: "akl-a", Members: []granter.Member{member("i1", "akl-a"), member("i2", "akl-a")},
				Holdings: []granter.Holding{{Part: granter.Part{Upstream: "t1", Slots: 4}, Holder: "i1"}},
			},
			{
				Domain: "wlg-a", Members: []granter.Member{member("i3", "wlg-a")},
				Holdings: []granter.Holding{{Part: granter.Part{Upstream: "t2", Slots: 4}, Holder: "i3"}},
			},
		},
	}
}

func request(t *Table, hash uint64) *Request {
	return &Request{
		Service: t.Services["timetable"], Region: "akl", Hash: hash,
		Deadline: testNow.Add(time.Second).UnixNano(),
	}
}

func TestOwnGatesComeFirstAndPeersFollow(t *testing.T) {
	is := is.New(t)
	b := Build(testInput())
	now := testNow.UnixNano()
	is.Equal(b.Services["timetable"].Peers[0].Name, "i3")
	b.Services["timetable"].Peers[0].Credits["timetable"].Set(4, now)
	for i := range 4 {
		c, r := b.Choose(request(b, uint64(i)), now, nil)
		is.Equal(r, Placed)
		is.Equal(c.Target.Upstream, "t1")
	}
	is.Equal(b.Free("timetable", now), 0)
	c, r := b.Choose(request(b, 9), now, nil)
	is.Equal(r, Placed)
	is.Equal(c.Peer.Name, "i3")
	is.True(c.Link != nil)
	q := request(b, 10)
	q.Hop = true
	_, r = b.Choose(q, now, nil)
	is.Equal(r, Full)
}

func TestRebuildKeepsInFlightCounts(t *testing.T) {
	is := is.New(t)
	in := testInput()
	b := Build(in)
	now := testNow.UnixNano()
	c, _ := b.Choose(request(b, 1), now, nil)
	in.Previous, in.Holdings.Parts = b, nil
	b = Build(in)
	is.Equal(b.Busy(), []granter.Part{{Upstream: "t1", Slots: 1}})
	is.True(!c.Target.Gate.Acquire(now))
	in.Previous = b
	b = Build(in)
	is.Equal(len(b.Busy()), 1)
	c.Target.Gate.Release()
	is.Equal(len(b.Busy()), 0)
	in.Previous = b
	is.Equal(len(Build(in).counters.gates), 0)
}

func TestReserveAndPartsStayWithinSlots(t *testing.T) {
	for _, c := range []struct {
		part, reserve, limit int
		want                 string
	}{
		{4, 0, 4, "[4]"},
		{3, 1, 4, "[3 1]"},
		{4, 1, 4, "[3 1]"},
		{3, 1, 1, "[1 0]"},
		{3, 1, 0, "[0 0]"},
		{0, 1, 4, "[1]"},
		{2, 0, 1, "[1]"},
		{0, 1, 1, "[1]"},
	} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			is := is.New(t)
			in := testInput()
			in.Holdings.Parts = nil
			if c.part > 0 {
				in.Holdings.Parts = []granter.Part{{Upstream: "t1", Slots: c.part}}
			}
			if c.reserve > 0 {
				in.Holdings.Reserve = []granter.Reserve{{Member: "i1", Upstream: "t1", Slots: c.reserve}}
			}
			in.Verdicts = []observer.Verdict{{Upstream: "t1", Limit: c.limit}}
			var got []int
			for _, g := range Build(in).Services["timetable"].Targets {
				got = append(got, g.Gate.Limit())
			}
			is.Equal(fmt.Sprint(got), c.want)
		})
	}
}

func TestRenewMovesDeadlines(t *testing.T) {
	is := is.New(t)
	in := testInput()
	b := Build(in)
	later := testNow.Add(4 * time.Second)
	_, r := b.Choose(lateRequest(b, later), later.UnixNano(), nil)
	is.Equal(r, Full)
	h := in.Holdings
	h.Deadline = later.Add(time.Second)
	is.True(b.Renew(h))
	_, r = b.Choose(lateRequest(b, later), later.UnixNano(), nil)
	is.Equal(r, Placed)
	h.Parts = nil
	is.True(!b.Renew(h))
}

// lateRequest can only be placed on own gates: it has no time for a peer.
func lateRequest(t *Table, at time.Time) *Request {
	q := request(t, 1)
	q.Deadline = at.Add(time.Millisecond).UnixNano()
	q.Hop = true
	return q
}

func TestRefusals(t *testing.T) {
	for _, c := range []struct {
		name string
		edit func(in *Input, q *Request)
		want Reason
	}{
		{"deadline passed", func(_ *Input, q *Request) { q.Deadline = testNow.UnixNano() }, TooLate},
		{"too far away", func(in *Input, q *Request) {
			in.Holdings.Parts = nil
			q.Deadline = testNow.Add(40 * time.Millisecond).UnixNano()
		}, TooLate},
		{"upstream too slow", func(in *Input, q *Request) {
			in.Verdicts = []observer.Verdict{{Upstream: "t1", Limit: 4, Latency: 32 * time.Millisecond}}
			q.Deadline = testNow.Add(32 * time.Millisecond).UnixNano()
		}, TooLate},
		{"no upstream", func(in *Input, _ *Request) {
			in.Holdings.Parts = nil
			in.Views = nil
		}, NoUpstream},
		{"regions drained", func(in *Input, _ *Request) {
			in.Config.Drains = map[string]loader.Drain{"region/akl": {}, "domain/wlg-a": {Until: testNow.Add(time.Hour)}}
		}, Full},
		{"drain ended", func(in *Input, _ *Request) {
			in.Config.Drains = map[string]loader.Drain{"region/akl": {Until: testNow}}
		}, Placed},
		{"weight excludes the only region", func(in *Input, _ *Request) {
			in.Views = in.Views[:1]
			in.Config.Weights = map[string]loader.Weight{"timetable/akl": {Shares: map[string]float64{"akl": 0, "wlg": 1}}}
		}, Full},
	} {
		t.Run(c.name, func(t *testing.T) {
			in, q := testInput(), &Request{Region: "akl", Deadline: testNow.Add(time.Second).UnixNano()}
			c.edit(&in, q)
			b := Build(in)
			q.Service = b.Services["timetable"]
			_, r := b.Choose(q, testNow.UnixNano(), nil)
			is.New(t).Equal(r, c.want)
		})
	}
}

func TestRetryAvoidsTriedPlacesAcrossTables(t *testing.T) {
	is := is.New(t)
	in := testInput()
	b := Build(in)
	now := testNow.UnixNano()
	var tried Tried
	c, _ := b.Choose(request(b, 1), now, &tried)
	tried.Add(c)
	in.Previous = b
	b = Build(in)
	c, _ = b.Choose(request(b, 1), now, &tried)
	is.Equal(c.Peer.Name, "i3")
	tried.Add(c)
	_, r := b.Choose(request(b, 1), now, &tried)
	is.Equal(r, Full)
}

func TestLoweredPriorityLeavesSlots(t *testing.T) {
	is := is.New(t)
	b := Build(testInput())
	q := request(b, 1)
	q.Hop, q.Priority = true, 9
	_, r := b.Choose(q, testNow.UnixNano(), nil)
	is.Equal(r, Full) // priority 9 of a service with 1 leaves eight slots in ten
	q.Priority = 4
	for range 2 {
		_, r = b.Choose(q, testNow.UnixNano(), nil)
		is.Equal(r, Placed)
	}
	_, r = b.Choose(q, testNow.UnixNano(), nil)
	is.Equal(r, Full)
}

func TestBulkKeepsOffBusyLinks(t *testing.T) {
	is := is.New(t)
	in := testInput()
	s := in.Config.Services["timetable"]
	s.Bulk = true
	in.Config.Services["timetable"] = s
	in.Holdings.Parts = nil
	b := Build(in)
	now := testNow.UnixNano()
	c, _ := b.Choose(request(b, 1), now, nil)
	is.True(c.Link != nil)
	c.Link.Charge(now, 1<<29, true)
	c.Peer.Credits["timetable"].Set(4, now)
	_, r := b.Choose(request(b, 2), now, nil)
	is.Equal(r, Full)
}

func TestOnceRequestsMeetTheSameOwner(t *testing.T) {
	is := is.New(t)
	now := testNow.UnixNano()
	owners := map[uint64]string{}
	spread := map[string]bool{}
	for _, instance := range []int{0, 3, 6} { // all of region 0
		b := Build(kasa.input(instance))
		for _, p := range b.Services["posting"].Peers {
			p.Credits["posting"].Set(1000, now)
		}
		for hash := range uint64(50) {
			q := &Request{Service: b.Services["posting"], Region: "r0", Hash: mix(hash), Deadline: now + 1e9}
			c, r := b.Choose(q, now, nil)
			is.Equal(r, Placed)
			owner := b.Self
			if c.Peer != nil {
				owner = c.Peer.Name
			} else {
				c.Target.Gate.Release()
			}
			if owners[hash] == "" {
				owners[hash] = owner
			}
			is.Equal(owners[hash], owner)
			spread[owner] = true
		}
	}
	is.True(len(spread) > 1)
}

func TestWeightsDivideRequests(t *testing.T) {
	is := is.New(t)
	in := testInput()
	in.Config.Weights = map[string]loader.Weight{"timetable/akl": {Shares: map[string]float64{"akl": 0.25, "wlg": 0.75}}}
	b := Build(in)
	now := testNow.UnixNano()
	own := 0
	for hash := range uint64(2000) {
		b.Services["timetable"].Peers[0].Credits["timetable"].Set(4, now)
		c, r := b.Choose(request(b, mix(hash*weightSeed)), now, nil)
		is.Equal(r, Placed)
		if c.Target != nil {
			c.Target.Gate.Release()
			own++
		}
	}
	is.True(own > 400 && own < 600)
}

// Guards against a shift above its cap, before its start, or without a grant,
// whatever the order of rebuilds and renewals.
func TestShiftStaysBelowItsCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := testInput()
		rate := rapid.IntRange(0, 40).Draw(t, "rate")
		in.Holdings.Quotas = []granter.Quota{{Name: "shift/timetable", Rate: float64(rate)}}
		in.Config.Shifts = map[string]loader.Shift{"timetable": {
			From: "akl", To: "wlg", Share: 0.5, Cap: 30,
			Start: testNow.Add(time.Second), Finish: testNow.Add(3 * time.Second),
		}}
		b, now := Build(in), testNow
		var moved []time.Time
		for range 600 {
			now = now.Add(time.Duration(rapid.IntRange(0, 12).Draw(t, "gap")) * time.Millisecond)
			switch rapid.IntRange(0, 40).Draw(t, "event") {
			case 0:
				in.Previous, in.Holdings.Deadline = b, now.Add(3*time.Second)
				b = Build(in)
			case 1:
				h := in.Holdings
				h.Deadline = now.Add(3 * time.Second)
				b.Renew(h)
			}
			b.Services["timetable"].Peers[0].Credits["timetable"].Set(4, now.UnixNano())
			q := request(b, rapid.Uint64().Draw(t, "hash"))
			q.Deadline = now.Add(time.Second).UnixNano()
			c, _ := b.Choose(q, now.UnixNano(), nil)
			if c.Target != nil {
				c.Target.Gate.Release()
			}
			if c.Shifted != (c.Peer != nil) {
				t.Fatalf("moved without a token")
			}
			if !c.Shifted {
				continue
			}
			moved = append(moved, now)
			for now.Sub(moved[0]) >= time.Second {
				moved = moved[1:]
			}
			if len(moved) > min(rate, 30) || now.Before(testNow.Add(time.Second)) {
				t.Fatalf("%d moved in a second at %v", len(moved), now.Sub(testNow))
			}
		}
	})
}

// Guards against more requests in flight at an upstream than it has slots while
// parts, reserve, slots, verdicts and tables change.
func TestInFlightStaysWithinSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := testInput()
		var running []*Target
		for range 60 {
			slots := rapid.IntRange(1, 6).Draw(t, "slots")
			in.Config = twoRegions()
			u := in.Config.Upstreams["t1"]
			u.Slots = slots
			in.Config.Upstreams["t1"] = u
			in.Holdings.Parts = []granter.Part{{Upstream: "t1", Slots: rapid.IntRange(0, 6).Draw(t, "part")}}
			in.Holdings.Reserve = []granter.Reserve{{Member: "i1", Upstream: "t1", Slots: rapid.IntRange(0, 6).Draw(t, "reserve")}}
			in.Verdicts = []observer.Verdict{{Upstream: "t1", Limit: rapid.IntRange(0, 8).Draw(t, "limit")}}
			b := Build(in)
			in.Previous = b
			before := len(running)
			for i := range rapid.IntRange(0, 8).Draw(t, "requests") {
				if c, _ := b.Choose(request(b, uint64(i)), testNow.UnixNano(), nil); c.Target != nil {
					running = append(running, c.Target)
				}
			}
			if len(running) > max(before, slots) {
				t.Fatalf("%d in flight on %d slots", len(running), slots)
			}
			for range min(len(running), rapid.IntRange(0, 8).Draw(t, "ended")) {
				running[0].Gate.Release()
				running = running[1:]
			}
		}
	})
}

// Guards against peers that are taken over although the configuration, a drain
// or a view has changed.
func TestPeersAreReusedOnlyWhenUnchanged(t *testing.T) {
	for name, edit := range map[string]func(in *Input){
		"same":   func(*Input) {},
		"config": func(in *Input) { in.Config = twoRegions() },
		"view":   func(in *Input) { in.Views[1].Sequence++ },
		"drain":  func(in *Input) { in.Now = testNow.Add(time.Hour) },
		"own":    func(in *Input) { in.Holdings.Parts = nil },
	} {
		is := is.New(t)
		in := testInput()
		in.Config.Drains = map[string]loader.Drain{"upstream/t9": {Until: testNow.Add(time.Minute)}}
		in.Views[0].Epoch, in.Views[1].Epoch = 1, 1
		old := Build(in)
		in.Previous = old
		in.Views = append([]granter.View{}, in.Views...)
		edit(&in)
		is.Equal(Build(in).Services["timetable"].unknown == old.Services["timetable"].unknown, name == "same")
	}
}

func TestEntryKeepsRoomForHighPriority(t *testing.T) {
	is := is.New(t)
	in := testInput()
	b := Build(in)
	low, high := request(b, 1), request(b, 2)
	low.Priority, high.Service = 9, b.Services["booking"]
	now := testNow.UnixNano()
	n := 0
	for b.Enter(low, now) {
		n++
	}
	is.True(n > entryRequests/2 && n < entryRequests)
	is.True(b.Enter(high, now))
	in.Previous = b
	c := Build(in)
	is.True(!c.Enter(low, now))
	for range n + 1 {
		c.Exit()
	}
	is.True(c.Enter(low, now))
}
