package dispatcher

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestMovesAreBounded lets the wishes of all requests change at once, both ways.
// The share of requests that leaves the region must not move by more than 0.15
// from one window of 2 s to the next, wherever the windows begin.
func TestSpilloverIsLimited(t *testing.T) {
	for _, c := range []struct {
		name  string
		every time.Duration
		// keys is the number of keys, 0 if each request has its own.
		keys uint64
		// end is when nearly all requests are back. A key in demand comes back when
		// the share passes its point, and then within the bound.
		end time.Duration
	}{
		{"own keys", 5 * time.Millisecond, 0, 40 * time.Second},
		{"ten keys", 5 * time.Millisecond, 10, 44 * time.Second},
		{"three keys", 5 * time.Millisecond, 3, 44 * time.Second},
		{"many requests", time.Millisecond, 40, 40 * time.Second},
	} {
		for _, phase := range []time.Duration{0, 130 * time.Millisecond, time.Second} {
			t.Run(c.name+" "+phase.String(), func(t *testing.T) { playMoves(t, c.every, phase, c.end+phase, c.keys) })
		}
	}
}

func playMoves(t *testing.T, every, phase, end time.Duration, keys uint64) {
	const window, most = 2 * time.Second, 0.15
	is := is.New(t)
	s, p := &spill{moves: &moves{}}, &Pool{home: 2, all: 6, regions: 3}
	var shares []float64
	left, all := 0, 0
	count := uint64(0)
	for now := int64(1); now < int64(end); now += int64(every) {
		rather := now > int64(4*time.Second) && now < int64(22*time.Second)
		key := uint64(now)
		if keys > 0 {
			count++
			key = (count%keys + 1) * hashMix
		}
		all++
		if s.leaves(p, key, rather, now) {
			left++
		}
		if (now-int64(phase))/int64(window) != (now-int64(phase)+int64(every))/int64(window) {
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
