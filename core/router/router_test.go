package router

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"hornbeamstream.example/core/granter"
	"hornbeamstream.example/core/loader"
	"hornbeamstream.example/core/observer"
)

// Property tests run with the same values every time.
func init() { _ = flag.Set("rapid.seed", "1") }

var (
	testNow = time.Unix(1_800_000_000, 0)
	nowNano = testNow.UnixNano()
	// pair has two regions of one domain; instance 0 holds lookup0, 1 lookup1.
	pair = fleet{2, 2, 3, 2, []string{"lookup", "posting", "statement"}, []int{4, 4, 4}, 0.2}
)

func pairInput() Input {
	in := pair.input(0)
	in.Holdings.Deadline = testNow.Add(3 * time.Second)
	return in
}

func request(t *Table, hash uint64) *Request {
	return &Request{
		Service: t.Services["lookup"], Region: "r0", Hash: hash, Deadline: nowNano + int64(time.Second),
	}
}

// report makes all peers report free slots.
func report(t *Table, service string, free int, now int64) {
	for _, p := range t.Services[service].Peers {
		p.Credits[service].Update(free, now)
	}
}

func TestOwnGatesComeFirstAndPeersFollow(t *testing.T) {
	is := is.New(t)
	b := Build(pairInput())
	report(b, "lookup", 4, nowNano)
	for i := range 4 {
		c, r := b.Choose(request(b, uint64(i)), nowNano, nil)
		is.Equal(r, OK)
		is.Equal(c.Target.Upstream, "lookup0")
	}
	is.Equal(b.FreeSlots("lookup", nowNano), 0)
	c, _ := b.Choose(request(b, 9), nowNano, nil)
	is.Equal(c.Peer.Name, "i1")
	is.True(c.Link != nil)
	q := request(b, 10)
	q.Forwarded = true
	_, r := b.Choose(q, nowNano, nil)
	is.Equal(r, NoFreeSlot)
}

func TestRebuildKeepsInFlightCounts(t *testing.T) {
	is := is.New(t)
	in := pairInput()
	b := Build(in)
	c, _ := b.Choose(request(b, 1), nowNano, nil)
	in.Holdings.Parts = nil
	for range 2 {
		in.Previous = b
		b = Build(in)
		is.Equal(b.InFlight(), []granter.Part{{Upstream: "lookup0", Slots: 1}})
		is.True(!c.Target.Gate.TryAcquire(nowNano))
	}
	c.Target.Gate.Release()
	is.Equal(len(b.InFlight()), 0)
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
		in := pairInput()
		in.Holdings.Parts = nil
		if c.part > 0 {
			in.Holdings.Parts = []granter.Part{{Upstream: "lookup0", Slots: c.part}}
		}
		if c.reserve > 0 {
			in.Holdings.Reserve = []granter.Reserve{{Member: "i0", Upstream: "lookup0", Slots: c.reserve}}
		}
		in.Verdicts = []observer.Verdict{{Upstream: "lookup0", Limit: c.limit}}
		var got []int
		for _, g := range Build(in).Services["lookup"].Targets {
			got = append(got, g.Gate.Limit())
		}
		is.New(t).Equal(fmt.Sprint(got), c.want)
	}
}

func TestRenewMovesDeadlines(t *testing.T) {
	is := is.New(t)
	in := pairInput()
	b := Build(in)
	later := nowNano + int64(4*time.Second)
	q := request(b, 1)
	q.Deadline, q.Forwarded = later+ms, true
	_, r := b.Choose(q, later, nil)
	is.Equal(r, NoFreeSlot)
	in.Holdings.Deadline = testNow.Add(5 * time.Second)
	is.True(b.Renew(in.Holdings))
	_, r = b.Choose(q, later, nil)
	is.Equal(r, OK)
	in.Holdings.Parts = nil
	is.True(!b.Renew(in.Holdings))
}

func TestReasons(t *testing.T) {
	for _, c := range []struct {
		name string
		edit func(in *Input, q *Request)
		want Reason
	}{
		{"deadline passed", func(_ *Input, q *Request) { q.Deadline = nowNano }, DeadlineExceeded},
		{"too far away", func(in *Input, q *Request) {
			in.Holdings.Parts = nil
			q.Deadline = nowNano + 40*ms
		}, DeadlineExceeded},
		{"upstream too slow", func(in *Input, q *Request) {
			in.Verdicts = []observer.Verdict{{Upstream: "lookup0", Limit: 4, Latency: 32 * time.Millisecond}}
			q.Deadline = nowNano + 32*ms
		}, DeadlineExceeded},
		{"no upstream", func(in *Input, _ *Request) { in.Holdings.Parts, in.Views = nil, nil }, NoUpstream},
		{"regions drained", func(in *Input, _ *Request) {
			in.Config.Drains = map[string]loader.Drain{"region/r0": {}, "domain/d1": {Until: testNow.Add(time.Hour)}}
		}, NoFreeSlot},
		{"drain ended", func(in *Input, _ *Request) {
			in.Config.Drains = map[string]loader.Drain{"region/r0": {Until: testNow}}
		}, OK},
		{"only region excluded by weight", func(in *Input, _ *Request) {
			in.Views = in.Views[:1]
			in.Config.Weights = map[string]loader.Weight{"lookup/r0": {Shares: map[string]float64{"r0": 0, "r1": 1}}}
		}, NoFreeSlot},
		{"priority 4 leaves four slots in ten", func(_ *Input, q *Request) { q.Forwarded, q.Priority = true, 4 }, OK},
		{"priority 9 leaves nine slots in ten", func(_ *Input, q *Request) { q.Forwarded, q.Priority = true, 9 }, NoFreeSlot},
	} {
		in, q := pairInput(), &Request{Region: "r0", Deadline: nowNano + int64(time.Second)}
		c.edit(&in, q)
		b := Build(in)
		q.Service = b.Services["lookup"]
		_, r := b.Choose(q, nowNano, nil)
		if r != c.want {
			t.Errorf("%s: %q", c.name, r)
		}
	}
}

func TestRetryAvoidsTriedPlacesAcrossTables(t *testing.T) {
	is := is.New(t)
	in := pairInput()
	b := Build(in)
	report(b, "lookup", 4, nowNano)
	var tried Tried
	c, _ := b.Choose(request(b, 1), nowNano, &tried)
	tried.Add(c)
	in.Previous = b
	b = Build(in)
	c, _ = b.Choose(request(b, 1), nowNano, &tried)
	is.Equal(c.Peer.Name, "i1")
	tried.Add(c)
	_, r := b.Choose(request(b, 1), nowNano, &tried)
	is.Equal(r, NoFreeSlot)
}

func TestBulkKeepsOffBusyLinks(t *testing.T) {
	is := is.New(t)
	in := pairInput()
	in.Holdings.Parts = nil
	b := Build(in)
	q := request(b, 1)
	q.Service = b.Services["statement"]
	c, _ := b.Choose(q, nowNano, nil)
	c.Link.Charge(nowNano, 1<<29, true)
	report(b, "statement", 4, nowNano)
	_, r := b.Choose(q, nowNano, nil)
	is.Equal(r, NoFreeSlot)
}

func TestOnceRequestsMeetTheSameOwner(t *testing.T) {
	is := is.New(t)
	owners, spread := map[uint64]string{}, map[string]bool{}
	for _, instance := range []int{0, 3, 6} { // all of region 0
		b := Build(kasa.input(instance))
		report(b, "posting", 1000, nowNano)
		for hash := range uint64(50) {
			q := &Request{Service: b.Services["posting"], Region: "r0", Hash: mix(hash), Deadline: nowNano + 1e9}
			c, r := b.Choose(q, nowNano, nil)
			is.Equal(r, OK)
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
	in := pairInput()
	in.Config.Weights = map[string]loader.Weight{"lookup/r0": {Shares: map[string]float64{"r0": 0.25, "r1": 0.75}}}
	b := Build(in)
	own := 0
	for hash := range uint64(2000) {
		report(b, "lookup", 4, nowNano)
		c, r := b.Choose(request(b, mix(hash*weightSeed)), nowNano, nil)
		is.Equal(r, OK)
		if c.Target != nil {
			c.Target.Gate.Release()
			own++
		}
	}
	is.True(own > 400 && own < 600)
}

// Guards against a shift above its cap, before its start, or without a token,
// whatever the order of rebuilds and renewals.
func TestShiftStaysBelowItsCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := pairInput()
		rate := rapid.IntRange(0, 40).Draw(t, "rate")
		in.Holdings.Quotas = []granter.Quota{{Name: "shift/lookup", Rate: float64(rate)}}
		in.Config.Shifts = map[string]loader.Shift{"lookup": {
			From: "r0", To: "r1", Share: 0.5, MaxRate: 30,
			Start: testNow.Add(time.Second), Finish: testNow.Add(3 * time.Second),
		}}
		b, now := Build(in), testNow
		var moved []time.Time
		var running []*Target
		for range 600 {
			now = now.Add(time.Duration(rapid.IntRange(0, 12).Draw(t, "gap")) * time.Millisecond)
			event := rapid.IntRange(0, 40).Draw(t, "event")
			if event < 2 {
				in.Holdings.Deadline = now.Add(3 * time.Second)
			}
			if event == 0 || event == 1 && !b.Renew(in.Holdings) {
				in.Previous = b
				b = Build(in)
			}
			report(b, "lookup", 4, now.UnixNano())
			q := request(b, rapid.Uint64().Draw(t, "hash"))
			q.Deadline = now.Add(time.Second).UnixNano()
			c, _ := b.Choose(q, now.UnixNano(), nil)
			if c.Target != nil {
				running = append(running, c.Target)
			}
			// At times all own slots are in use and requests spill over.
			for event > 5 && len(running) > 0 {
				running[0].Gate.Release()
				running = running[1:]
			}
			started := !now.Before(testNow.Add(time.Second))
			if c.Shifted != (c.Peer != nil && started) {
				t.Fatalf("moved without a token")
			}
			if c.ShiftCapped && (c.Shifted || !started) {
				t.Fatalf("kept back by the cap although moved or before the start")
			}
			if !c.Shifted {
				continue
			}
			moved = append(moved, now)
			for now.Sub(moved[0]) >= time.Second {
				moved = moved[1:]
			}
			if len(moved) > min(rate, 30) {
				t.Fatalf("%d moved in a second at %v", len(moved), now.Sub(testNow))
			}
		}
	})
}

// Guards against more requests in flight at an upstream than it has slots while
// parts, reserve, slots, verdicts and tables change.
func TestInFlightStaysWithinSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := pairInput()
		var running []*Target
		draw := func(least, most int, what string) int { return rapid.IntRange(least, most).Draw(t, what) }
		for range 60 {
			f := pair
			f.slots = []int{draw(1, 6, "slots"), 4, 4}
			in.Config = f.config()
			in.Holdings.Parts = []granter.Part{{Upstream: "lookup0", Slots: draw(0, 6, "part")}}
			in.Holdings.Reserve = []granter.Reserve{{Member: "i0", Upstream: "lookup0", Slots: draw(0, 6, "reserve")}}
			in.Verdicts = []observer.Verdict{{Upstream: "lookup0", Limit: draw(0, 8, "limit")}}
			b := Build(in)
			in.Previous = b
			before := len(running)
			for i := range draw(0, 8, "requests") {
				if c, _ := b.Choose(request(b, uint64(i)), nowNano, nil); c.Target != nil {
					running = append(running, c.Target)
				}
			}
			if len(running) > max(before, f.slots[0]) {
				t.Fatalf("%d in flight on %d slots", len(running), f.slots[0])
			}
			for range min(len(running), draw(0, 8, "ended")) {
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
		"config": func(in *Input) { in.Config = pair.config() },
		"view":   func(in *Input) { in.Views[1].Sequence++ },
		"drain":  func(in *Input) { in.Now = testNow.Add(time.Hour) },
		"own":    func(in *Input) { in.Holdings.Parts = nil },
	} {
		in := pairInput()
		in.Config.Drains = map[string]loader.Drain{"upstream/x": {Until: testNow.Add(time.Minute)}}
		old := Build(in)
		in.Previous, in.Views = old, slices.Clone(in.Views)
		edit(&in)
		is.New(t).Equal(Build(in).Services["lookup"].unknown == old.Services["lookup"].unknown, name == "same")
	}
}

func TestEntryKeepsRoomForHighPriority(t *testing.T) {
	is := is.New(t)
	in := pairInput()
	b := Build(in)
	low, high := request(b, 1), request(b, 2)
	low.Priority = 9
	n := 0
	for b.AcquireEntry(low, nowNano) {
		n++
	}
	is.True(n > entryRequests/2 && n < entryRequests)
	is.True(b.AcquireEntry(high, nowNano))
	in.Previous = b
	c := Build(in)
	is.True(!c.AcquireEntry(low, nowNano))
	for range n + 1 {
		c.ReleaseEntry()
	}
	is.True(c.AcquireEntry(low, nowNano))
}
