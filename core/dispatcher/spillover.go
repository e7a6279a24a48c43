package dispatcher

import (
	"sync"
	"time"
)

const (
	// spilloverInterval is the time between two adjustments of the share of requests
	// that run in other regions.
	spilloverInterval = 500 * time.Millisecond
	// maxShareStep is the largest change of that share in one adjustment.
	maxShareStep = 0.03
	// windowIntervals is the number of intervals in a window of 2 s. The platform
	// limits the change of the actual share from one such window to the next.
	windowIntervals = 4
	// maxWindowChange is the largest change that the limiter allows from one window
	// to the next. The platform's limit is 0.15.
	maxWindowChange = 0.13
)

// spillover controls the share of a service's requests that run outside of this
// instance's region and limits how fast it changes. A request spills over if the
// hash of its key is below the share, so that all requests of a key move together.
type spillover struct {
	// moveLimiter is shared by all services.
	moveLimiter *moveLimiter

	mu sync.Mutex
	// share is the target share of requests that leave the region.
	share       float64
	initialized bool
	// intervalStart is the start of the current interval. Of its total requests,
	// preferAway would have been cheaper in another region.
	intervalStart     int64
	preferAway, total int
}

// leavesRegion decides whether a request with the given key runs in another region.
// cheaperAway means that its lowest cost is there.
func (s *spillover) leavesRegion(p *Pool, key uint64, cheaperAway bool, now int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.initialize(p, now)
	if now-s.intervalStart >= int64(spilloverInterval) {
		s.endInterval(now)
	}
	s.total++
	if cheaperAway {
		s.preferAway++
	}
	return s.moveLimiter.limit(unitHash(key) < s.share, now)
}

// initialize sets the initial share: the part of the region's load that exceeds its
// slots, assuming that all regions have the same load.
func (s *spillover) initialize(p *Pool, now int64) {
	if s.initialized || p.totalSlots == 0 {
		return
	}
	s.initialized, s.intervalStart = true, now
	s.share = max(0, 1-float64(p.regionCount)*float64(p.localSlots)/float64(p.totalSlots))
}

// endInterval adjusts the share and starts the next interval.
func (s *spillover) endInterval(now int64) {
	if s.total > 0 {
		target := float64(s.preferAway) / float64(s.total)
		s.share += min(max(target-s.share, -maxShareStep), maxShareStep)
	}
	s.intervalStart, s.preferAway, s.total = now, 0, 0
}

// moveLimiter limits how fast the actual share of the instance's requests that
// leave their home region changes. Limiting the target share of each service is not
// enough, since a popular key moves many requests at once.
type moveLimiter struct {
	mu sync.Mutex
	// intervalStart is the start of the current interval.
	intervalStart int64
	// intervals are the current interval and those before it, newest first.
	intervals [2 * windowIntervals]intervalCount
}

// intervalCount counts the requests of an interval and those of them that left
// their home region.
type intervalCount struct{ left, total int }

// limit takes whether a request should leave its home region and returns whether it
// may. It reverses decisions that would change the share too much from the previous
// window, and counts the request.
func (m *moveLimiter) limit(leaves bool, now int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now-m.intervalStart >= int64(spilloverInterval) {
		m.intervalStart = now
		copy(m.intervals[1:], m.intervals[:])
		m.intervals[0] = intervalCount{}
	}
	current, previous := sumIntervals(m.intervals[:windowIntervals]), sumIntervals(m.intervals[windowIntervals:])
	if previous.total > 0 {
		share, total := float64(previous.left)/float64(previous.total), float64(current.total+1)
		if leaves {
			leaves = float64(current.left) <= (share+maxWindowChange)*total
		} else {
			leaves = float64(current.left+1) < (share-maxWindowChange)*total
		}
	}
	m.intervals[0].total++
	if leaves {
		m.intervals[0].left++
	}
	return leaves
}

// correct adjusts the count for a request that was sent contrary to its decision.
// left reports whether it left its home region.
func (m *moveLimiter) correct(left bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if left {
		m.intervals[0].left++
	} else if m.intervals[0].left > 0 {
		m.intervals[0].left--
	}
}

func sumIntervals(intervals []intervalCount) (sum intervalCount) {
	for _, c := range intervals {
		sum.left += c.left
		sum.total += c.total
	}
	return sum
}

// unitHash hashes a key to a number in [0, 1).
func unitHash(key uint64) float64 {
	key ^= key >> 33
	key *= hashMultiplier
	key ^= key >> 29
	return float64(key*hashMultiplier>>11) / (1 << 53)
}
