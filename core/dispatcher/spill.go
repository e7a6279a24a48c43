package dispatcher

import (
	"sync"
	"time"
)

const (
	// spillTime is the time between two looks at the share of requests that run
	// in other regions.
	spilloverInterval = 500 * time.Millisecond
	// spillStep is how far that share may move within spillTime.
	maxShareStep = 0.03
	// spillSpans is the number of spans of spillTime in the windows of 2 s over
	// which the platform's bound on moves compares.
	windowIntervals = 4
	// spillMost is how far the share of the requests that do leave may move from
	// one window to the next; the platform's bound is 0.15.
	maxWindowChange = 0.13
)

// spill bounds how fast the share of a service's requests that run outside of
// this instance's region moves. Requests are ordered by the hashes of their
// keys, so that a key moves as a whole.
type spillover struct {
	// moves is shared by all services.
	moveLimiter *moveLimiter

	mu sync.Mutex
	// share is the share of requests that leave the region.
	share       float64
	initialized bool
	// began is when the present span of time began, in which away of all
	// requests would rather have left.
	intervalStart     int64
	preferAway, total int
}

// leaves tells whether a request with the given key runs in another region.
// Rather tells that it would be answered sooner there.
func (s *spillover) leavesRegion(p *Pool, key uint64, rather bool, now int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.initialize(p, now)
	if now-s.intervalStart >= int64(spilloverInterval) {
		s.endInterval(now)
	}
	s.total++
	if rather {
		s.preferAway++
	}
	return s.moveLimiter.limit(unitHash(key) < s.share, now)
}

// start sets the first share: what the region's slots can't carry if all
// regions have the same load.
func (s *spillover) initialize(p *Pool, now int64) {
	if s.initialized || p.totalSlots == 0 {
		return
	}
	s.initialized, s.intervalStart = true, now
	s.share = max(0, 1-float64(p.regionCount)*float64(p.localSlots)/float64(p.totalSlots))
}

// turn ends a span of time.
func (s *spillover) endInterval(now int64) {
	if s.total > 0 {
		wanted := float64(s.preferAway) / float64(s.total)
		s.share += min(max(wanted-s.share, -maxShareStep), maxShareStep)
	}
	s.intervalStart, s.preferAway, s.total = now, 0, 0
}

// moves bounds the share of all requests of the instance that leave the region,
// as they were decided: keys in demand move many requests at once.
type moveLimiter struct {
	mu sync.Mutex
	// began is when the first of the spans began.
	intervalStart int64
	// spans are the present span and those before it, the present one first.
	intervals [2 * windowIntervals]intervalCount
}

// span counts the requests of a span of time and those that left the region.
type intervalCount struct{ left, total int }

// bound corrects a decision that would take the share too far from that of the
// window before.
func (m *moveLimiter) limit(leaves bool, now int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now-m.intervalStart >= int64(spilloverInterval) {
		m.intervalStart = now
		copy(m.intervals[1:], m.intervals[:])
		m.intervals[0] = intervalCount{}
	}
	last, before := sumIntervals(m.intervals[:windowIntervals]), sumIntervals(m.intervals[windowIntervals:])
	if before.total > 0 {
		share, all := float64(before.left)/float64(before.total), float64(last.total+1)
		if leaves {
			leaves = float64(last.left) <= (share+maxWindowChange)*all
		} else {
			leaves = float64(last.left+1) < (share-maxWindowChange)*all
		}
	}
	m.intervals[0].total++
	if leaves {
		m.intervals[0].left++
	}
	return leaves
}

// correct counts a request that was decided to leave or stay, but could only be
// sent the other way.
func (m *moveLimiter) correct(left bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if left {
		m.intervals[0].left++
	} else if m.intervals[0].left > 0 {
		m.intervals[0].left--
	}
}

// sum adds up spans.
func sumIntervals(spans []intervalCount) (t intervalCount) {
	for _, x := range spans {
		t.left += x.left
		t.total += x.total
	}
	return t
}

// spillPoint maps a key to a place between 0 and 1.
func unitHash(key uint64) float64 {
	key ^= key >> 33
	key *= hashMultiplier
	key ^= key >> 29
	return float64(key*hashMultiplier>>11) / (1 << 53)
}
