// Package pooler pools connections to upstreams and decides which of them can
// be reused.
package pooler

import (
	"bufio"
	"net"
	"syscall"
	"time"

	"hornbeamstream.example/core/screener"
)

// maxHeaderBytes limits the header of a response.
const maxHeaderBytes = 8 << 10

// MinSendBufferBytes is less than the smallest default send buffer of a socket.
const MinSendBufferBytes = 4 << 10

// Conn is a pooled connection. It is used by one exchange at a time.
type Conn struct {
	*screener.Stream
	// Reader buffers the bytes received.
	Reader *bufio.Reader
	// LastActive is the time of the last received byte, or of the dial.
	LastActive int64
	// LastDone is the time at which the last exchange of a request ended.
	LastDone int64
	// Used reports whether an exchange has ended on this connection.
	Used bool
	// hasDeadline reports whether a write deadline is set.
	hasDeadline bool

	raw  syscall.RawConn
	peek func(fd uintptr)
	// count and err are the results of peek.
	count   int
	err     error
	peekBuf [1]byte
}

// NewConn returns a new connection. Now is the time in nanoseconds.
func NewConn(nc net.Conn, now int64) *Conn {
	stream := screener.NewStream(nc)
	c := &Conn{Stream: stream, Reader: bufio.NewReaderSize(stream, maxHeaderBytes), LastActive: now, LastDone: now}
	c.raw = rawConn(nc)
	c.peek = func(fd uintptr) {
		c.count, _, c.err = syscall.Recvfrom(int(fd), c.peekBuf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
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

// SetSendDeadline sets the write deadline if writes can block, and clears it
// otherwise. The send buffer is empty at the start of an exchange and takes
// MinSendBufferBytes without blocking.
func (c *Conn) SetSendDeadline(mayBlock bool, deadline int64) error {
	switch {
	case mayBlock:
		c.hasDeadline = true
		return c.SetWriteDeadline(time.Unix(0, deadline))
	case c.hasDeadline:
		c.hasDeadline = false
		return c.SetWriteDeadline(time.Time{})
	}
	return nil
}

// Reusable reports whether the connection is open and has nothing to read.
// Unexpected bytes would be taken for part of the next response.
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

// Reset closes the connection and drops the bytes that have not been delivered. After
// a regular close, the kernel would still deliver them when a network partition ends.
func (c *Conn) Reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// It fails only if the connection is closed already.
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// PeerClosed reports whether the peer has closed the connection.
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
