// Package pooler keeps connections to upstreams and knows which of them can be
// used again.
package pooler

import (
	"bufio"
	"net"
	"syscall"
	"time"
)

// headSize bounds the head of an answer in bytes.
const headSize = 8 << 10

// SendSize is less than the smallest usual send buffer in bytes.
const MinSendBufferBytes = 4 << 10

// Conn is a connection with what is known about it. It belongs to one exchange
// at a time.
type Conn struct {
	net.Conn
	// Reader buffers what arrives.
	Reader *bufio.Reader
	// Proven is the time at which the last byte arrived, or of the dial.
	LastActive int64
	// Ended is the time at which the last exchange of a request ended.
	LastDone int64
	// Used tells that an exchange has ended on this connection.
	Used bool
	// limited tells that writes have a deadline.
	limited bool

	raw  syscall.RawConn
	peek func(fd uintptr)
	// count and err are what peek has found.
	count int
	err   error
	one   [1]byte
}

// NewConn returns a fresh connection. Now is the time in nanoseconds.
func NewConn(nc net.Conn, now int64) *Conn {
	c := &Conn{Conn: nc, Reader: bufio.NewReaderSize(nc, headSize), LastActive: now, LastDone: now}
	c.raw = rawConn(nc)
	c.peek = func(fd uintptr) {
		c.count, _, c.err = syscall.Recvfrom(int(fd), c.one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	}
	return c
}

func rawConn(nc net.Conn) syscall.RawConn {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// LimitWrite sets the deadline of writes if they can block. The send buffer is
// empty at the start of an exchange and takes SendSize bytes at once.
func (c *Conn) SetSendDeadline(blocks bool, deadline int64) error {
	switch {
	case blocks:
		c.limited = true
		return c.SetWriteDeadline(time.Unix(0, deadline))
	case c.limited:
		c.limited = false
		return c.SetWriteDeadline(time.Time{})
	}
	return nil
}

// Quiet tells whether the connection is open and nothing has arrived on it. A
// byte that nobody asked for would be taken for part of the next answer.
func (c *Conn) Reusable() bool {
	if c.Reader.Buffered() > 0 {
		return false
	}
	if c.raw == nil {
		return true
	}
	err := c.raw.Control(c.peek)
	return err == nil && c.err == syscall.EAGAIN
}

// Closed tells whether the other end of a connection has closed it.
func PeerClosed(nc net.Conn) bool {
	raw := rawConn(nc)
	if raw == nil {
		return false
	}
	var n int
	var rerr error
	err := raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, rerr = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err != nil || rerr != nil && rerr != syscall.EAGAIN || rerr == nil && n == 0
}
