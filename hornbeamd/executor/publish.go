package executor

import (
	"slices"
	"time"

	"hornbeamstream.example/core/granter"
	"hornbeamstream.example/core/loader"
	"hornbeamstream.example/core/reducer"
	"hornbeamstream.example/core/resolver"
	"hornbeamstream.example/core/router"
)

// published is the input of the current tables.
type published struct {
	// config keeps its address while its version is the same, because the
	// router reuses peers and plans only if the address is unchanged.
	config *loader.State
	// views holds all views, lookupViews those in the resolver's table.
	views, lookupViews []granter.View
}

// publish builds and stores new tables. Most changes are new grants, which come
// with every heartbeat and don't change the resolver's table.
func (x *Executor) publish(p reducer.Publish) {
	config := x.published.config
	changed := config == nil || config.Version != p.Config.Version
	if changed {
		fresh := p.Config
		config = &fresh
	}
	x.table.Store(router.Build(router.Input{
		Now:      x.cfg.Clock.Now(),
		Config:   config,
		Self:     x.cfg.Self.Name,
		Domain:   x.cfg.Self.Domain,
		Region:   x.cfg.Region,
		Holdings: p.Holdings,
		Views:    p.Views,
		Verdicts: p.Verdicts,
		Previous: x.Table(),
	}))
	listed := lookupViews(x.withSelf(p.Views), p, x.cfg.Clock.Now())
	if changed || !slices.EqualFunc(listed, x.published.lookupViews, sameView) {
		x.resolver.Store(resolver.Build(resolver.Input{
			Config:   config,
			Region:   x.cfg.Region,
			Views:    listed,
			Previous: x.resolver.Load(),
		}))
	}
	if changed || !slices.EqualFunc(p.Views, x.published.views, sameView) {
		x.witness.Store(x.witness.Load().update(p, x.cfg.Self.Name, x.cfg.Clock.Now()))
	}
	x.published = published{config: config, views: p.Views, lookupViews: listed}
}

// lookupViews returns the views whose instances are returned by lookups: those
// of failure domains that are neither lost nor drained, or all views if there is
// no such domain.
func lookupViews(views []granter.View, p reducer.Publish, now time.Time) []granter.View {
	var list []granter.View
	for _, v := range views {
		if !slices.Contains(p.Lost, v.Domain) && !p.Config.DomainDrained(v.Domain, now) {
			list = append(list, v)
		}
	}
	if len(list) == 0 {
		return views
	}
	return list
}

// sameView reports whether two views are the same. The epochs of leaders start at
// one; a view without an epoch comes from withSelf and can change.
func sameView(a, b granter.View) bool {
	return a.Epoch > 0 && a.Domain == b.Domain && a.Epoch == b.Epoch && a.Sequence == b.Sequence
}

// withSelf adds this instance to the views if its failure domain has none yet,
// so that lookups are answered before the first contact with other instances.
func (x *Executor) withSelf(views []granter.View) []granter.View {
	for _, v := range views {
		if v.Domain == x.cfg.Self.Domain {
			return views
		}
	}
	own := granter.View{Domain: x.cfg.Self.Domain, Members: []granter.Member{x.state.Self}}
	return append(slices.Clone(views), own)
}
