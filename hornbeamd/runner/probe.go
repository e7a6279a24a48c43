package runner

import (
	"sync/atomic"

	"hornbeamstream.example/core/dispatcher"
	"hornbeamstream.example/core/steerer"
)

// probe sends health checks to upstreams and queues an event for each one that is cold.
func (r *Runner) probe(x steerer.Probe) {
	table := r.table.Load()
	for _, i := range x.Upstreams {
		u := r.tableBuilder.Upstream(i)
		if u == nil || u.Closed() || u.Unreachable(r.now()) {
			continue
		}
		if pool := table.Pool(u.Service); pool != nil && pool.HealthPath != "" {
			r.startProbe(u, pool.HealthPath)
		}
	}
}

// maxProbes bounds the health checks of one upstream that wait for an answer. A second one
// makes up for an answer that is lost.
const maxProbes = 2

// startProbe sends a health check unless too many are waiting for an answer.
func (r *Runner) startProbe(u *dispatcher.Upstream, path string) {
	v, _ := r.probing.LoadOrStore(u, new(atomic.Int64))
	waiting := v.(*atomic.Int64)
	if waiting.Add(1) > maxProbes {
		waiting.Add(-1)
		return
	}
	go func() {
		defer func() {
			if waiting.Add(-1) == 0 {
				r.probing.Delete(u)
			}
		}()
		r.recoverer.Do("probe", func() { r.probeUpstream(u, path) })
	}()
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
