package router

import (
	"maps"
	"slices"

	"hornbeamstream.example/core/granter"
)

// source is what the peers and plans of a table were made of.
type source struct {
	self, domain, region string
	drained              map[string]bool
	views                []granter.View
	// holds tells for which services there are own targets.
	holds map[string]bool
}

func (b *builder) source() source {
	s := source{self: b.Self, domain: b.Domain, region: b.Region, drained: b.drained, views: b.Views}
	s.holds = map[string]bool{}
	for name, v := range b.services {
		s.holds[name] = len(v.Targets) > 0
	}
	return s
}

// reuse takes peers and plans over from the previous table if nothing that they
// depend on has changed. They make up most of the work, while most tables are
// built because a verdict or the own holdings have changed.
func (b *builder) reuse() bool {
	old := b.Previous
	if old == nil || old.config != b.Config || !old.source.equal(b.table.source) {
		return false
	}
	for name, s := range b.services {
		o := old.Services[name]
		s.Peers, s.plans, s.unknown = o.Peers, o.plans, o.unknown
	}
	b.fresh.credits = b.old.credits
	for _, s := range b.services {
		for _, p := range s.Peers {
			b.fresh.paths[pathKey(granter.Member{Name: p.Name, Data: p.Address})] = p.Path
		}
	}
	return true
}

func (s *source) equal(o source) bool {
	return s.self == o.self && s.domain == o.domain && s.region == o.region &&
		maps.Equal(s.drained, o.drained) && maps.Equal(s.holds, o.holds) &&
		slices.EqualFunc(s.views, o.views, func(a, b granter.View) bool {
			return a.Domain == b.Domain && a.Epoch == b.Epoch && a.Sequence == b.Sequence && a.Epoch > 0
		})
}
