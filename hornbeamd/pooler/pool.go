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
	// dialTime bounds the opening of a connection. A lost SYN is sent again
	// after 1 s only, so that waiting longer rarely helps.
	dialTime = 600 * time.Millisecond
	// silentTime is how long sent bytes may stay without acknowledgement before
	// the kernel gives a connection up.
	silentTime = 5 * time.Second
	// idleTime is how long an idle connection is kept when the other end names no
	// time of its own; idleShare is the part of a named time that is used, since
	// a request must not cross the other end's close.
	idleTime  = 7 * time.Second
	idleShare = 0.7
	// maxIdle bounds the idle connections to one address.
	maxIdle = 32
)

// Errors of Get. Nothing was sent.
var (
	ErrTooManyConns = errors.New("the limit of connections is reached")
	ErrClosed       = errors.New("the pool is closed")
)

// Pool holds the connections to one upstream.
type Pool struct {
	Address string
	// Idle is shared by the pools of upstreams of one kind; nil for none.
	IdleLimit *IdleLimit

	mu     sync.Mutex
	idle   []*Conn
	open   int
	closed bool
	// idleFor is how long the upstream keeps idle connections, less a margin.
	idleFor time.Duration
}

// Get returns an idle connection on which a byte has arrived since the given
// time, or opens one. Limit bounds the open connections. Fresh tells that the
// connection is new.
func (p *Pool) Get(since, now, deadline int64, limit int) (c *Conn, fresh bool, err error) {
	for {
		c, err = p.take(since, now, limit)
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

// take returns an idle connection, or nil after it has counted the one that the
// caller opens. The connection used last comes first.
func (p *Pool) take(since, now int64, limit int) (*Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	p.expire(now)
	if n := len(p.idle); n > 0 && p.idle[n-1].LastActive >= since {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		return c, nil
	}
	if p.open >= limit {
		if len(p.idle) == 0 {
			return nil, ErrTooManyConns
		}
		p.drop(p.idle[0])
		p.idle = append(p.idle[:0], p.idle[1:]...)
	}
	p.open++
	return nil, nil
}

// expire closes connections that the other end may be about to close. The pool
// is locked.
func (p *Pool) expire(now int64) {
	keep := p.idleFor
	if keep == 0 {
		keep = idleTime
	}
	if p.IdleLimit != nil {
		keep = min(keep, p.IdleLimit.limit(now))
	}
	p.dropBefore(now - int64(keep))
}

// dropBefore closes the idle connections that have not proven to work since the
// given time. The pool is locked.
func (p *Pool) dropBefore(since int64) {
	p.idle = slices.DeleteFunc(p.idle, func(c *Conn) bool {
		old := c.LastActive < since
		if old {
			p.drop(c)
		}
		return old
	})
}

// drop closes a connection. The pool is locked.
func (p *Pool) drop(c *Conn) {
	_ = c.Close()
	p.open--
}

func (p *Pool) dial(now, deadline int64) (*Conn, error) {
	d := net.Dialer{
		Timeout:   min(time.Duration(deadline-now), dialTime),
		KeepAlive: -1,
		Control:   limitSilence,
	}
	nc, err := d.Dial("tcp", p.Address)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, err
	}
	return NewConn(nc, now), nil
}

// userTimeout is the option TCP_USER_TIMEOUT of Linux, in milliseconds.
const userTimeout = 0x12

func limitSilence(_, _ string, rc syscall.RawConn) error {
	var serr error
	err := rc.Control(func(fd uintptr) {
		serr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, userTimeout, int(silentTime/time.Millisecond))
	})
	return errors.Join(err, serr)
}

// Put takes a connection back on which an answer has ended cleanly.
func (p *Pool) Put(c *Conn, now int64) {
	c.Used, c.LastActive = true, now
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(now)
	if p.closed || len(p.idle) >= maxIdle {
		p.drop(c)
		return
	}
	p.idle = append(p.idle, c)
}

// Discard closes a connection, which cancels what runs on it.
func (p *Pool) Discard(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drop(c)
}

// KeepIdle sets the time for which the other end keeps idle connections.
func (p *Pool) SetPeerIdleTimeout(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idleFor = time.Duration(float64(d) * idleShare)
}

// Distrust closes the idle connections that have not proven to work since the
// given time.
func (p *Pool) CloseIdleBefore(since int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropBefore(since)
}

// Close closes the idle connections and, at their end, all others.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		p.drop(c)
	}
	p.idle = nil
}
