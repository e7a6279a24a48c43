package router

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"hornbeamstream.example/core/granter"
	"hornbeamstream.example/core/loader"
)

// fleet describes a deployment for tests.
type fleet struct {
	regions, domains, instances int
	upstreams                   int
	services                    []string
	// slots are those of an upstream of each service.
	slots    []int
	headroom float64
}

// Sizes of today and of the target: Kasa Klub, Kōtuku and 150 sites with 640
// instances in 4 regions and 11 domains.
var (
	kasa   = fleet{3, 6, 10, 12, []string{"lookup", "posting", "statement"}, []int{6, 3, 5}, 0.8}
	kotuku = fleet{3, 6, 11, 14, []string{"timetable", "booking", "driverkit"}, []int{4, 3, 4}, 0.2}
	target = fleet{4, 11, 640, 150, []string{"lookup", "posting", "statement"}, []int{640, 320, 320}, 0.5}
)

func name(kind string, i int) string { return fmt.Sprintf("%s%d", kind, i) }

func (f fleet) domain(i int) string { return name("d", i%f.domains) }

func (f fleet) slotsOf(service string) int { return f.slots[slices.Index(f.services, service)] }

func (f fleet) region(domain int) string { return name("r", domain%f.regions) }

func (f fleet) config() *loader.State {
	c := &loader.State{
		Regions: map[string]loader.Region{}, Domains: map[string]loader.Domain{},
		Links: map[string]loader.Link{}, Services: map[string]loader.Service{},
		Upstreams: map[string]loader.Upstream{},
		Policies:  map[string]loader.Policy{"main": {Headroom: f.headroom}},
	}
	for i := range f.regions {
		c.Regions[f.region(i)] = loader.Region{}
		for j := range f.regions {
			c.Links[f.region(i)+"/"+f.region(j)] = loader.Link{Capacity: 1 << 29, DelayMillis: 20}
		}
	}
	for i := range f.domains {
		c.Domains[f.domain(i)] = loader.Domain{Region: f.region(i), Instances: f.instances/f.domains + 1}
	}
	for n, s := range f.services {
		c.Services[s] = loader.Service{TimeoutMillis: 2000, Once: n == 1, Bulk: n == 2, Priority: n}
		for i := range f.upstreams {
			c.Upstreams[name(s, i)] = loader.Upstream{
				Service: s, Domain: f.domain(i), Address: name(s, i), Slots: f.slots[n], MaxConns: 400,
			}
		}
	}
	return c
}

// views gives the parts to the members of each domain in turn.
func (f fleet) views() []granter.View {
	views := make([]granter.View, f.domains)
	for i := range views {
		views[i].Domain, views[i].Epoch = f.domain(i), 1
	}
	for i := range f.instances {
		v := &views[i%f.domains]
		v.Members = append(v.Members, granter.Member{Name: name("i", i), Domain: v.Domain, Data: name("i", i)})
	}
	next := 0
	for n, s := range f.services {
		for i := range f.upstreams {
			v := &views[i%f.domains]
			for first := 0; first < f.slots[n]; first += granter.MaxPartSlots {
				part := granter.Part{
					Upstream: name(s, i), Index: first / granter.MaxPartSlots,
					Slots: min(granter.MaxPartSlots, f.slots[n]-first),
				}
				v.Holdings = append(v.Holdings, granter.Holding{
					Part: part, Holder: v.Members[next%len(v.Members)].Name,
				})
				next++
			}
		}
	}
	return views
}

func (f fleet) input(instance int) Input {
	in := Input{
		Now: testNow, Config: f.config(), Views: f.views(), Self: name("i", instance),
		Domain: f.domain(instance), Region: f.region(instance % f.domains),
	}
	in.Holdings.Deadline = testNow.Add(time.Hour)
	for _, v := range in.Views {
		for _, h := range v.Holdings {
			if h.Holder == in.Self {
				in.Holdings.Parts = append(in.Holdings.Parts, h.Part)
			}
		}
	}
	return in
}

func BenchmarkChoose(b *testing.B) {
	for _, f := range []fleet{kasa, kotuku, target} {
		for _, c := range []struct {
			name    string
			service int
			credit  int
			full    bool
		}{{"own", 0, 9, false}, {"peer", 0, 9, true}, {"once", 1, 9, false}, {"refused", 0, 0, true}} {
			b.Run(fmt.Sprintf("instances=%d/upstreams=%d/%s", f.instances, f.upstreams, c.name), func(b *testing.B) {
				benchmarkChoose(b, f, f.services[c.service], c.credit, c.full)
			})
		}
	}
}

func benchmarkChoose(b *testing.B, f fleet, service string, credit int, full bool) {
	table := Build(f.input(0))
	now := nowNano
	s := table.Services[service]
	for i := range s.Targets {
		for full && s.Targets[i].Gate.TryAcquire(now) {
			continue
		}
	}
	report(table, service, credit, now)
	q := Request{Service: s, Region: table.Region, Deadline: now + int64(time.Second)}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		q.Hash = mix(uint64(i) * weightSeed)
		c, _ := table.Choose(&q, now, nil)
		switch {
		case c.Target != nil:
			c.Target.Gate.Release()
		case c.Peer != nil:
			c.Peer.Credits[service].Update(credit, now)
		}
	}
}

func BenchmarkChooseParallel(b *testing.B) {
	table := Build(kasa.input(0))
	now := nowNano
	s := table.Services["lookup"]
	b.RunParallel(func(pb *testing.PB) {
		q := Request{Service: s, Region: table.Region, Deadline: now + int64(time.Second)}
		for i := uint64(0); pb.Next(); i++ {
			q.Hash = mix(i)
			if c, _ := table.Choose(&q, now, nil); c.Target != nil {
				c.Target.Gate.Release()
			}
		}
	})
}

func BenchmarkBuild(b *testing.B) {
	for i := range 4 {
		f, changed := []fleet{kasa, target}[i/2], i%2 == 1
		b.Run(fmt.Sprintf("instances=%d/changed=%v", f.instances, changed), func(b *testing.B) {
			in := f.input(0)
			for b.Loop() {
				if changed {
					in.Views = slices.Clone(in.Views)
					in.Views[0].Sequence++
				}
				in.Previous = Build(in)
			}
		})
	}
}
