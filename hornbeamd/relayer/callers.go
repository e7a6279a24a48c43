package relayer

import (
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// callers knows which of the callers' connections are in use, and since when the
// others have been idle.
type connTracker struct {
	now         func() int64
	mu          sync.Mutex
	activeConns map[net.Conn]bool
	idleSince   map[net.Conn]int64
}

func (c *connTracker) setConnState(k net.Conn, s fasthttp.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.activeConns == nil {
		c.activeConns, c.idleSince = map[net.Conn]bool{}, map[net.Conn]int64{}
	}
	delete(c.activeConns, k)
	delete(c.idleSince, k)
	switch s {
	case fasthttp.StateActive:
		c.activeConns[k] = true
	case fasthttp.StateIdle:
		c.idleSince[k] = c.now()
	}
}

func (c *connTracker) countActive() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(c.activeConns)
	for k := range c.idleSince {
		if caller, ok := k.(*conn); ok && caller.readAheadLen.Load() > 0 {
			n++
		}
	}
	return n
}

// closeIdle closes the connections that have been idle for longer than limit, but
// for those on which a request has just arrived.
func (c *connTracker) closeIdle(limit time.Duration) {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for k, since := range c.idleSince {
		if now-since < int64(limit) {
			continue
		}
		caller, ok := k.(*conn)
		if !ok {
			_ = k.Close()
		}
		if !ok || caller.closeIdle() {
			delete(c.idleSince, k)
		}
	}
}
