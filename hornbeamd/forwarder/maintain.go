package forwarder

import (
	"time"

	"hornbeamstream.example/hornbeamd/pooler"
)

const (
	// maintainInterval is the time between two checks of the idle connections.
	maintainInterval = 200 * time.Millisecond
	// minProbeAge is the age of the last byte received at which an idle
	// connection is probed, so that a dead one is found within maxProvenAge.
	minProbeAge = maxProvenAge - maintainInterval
	// emptyPoolTimeout is how long a pool without connections is kept.
	emptyPoolTimeout = time.Minute
	// maxProbeTimeout bounds the wait for the response to a probe.
	maxProbeTimeout = 500 * time.Millisecond
)

var probeRequest = []byte("GET /health HTTP/1.1\r\nHost: health\r\n\r\n")

// maintain probes and expires idle connections until the forwarder is closed.
func (f *Forwarder) maintain() {
	ticker := time.NewTicker(maintainInterval)
	defer ticker.Stop()
	for {
		select {
		case <-f.done:
			return
		case <-ticker.C:
		}
		f.maintainPools(f.now())
		f.quarantine.expire(f.now())
	}
}

func (f *Forwarder) maintainPools(now int64) {
	var empty []poolKey
	for k, p := range *f.pools.Load() {
		p.closeExpired(now)
		if c := p.takeStale(now); c != nil {
			go p.probe(c)
		}
		if p.isUnused(now) {
			empty = append(empty, k)
		}
	}
	if len(empty) > 0 {
		f.removePools(empty)
	}
}

// removePools removes the pools of unused addresses. A request that already has
// such a pool continues to use it.
func (f *Forwarder) removePools(keys []poolKey) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := make(map[poolKey]*connPool)
	for k, p := range *f.pools.Load() {
		next[k] = p
	}
	for _, k := range keys {
		delete(next, k)
	}
	f.pools.Store(&next)
}

func (p *connPool) isUnused(now int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open == 0 && now-p.lastUsed > int64(emptyPoolTimeout)
}

// closeExpired closes the connections that have been idle for longer than
// idleTimeout.
func (p *connPool) closeExpired(now int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdle(func(c *pooler.Conn) bool { return now-c.LastDone > int64(idleTimeout) })
}

// takeStale removes and returns the idle connection that has been silent longest,
// if its probe is due and no other one is being probed.
func (p *connPool) takeStale(now int64) *pooler.Conn {
	if p.probing.Load() {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	oldest := -1
	for i, c := range p.idle {
		if now-c.LastActive > int64(minProbeAge) && (oldest < 0 || c.LastActive < p.idle[oldest].LastActive) {
			oldest = i
		}
	}
	if oldest < 0 {
		return nil
	}
	c := p.idle[oldest]
	p.idle = append(p.idle[:oldest], p.idle[oldest+1:]...)
	p.probing.Store(true)
	return c
}

// probe sends a health check on an idle connection. If there is no response in
// time, it closes all idle connections that have received nothing since.
func (p *connPool) probe(c *pooler.Conn) {
	defer p.probing.Store(false)
	x := acquireExchange()
	defer x.release()
	now := p.now()
	x.pool, x.conn, x.isProbe = p, c, true
	x.deadline = now + int64(min(p.suspicionTimeout(), maxProbeTimeout))
	x.request = append(x.request[:0], probeRequest...)
	err := x.send(nil, 0)
	if err == nil {
		err = x.awaitByte(x.deadline)
	}
	if err == nil {
		err = x.receive(nil, false)
	}
	if err != nil || !x.complete {
		x.closeConn()
		if isTimeout(err) {
			p.closeUnproven(now)
		}
		return
	}
	if string(x.header.Peek(HeaderState)) == "leaving" {
		p.stats.leaving.Store(true)
	}
	x.releaseConn()
}
