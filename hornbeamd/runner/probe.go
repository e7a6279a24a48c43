package runner

import (
	"hornbeamstream.example/core/dispatcher"
	"hornbeamstream.example/core/steerer"
)

// probe sends health checks to upstreams and queues an event for each one that is cold.
func (r *Runner) probe(x steerer.Probe) {
	table := r.table.Load()
	for _, i := range x.Upstreams {
		u := r.tableBuilder.Upstream(i)
		if u == nil || u.Closed() {
			continue
		}
		if pool := table.Pool(u.Service); pool != nil && pool.HealthPath != "" {
			go r.recoverer.Do("probe", func() { r.probeUpstream(u, pool.HealthPath) })
		}
	}
}

func (r *Runner) probeUpstream(u *dispatcher.Upstream, path string) {
	left, err := r.relayer.Probe(u, path)
	if err != nil {
		r.cfg.Log.V(1).Info("health check failed", "upstream", u.ID, "cause", err.Error())
		return
	}
	if left > 0 {
		now := r.now()
		r.post(steerer.UpstreamCold{Now: now, Incarnation: incarnation(u), Until: now + int64(left)})
	}
}
