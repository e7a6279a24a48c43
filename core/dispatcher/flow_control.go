package dispatcher

import (
	"sync/atomic"
	"time"

	"hornbeamstream.example/core/steerer"
)

const (
	// maxPauseTime bounds the pause that an upstream may ask for.
	maxPauseTime = 10 * time.Minute
	// flowRetention is how long the flow control of an incarnation is kept after it
	// has left the view. It exceeds the duration of any request still in flight to it.
	flowRetention = time.Minute
)

// flowControl is what an incarnation has asked of the instances that send to it. It
// outlives the Upstream, which is closed when its failure domain is evacuated or
// its registration is missing for a while.
type flowControl struct {
	// restricted is set once the incarnation has asked for a pause or stated a limit.
	restricted atomic.Bool
	// pausedUntil is when the incarnation accepts requests of this instance again.
	pausedUntil atomic.Int64
	limit       rateLimit
	// upstream is the latest Upstream of the incarnation. Only the builder uses it.
	upstream *Upstream
	// absentSince is when the incarnation left the view, 0 while it is in it.
	absentSince int64
}

// expired reports whether the flow control may be deleted.
func (f *flowControl) expired(now int64) bool {
	return f.absentSince != 0 && now-f.absentSince > int64(flowRetention) && f.pausedUntil.Load() <= now
}

// Pause stops this instance from sending requests to the upstream for the duration
// that the upstream has asked for. It returns the end of the pause. A pause that
// ends earlier does not shorten the current one.
func (u *Upstream) Pause(d time.Duration, now int64) (until int64) {
	until = now + int64(min(d, maxPauseTime))
	u.flow.restricted.Store(true)
	for {
		old := u.flow.pausedUntil.Load()
		if old >= until || u.flow.pausedUntil.CompareAndSwap(old, until) {
			return max(old, until)
		}
	}
}

// Paused reports whether a pause that the upstream has asked for is in effect.
func (u *Upstream) Paused(now int64) bool { return now < u.flow.pausedUntil.Load() }

// Available reports whether the upstream accepts a new request of this instance now.
func (u *Upstream) Available(now int64) bool {
	return !u.Closed() && !u.Paused(now) && now >= u.limitOpensAt()
}

// unrestricted reports whether the upstream is available as long as it has never asked
// for a pause or stated a limit. It is small enough to be inlined where all upstreams of
// a service are examined.
func (u *Upstream) unrestricted() bool { return !u.Closed() && !u.flow.restricted.Load() }

// MarkDraining records that the upstream has announced its shutdown. It reports
// whether the upstream was not draining before.
func (u *Upstream) MarkDraining() bool { return u.draining.CompareAndSwap(false, true) }

// firstOpening returns when the first of the upstreams that could take the request
// accepts requests of this instance again, and why it does not yet. It reports whether
// there is one that is paused or limited.
func (r *Request) firstOpening() (at int64, reason Reason, ok bool) {
	for _, u := range r.Pool.Upstreams {
		if u.Closed() || !r.allowedRegion(u) || u.Available(r.Now) {
			continue
		}
		opensAt, why := u.flow.pausedUntil.Load(), Paused
		if limited := u.limitOpensAt(); limited > opensAt {
			opensAt, why = limited, Limited
		}
		if !ok || opensAt < at {
			at, reason, ok = opensAt, why, true
		}
	}
	return at, reason, ok
}

// Upstream returns the latest Upstream of an incarnation, or nil if it is unknown.
func (b *Builder) Upstream(i steerer.Incarnation) *Upstream {
	if f := b.flows[i]; f != nil {
		return f.upstream
	}
	return nil
}

// ApplyRateLimit records an observation of an upstream's limit that another instance made
// at the given time. An unknown incarnation is ignored: as long as the limit is in
// force, the other instance repeats the observation.
func (b *Builder) ApplyRateLimit(i steerer.Incarnation, o steerer.RateLimitState, at, now int64) RateLimitChange {
	u := b.Upstream(i)
	if u == nil {
		return RateLimitChange{}
	}
	return u.applyLimit(o, at, now)
}
