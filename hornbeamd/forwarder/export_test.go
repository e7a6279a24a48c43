package forwarder

import "time"

// IdleConns returns the number of idle connections.
func (f *Forwarder) IdleConns() int {
	n := 0
	for _, p := range *f.pools.Load() {
		p.mu.Lock()
		n += len(p.idle)
		p.mu.Unlock()
	}
	return n
}

// Queued returns the number of requests that wait for a slot.
func (f *Forwarder) Queued(service string) int { return int(f.queue(service).waiting.Load()) }

// AddWaiter counts a request as waiting. The returned function returns the
// number of pending wake-ups.
func (f *Forwarder) AddWaiter(service string) (woken func() int) {
	q := f.queue(service)
	q.waiting.Add(1)
	return func() int { return len(q.wakeups) }
}

// QueueWait returns how long a request with the given time left waits for a slot,
// if firstByteP95 is the service's 95th percentile of the time to the first byte.
func QueueWait(firstByteP95, left time.Duration) time.Duration {
	var q waitQueue
	q.firstByteP95.value.Store(int64(firstByteP95))
	return time.Duration(q.waitDeadline(0, int64(left)))
}

// SetServiceP95 sets a service's 95th percentile of the time to the first byte.
func (f *Forwarder) SetServiceP95(service string, d time.Duration) {
	f.queue(service).firstByteP95.value.Store(int64(d))
}

// Wake wakes a waiting request.
func (f *Forwarder) Wake(service string) { f.queue(service).wake(1) }
