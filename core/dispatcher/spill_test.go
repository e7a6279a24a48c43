package dispatcher

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestMovesAreBounded lets the wishes of all requests change at once, both ways.
// The share of requests that leaves the region must not move by more than 0.15
// from one window of 2 s to the next.
func TestMovesAreBounded(t *testing.T) {
	const window, most = 2 * time.Second, 0.15
	is := is.New(t)
	s, p := &spill{}, &Pool{home: 2, all: 6, regions: 3}
	var shares []float64
	left, all := 0, 0
	for now := int64(1); now < int64(40*time.Second); now += int64(5 * time.Millisecond) {
		rather := now > int64(4*time.Second) && now < int64(22*time.Second)
		all++
		if s.leaves(p, uint64(now), rather, now) {
			left++
		}
		if now/int64(window) != (now+int64(5*time.Millisecond))/int64(window) {
			shares = append(shares, float64(left)/float64(all))
			left, all = 0, 0
		}
	}
	highest := 0.0
	for i := 1; i < len(shares); i++ {
		is.True(shares[i]-shares[i-1] <= most && shares[i-1]-shares[i] <= most)
		highest = max(highest, shares[i])
	}
	is.True(highest > 0.8)               // it does move
	is.True(shares[len(shares)-1] < 0.1) // and comes back
}
