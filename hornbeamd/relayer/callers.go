package relayer

import (
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// callers knows which of the callers' connections are in use, and since when the
// others have been idle.
type callers struct {
	now  func() int64
	mu   sync.Mutex
	busy map[net.Conn]bool
	idle map[net.Conn]int64
}

func (c *callers) note(k net.Conn, s fasthttp.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy == nil {
		c.busy, c.idle = map[net.Conn]bool{}, map[net.Conn]int64{}
	}
	delete(c.busy, k)
	delete(c.idle, k)
	switch s {
	case fasthttp.StateActive:
		c.busy[k] = true
	case fasthttp.StateIdle:
		c.idle[k] = c.now()
	}
}

func (c *callers) active() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(c.busy)
	for k := range c.idle {
		if caller, ok := k.(*conn); ok && caller.pending.Load() > 0 {
			n++
		}
	}
	return n
}

// closeIdle closes the connections that have been idle for longer than limit, but
// for those on which a request has just arrived.
func (c *callers) closeIdle(limit time.Duration) {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for k, since := range c.idle {
		if now-since < int64(limit) {
			continue
		}
		caller, ok := k.(*conn)
		if !ok {
			_ = k.Close()
		}
		if !ok || caller.closeIdle() {
			delete(c.idle, k)
		}
	}
}
