package relayer

import (
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

// passedDeadline is a deadline that has passed.
var passedDeadline = time.Unix(1, 0)

// receiver is the state of a call of conn.receive.
type receiver struct {
	// try is conn.tryReceive, bound once so that receiving does not allocate.
	try func(fd uintptr) (done bool)
	buf []byte
	n   int
	err error
}

// receive reads bytes that arrive. Once no further request is read, it returns only bytes of
// a request that has begun and that have arrived already.
func (c *conn) receive(p []byte) (n int, err error) {
	c.mu.Lock()
	begun, readsEnded := c.begun, c.readsEnded
	c.mu.Unlock()
	if readsEnded && !begun {
		return 0, io.EOF
	}
	r := &c.receiver
	r.buf, r.n, r.err = p, 0, nil
	waitErr := c.raw.Read(r.try)
	if waitErr != nil && c.hasReadsEnded() {
		// The deadline has passed, but bytes may have arrived before.
		if err := c.raw.Control(func(fd uintptr) { r.try(fd) }); err != nil {
			return 0, err
		}
		if r.err != syscall.EAGAIN {
			waitErr = nil
		}
	}
	switch {
	case waitErr != nil:
		return 0, waitErr
	case r.err != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", r.err)}
	case r.n == 0 && len(p) > 0:
		return 0, io.EOF
	}
	return r.n, nil
}

// tryReceive reads the bytes that have arrived. It reports false if there are none. That they
// have been read is noted in the same step, so that the connection isn't closed as idle in
// between.
func (c *conn) tryReceive(fd uintptr) (done bool) {
	r := &c.receiver
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == ended {
		r.n, r.err = 0, net.ErrClosed
		return true
	}
	for {
		r.n, r.err = syscall.Read(int(fd), r.buf)
		if r.err != syscall.EINTR {
			break
		}
	}
	r.n = max(0, r.n)
	c.begun = c.begun || r.n > 0
	return r.err != syscall.EAGAIN
}

// begin notes that bytes of a request have been read.
func (c *conn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begun = true
}

// hasArrived reports whether a part of a request has arrived, read or not, while none is in
// progress. The caller holds mu.
func (c *conn) hasArrived() bool {
	return c.begun || c.readAheadLen.Load() > 0 || c.hasUnread()
}

// hasReadFurther reports whether bytes behind the current request have been read. Only the
// goroutine that serves the connection uses it.
func (c *conn) hasReadFurther() bool {
	return len(c.pipelined) > 0 || len(c.readAhead) > 0 || c.overRead
}

// noteBodyEnd notes whether bytes behind the body of the current request have been read. That
// isn't known of a chunked body.
func (c *conn) noteBodyEnd(length int) {
	const chunked = -1
	c.overRead = length != chunked && c.bodyBytes > max(0, length)
}

func (c *conn) hasReadsEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readsEnded
}

// endReads closes the connection unless a part of a request has arrived. The connection then
// reads only what has arrived, and is closed after the response.
func (c *conn) endReads() {
	c.mu.Lock()
	c.readsEnded = true
	closes := false
	switch {
	case c.phase == serving, c.phase == closing, c.phase == ended:
	case c.hasArrived():
		c.begun = true
		_ = c.TCPConn.SetReadDeadline(passedDeadline)
	default:
		c.phase, closes = ended, true
	}
	c.mu.Unlock()
	if closes {
		c.closeEnded()
	}
}
