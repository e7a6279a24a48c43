package forwarder

import (
	"time"

	"hornbeamstream.example/hornbeamd/pooler"
)

const (
	// tickTime is the time between two looks at the idle connections.
	tickTime = 200 * time.Millisecond
	// probeTime is the age of the last byte at which an idle connection is
	// probed, so that a silent one is found within provenTime.
	probeTime = provenTime - tickTime
	// emptyTime is how long a pool without connections is kept.
	emptyTime = time.Minute
	// maxProbe bounds the wait for the answer to a probe.
	maxProbe = 500 * time.Millisecond
)

var probe = []byte("GET /health HTTP/1.1\r\nHost: health\r\n\r\n")

// maintain looks after idle connections until the forwarder is closed.
func (f *Forwarder) maintain() {
	ticker := time.NewTicker(tickTime)
	defer ticker.Stop()
	for {
		select {
		case <-f.done:
			return
		case <-ticker.C:
		}
		f.look(f.now())
	}
}

func (f *Forwarder) look(now int64) {
	var empty []poolKey
	for k, p := range *f.pools.Load() {
		p.expire(now)
		if c := p.stale(now); c != nil {
			go p.probe(c)
		}
		if p.unused(now) {
			empty = append(empty, k)
		}
	}
	if len(empty) > 0 {
		f.removePools(empty)
	}
}

// removePools forgets addresses. A request that still has such a pool uses it
// to the end.
func (f *Forwarder) removePools(keys []poolKey) {
	f.grow.Lock()
	defer f.grow.Unlock()
	next := make(map[poolKey]*pool)
	for k, p := range *f.pools.Load() {
		next[k] = p
	}
	for _, k := range keys {
		delete(next, k)
	}
	f.pools.Store(&next)
}

func (p *pool) unused(now int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open == 0 && now-p.last > int64(emptyTime)
}

// expire closes connections that have been idle for long.
func (p *pool) expire(now int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdle(func(c *pooler.Conn) bool { return now-c.LastDone > int64(idleTime) })
}

// stale takes out the idle connection that has been silent longest, if it is
// time to probe it and no other one is being probed.
func (p *pool) stale(now int64) *pooler.Conn {
	if p.pinging.Load() {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	oldest := -1
	for i, c := range p.idle {
		if now-c.LastActive > int64(probeTime) && (oldest < 0 || c.LastActive < p.idle[oldest].LastActive) {
			oldest = i
		}
	}
	if oldest < 0 {
		return nil
	}
	c := p.idle[oldest]
	p.idle = append(p.idle[:oldest], p.idle[oldest+1:]...)
	p.pinging.Store(true)
	return c
}

// probe asks for the other end's health on an idle connection. Without an answer
// all connections are closed that have not worked since.
func (p *pool) probe(c *pooler.Conn) {
	defer p.pinging.Store(false)
	x := acquireExchange()
	defer x.release()
	now := p.now()
	x.pool, x.conn, x.probing = p, c, true
	x.deadline = now + int64(min(p.suspicion(), maxProbe))
	x.wire = append(x.wire[:0], probe...)
	err := x.send(nil, 0)
	if err == nil {
		err = x.peek(x.deadline)
	}
	if err == nil {
		err = x.receive(nil, false)
	}
	if err != nil || !x.whole {
		x.abort()
		if isTimeout(err) {
			p.dropIdle(now)
		}
		return
	}
	if string(x.header.Peek(HeaderState)) == "leaving" {
		p.stats.leaving.Store(true)
	}
	x.settle()
}
