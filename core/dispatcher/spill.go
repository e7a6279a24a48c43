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

// direction says where a request may run.
type direction uint8

const (
	// anywhere leaves the choice to the costs.
	anywhere direction = iota
	// stay keeps the request in this instance's region.
	stay
	// leave sends it to another region.
	leave
)

// spill bounds how fast the share of a service's requests that run outside of
// this instance's region moves.
type spill struct {
	mu sync.Mutex
	// share is the share of the last span of time.
	share      float64
	began      int64
	away, home int
	started    bool
}

// start sets the first share: what the region's slots can't carry if all
// regions have the same load.
func (s *spill) start(p *Pool, regions int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.started || p.all == 0 {
		return
	}
	s.started = true
	s.share = max(0, 1-float64(regions)*float64(p.home)/float64(p.all))
}

// bounds says where a request with the given key may run. Keys are ordered by
// their hashes, so that a key moves as a whole.
func (s *spill) bounds(key uint64, now int64) direction {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turn(now)
	point := float64((key^0x5bd1e995)*hashMix>>11) / (1 << 53)
	switch {
	case point < s.share-spillStep:
		return leave
	case point > s.share+spillStep:
		return stay
	}
	return anywhere
}

// turn ends a span of time.
func (s *spill) turn(now int64) {
	if now-s.began < int64(spillTime) {
		return
	}
	if n := s.away + s.home; n > 0 {
		seen := float64(s.away) / float64(n)
		s.share += min(max(seen-s.share, -spillStep), spillStep)
	}
	s.began, s.away, s.home = now, 0, 0
}

func (s *spill) count(away bool, now int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turn(now)
	if away {
		s.away++
	} else {
		s.home++
	}
}
