package steerer

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamstream.example/core/allocator"
)

// usageGround runs the states of several instances that share allowances.
type usageGround struct {
	is     *is.I
	now    int64
	states map[string]*State
	down   map[string]bool
	// totals are the latest ones that each instance has been told.
	totals map[string][]allocator.Total
	// reports counts the usage beacons sent since the last reset, by kind.
	sent map[UsageKind]int
	// admitted are the counts that the instances report.
	admitted map[string]uint64
}

func newUsageGround(t *testing.T, workspaces, perRegion int) *usageGround {
	g := &usageGround{
		is: is.New(t), now: int64(time.Second), states: map[string]*State{}, down: map[string]bool{},
		totals: map[string][]allocator.Total{}, sent: map[UsageKind]int{}, admitted: map[string]uint64{},
	}
	config := &Config{Version: 1}
	for i := range workspaces {
		config.Workspaces = append(config.Workspaces, Workspace{Name: fmt.Sprint("w", i), Rate: 100, Burst: 1000})
	}
	var all []Object
	for _, region := range []string{"r1", "r2"} {
		for i := range perRegion {
			name := fmt.Sprintf("%s-%d", region, i)
			all = append(all, Object{Name: name, Instance: &Instance{Name: name, Front: name, Beacon: name, Domain: region, Region: region}})
		}
	}
	for _, o := range all {
		g.states[o.Name] = New(*o.Instance, false)
	}
	for _, s := range g.states {
		Step(s, Listed{Now: g.now, Kind: Instances, Objects: all, Revision: 1})
		Step(s, Listed{Now: g.now, Kind: Configs, Objects: []Object{{Name: "main", Config: config}}, Revision: 1})
	}
	return g
}

// run lets the instances tick, sample and exchange beacons for a number of rounds.
func (g *usageGround) run(rounds int) {
	for range rounds {
		g.now += int64(allocator.ReportInterval)
		for _, name := range slices.Sorted(maps.Keys(g.states)) {
			if g.down[name] {
				continue
			}
			s := g.states[name]
			reports := make([]allocator.Report, len(s.usage.bounds))
			for i := range reports {
				reports[i] = allocator.Report{Admitted: g.admitted[name], Demand: 2}
			}
			_, out := Step(s, Tick{Now: g.now})
			_, more := Step(s, UsageSampled{Now: g.now, Start: 1, Reports: reports})
			g.deliver(name, append(out, more...))
		}
	}
}

func (g *usageGround) deliver(from string, effects []Effect) {
	for _, x := range effects {
		switch x := x.(type) {
		case SendBeacon:
			for _, to := range x.To {
				if x.Beacon.Usage != nil {
					g.sent[x.Beacon.Usage.Kind]++
				}
				if s := g.states[to]; s != nil && !g.down[to] {
					_, out := Step(s, BeaconReceived{Now: g.now, Beacon: x.Beacon, From: from})
					g.deliver(to, out)
				}
			}
		case ApplyTotals:
			if len(g.totals[from]) < x.First+len(x.Totals) {
				g.totals[from] = append(g.totals[from], make([]allocator.Total, x.First+len(x.Totals)-len(g.totals[from]))...)
			}
			copy(g.totals[from][x.First:], x.Totals)
			g.is.Equal(x.Instances, len(g.states))
		}
	}
}

// collectors returns the instances that keep a ledger.
func (g *usageGround) collectors() (names []string) {
	for _, name := range slices.Sorted(maps.Keys(g.states)) {
		if g.states[name].usage.ledger != nil && !g.down[name] {
			names = append(names, name)
		}
	}
	return names
}

// TestUsageReachesAll checks that all instances learn what all others admit, over regions,
// with more workspaces than fit into one beacon, and with messages that grow with the number
// of instances only.
func TestUsageReachesAll(t *testing.T) {
	g := newUsageGround(t, 90, 8)
	g.run(12)
	g.is.Equal(len(g.collectors()), 2)
	for name := range g.states {
		g.admitted[name] = 50
	}
	g.sent = map[UsageKind]int{}
	g.run(4)
	g.is.Equal(g.sent[MemberUsage], 4*2*14)
	g.is.Equal(g.sent[TotalUsage], 4*2*14)
	g.is.Equal(g.sent[RegionUsage], 4*2*2)
	for name := range g.states {
		for _, i := range []int{0, 89} {
			total := g.totals[name][i]
			g.is.True(total.Level >= 200 && total.Level <= 320) // 1000 - 16*50, and tokens of the time since
			g.is.Equal(total.Demand, 32.0)
		}
	}
}

// TestCollectorEnds lets the collector of a region end. Another one takes over with the level
// and the demand that it knows.
func TestCollectorEnds(t *testing.T) {
	g := newUsageGround(t, 2, 4)
	for name := range g.states {
		g.admitted[name] = 0
	}
	g.run(12)
	for name := range g.states {
		g.admitted[name] = 100
	}
	g.run(4)
	first := g.collectors()[0]
	g.down[first] = true
	before := g.totals[first][0]
	g.is.True(before.Level < 400)
	g.run(14)
	g.is.Equal(len(g.collectors()), 2)
	g.is.True(g.collectors()[0] != first)
	for name := range g.states {
		total := g.totals[name][0]
		// 3.5 s at a rate of 100, less what the silent one is assumed to admit.
		g.is.True(total.Level <= before.Level+350)
		g.is.True(total.Demand >= 14)
	}
}

// TestUsageBeaconFitsIntoDatagram encodes the largest usage report.
func TestUsageBeaconFitsIntoDatagram(t *testing.T) {
	is := is.New(t)
	const maxDatagram = 1200 // of the receiver
	reports := make([]allocator.Report, maxUsagePerBeacon)
	for i := range reports {
		reports[i] = allocator.Report{Admitted: 1 << 34, Demand: 1000}
	}
	data, err := json.Marshal(Beacon{Name: "front-plovdiv-b-12", Ready: true, Version: 1 << 20, Usage: &UsageReport{
		Kind: MemberUsage, Tag: math.MaxUint64, Start: math.MaxUint64, First: 160, Data: allocator.AppendReports(nil, reports),
	}})
	is.NoErr(err)
	is.True(len(data) <= maxDatagram)
	t.Logf("%d bytes", len(data))
}

// TestUsageOfOtherWorkspaces ignores reports about another list of workspaces, and malformed
// ones.
func TestUsageOfOtherWorkspaces(t *testing.T) {
	g := newUsageGround(t, 3, 2)
	g.run(8)
	name := g.collectors()[0]
	s := g.states[name]
	var other string
	for n := range g.states {
		if n != name && g.states[n].Self.Region == s.Self.Region {
			other = n
		}
	}
	good := allocator.AppendReports(nil, make([]allocator.Report, 3))
	for _, u := range []UsageReport{
		{Kind: MemberUsage, Tag: 1, Data: good},
		{Kind: MemberUsage, Tag: s.usage.tag, First: 1, Data: good},
		{Kind: MemberUsage, Tag: s.usage.tag, First: -1, Data: good},
		{Kind: MemberUsage, Tag: s.usage.tag, Data: good[:len(good)-1]},
		{Kind: TotalUsage, Tag: s.usage.tag, Data: []byte{0x80}},
		{Kind: TotalUsage, Tag: s.usage.tag, Data: good},
	} {
		_, out := Step(s, BeaconReceived{Now: g.now, Beacon: Beacon{Name: other, Usage: &u}})
		for _, x := range out {
			_, applied := x.(ApplyTotals)
			g.is.True(!applied)
		}
	}
}
