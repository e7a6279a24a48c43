package reducer

import (
	"maps"
	"slices"
	"time"

	"hornbeamstream.example/core/granter"
	"hornbeamstream.example/core/loader"
	"hornbeamstream.example/core/observer"
)

// defaultReserve is the share of slots that is usable without a grant when the
// configuration has no policy.
const defaultReserve = 0.1

// GranterPlan returns the part of the configuration that the granter of one
// failure domain uses.
func GranterPlan(config loader.State, domain string) granter.Config {
	p := granter.Config{Version: config.Version, Domain: domain, Reserve: defaultReserve}
	if policy, ok := config.Policies[loader.PolicyMain]; ok {
		p.Reserve = policy.Reserve
	}
	for _, name := range config.UpstreamsInDomain(domain) {
		u := config.Upstreams[name]
		p.Upstreams = append(p.Upstreams, newDemand(name, u, config.Services[u.Service]))
	}
	p.Quotas = quotas(config, config.RegionOf(domain))
	return p
}

func newDemand(name string, u loader.Upstream, v loader.Service) granter.UpstreamConfig {
	return granter.UpstreamConfig{
		Upstream: name,
		Service:  u.Service,
		Priority: v.Priority,
		Slots:    u.Slots,
		Limit:    time.Duration(v.TimeoutMillis) * time.Millisecond,
	}
}

// quotas returns one failure domain's share of the caps and links that start
// in its region. The share depends on the configuration alone, so that domains
// need no messages to agree.
func quotas(config loader.State, region string) []granter.Quota {
	domains := len(config.DomainsInRegion(region))
	if domains == 0 {
		return nil
	}
	var shares []granter.Quota
	for _, service := range sortedKeys(config.Shifts) {
		if f := config.Shifts[service]; f.From == region {
			shares = append(shares, granter.Quota{Name: quotaName(loader.KindShift, service), Rate: f.MaxRate / float64(domains)})
		}
	}
	for _, to := range sortedKeys(config.Regions) {
		if l, ok := config.Links[region+"/"+to]; ok {
			shares = append(shares, granter.Quota{Name: quotaName(loader.KindLink, region, to), Rate: float64(l.Capacity) / float64(domains)})
		}
	}
	return shares
}

// nonHolderProbers makes the observer probe an upstream every 10 s. Its holder
// probes it every second and acts on the results; the others need only a recent
// state in case they become the holder. With 58 members, probes by
// all of them took 35% of one slot.
const nonHolderProbers = 20

// specs returns the upstreams that the observer watches, those of the instance's
// own domain.
func (s *State) specs() []observer.Spec {
	config := s.Follower.Config
	var specs []observer.Spec
	for _, name := range config.UpstreamsInDomain(s.Self.Domain) {
		u := config.Upstreams[name]
		probers := nonHolderProbers
		if s.isHolder(name) {
			probers = 1
		}
		specs = append(specs, observer.Spec{
			Upstream: name,
			Service:  u.Service,
			Slots:    u.Slots,
			Drained:  config.Drained(name, s.now),
			Probers:  probers,
		})
	}
	return specs
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
