package dispatcher

import (
	"sync"
	"time"
)

const (
	// spillTime is the time between two looks at the share of requests that run
	// in other regions.
	spillTime = 500 * time.Millisecond
	// spillStep is how far that share may move within spillTime.
	spillStep = 0.03
)

// spill bounds how fast the share of a service's requests that run outside of
// this instance's region moves. Requests are ordered by the hashes of their
// keys, so that a key moves as a whole.
type spill struct {
	mu sync.Mutex
	// share is the share of requests that leave the region.
	share   float64
	started bool
	// began is when the present span of time began, in which away of all
	// requests would rather have left.
	began     int64
	away, all int
}

// leaves tells whether a request with the given key runs in another region.
// Rather tells that it would be answered sooner there.
func (s *spill) leaves(p *Pool, key uint64, rather bool, now int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.start(p, now)
	if now-s.began >= int64(spillTime) {
		s.turn(now)
	}
	s.all++
	if rather {
		s.away++
	}
	return spillPoint(key) < s.share
}

// start sets the first share: what the region's slots can't carry if all
// regions have the same load.
func (s *spill) start(p *Pool, now int64) {
	if s.started || p.all == 0 {
		return
	}
	s.started, s.began = true, now
	s.share = max(0, 1-float64(p.regions)*float64(p.home)/float64(p.all))
}

// turn ends a span of time.
func (s *spill) turn(now int64) {
	if s.all > 0 {
		wanted := float64(s.away) / float64(s.all)
		s.share += min(max(wanted-s.share, -spillStep), spillStep)
	}
	s.began, s.away, s.all = now, 0, 0
}

// spillPoint maps a key to a place between 0 and 1.
func spillPoint(key uint64) float64 {
	key ^= key >> 33
	key *= hashMix
	key ^= key >> 29
	return float64(key*hashMix>>11) / (1 << 53)
}
