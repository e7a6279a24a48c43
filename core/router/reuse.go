package router

import (
	"maps"
	"slices"

	"hornbeamstream.example/core/granter"
)

// planInputs holds the inputs that the peers and plans of a table depend on.
type planInputs struct {
	self, domain, region string
	drained              map[string]bool
	views                []granter.View
	// hasTargets reports by service whether this instance holds parts.
	hasTargets map[string]bool
}

func (b *builder) planInputs() planInputs {
	s := planInputs{self: b.Self, domain: b.Domain, region: b.Region, drained: b.drained, views: b.Views}
	s.hasTargets = map[string]bool{}
	for name, v := range b.services {
		s.hasTargets[name] = len(v.Targets) > 0
	}
	return s
}

// reusePeersAndPlans copies peers and plans from the previous table if none of
// their inputs has changed. Building them is most of the work, while most tables
// are built because a verdict or this instance's holdings have changed.
func (b *builder) reusePeersAndPlans() bool {
	old := b.Previous
	if old == nil || old.config != b.Config || !old.planInputs.equal(b.table.planInputs) {
		return false
	}
	for name, s := range b.services {
		o := old.Services[name]
		s.Peers, s.plans, s.defaultPlan = o.Peers, o.plans, o.defaultPlan
	}
	b.fresh.credits = b.old.credits
	for _, s := range b.services {
		for _, p := range s.Peers {
			b.fresh.paths[pathKey(granter.Member{Name: p.Name, Data: p.Address})] = p.Path
		}
	}
	return true
}

func (s *planInputs) equal(o planInputs) bool {
	return s.self == o.self && s.domain == o.domain && s.region == o.region &&
		maps.Equal(s.drained, o.drained) && maps.Equal(s.hasTargets, o.hasTargets) &&
		slices.EqualFunc(s.views, o.views, func(a, b granter.View) bool {
			return a.Domain == b.Domain && a.Epoch == b.Epoch && a.Sequence == b.Sequence && a.Epoch > 0
		})
}
