package forwarder

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"hornbeamstream.example/core/screener"
	"hornbeamstream.example/hornbeamd/pooler"
)

const (
	// maxBufferedBody bounds the bodies that are buffered, and the responses
	// that are kept for repeats. Larger bodies are streamed.
	maxBufferedBody = 64 << 10
	// The suspicion timeout is the time without a response byte after which an
	// exchange is suspected: suspicionFactor times the path's 99th percentile,
	// within these bounds, and at least initialSuspicionTimeout while that
	// percentile is not known.
	minSuspicionTimeout     = 100 * time.Millisecond
	maxSuspicionTimeout     = 2 * time.Second
	initialSuspicionTimeout = time.Second
	suspicionFactor         = 5
	// slowPathSuspicionFactor is the smallest factor, which raises the upper
	// bound for slow paths.
	slowPathSuspicionFactor = 3
	// An exchange of a once-service is given up after giveUpFactor times the
	// suspicion timeout, but not before minGiveUpTimeout: a pause of an upstream
	// should not make outcomes unknown.
	giveUpFactor     = 4
	minGiveUpTimeout = time.Second
	// callerCheckInterval is the time between two checks whether the caller has
	// closed its connection.
	callerCheckInterval = 50 * time.Millisecond
	// maxGiveUpTimeout is longer than any request may run. Exchanges on paths
	// whose latency is not known yet end only at the request's deadline.
	maxGiveUpTimeout = time.Hour
)

var (
	errNoFirstByte     = errors.New("no response byte arrived within the suspicion timeout")
	errResponseTimeout = errors.New("no complete response arrived before the deadline")
	errIDMismatch      = errors.New("response has the id of another request")
	errNoLength        = errors.New("response has no length")
	errCallerGone      = errors.New("the caller closed its connection")
	errBodyTruncated   = errors.New("the caller's body ended early")
)

// exchange is one request and its response on one connection. It owns its
// buffers, so that no response is written into memory that a caller uses.
type exchange struct {
	pool *connPool
	conn *pooler.Conn
	// newConn is set if the connection was opened for this exchange.
	newConn  bool
	deadline int64
	// isProbe is set for a health probe.
	isProbe bool
	// suspected is set if no response byte arrived within the suspicion timeout.
	suspected bool
	// sent is set if a byte of the request may have reached the other end.
	sent bool
	// sentAt is when the request was written, firstByteAt when the first byte
	// of the response arrived.
	sentAt, firstByteAt int64

	request []byte
	header  fasthttp.ResponseHeader
	body    []byte
	// complete is set if body has the whole response. Otherwise length is the
	// Content-Length of the response, or -1 if it is chunked.
	complete    bool
	length      int
	chunkedBody io.Reader
}

var exchangePool = sync.Pool{New: func() any { return new(exchange) }}

func acquireExchange() *exchange { return exchangePool.Get().(*exchange) }

// release returns the exchange to its pool. Its connection must have been put
// back or discarded.
func (x *exchange) release() {
	if cap(x.body) > 2*maxBufferedBody || cap(x.request) > 2*maxBufferedBody {
		return
	}
	x.header.Reset()
	wire, body := x.request[:0], x.body[:0]
	x.pool, x.conn, x.chunkedBody = nil, nil, nil
	x.isProbe, x.newConn, x.sent, x.complete, x.suspected = false, false, false, false, false
	x.deadline, x.sentAt, x.firstByteAt, x.length = 0, 0, 0, 0
	x.request, x.body = wire, body
	exchangePool.Put(x)
}

// send writes the request. After an error, x.sent tells whether any byte of it
// can have arrived.
func (x *exchange) send(body io.Reader, size int64) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("send: %w", err)
		}
	}()
	if err = x.conn.SetSendDeadline(body != nil || len(x.request) > pooler.MinSendBufferBytes, x.deadline); err != nil {
		return err
	}
	x.sentAt = x.pool.now()
	if x.sentAt >= x.deadline {
		return errDeadlinePassed
	}
	n, err := x.conn.Write(x.request)
	x.sent = n > 0
	if err != nil || body == nil {
		return err
	}
	err = x.copyBody(body, size)
	x.sentAt = x.pool.now()
	return err
}

func (x *exchange) copyBody(body io.Reader, size int64) error {
	buf := copyBufferPool.Get().(*[]byte)
	defer copyBufferPool.Put(buf)
	for size > 0 {
		n, err := body.Read((*buf)[:min(size, int64(len(*buf)))])
		if n > 0 {
			if _, werr := x.conn.Write((*buf)[:n]); werr != nil {
				return werr
			}
			size -= int64(n)
		}
		if err != nil && size > 0 {
			return fmt.Errorf("%w: %w", errBodyTruncated, err)
		}
	}
	return nil
}

// awaitFirstByte waits for the first byte of the response, for the given time
// or until the deadline. If none arrives, it marks the exchange as suspected. It
// checks regularly whether the caller has closed its connection.
func (x *exchange) awaitFirstByte(c *call, wait time.Duration) error {
	until := min(x.sentAt+int64(wait), x.deadline)
	for {
		err := x.awaitByte(min(until, x.pool.now()+int64(callerCheckInterval)))
		if !isTimeout(err) {
			return err
		}
		now := x.pool.now()
		if now >= x.deadline {
			return errResponseTimeout
		}
		if now >= until {
			x.suspect()
			return errNoFirstByte
		}
		if c.callerGone() {
			return errCallerGone
		}
	}
}

// suspect marks the exchange and closes the idle connections to the same
// address that may be dead too.
func (x *exchange) suspect() {
	x.suspected = true
	x.pool.closeUnproven(x.sentAt)
}

// awaitByte waits for a byte until the given time or the deadline.
func (x *exchange) awaitByte(until int64) error {
	if err := x.conn.SetReadDeadline(time.Unix(0, min(until, x.deadline))); err != nil {
		return err
	}
	_, err := x.conn.Reader.Peek(1)
	return err
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// suspicionTimeout returns the time to the first byte above which an exchange is
// suspected: a multiple of the path's 99th percentile or, with too few values
// for that, of the service's 95th.
func (p *connPool) suspicionTimeout() time.Duration {
	firstByteP99 := time.Duration(p.firstByteP99.value.Load())
	if p.firstByteP99.count.Load() < minQuantileValues {
		return max(initialSuspicionTimeout, suspicionFactor*firstByteP99, suspicionFactor*time.Duration(p.serviceP95.value.Load()))
	}
	return min(max(suspicionFactor*firstByteP99, minSuspicionTimeout), max(maxSuspicionTimeout, slowPathSuspicionFactor*firstByteP99))
}

// giveUpTimeout returns the time without a response byte after which an exchange
// of a once-service ends.
func (p *connPool) giveUpTimeout() time.Duration {
	if p.firstByteP99.count.Load() < minQuantileValues {
		return maxGiveUpTimeout
	}
	return max(giveUpFactor*p.suspicionTimeout(), minGiveUpTimeout)
}

// receive reads the response's head, and its body if that is small.
func (x *exchange) receive(id []byte, head bool) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("receive: %w", err)
		}
	}()
	now := x.pool.now()
	x.conn.LastActive = now
	if err = x.conn.SetReadDeadline(time.Unix(0, x.deadline)); err != nil {
		return err
	}
	if err = x.readHead(); err != nil {
		return err
	}
	if id != nil && !bytes.Equal(x.header.Peek(HeaderID), id) {
		return errIDMismatch
	}
	return x.readBody(head)
}

func (x *exchange) readHead() error {
	if err := screener.Await(x.conn.Reader); err != nil {
		return err
	}
	return x.header.Read(x.conn.Reader)
}

func (x *exchange) readBody(head bool) error {
	x.length = x.header.ContentLength()
	if !screener.HasBody(&x.header, head) {
		x.complete = true
		return nil
	}
	switch {
	case x.length == -1:
		// The fields of a trailer section are not passed on.
		x.chunkedBody = screener.NewBody(x.conn.Reader, x.length, new(fasthttp.ResponseHeader))
		return x.readChunks()
	case x.length < 0:
		return errNoLength
	case x.length > maxBufferedBody:
		return nil
	}
	x.body = resize(x.body, x.length)
	if _, err := io.ReadFull(x.conn.Reader, x.body); err != nil {
		return err
	}
	x.complete = true
	return nil
}

// readChunks reads up to maxBufferedBody bytes of a chunked body, and all of it
// if it is shorter.
func (x *exchange) readChunks() error {
	x.body = resize(x.body, maxBufferedBody)
	n, err := io.ReadFull(x.chunkedBody, x.body)
	x.body = x.body[:n]
	switch {
	case err == nil:
		return nil
	case err == io.EOF || err == io.ErrUnexpectedEOF && x.atEOF():
		x.complete = true
		x.length = n
		return nil
	}
	return err
}

// atEOF reports whether a short body was complete rather than truncated, which
// ReadFull doesn't distinguish.
func (x *exchange) atEOF() bool {
	_, err := x.chunkedBody.Read(make([]byte, 1))
	return err == io.EOF
}

// releaseConn returns the connection to its pool if it can be reused, and closes
// it otherwise.
func (x *exchange) releaseConn() {
	c := x.conn
	x.conn = nil
	if c.Reader.Buffered() > 0 || x.header.ConnectionClose() {
		x.pool.discard(c)
		return
	}
	c.LastActive = x.pool.now()
	if !x.isProbe {
		c.LastDone = c.LastActive
	}
	x.pool.put(c)
}

// closeConn closes the connection, which cancels the request at the other end.
func (x *exchange) closeConn() {
	if x.conn == nil {
		return
	}
	x.pool.discard(x.conn)
	x.conn = nil
}

func resize(b []byte, n int) []byte {
	if cap(b) < n {
		return make([]byte, n)
	}
	return b[:n]
}

var copyBufferPool = sync.Pool{New: func() any {
	b := make([]byte, maxBufferedBody)
	return &b
}}
