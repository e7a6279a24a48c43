package forwarder

import (
	"sync"
	"sync/atomic"
	"time"

	"hornbeamstream.example/core/router"
)

const (
	// A request waits for a free slot for up to half the service's usual time
	// within these bounds. That smooths bursts and lets credits arrive; a longer
	// wait would only move overload into latency.
	minQueueTime = 5 * time.Millisecond
	maxQueueTime = 50 * time.Millisecond
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

// wait tries again whenever a slot may have become free and once at the end of
// the request's time for it. All tries so far were refused for lack of a slot,
// so that their places come into question again.
func (q *queue) wait(f *Forwarder, c *call) (router.Choice, router.Reason) {
	now := f.now()
	if c.until == 0 {
		c.until = q.end(now, c.req.Deadline)
	}
	c.tried = router.Tried{}
	pause := c.misses == maxMisses
	if now >= c.until || !q.enter() {
		if pause {
			return c.req.Table.Choose(&c.q, now, &c.tried)
		}
		return router.Choice{}, router.NoFreeSlot
	}
	defer q.waiting.Add(-1)
	timer := timers.Get().(*time.Timer)
	defer timers.Put(timer)
	defer timer.Stop()
	for {
		if !pause {
			// A slot may have become free before this request was counted.
			choice, reason := c.req.Table.Choose(&c.q, now, &c.tried)
			if reason != router.NoFreeSlot || now >= c.until {
				return choice, reason
			}
		}
		pause = false
		timer.Reset(time.Duration(c.until - now))
		select {
		case <-q.woken:
		case <-timer.C:
		}
		now = f.now()
	}
}

// end returns the time until which a request may wait.
func (q *queue) end(now, deadline int64) int64 {
	usual := q.usual.value.Load()
	wait := min(max(usual/2, int64(minQueueTime)), int64(maxQueueTime))
	return min(now+wait, deadline-max(usual, int64(runTime)))
}

// enter counts a waiting request unless the queue is full.
func (q *queue) enter() bool {
	if q.waiting.Add(1) <= queueSize {
		return true
	}
	q.waiting.Add(-1)
	return false
}
