package generator

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Closed is a closed loop: every connection sends its next request when it has
// the answer to the last one.
type Closed struct {
	Address string
	Service string
	Conns   int
	Limit   time.Duration
	// Prefix begins all request ids.
	Prefix string
}

// Speed is what a closed loop measured.
type Speed struct {
	// Rate counts whole and right answers per second; Bad the other answers.
	Rate float64
	Bad  int
	P50  time.Duration
	P99  time.Duration
	// Cause is that of the first bad answer.
	Cause string
}

// Run sends for a time.
func (c Closed) Run(ctx context.Context, d time.Duration) Speed {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	var (
		g     sync.WaitGroup
		mu    sync.Mutex
		speed Speed
		all   = hdrhistogram.New(1, longest, 3)
	)
	began := time.Now()
	for i := range c.Conns {
		g.Go(func() {
			h, bad, cause := c.loop(ctx, fmt.Sprintf("%s%d-", c.Prefix, i))
			mu.Lock()
			defer mu.Unlock()
			all.Merge(h)
			speed.Bad += bad
			if speed.Cause == "" {
				speed.Cause = cause
			}
		})
	}
	g.Wait()
	speed.Rate = float64(all.TotalCount()) / time.Since(began).Seconds()
	speed.P50 = time.Duration(all.ValueAtQuantile(50)) * time.Microsecond
	speed.P99 = time.Duration(all.ValueAtQuantile(99)) * time.Microsecond
	return speed
}

func (c Closed) loop(ctx context.Context, prefix string) (h *hdrhistogram.Histogram, bad int, cause string) {
	h = hdrhistogram.New(1, longest, 3)
	caller := &caller{wire: newWire("")}
	defer caller.wire.close()
	f := Flow{Service: c.Service}
	for n := 0; ctx.Err() == nil; n++ {
		t, _ := caller.try(ctx, f, fmt.Sprint(prefix, n), c.Address, time.Now().Add(c.Limit))
		if t.Outcome == OK {
			_ = h.RecordValue(min(longest, max(1, t.End.Sub(t.Start).Microseconds())))
			continue
		}
		if ctx.Err() != nil {
			break
		}
		if bad++; cause == "" {
			cause = fmt.Sprintf("%s, status %d: %s", t.Outcome, t.Status, t.Cause)
		}
		time.Sleep(time.Millisecond)
	}
	return h, bad, cause
}
