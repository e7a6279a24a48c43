package dispatcher

import (
	"sync/atomic"
	"time"
)

const (
	// maxPause bounds a pause that an upstream asks for.
	maxPause = 10 * time.Minute
	// standingTime is how long what an incarnation has asked for is kept after it
	// has left the view: longer than any request that is still on its way there.
	standingTime = time.Minute
)

// standing is what an incarnation has asked of this instance. It outlives the
// Upstream, which ends when its failure domain is evacuated or its registration
// is missing for a while.
type standing struct {
	// pausedUntil is when the incarnation takes requests of this instance again.
	pausedUntil atomic.Int64
	// absentSince is when it left the view, 0 while it is there.
	absentSince int64
}

// idle tells that the standing says nothing any more.
func (s *standing) idle(now int64) bool {
	return s.absentSince != 0 && now-s.absentSince > int64(standingTime) && s.pausedUntil.Load() <= now
}

// Pause keeps requests of this instance away from the upstream for a time that the
// upstream has asked for. It returns the end of the pause. A shorter pause does not
// end a longer one.
func (u *Upstream) Pause(d time.Duration, now int64) (until int64) {
	until = now + int64(min(d, maxPause))
	for {
		old := u.standing.pausedUntil.Load()
		if old >= until || u.standing.pausedUntil.CompareAndSwap(old, until) {
			return max(old, until)
		}
	}
}

// Paused tells that the upstream has asked this instance for a pause.
func (u *Upstream) Paused(now int64) bool { return now < u.standing.pausedUntil.Load() }

// Takes tells that the upstream takes new requests of this instance.
func (u *Upstream) Available(now int64) bool { return !u.Closed() && !u.Paused(now) }

// Leave notes that the upstream has said that it leaves. It reports whether that
// is news.
func (u *Upstream) MarkDraining() bool { return u.leaving.CompareAndSwap(false, true) }

// firstReturn is when the first of the upstreams that could take the request ends
// its pause. It reports whether there is one.
func (r *Request) firstReturn() (until int64, ok bool) {
	for _, u := range r.Pool.Upstreams {
		if u.Closed() || !r.allowed(u) || !u.Paused(r.Now) {
			continue
		}
		if end := u.standing.pausedUntil.Load(); !ok || end < until {
			until, ok = end, true
		}
	}
	return until, ok
}
