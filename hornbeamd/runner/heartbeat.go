package runner

import (
	"sync/atomic"
	"time"
)

const (
	// maxPause is the time without an iteration of the control loop from which on the process
	// counts as having been paused. Until then, what it knows is current enough to be used.
	maxPause = 1500 * time.Millisecond
	// maxBeatGap is the time between two beats up to which the control loop counts as running.
	// It ticks several times as often.
	maxBeatGap = 500 * time.Millisecond
)

// heartbeat says until when the routing table may be used. The control loop must beat before
// the work of each iteration: a beat after it would hide a pause in which the work stood still.
// Other goroutines use only validUntil.
type heartbeat struct {
	// validUntil is the time until which the table may be used.
	validUntil atomic.Int64
	// beatAt is the time of the last beat.
	beatAt int64
	// lost is the time that was lost in recent gaps. It shrinks while the loop runs, so that
	// pauses in a row count as one.
	lost int64
}

// beat records an iteration of the control loop. It reports whether the process has been
// paused. The table is then not valid before the next call of renew.
func (h *heartbeat) beat(now int64) (paused bool) {
	gap := now - h.beatAt
	h.beatAt = now
	if gap > int64(maxBeatGap) {
		h.lost += gap
	} else {
		h.lost = max(0, h.lost-gap)
	}
	if h.lost >= int64(maxPause) {
		h.lost = 0
		h.validUntil.Store(now - 1)
		return true
	}
	h.renew()
	return false
}

// renew extends the validity of the table as of the last beat.
func (h *heartbeat) renew() { h.validUntil.Store(h.beatAt + int64(maxPause) - h.lost) }

// valid reports whether the table may be used.
func (h *heartbeat) valid(now int64) bool { return now <= h.validUntil.Load() }
