package dispatcher

import (
	"sync/atomic"
	"time"
)

const (
	// maxPauseTime bounds the pause that an upstream may ask for.
	maxPauseTime = 10 * time.Minute
	// pauseRetention is how long the pause of an incarnation is kept after it has
	// left the view. It exceeds the duration of any request still in flight to it.
	pauseRetention = time.Minute
)

// pauseState is the pause that an incarnation has asked of this instance. It
// outlives the Upstream, which is closed when its failure domain is evacuated or
// its registration is missing for a while.
type pauseState struct {
	// pausedUntil is when the incarnation accepts requests of this instance again.
	pausedUntil atomic.Int64
	// limit is the limit that the incarnation has stated.
	limit rateLimit
	// absentSince is when the incarnation left the view, 0 while it is in it.
	absentSince int64
}

// expired reports whether the state may be deleted.
func (s *pauseState) expired(now int64) bool {
	return s.absentSince != 0 && now-s.absentSince > int64(pauseRetention) && s.pausedUntil.Load() <= now
}

// Pause stops this instance from sending requests to the upstream for the duration
// that the upstream has asked for. It returns the end of the pause. A pause that
// ends earlier does not shorten the current one.
func (u *Upstream) Pause(d time.Duration, now int64) (until int64) {
	until = now + int64(min(d, maxPauseTime))
	for {
		old := u.pauseState.pausedUntil.Load()
		if old >= until || u.pauseState.pausedUntil.CompareAndSwap(old, until) {
			return max(old, until)
		}
	}
}

// Paused reports whether a pause that the upstream has asked for is in effect.
func (u *Upstream) Paused(now int64) bool { return now < u.pauseState.pausedUntil.Load() }

// Available reports whether the upstream accepts new requests of this instance.
func (u *Upstream) Available(now int64) bool { return !u.Closed() && !u.Paused(now) }

// MarkDraining records that the upstream has announced its shutdown. It reports
// whether the upstream was not draining before.
func (u *Upstream) MarkDraining() bool { return u.draining.CompareAndSwap(false, true) }

// firstPauseEnd returns the earliest end of a pause among the upstreams that could
// take the request. It reports whether any of them is paused.
func (r *Request) firstPauseEnd() (until int64, ok bool) {
	for _, u := range r.Pool.Upstreams {
		if u.Closed() || !r.allowedRegion(u) || !u.Paused(r.Now) {
			continue
		}
		if end := u.pauseState.pausedUntil.Load(); !ok || end < until {
			until, ok = end, true
		}
	}
	return until, ok
}
