package forwarder

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamstream.example/core/limiter"
	"hornbeamstream.example/core/router"
)

// counts is a Metrics that counts decisions.
type counts struct {
	noMetrics
	decided map[Decision]int
}

func (c counts) CountDecision(_ string, d Decision) { c.decided[d]++ }

// Guards against bulk answers that do not yield on a full link, and against
// small ones or those of the same region that are made to wait.
func TestPace(t *testing.T) {
	const rate, size = 1e6, 4 << 20
	tests := []struct {
		name string
		bulk bool
		link *limiter.BandwidthLimiter
		want int
	}{
		{"bulk on a full link", true, new(limiter.BandwidthLimiter), 1},
		{"small on a full link", false, new(limiter.BandwidthLimiter), 0},
		{"bulk within the region", true, nil, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			m := counts{decided: map[Decision]int{}}
			now := time.Now().UnixNano()
			f := New(Config{Metrics: m, Now: func() int64 { return now }})
			defer f.Close()
			if tt.link != nil {
				tt.link.Set(rate, rate, math.MaxInt64)
				tt.link.Charge(now, size, true)
			}
			f.pace(tt.link, &router.Service{Name: "s", Bulk: tt.bulk}, 1, now+int64(time.Millisecond))
			is.Equal(m.decided[DecisionThrottled], tt.want)
		})
	}
}
