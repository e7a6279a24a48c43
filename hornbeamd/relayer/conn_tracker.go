package relayer

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// roomPollInterval is the time between two attempts to make room for a connection while a
// request is in progress on each one.
const roomPollInterval = 20 * time.Millisecond

// connTracker tracks the callers' connections, which of them are active, and since when the
// others have been idle.
type connTracker struct {
	now func() int64
	// limit is the number of open connections from which on others are closed or
	// accepting is delayed; 0 for no limit.
	limit int
	// evict closes a connection in favor of a new one. It reports whether it did.
	evict func() bool
	// onShortage is called when a shortage of descriptors delays accepting.
	onShortage func(error)
	// draining reports that connections are closed after their responses. From then on
	// requests are read only when their turn comes.
	draining atomic.Bool

	mu sync.Mutex
	// readsEnded reports that no further request is read.
	readsEnded  bool
	open        map[*conn]struct{}
	activeConns map[net.Conn]bool
	idleSince   map[net.Conn]int64
}

// add adds an accepted connection.
func (c *connTracker) add(nc *conn) {
	nc.progressAt.Store(c.now())
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == nil {
		c.open = map[*conn]struct{}{}
	}
	c.open[nc] = struct{}{}
	nc.readsEnded = c.readsEnded
}

// remove removes a connection that has been closed.
func (c *connTracker) remove(nc *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, nc)
}

func (c *connTracker) openCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// awaitRoom waits until one more connection may be open.
func (c *connTracker) awaitRoom() {
	for c.limit > 0 && c.openCount() >= c.limit {
		if c.evict == nil || !c.evict() {
			time.Sleep(roomPollInterval)
		}
	}
}

// selectVictim returns the connection that precedes all others, nil if none may be closed.
// Owner is left out.
func (c *connTracker) selectVictim(owner *conn, precedes func(a, b evictionCandidate) bool, excluded map[*conn]bool) (victim *conn, best evictionCandidate) {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for nc := range c.open {
		if nc == owner || excluded[nc] {
			continue
		}
		if e, ok := nc.candidate(now); ok && (victim == nil || precedes(e, best)) {
			victim, best = nc, e
		}
	}
	return victim, best
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

// ConnCounts is the number of the callers' connections by what they are used for.
type ConnCounts struct {
	// Open is the number of all connections. Those that are neither active nor idle
	// have not sent a byte yet, or are being closed.
	Open int
	// Active is the number of connections on which a request is arriving or in progress.
	Active int
	// Idle is the number of connections that wait for a further request.
	Idle int
}

func (c *connTracker) counts() ConnCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := ConnCounts{Open: len(c.open), Active: len(c.activeConns)}
	for nc := range c.idleSince {
		if caller, ok := nc.(*conn); ok && caller.readAheadLen.Load() > 0 {
			n.Active++
		} else {
			n.Idle++
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

// endReads makes all connections read no further request.
func (c *connTracker) endReads() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readsEnded = true
	for nc := range c.open {
		nc.endReads()
	}
}
