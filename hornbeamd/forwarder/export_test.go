package forwarder

import "time"

// Idle returns the number of idle connections.
func (f *Forwarder) IdleConns() int {
	n := 0
	for _, p := range *f.pools.Load() {
		p.mu.Lock()
		n += len(p.idle)
		p.mu.Unlock()
	}
	return n
}

// Waiting returns the number of requests that wait for a slot.
func (f *Forwarder) Queued(service string) int { return int(f.queue(service).waiting.Load()) }

// Queue counts a request as waiting and returns the number of its wakes so far.
func (f *Forwarder) AddWaiter(service string) (woken func() int) {
	q := f.queue(service)
	q.waiting.Add(1)
	return func() int { return len(q.woken) }
}

// WaitTime returns how long a request of a service with the given usual time
// waits for a slot when it has the given time left.
func QueueWait(usual, left time.Duration) time.Duration {
	var q queue
	q.usual.value.Store(int64(usual))
	return time.Duration(q.end(0, int64(left)))
}

// Usual sets the usual time of a service.
func (f *Forwarder) SetServiceP95(service string, d time.Duration) {
	f.queue(service).usual.value.Store(int64(d))
}

// Wake tells a waiting request that a slot is free.
func (f *Forwarder) Wake(service string) { f.queue(service).wake(1) }
