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
	// aheadSize bounds the bytes of further requests that are read ahead in order
	// to see whether the caller has closed its connection.
	maxReadAheadBytes = 32 << 10
	// lingerTime bounds the wait for the caller's close, lingerSize the bytes that
	// are dropped meanwhile.
	lingerTimeout  = time.Second
	maxLingerBytes = 256 << 10
)

// listener accepts connections of callers as conn.
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

// conn is a caller's connection. The head of a request must arrive in time; the
// bound is that of the configuration in force, which the server does not know.
// Only the goroutine that serves the connection uses it, except for closeIdle.
type conn struct {
	*net.TCPConn
	raw syscall.RawConn
	// headUntil is when the head must have arrived; zero while none is expected.
	headerDeadline time.Time
	// ahead holds bytes that have been read ahead, pending is their number. Begun
	// is the number of those whose requests have been started.
	readAhead    []byte
	startedBytes int
	readAheadLen atomic.Int64
	// headRead tells that the head of the next request has been handed out. Loose
	// tells that it is not known where heads begin.
	headerRead, boundaryLost bool
	headerScanner            headerScanner
	// started has the requests behind the one in hand that are relayed already, in
	// their order.
	pipelined []*pipelined
	// left tells that the caller has closed the connection.
	peerClosed atomic.Bool

	mu sync.Mutex
	// busy tells that a request is in hand, dropped that the connection was closed
	// while it was idle.
	inRequest, closedIdle bool
	// held is the number of bytes of answers that are written here.
	held int64
}

// begin takes a request in hand. It reports whether the connection is still
// there: it may have been closed as idle after the request had been read.
func (c *conn) beginRequest() bool {
	c.headerRead = false
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inRequest = !c.closedIdle
	return c.inRequest
}

// hold notes that bytes of an answer are written here.
func (c *conn) addHeld(bytes int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held += bytes
}

// end notes that no request is in hand. It returns what was held for its answer.
func (c *conn) endRequest() (held int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inRequest = false
	held, c.held = c.held, 0
	return held
}

// expectHead begins or ends the wait for the rest of a head.
func (c *conn) setHeaderDeadline(on bool, limit time.Duration) {
	c.headerDeadline = time.Time{}
	if on && limit > 0 && limit < headerTimeout {
		c.headerDeadline = time.Now().Add(limit)
		// A connection that is closed already fails at the next read.
		_ = c.TCPConn.SetReadDeadline(c.headerDeadline)
	}
}

// SetReadDeadline implements net.Conn. The server's own bound for a head gives
// way to a closer one; that for a body is later and ends the wait for the head.
func (c *conn) SetReadDeadline(t time.Time) error {
	if !c.headerDeadline.IsZero() && time.Until(t) <= headerTimeout {
		t = c.headerDeadline
	}
	return c.TCPConn.SetReadDeadline(t)
}

// Read implements net.Conn. It hands out one head at a time, as far as heads can be
// told apart, so that requests behind it can be started before their turn.
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

// first returns the length of the part that is handed out. Heads may arrive in
// pieces that end anywhere. What follows a head before its request is handled is
// a body; where the next head begins is not known from then on.
func (c *conn) deliverable(p []byte) int {
	if c.headerRead {
		c.boundaryLost = true
		return len(p)
	}
	n, whole := c.headerScanner.scan(p)
	c.headerRead = whole
	return n
}

// keep adds bytes that were read ahead.
func (c *conn) appendReadAhead(p []byte) {
	c.readAhead = append(c.readAhead, p...)
	c.readAheadLen.Store(int64(len(c.readAhead)))
}

// closed tells whether the caller has closed the connection. Further requests
// that it has sent before hide the close from a look at the next byte, so they
// are read ahead.
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

// receive reads what has arrived without waiting.
func (c *conn) recvNonblocking(p []byte, flags int) (n int, err error) {
	cerr := c.raw.Control(func(fd uintptr) {
		n, _, err = syscall.Recvfrom(int(fd), p, flags|syscall.MSG_DONTWAIT)
	})
	if cerr != nil {
		return 0, cerr
	}
	return n, err
}

// unread tells whether bytes have arrived that nobody has read.
func (c *conn) hasUnread() bool {
	var one [1]byte
	n, err := c.recvNonblocking(one[:], syscall.MSG_PEEK)
	return err == nil && n > 0
}

// closeIdle closes the connection unless a request has arrived on it. One that
// arrives later is lost with the connection, before anybody has read it. It may be
// called while the connection is served.
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
// Unread bytes would turn the close into a reset, which may take an answer away
// that the caller has not read yet. So the caller's own close is waited for first.
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
