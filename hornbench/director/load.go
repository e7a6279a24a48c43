package director

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"hornbeamstream.example/core/loader"
	"hornbeamstream.example/hornbench/generator"
)

// callersPerRegion is the number of source addresses, each with its own cached
// look-up and therefore its own rotation of the entries.
const callersPerRegion = 16

// Offer returns load at a share of the slots of every service, spread evenly
// over the regions. The service times are those of NewWorld with factor.
func (d *Deployment) Offer(share, factor float64) (list []generator.Flow) {
	names := make([]string, 0, len(d.Services))
	for name := range d.Services {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		s := d.Services[name]
		mean := workOf(s).mean * factor / 1000
		rate := share * float64(d.Slots(name)) / mean / float64(len(d.Regions))
		for _, region := range d.Regions {
			list = append(list, generator.Flow{
				Service: name, Region: region, Rate: rate,
				Limit: time.Duration(s.TimeoutMillis) * time.Millisecond, Body: bodySize(s),
			})
		}
	}
	return list
}

func bodySize(s loader.Service) int {
	if s.Once {
		return 300
	}
	return 0
}

// Callers returns source addresses from the blocks of every region.
func (d *Deployment) Callers() (map[string][]string, error) {
	sources := map[string][]string{}
	for region, blocks := range d.Blocks {
		p, err := netip.ParsePrefix(blocks[0])
		if err != nil {
			return nil, fmt.Errorf("block of %s: %w", region, err)
		}
		a := p.Addr()
		for range callersPerRegion {
			a = a.Next()
			sources[region] = append(sources[region], a.String())
		}
	}
	return sources, nil
}

// NewLoad returns load for the deployment with a new ledger.
func (d *Deployment) NewLoad(flows []generator.Flow, prefix string, seed uint64) (*generator.Load, error) {
	sources, err := d.Callers()
	if err != nil {
		return nil, err
	}
	return &generator.Load{
		Flows: flows, Sources: sources, Entries: d.Entries(), Seed: seed,
		Prefix: prefix, Ledger: &generator.Ledger{},
	}, nil
}
