package forwarder

import (
	"sync"
	"sync/atomic"
	"time"

	"hornbeamstream.example/core/router"
)

const (
	// queueTime is the longest wait for a free slot. It smooths bursts; a longer
	// wait would only move overload into latency.
	queueTime = 5 * time.Millisecond
	// queueSize bounds the requests of one service that wait.
	queueSize = 64
	// runTime is the least time that must be left after a wait.
	runTime = 2 * time.Millisecond
)

// queue lets requests of one service wait for a slot that is given back here.
type queue struct {
	waiting atomic.Int64
	woken   chan struct{}
	// usual is the 95th percentile of the service's time to the first byte.
	usual quantile
}

func (f *Forwarder) queue(service string) *queue {
	if q := (*f.queues.Load())[service]; q != nil {
		return q
	}
	f.grow.Lock()
	defer f.grow.Unlock()
	old := *f.queues.Load()
	if q := old[service]; q != nil {
		return q
	}
	next := make(map[string]*queue, len(old)+1)
	for k, q := range old {
		next[k] = q
	}
	q := &queue{woken: make(chan struct{}, queueSize)}
	next[service] = q
	f.queues.Store(&next)
	return q
}

// wake lets up to n waiting requests try again.
func (q *queue) wake(n int64) {
	for range min(n, q.waiting.Load()) {
		select {
		case q.woken <- struct{}{}:
		default:
			return
		}
	}
}

var timers = sync.Pool{New: func() any { return time.NewTimer(time.Hour) }}

// wait tries again whenever a slot is given back, for a short time.
func (q *queue) wait(f *Forwarder, c *call) (router.Choice, router.Reason) {
	now := f.now()
	until := min(now+int64(queueTime), c.req.Deadline-int64(runTime))
	if until <= now || q.waiting.Load() >= queueSize {
		return router.Choice{}, router.Full
	}
	q.waiting.Add(1)
	defer q.waiting.Add(-1)
	timer := timers.Get().(*time.Timer)
	defer timers.Put(timer)
	defer timer.Stop()
	for {
		// A slot may have become free before this request was counted.
		choice, reason := c.req.Table.Choose(&c.q, now, &c.tried)
		if reason != router.Full || now >= until {
			return choice, reason
		}
		timer.Reset(time.Duration(until - now))
		select {
		case <-q.woken:
		case <-timer.C:
		}
		now = f.now()
	}
}
