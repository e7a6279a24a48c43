package relayer

import (
	"hornbeamstream.example/core/dispatcher"
	"hornbeamstream.example/core/quarantiner"
)

// quarantinedLabel is the outcome of requests in quarantine.
const quarantinedLabel = "quarantined"

// quarantine returns the requests that must not be sent.
func (r *Relayer) quarantine() *quarantiner.Set {
	if r.cfg.Quarantine == nil {
		return nil
	}
	return r.cfg.Quarantine.Load()
}

// admitted decides whether the request may be sent to an upstream. If not, it responds
// to the request.
func (r *Relayer) admitted(c *call) bool {
	set := r.quarantine()
	switch {
	case set.Empty():
		return true
	case c.sends > 0:
		// Only the first send of a trial after a quarantine takes a turn.
		if !set.Blocked(c.digest(), c.req.Now) {
			return true
		}
		c.giveUp(outcome{label: quarantinedLabel, digest: c.digest()})
		return false
	}
	a := set.Admit(c.digest(), c.req.Now)
	if !a.Admitted {
		c.giveUp(outcome{label: quarantinedLabel, retryAfter: a.RetryAfter, digest: c.digest()})
		return false
	}
	c.lastOnLoss = a.Last
	return true
}

// quarantinedSince reports whether the request was put into quarantine since it was
// admitted.
func (r *Relayer) quarantinedSince(c *call, now int64) bool {
	set := r.quarantine()
	return !set.Empty() && set.Blocked(c.digest(), now)
}

// observeAnswer reports the answer to a request that is suspected of crashing upstreams.
func (r *Relayer) observeAnswer(c *call) {
	set := r.quarantine()
	if !set.Empty() && r.cfg.OnRequestAnswered != nil && set.FirstAnswer(c.digest()) {
		r.cfg.OnRequestAnswered(c.digest())
	}
}

// connLost checks, in the background, whether an upstream has ended that has closed or
// reset its connection with the request in progress.
func (r *Relayer) connLost(u *dispatcher.Upstream, d quarantiner.Digest) {
	if r.cfg.OnUpstreamCrashed == nil {
		return
	}
	r.crashes.ConnLost(u, u.Address, d, func(d quarantiner.Digest) {
		r.cfg.Guard.Do("crash", func() { r.cfg.OnUpstreamCrashed(u, d) })
	})
}
