package director

import (
	"fmt"
	"os"
	"path/filepath"

	"go.yaml.in/yaml/v3"
	"hornbeamstream.example/core/loader"
)

// linkCapacity is 4 Gbit/s in bytes per second.
const linkCapacity = 500_000_000

// size describes a deployment; all regions have two failure domains.
type size struct {
	regions   []string
	instances int
	conns     int
	services  []sizedService
}

type sizedService struct {
	name      string
	upstreams int
	slots     int
	service   loader.Service
}

// sizes are the current sizes of the two deployments.
var sizes = map[string]size{
	"kasa": {
		regions: []string{"sofia", "plovdiv", "varna"}, instances: 10, conns: 330,
		services: []sizedService{
			{"lookup", 12, 6, loader.Service{Priority: 1, TimeoutMillis: 2000, MaxBodyBytes: 64 << 10}},
			{"posting", 12, 3, loader.Service{Once: true, TimeoutMillis: 3000, MaxBodyBytes: 256 << 10}},
			{"statement", 12, 5, loader.Service{Bulk: true, Priority: 5, TimeoutMillis: 4000, MaxBodyBytes: 64 << 10}},
		},
	},
	"kotuku": {
		regions: []string{"akl", "wlg", "chc"}, instances: 11, conns: 390,
		services: []sizedService{
			{"timetable", 14, 4, loader.Service{Priority: 1, TimeoutMillis: 2000, MaxBodyBytes: 64 << 10}},
			{"booking", 12, 3, loader.Service{Once: true, TimeoutMillis: 3000, MaxBodyBytes: 256 << 10}},
			{"driverkit", 14, 4, loader.Service{Bulk: true, Priority: 5, TimeoutMillis: 4000, MaxBodyBytes: 64 << 10}},
		},
	},
}

// write puts ticket.yaml and settings/<instance>.yaml into a directory.
func write(dir, name string) error {
	s, ok := sizes[name]
	if !ok {
		return fmt.Errorf("unknown name, want kasa or kotuku")
	}
	if err := os.MkdirAll(filepath.Join(dir, "settings"), 0o755); err != nil {
		return err
	}
	if err := writeYAML(filepath.Join(dir, "ticket.yaml"), map[string]any{"objects": s.objects()}); err != nil {
		return err
	}
	for _, v := range s.settings() {
		if err := writeYAML(filepath.Join(dir, "settings", v.Name+".yaml"), v); err != nil {
			return err
		}
	}
	return nil
}

func writeYAML(file string, v any) error {
	b, err := yaml.Marshal(v)
	if err != nil {
		return err
	}
	return os.WriteFile(file, b, 0o644)
}

func (s size) domains() (list []string) {
	for _, side := range []string{"a", "b"} {
		for _, r := range s.regions {
			list = append(list, r+"-"+side)
		}
	}
	return list
}

// region returns the number and the name of a domain's region.
func (s size) region(domain int) (int, string) {
	n := domain % len(s.regions)
	return n + 1, s.regions[n]
}

func (s size) objects() map[string]any {
	o := map[string]any{loader.KindPolicy + "/main": loader.Policy{Headroom: 0.5, Reserve: 0.1}}
	blocks := map[string][]string{}
	domains := s.domains()
	for i, r := range s.regions {
		o[loader.KindRegion+"/"+r] = loader.Region{Title: r}
		blocks[r] = []string{fmt.Sprintf("127.20.%d.0/24", i+1)}
		for _, other := range s.regions {
			if other != r {
				o[loader.KindLink+"/"+r+"/"+other] = loader.Link{Capacity: linkCapacity, DelayMillis: 20}
			}
		}
	}
	o[loader.KindBlocks+"/1"] = loader.Blocks{Regions: blocks}
	for i, d := range domains {
		_, r := s.region(i)
		n := s.instances / len(domains)
		if i < s.instances%len(domains) {
			n++
		}
		o[loader.KindDomain+"/"+d] = loader.Domain{Region: r, Instances: n}
	}
	s.upstreams(o)
	return o
}

func (s size) upstreams(o map[string]any) {
	domains := s.domains()
	hosts := map[int]int{}
	for _, v := range s.services {
		o[loader.KindService+"/"+v.name] = v.service
		for i := range v.upstreams {
			d := i % len(domains)
			r, _ := s.region(d)
			hosts[r]++
			key := fmt.Sprintf("%s/%s-%s-%d", loader.KindUpstream, v.name, domains[d], i/len(domains)+1)
			o[key] = loader.Upstream{
				Service: v.name, Domain: domains[d], Slots: v.slots, MaxConns: s.conns,
				Address: fmt.Sprintf("127.2.%d.%d:8000", r, hosts[r]),
			}
		}
	}
}

func (s size) settings() (list []loader.Settings) {
	domains := s.domains()
	hosts := map[int]int{}
	for i := range s.instances {
		d := i % len(domains)
		r, region := s.region(d)
		hosts[r]++
		ip := fmt.Sprintf("127.1.%d.%d", r, hosts[r])
		list = append(list, loader.Settings{
			Name:   fmt.Sprintf("%s-%d", domains[d], i/len(domains)+1),
			Domain: domains[d], Region: region,
			Front: ip + ":7001", Data: ip + ":7002", Peer: ip + ":7003", Admin: ip + ":7004",
			Platform: "http://127.0.0.1:7500",
		})
	}
	for i := range list {
		for j := range list {
			if j != i {
				list[i].Seeds = append(list[i].Seeds, list[j].Peer)
			}
		}
	}
	return list
}
