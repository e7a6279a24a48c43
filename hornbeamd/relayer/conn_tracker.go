package relayer

import (
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// connTracker tracks which connections of callers are active, and since when
// the others have been idle.
type connTracker struct {
	now         func() int64
	mu          sync.Mutex
	activeConns map[net.Conn]bool
	idleSince   map[net.Conn]int64
}

func (c *connTracker) setConnState(nc net.Conn, s fasthttp.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.activeConns == nil {
		c.activeConns, c.idleSince = map[net.Conn]bool{}, map[net.Conn]int64{}
	}
	delete(c.activeConns, nc)
	delete(c.idleSince, nc)
	switch s {
	case fasthttp.StateActive:
		c.activeConns[nc] = true
	case fasthttp.StateIdle:
		c.idleSince[nc] = c.now()
	}
}

func (c *connTracker) countActive() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(c.activeConns)
	for nc := range c.idleSince {
		if caller, ok := nc.(*conn); ok && caller.readAheadLen.Load() > 0 {
			n++
		}
	}
	return n
}

// closeIdle closes the connections that have been idle for longer than limit,
// except those on which a request has just arrived.
func (c *connTracker) closeIdle(limit time.Duration) {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for nc, since := range c.idleSince {
		if now-since < int64(limit) {
			continue
		}
		caller, ok := nc.(*conn)
		if !ok {
			_ = nc.Close()
		}
		if !ok || caller.closeIdle() {
			delete(c.idleSince, nc)
		}
	}
}
