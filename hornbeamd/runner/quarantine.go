package runner

import (
	"context"
	"time"

	"hornbeamstream.example/core/dispatcher"
	"hornbeamstream.example/core/quarantiner"
	"hornbeamstream.example/core/steerer"
)

// quarantineWriteTimeout limits a write of a quarantine to the store.
const quarantineWriteTimeout = 1500 * time.Millisecond

// upstreamCrashed queues the event that an upstream has ended that had a request in
// progress.
func (r *Runner) upstreamCrashed(u *dispatcher.Upstream, d quarantiner.Digest) {
	r.post(steerer.UpstreamCrashed{Now: r.now(), Incarnation: incarnation(u), Digest: d})
}

// requestAnswered queues the event that an upstream has answered a request that is
// suspected of crashing upstreams.
func (r *Runner) requestAnswered(d quarantiner.Digest) {
	r.post(steerer.RequestAnswered{Now: r.now(), Digest: d})
}

// writeQuarantine writes a quarantine to the store. The steerer repeats a write until the
// store has the object.
func (r *Runner) writeQuarantine(x steerer.WriteQuarantine) {
	r.recoverer.Do("quarantine", func() {
		ctx, cancel := context.WithTimeout(context.Background(), quarantineWriteTimeout)
		defer cancel()
		if err := r.cfg.Store.WriteQuarantine(ctx, x.Object); err != nil {
			r.cfg.Log.Info("quarantine not written", "subject", x.Object.Name, "deleted", x.Object.Deleted, "cause", err.Error())
		}
	})
}
