package emulator

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Open tells whether the other side has neither closed the connection nor, on
// an idle connection, sent anything. It does not wait and consumes no bytes.
func Open(c net.Conn) (open, quiet bool) {
	s, ok := c.(syscall.Conn)
	if !ok {
		return true, true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false, false
	}
	var n int
	var peek error
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, peek = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if err == nil {
		err = peek
	}
	switch {
	case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EINTR):
		return true, true
	case err != nil, n == 0:
		return false, true
	}
	return true, false
}

// conn is one connection at an upstream.
type conn struct {
	net.Conn
	owner  *Upstream
	closed sync.Once
	// silent connections accept bytes and never answer again.
	silent atomic.Bool
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closed.Do(func() { c.owner.forget(c) })
	return c.Conn.Close()
}

// listener applies the connection limit and the cost of a new connection.
type listener struct {
	net.Listener
	owner *Upstream
}

// Accept implements net.Listener. Connections above the limit are closed at
// once.
func (l listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		// The cost is paid one connection at a time, as by a single accepting
		// thread.
		time.Sleep(time.Duration(l.owner.Behavior().Open * float64(time.Millisecond)))
		c := &conn{Conn: nc, owner: l.owner}
		if l.owner.remember(c) {
			return c, nil
		}
		_ = nc.Close()
	}
}

type connKey struct{}

func withConn(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

func connOf(r *http.Request) *conn {
	c, _ := r.Context().Value(connKey{}).(*conn)
	return c
}

// remember counts a new connection and reports false above the limit.
func (u *Upstream) remember(c *conn) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	open := 1
	for o := range u.conns {
		if ok, _ := Open(o.Conn); ok {
			open++
		}
	}
	if u.behavior.Conns > 0 && open > u.behavior.Conns {
		u.count.Crowded++
		return false
	}
	u.count.Opened++
	u.count.Conns = max(u.count.Conns, open)
	u.conns[c] = true
	return true
}

func (u *Upstream) forget(c *conn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.conns, c)
}

// Silence makes up to n established connections silent for good and returns
// how many there were.
func (u *Upstream) Silence(n int) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	done := 0
	for c := range u.conns {
		if done == n {
			break
		}
		if open, _ := Open(c.Conn); open && !c.silent.Swap(true) {
			done++
		}
	}
	return done
}

// reset closes all connections.
func (u *Upstream) reset() {
	u.mu.Lock()
	conns := make([]*conn, 0, len(u.conns))
	for c := range u.conns {
		conns = append(conns, c)
	}
	u.mu.Unlock()
	for _, c := range conns {
		abort(c.Conn)
		_ = c.Close()
	}
}

// abort makes the next close send a reset.
func abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
}
