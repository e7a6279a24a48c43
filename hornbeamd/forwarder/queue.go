package forwarder

import (
	"sync"
	"sync/atomic"
	"time"

	"hornbeamstream.example/core/router"
)

const (
	// A request waits for a free slot for up to half the service's 95th
	// percentile of the time to the first byte, within these bounds. That smooths
	// bursts and lets credits from peers arrive; a longer wait would only turn
	// overload into latency.
	minQueueWait = 5 * time.Millisecond
	maxQueueWait = 50 * time.Millisecond
	// maxQueued bounds the queued requests of one service.
	maxQueued = 64
	// minRunTime is the minimum time that must be left after a wait.
	minRunTime = 2 * time.Millisecond
)

// waitQueue lets requests of one service wait for a slot that is released here.
type waitQueue struct {
	waiting atomic.Int64
	wakeups chan struct{}
	// firstByteP95 is the 95th percentile of the service's time to the first
	// byte.
	firstByteP95 quantile
}

func (f *Forwarder) queue(service string) *waitQueue {
	if q := (*f.queues.Load())[service]; q != nil {
		return q
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	old := *f.queues.Load()
	if q := old[service]; q != nil {
		return q
	}
	next := make(map[string]*waitQueue, len(old)+1)
	for k, q := range old {
		next[k] = q
	}
	q := &waitQueue{wakeups: make(chan struct{}, maxQueued)}
	next[service] = q
	f.queues.Store(&next)
	return q
}

// wake lets up to n queued requests try again.
func (q *waitQueue) wake(n int64) {
	for range min(n, q.waiting.Load()) {
		select {
		case q.wakeups <- struct{}{}:
		default:
			return
		}
	}
}

var timerPool = sync.Pool{New: func() any { return time.NewTimer(time.Hour) }}

// wait retries the choice whenever a slot may have become free, and once more at
// the end of the wait. It resets c.tried, because all tries so far were refused
// for lack of a slot and their targets and peers may have one by now.
func (q *waitQueue) wait(f *Forwarder, c *call) (router.Choice, router.Reason) {
	now := f.now()
	if c.queueDeadline == 0 {
		c.queueDeadline = q.waitDeadline(now, c.req.Deadline)
	}
	c.tried = router.Tried{}
	waitFirst := c.fullPeers == maxFullPeers
	if now >= c.queueDeadline || !q.tryEnter() {
		if waitFirst {
			return c.req.Table.Choose(&c.routing, now, &c.tried)
		}
		return router.Choice{}, router.NoFreeSlot
	}
	defer q.waiting.Add(-1)
	timer := timerPool.Get().(*time.Timer)
	defer timerPool.Put(timer)
	defer timer.Stop()
	for {
		if !waitFirst {
			// A slot may have become free before this request was queued.
			choice, reason := c.req.Table.Choose(&c.routing, now, &c.tried)
			if reason != router.NoFreeSlot || now >= c.queueDeadline {
				return choice, reason
			}
		}
		waitFirst = false
		timer.Reset(time.Duration(c.queueDeadline - now))
		select {
		case <-q.wakeups:
		case <-timer.C:
		}
		now = f.now()
	}
}

// waitDeadline returns the time until which a request may wait.
func (q *waitQueue) waitDeadline(now, deadline int64) int64 {
	firstByteP95 := q.firstByteP95.value.Load()
	wait := min(max(firstByteP95/2, int64(minQueueWait)), int64(maxQueueWait))
	return min(now+wait, deadline-max(firstByteP95, int64(minRunTime)))
}

// tryEnter adds a request unless the queue is full.
func (q *waitQueue) tryEnter() bool {
	if q.waiting.Add(1) <= maxQueued {
		return true
	}
	q.waiting.Add(-1)
	return false
}
