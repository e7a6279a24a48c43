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

func (c *callers) note(conn net.Conn, s fasthttp.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy == nil {
		c.busy, c.idle = map[net.Conn]bool{}, map[net.Conn]int64{}
	}
	delete(c.busy, conn)
	delete(c.idle, conn)
	switch s {
	case fasthttp.StateActive:
		c.busy[conn] = true
	case fasthttp.StateIdle:
		c.idle[conn] = c.now()
	}
}

func (c *callers) active() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.busy)
}

// closeIdle closes the connections that have been idle for longer than limit.
func (c *callers) closeIdle(limit time.Duration) {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, since := range c.idle {
		if now-since >= int64(limit) {
			_ = conn.Close()
			delete(c.idle, conn)
		}
	}
}

// listener accepts connections of callers as conn.
type listener struct{ net.Listener }

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if tcp, ok := c.(*net.TCPConn); ok {
		return &conn{TCPConn: tcp}, err
	}
	return c, err
}

// conn is a caller's connection on which the head of a request must arrive in
// time. The bound is that of the configuration in force, which the server does
// not know. Only the goroutine that serves the connection uses it.
type conn struct {
	*net.TCPConn
	// headEnd is when the head must have arrived; zero while none is expected.
	headEnd time.Time
}

// expectHead begins or ends the wait for the rest of a head.
func (c *conn) expectHead(on bool, limit time.Duration) {
	c.headEnd = time.Time{}
	if on && limit > 0 && limit < headTime {
		c.headEnd = time.Now().Add(limit)
		// A connection that is closed already fails at the next read.
		_ = c.TCPConn.SetReadDeadline(c.headEnd)
	}
}

// SetReadDeadline implements net.Conn. The server's own bound for a head gives
// way to a closer one; that for a body is later and ends the wait for the head.
func (c *conn) SetReadDeadline(t time.Time) error {
	if !c.headEnd.IsZero() && time.Until(t) <= headTime {
		t = c.headEnd
	}
	return c.TCPConn.SetReadDeadline(t)
}
