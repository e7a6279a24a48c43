package router

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

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
