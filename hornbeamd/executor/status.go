package executor

import (
	"cmp"
	"context"
	"slices"

	"hornbeamstream.example/core/granter"
	"hornbeamstream.example/core/reducer"
	"hornbeamstream.example/core/reporter"
	"hornbeamstream.example/core/router"
)

// Status returns the status of this instance for operators.
func (x *Executor) Status(ctx context.Context) (status reporter.Status, err error) {
	err = x.inspect(ctx, func(s *reducer.State) {
		status = reporter.Status{
			Instance:          s.Self,
			Region:            s.Region,
			Version:           s.Follower.Config.Version,
			PlatformReachable: x.platformReachable.Load(),
		}
		for _, v := range s.Views {
			status.Members = append(status.Members, v.Members...)
			if v.Domain == s.Self.Domain {
				status.Leader, status.Epoch = v.Leader, v.Epoch
			}
		}
		for _, u := range HeldUpstreams(x.Table(), x.cfg.Clock.UnixNano()) {
			u.Leaving = s.Verdicts[u.Name].Leaving
			status.Upstreams = append(status.Upstreams, u)
		}
	})
	slices.SortFunc(status.Members, func(a, b granter.Member) int { return cmp.Compare(a.Name, b.Name) })
	return status, err
}

// HeldUpstreams returns the totals, by upstream, of the parts in the table.
func HeldUpstreams(t *router.Table, now int64) []reporter.Upstream {
	byName := map[string]reporter.Upstream{}
	for _, service := range t.Services {
		for i := range service.Targets {
			g := &service.Targets[i]
			u := byName[g.Upstream]
			u.Name = g.Upstream
			u.Service = service.Name
			u.InFlight += g.Gate.InFlight()
			u.Limit += g.Gate.InFlight() + g.Gate.Free(now)
			u.Slots += g.Slots
			byName[g.Upstream] = u
		}
	}
	list := make([]reporter.Upstream, 0, len(byName))
	for _, u := range byName {
		list = append(list, u)
	}
	slices.SortFunc(list, func(a, b reporter.Upstream) int { return cmp.Compare(a.Name, b.Name) })
	return list
}
