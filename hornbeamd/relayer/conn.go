package relayer

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// maxReadAheadBytes limits the bytes of further requests that are read ahead
	// to detect that the caller has closed its connection.
	maxReadAheadBytes = 32 << 10
	// lingerTimeout limits the wait for the caller to close, maxLingerBytes the
	// bytes that are discarded meanwhile.
	lingerTimeout  = time.Second
	maxLingerBytes = 256 << 10
)

// listener wraps accepted TCP connections in conn.
type listener struct{ net.Listener }

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c, err
	}
	raw, rawErr := tcp.SyscallConn()
	if rawErr != nil {
		_ = tcp.Close()
		return nil, rawErr
	}
	return &conn{TCPConn: tcp, raw: raw}, err
}

// conn is a caller's connection. It enforces the header timeout of the current
// configuration, which fasthttp.Server does not know. Only the goroutine that
// serves the connection uses it, except for closeIdle.
type conn struct {
	*net.TCPConn
	raw syscall.RawConn
	// headerDeadline is when the request header must be complete; zero if none
	// is expected.
	headerDeadline time.Time
	// readAhead holds bytes that were read ahead, readAheadLen is their number.
	// The first startedBytes of them belong to requests that are relayed
	// already.
	readAhead    []byte
	startedBytes int
	readAheadLen atomic.Int64
	// headerRead reports whether the header of the next request has been
	// returned by Read, boundaryLost that it is not known where the next header
	// begins.
	headerRead, boundaryLost bool
	headerScanner            headerScanner
	// pipelined holds the requests after the current one that are relayed
	// already, in order.
	pipelined []*pipelined
	// peerClosed reports whether the caller has closed the connection.
	peerClosed atomic.Bool

	mu sync.Mutex
	// inRequest reports whether a request is in progress, closedIdle whether the
	// connection was closed while idle.
	inRequest, closedIdle bool
	// held is the number of reserved bytes of responses being written to this
	// connection.
	held int64
}

// beginRequest marks a request as in progress. It reports false if the
// connection was closed as idle after the request had been read.
func (c *conn) beginRequest() bool {
	c.headerRead = false
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inRequest = !c.closedIdle
	return c.inRequest
}

// addHeld adds reserved bytes of a response that is written to this connection.
func (c *conn) addHeld(bytes int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held += bytes
}

// endRequest marks the request as finished. It returns the reserved bytes of
// its response.
func (c *conn) endRequest() (held int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inRequest = false
	held, c.held = c.held, 0
	return held
}

// setHeaderDeadline sets the deadline for the rest of a header if one is
// expected, and clears it otherwise.
func (c *conn) setHeaderDeadline(expected bool, limit time.Duration) {
	c.headerDeadline = time.Time{}
	if expected && limit > 0 && limit < headerTimeout {
		c.headerDeadline = time.Now().Add(limit)
		// If the connection is closed, the next read fails.
		_ = c.TCPConn.SetReadDeadline(c.headerDeadline)
	}
}

// SetReadDeadline implements net.Conn. An earlier header deadline replaces the
// server's own one. The server's deadline for a body is later and takes effect.
func (c *conn) SetReadDeadline(t time.Time) error {
	if !c.headerDeadline.IsZero() && time.Until(t) <= headerTimeout {
		t = c.headerDeadline
	}
	return c.TCPConn.SetReadDeadline(t)
}

// Read implements net.Conn. It returns at most one request header at a time
// where it can tell them apart, so that pipelined requests can be started
// before their turn.
func (c *conn) Read(p []byte) (n int, err error) {
	if len(c.readAhead) > 0 {
		n = c.deliverable(p[:copy(p, c.readAhead)])
		c.readAhead = c.readAhead[n:]
		c.startedBytes = max(0, c.startedBytes-n)
		c.readAheadLen.Store(int64(len(c.readAhead)))
		return n, nil
	}
	all, err := c.TCPConn.Read(p)
	n = c.deliverable(p[:all])
	if n < all {
		c.appendReadAhead(p[n:all])
	}
	return n, err
}

// deliverable returns how many bytes of p Read may return. Headers may be split
// anywhere. Bytes that follow a header before its request is handled belong to
// a body, so the start of the next header is unknown from then on.
func (c *conn) deliverable(p []byte) int {
	if c.headerRead {
		c.boundaryLost = true
		return len(p)
	}
	n, whole := c.headerScanner.scan(p)
	c.headerRead = whole
	return n
}

// appendReadAhead appends to the bytes that were read ahead.
func (c *conn) appendReadAhead(p []byte) {
	c.readAhead = append(c.readAhead, p...)
	c.readAheadLen.Store(int64(len(c.readAhead)))
}

// pollClosed reports whether the caller has closed the connection. Unread
// pipelined requests would hide the close, so they are read ahead.
func (c *conn) pollClosed() bool {
	var buf [4 << 10]byte
	for len(c.readAhead) < maxReadAheadBytes {
		n, err := c.recvNonblocking(buf[:], 0)
		switch {
		case err == syscall.EAGAIN:
			return false
		case err != nil || n == 0:
			return true
		}
		c.appendReadAhead(buf[:n])
	}
	return false
}

// recvNonblocking reads the bytes that have arrived, without blocking.
func (c *conn) recvNonblocking(p []byte, flags int) (n int, err error) {
	cerr := c.raw.Control(func(fd uintptr) {
		n, _, err = syscall.Recvfrom(int(fd), p, flags|syscall.MSG_DONTWAIT)
	})
	if cerr != nil {
		return 0, cerr
	}
	return n, err
}

// hasUnread reports whether bytes have arrived that have not been read.
func (c *conn) hasUnread() bool {
	var one [1]byte
	n, err := c.recvNonblocking(one[:], syscall.MSG_PEEK)
	return err == nil && n > 0
}

// closeIdle closes the connection unless a request has arrived on it, and
// reports whether it did. A request that arrives later is lost unread. It may
// be called concurrently with the goroutine that serves the connection.
func (c *conn) closeIdle() (done bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inRequest || c.readAheadLen.Load() > 0 || c.hasUnread() {
		return false
	}
	c.closedIdle = true
	_ = c.TCPConn.Close()
	return true
}

// Close implements net.Conn for the goroutine that has served the connection.
// Closing with unread bytes sends a reset, by which the caller may lose a
// response that it has not read yet. Close therefore waits for the caller to
// close first.
func (c *conn) Close() error {
	c.peerClosed.Store(true)
	if !c.hasUnread() || c.CloseWrite() != nil {
		return c.TCPConn.Close()
	}
	_ = c.TCPConn.SetReadDeadline(time.Now().Add(lingerTimeout))
	go func() {
		_, _ = io.CopyN(io.Discard, c.TCPConn, maxLingerBytes)
		_ = c.TCPConn.Close()
	}()
	return nil
}
