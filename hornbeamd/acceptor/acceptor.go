// Package acceptor accepts connections in spite of a shortage of descriptors, and bounds
// the number of open ones.
package acceptor

import (
	"container/list"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// minDelay and maxDelay bound the exponential backoff after a failure to accept.
	minDelay = 5 * time.Millisecond
	maxDelay = 500 * time.Millisecond
)

// IsShortage reports whether err means that the process or the machine has no descriptor or
// memory left for another connection.
func IsShortage(err error) bool {
	for _, e := range [...]error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// isTransient reports whether accepting may succeed later.
func isTransient(err error) bool {
	return IsShortage(err) || errors.Is(err, syscall.ECONNABORTED) || errors.Is(err, syscall.EINTR)
}

// Accept accepts a connection. It repeats a transient failure with exponential backoff, so
// that it returns only errors after which the listener is of no use. OnShortage, if not nil,
// is called with each transient failure.
func Accept(ln net.Listener, onShortage func(error)) (net.Conn, error) {
	for delay := minDelay; ; delay = min(2*delay, maxDelay) {
		c, err := ln.Accept()
		if err == nil || !isTransient(err) {
			return c, err
		}
		if onShortage != nil {
			onShortage(err)
		}
		time.Sleep(delay)
	}
}

// Listener bounds the open connections of the listener that it wraps. At the bound it closes
// the connection from which nothing has been read for the longest time. It suits servers that
// answer at once.
type Listener struct {
	net.Listener
	// Max is the largest number of open connections; 0 means no limit.
	Max int
	// OnShortage, if not nil, is called when a shortage of descriptors delays accepting.
	OnShortage func(error)

	mu sync.Mutex
	// conns holds the open *trackedConn, the least recently read first.
	conns list.List
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	nc, err := Accept(l.Listener, l.OnShortage)
	if err != nil {
		return nil, err
	}
	c := &trackedConn{Conn: nc, listener: l}
	l.mu.Lock()
	c.element = l.conns.PushBack(c)
	var oldest *trackedConn
	if l.Max > 0 && l.conns.Len() > l.Max {
		oldest = l.conns.Front().Value.(*trackedConn)
	}
	l.mu.Unlock()
	if oldest != nil {
		_ = oldest.Close()
	}
	return c, nil
}

// trackedConn is an accepted connection.
type trackedConn struct {
	net.Conn
	listener *Listener
	// element is the connection's place in the listener's list.
	element *list.Element
}

// Read implements net.Conn.
func (c *trackedConn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	if n > 0 {
		c.listener.mu.Lock()
		// Without effect if the connection has been removed.
		c.listener.conns.MoveToBack(c.element)
		c.listener.mu.Unlock()
	}
	return n, err
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	c.listener.conns.Remove(c.element)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
