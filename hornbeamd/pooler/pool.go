package pooler

import (
	"errors"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// dialTimeout limits the opening of a connection. A lost SYN is
	// retransmitted after 1 s at the earliest, so waiting longer rarely helps.
	dialTimeout = 600 * time.Millisecond
	// unackedTimeout is how long sent bytes may stay unacknowledged before the
	// kernel closes the connection.
	unackedTimeout = 5 * time.Second
	// defaultIdleTimeout is how long an idle connection is kept if the peer
	// announces no timeout; idleTimeoutFraction is the fraction of an announced
	// timeout that is used, so that no request crosses the peer's close.
	defaultIdleTimeout  = 7 * time.Second
	idleTimeoutFraction = 0.7
	// maxIdleConns limits the idle connections to one address.
	maxIdleConns = 32
)

// Errors returned by Get. Nothing was sent.
var (
	ErrTooManyConns = errors.New("connection limit reached")
	ErrClosed       = errors.New("pool is closed")
)

// Pool holds the connections to one upstream.
type Pool struct {
	Address string
	// IdleLimit is shared by the pools of a service; nil for no learned limit.
	IdleLimit *IdleLimit

	mu        sync.Mutex
	idle      []*Conn
	openConns int
	closed    bool
	// idleTimeout is how long the upstream keeps idle connections, less a
	// margin; 0 if unknown.
	idleTimeout time.Duration
}

// Get returns an idle connection that has been active since the given time, or
// dials a new one. Limit is the maximum number of open connections. Fresh
// reports whether the connection is new.
func (p *Pool) Get(since, now, deadline int64, limit int) (c *Conn, fresh bool, err error) {
	for {
		c, err = p.acquire(since, now, limit)
		if err != nil {
			return nil, false, err
		}
		if c == nil {
			c, err = p.dial(now, deadline)
			return c, true, err
		}
		if c.Reusable() {
			return c, false, nil
		}
		p.Discard(c)
	}
}

// acquire returns the most recently used idle connection. It returns nil if
// there is none; the caller must then dial a connection, which is counted as
// open already.
func (p *Pool) acquire(since, now int64, limit int) (*Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	p.closeExpiredLocked(now)
	if n := len(p.idle); n > 0 && p.idle[n-1].LastActive >= since {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		return c, nil
	}
	if p.openConns >= limit {
		if len(p.idle) == 0 {
			return nil, ErrTooManyConns
		}
		p.closeConnLocked(p.idle[0])
		p.idle = append(p.idle[:0], p.idle[1:]...)
	}
	p.openConns++
	return nil, nil
}

// closeExpiredLocked closes idle connections that the peer may be about to
// close. The caller must hold p.mu.
func (p *Pool) closeExpiredLocked(now int64) {
	keep := p.idleTimeout
	if keep == 0 {
		keep = defaultIdleTimeout
	}
	if p.IdleLimit != nil {
		keep = min(keep, p.IdleLimit.limit(now))
	}
	p.closeIdleBeforeLocked(now - int64(keep))
}

// closeIdleBeforeLocked closes the idle connections that have not been active
// since the given time. The caller must hold p.mu.
func (p *Pool) closeIdleBeforeLocked(since int64) {
	p.idle = slices.DeleteFunc(p.idle, func(c *Conn) bool {
		old := c.LastActive < since
		if old {
			p.closeConnLocked(c)
		}
		return old
	})
}

// closeConnLocked closes a connection. The caller must hold p.mu.
func (p *Pool) closeConnLocked(c *Conn) {
	_ = c.Close()
	p.openConns--
}

func (p *Pool) dial(now, deadline int64) (*Conn, error) {
	d := net.Dialer{
		Timeout:   min(time.Duration(deadline-now), dialTimeout),
		KeepAlive: -1,
		Control:   setUserTimeout,
	}
	nc, err := d.Dial("tcp", p.Address)
	if err != nil {
		p.mu.Lock()
		p.openConns--
		p.mu.Unlock()
		return nil, err
	}
	return NewConn(nc, now), nil
}

// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT, in milliseconds.
const tcpUserTimeout = 0x12

func setUserTimeout(_, _ string, rc syscall.RawConn) error {
	var serr error
	err := rc.Control(func(fd uintptr) {
		serr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout/time.Millisecond))
	})
	return errors.Join(err, serr)
}

// Put returns a connection on which a response has ended cleanly to the pool.
func (p *Pool) Put(c *Conn, now int64) {
	c.Used, c.LastActive = true, now
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeExpiredLocked(now)
	if p.closed || len(p.idle) >= maxIdleConns {
		p.closeConnLocked(c)
		return
	}
	p.idle = append(p.idle, c)
}

// Discard resets a connection, which cancels the request in progress on it.
func (p *Pool) Discard(c *Conn) {
	c.Reset()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openConns--
}

// SetPeerIdleTimeout sets how long the peer keeps idle connections.
func (p *Pool) SetPeerIdleTimeout(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idleTimeout = time.Duration(float64(d) * idleTimeoutFraction)
}

// CloseIdleBefore closes the idle connections that have not been active since
// the given time.
func (p *Pool) CloseIdleBefore(since int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdleBeforeLocked(since)
}

// Close closes the idle connections; those in use are closed when they are
// returned.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		p.closeConnLocked(c)
	}
	p.idle = nil
}
