package dispatcher

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSpilloverIsLimited makes all requests cheaper in another region at once, and
// later cheaper at home again. The share of requests that leave the region must not
// change by more than 0.15 from one window of 2 s to the next, whatever the phase of
// the windows.
func TestSpilloverIsLimited(t *testing.T) {
	for _, c := range []struct {
		name     string
		interval time.Duration
		// keys is the number of keys, 0 if each request has its own.
		keys uint64
		// end is when nearly all requests are back. A popular key returns once the
		// share falls below its hash, and then only as fast as the limit allows.
		end time.Duration
	}{
		{"own keys", 5 * time.Millisecond, 0, 40 * time.Second},
		{"ten keys", 5 * time.Millisecond, 10, 44 * time.Second},
		{"three keys", 5 * time.Millisecond, 3, 44 * time.Second},
		{"many requests", time.Millisecond, 40, 40 * time.Second},
	} {
		for _, phase := range []time.Duration{0, 130 * time.Millisecond, time.Second} {
			t.Run(c.name+" "+phase.String(), func(t *testing.T) { testSpillover(t, c.interval, phase, c.end+phase, c.keys) })
		}
	}
}

func testSpillover(t *testing.T, interval, phase, end time.Duration, keys uint64) {
	const window, maxChange = 2 * time.Second, 0.15
	is := is.New(t)
	s, p := &spillover{moveLimiter: &moveLimiter{}}, &Pool{localSlots: 2, totalSlots: 6, regionCount: 3}
	var shares []float64
	left, total := 0, 0
	count := uint64(0)
	for now := int64(1); now < int64(end); now += int64(interval) {
		cheaperAway := now > int64(4*time.Second) && now < int64(22*time.Second)
		key := uint64(now)
		if keys > 0 {
			count++
			key = (count%keys + 1) * hashMultiplier
		}
		total++
		if s.leavesRegion(p, key, cheaperAway, now) {
			left++
		}
		if (now-int64(phase))/int64(window) != (now-int64(phase)+int64(interval))/int64(window) {
			shares = append(shares, float64(left)/float64(total))
			left, total = 0, 0
		}
	}
	highest := 0.0
	for i := 1; i < len(shares); i++ {
		is.True(shares[i]-shares[i-1] <= maxChange && shares[i-1]-shares[i] <= maxChange)
		highest = max(highest, shares[i])
	}
	is.True(highest > 0.8)               // requests do leave
	is.True(shares[len(shares)-1] < 0.1) // and return
}
