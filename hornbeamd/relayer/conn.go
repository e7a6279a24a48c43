package relayer

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"hornbeamstream.example/hornbeamd/acceptor"
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

// listener wraps accepted TCP connections in conn and tracks them.
type listener struct {
	net.Listener
	tracker *connTracker
}

// Accept implements net.Listener. A shortage of descriptors, or too many open connections,
// delay it.
func (l listener) Accept() (net.Conn, error) {
	l.tracker.awaitRoom()
	c, err := acceptor.Accept(l.Listener, l.tracker.onShortage)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		// The queue of connections has been emptied for a shutdown.
		_ = l.Close()
		return nil, io.EOF
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c, err
	}
	raw, rawErr := tcp.SyscallConn()
	if rawErr != nil {
		_ = tcp.Close()
		return nil, rawErr
	}
	accepted := newConn(tcp, raw, l.tracker)
	l.tracker.add(accepted)
	return accepted, err
}

// phase is what a caller's connection is used for.
type phase uint8

const (
	// receiving means that a request is awaited on a new connection, or is arriving.
	receiving phase = iota
	// idle means that the next request is awaited.
	idle
	// serving means that a request has been received and is in progress.
	serving
	// closing means that the last response has been written and the caller's close is
	// awaited.
	closing
	// ended means that the connection was closed in favor of others, or as idle.
	ended
)

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
	// bodyBytes is the number of bytes that Read has returned since the end of the header.
	// overRead reports that the server has read bytes beyond the end of the request.
	bodyBytes int
	overRead  bool
	receiver  receiver
	// pipelined holds the requests after the current one that are relayed
	// already, in order.
	pipelined []*pipelined
	// peerClosed reports whether the caller has closed the connection.
	peerClosed atomic.Bool

	tracker *connTracker
	// progressAt is when the connection became idle or the last byte of a request was
	// received.
	progressAt atomic.Int64
	// held is the number of bytes reserved for the request in progress and its
	// response. closed reports that they are no longer needed.
	held   atomic.Int64
	closed atomic.Bool
	// removal makes room for another connection once.
	removal sync.Once

	mu    sync.Mutex
	phase phase
	// begun reports whether bytes of a request have been read since the last one, not
	// counting readAhead. readsEnded reports that no further request is read.
	begun, readsEnded bool
}

func newConn(tcp *net.TCPConn, raw syscall.RawConn, t *connTracker) *conn {
	c := &conn{TCPConn: tcp, raw: raw, tracker: t}
	c.receiver.try = c.tryReceive
	return c
}

// beginRequest marks the received request as in progress. It reports false if the
// connection was closed in favor of others.
func (c *conn) beginRequest() bool {
	c.headerRead, c.bodyBytes = false, 0
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == ended {
		return false
	}
	c.phase = serving
	return true
}

// setPhase sets what the connection is used for, unless it has ended.
func (c *conn) setPhase(p phase, now int64) {
	c.progressAt.Store(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != ended {
		c.phase = p
	}
	if p == idle {
		c.begun, c.overRead = c.overRead, false
	}
}

// evicted reports whether the connection was closed in favor of others.
func (c *conn) evicted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == ended
}

// hold adds reserved bytes to those of the request in progress. They are released with the
// others, or at once if the connection has ended. It reports whether it has not.
func (c *conn) hold(b *byteBudget, bytes int64) bool {
	c.held.Add(bytes)
	if c.closed.Load() {
		c.releaseHeld(b)
		return false
	}
	return true
}

// releaseHeld releases the bytes of the request in progress.
func (c *conn) releaseHeld(b *byteBudget) { b.Release(c.held.Swap(0)) }

// candidate returns the connection's state for the choice of one to close. It reports false
// if the connection must not be closed.
func (c *conn) candidate(now int64) (evictionCandidate, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := evictionCandidate{idle: c.phase == idle, quiet: time.Duration(now - c.progressAt.Load()), held: c.held.Load()}
	return e, c.phase == idle && !c.begun || c.phase == receiving
}

// evict ends a connection on which no request is in progress at an upstream. It reports
// whether it did. A request that is being received is answered if answer is set.
func (c *conn) evict(b *byteBudget, answer bool) bool {
	c.mu.Lock()
	closes := c.phase == idle || !answer
	switch {
	case c.phase == idle && c.hasArrived(), c.phase != idle && c.phase != receiving:
		c.mu.Unlock()
		return false
	case !closes:
		_ = c.TCPConn.SetReadDeadline(passedDeadline)
	}
	c.phase = ended
	c.closed.Store(true)
	c.mu.Unlock()
	if closes {
		c.closeEnded()
	}
	c.releaseHeld(b)
	return true
}

// closeEnded closes the connection after its phase has been set to ended. The caller must not
// hold mu, because closing waits for a read in progress to return.
func (c *conn) closeEnded() { _ = c.TCPConn.Close() }

// extendReadDeadline gives the caller time for further bytes.
func (c *conn) extendReadDeadline(d time.Duration) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == ended {
		return errEvicted
	}
	return c.limitReadDeadline(time.Now().Add(d))
}

// limitReadDeadline sets the read deadline. It has passed once no further request is read.
// The caller holds mu.
func (c *conn) limitReadDeadline(t time.Time) error {
	if c.readsEnded {
		t = passedDeadline
	}
	return c.TCPConn.SetReadDeadline(t)
}

// setHeaderDeadline sets the deadline for the rest of a header if one is
// expected, and clears it otherwise.
func (c *conn) setHeaderDeadline(expected bool, limit time.Duration) {
	c.headerDeadline = time.Time{}
	if expected && limit > 0 && limit < headerTimeout {
		c.headerDeadline = time.Now().Add(limit)
		c.mu.Lock()
		defer c.mu.Unlock()
		// If the connection is closed, the next read fails.
		_ = c.limitReadDeadline(c.headerDeadline)
	}
}

// SetReadDeadline implements net.Conn. An earlier header deadline replaces the
// server's own one. The server's deadline for a body is later and takes effect.
func (c *conn) SetReadDeadline(t time.Time) error {
	if !c.headerDeadline.IsZero() && time.Until(t) <= headerTimeout {
		t = c.headerDeadline
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.limitReadDeadline(t)
}

// Read implements net.Conn. It returns at most one request header at a time
// where it can tell them apart, so that pipelined requests can be started
// before their turn.
func (c *conn) Read(p []byte) (n int, err error) {
	if len(c.readAhead) > 0 {
		c.begin()
		n = c.deliverable(p[:copy(p, c.readAhead)])
		c.readAhead = c.readAhead[n:]
		c.startedBytes = max(0, c.startedBytes-n)
		c.readAheadLen.Store(int64(len(c.readAhead)))
		return n, nil
	}
	all, err := c.receive(p)
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
		c.bodyBytes += len(p)
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
// pipelined requests would hide the close, so they are read ahead, but not
// while connections are drained: what has been read must be answered.
func (c *conn) pollClosed() bool {
	if c.tracker.draining.Load() {
		var one [1]byte
		n, err := c.recvNonblocking(one[:], syscall.MSG_PEEK)
		return n <= 0 && err != syscall.EAGAIN
	}
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
	if c.phase == serving || c.hasArrived() {
		c.mu.Unlock()
		return false
	}
	c.phase = ended
	c.mu.Unlock()
	c.closeEnded()
	return true
}

// Close implements net.Conn for the goroutine that has served the connection.
// Closing with unread bytes sends a reset, by which the caller may lose a
// response that it has not read yet. Close therefore waits for the caller to
// close first.
//
// While connections are drained, it also waits for that after a response,
// since the process may exit and the caller's close shows that the response
// has arrived.
func (c *conn) Close() error {
	c.peerClosed.Store(true)
	if !c.beginClose() || c.CloseWrite() != nil {
		return c.closeTCP()
	}
	_ = c.TCPConn.SetReadDeadline(time.Now().Add(lingerTimeout))
	go func() {
		_, _ = io.CopyN(io.Discard, c.TCPConn, maxLingerBytes)
		_ = c.closeTCP()
	}()
	return nil
}

// beginClose reports whether Close waits for the caller to close first.
func (c *conn) beginClose() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	answered := c.phase == serving || c.begun
	if c.readsEnded && !answered {
		// Waiting would read a further request.
		return false
	}
	if c.phase == ended {
		return c.hasUnread()
	}
	c.phase = closing
	return answered && c.tracker.draining.Load() || c.hasUnread()
}

// closeTCP closes the connection and makes room for another one.
func (c *conn) closeTCP() error {
	err := c.TCPConn.Close()
	c.removal.Do(func() { c.tracker.remove(c) })
	return err
}
