package forwarder

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http/httputil"
	"os"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"hornbeamstream.example/hornbeamd/pooler"
)

const (
	// keepSize bounds the answers that are read as a whole before they are
	// passed on, and those that are kept for repeats. Larger ones are streamed.
	maxBufferedBody = 64 << 10
	// Bounds of the time after which an exchange without a byte of an answer
	// is suspected, and the multiple of the usual 99th percentile.
	minSuspicionTimeout     = 100 * time.Millisecond
	maxSuspicionTimeout     = 2 * time.Second
	initialSuspicionTimeout = time.Second
	suspicionFactor         = 5
	// leastShare is that multiple for paths whose usual time is long.
	slowPathSuspicionFactor = 3
	// finalShare is the multiple of the suspicion time after which an exchange
	// of a once-service is given up, but not before minFinal:
	// a pause of an upstream should not make outcomes unknown.
	giveUpFactor     = 4
	minGiveUpTimeout = time.Second
	// checkTime is the time between two looks at the caller's connection.
	callerCheckInterval = 50 * time.Millisecond
	// maxFinal is longer than any request may run. The deadline ends exchanges
	// with upstreams whose usual time is not known.
	maxGiveUpTimeout = time.Hour
)

var (
	errNoFirstByte     = errors.New("no byte of an answer came in time")
	errResponseTimeout = errors.New("no whole answer came before the deadline")
	errIDMismatch      = errors.New("the answer names another request")
	errNoLength        = errors.New("the answer does not tell its length")
	errCallerGone      = errors.New("the caller has closed its connection")
	errBodyTruncated   = errors.New("the caller's body ended early")
)

// exchange is one request and its answer on one connection. It owns its
// buffers, so that no answer is written into memory that a caller uses.
type exchange struct {
	pool *connPool
	conn *pooler.Conn
	// fresh tells that the connection was opened for this exchange.
	newConn  bool
	deadline int64
	// probing tells that this is no request but a probe.
	isProbe bool
	// suspected tells that the answer has not begun within the suspicion time.
	suspected bool
	// sent tells that a byte of the request may have reached the other end.
	sent bool
	// start is the time at which the request was written, first that of the
	// first byte of the answer.
	sentAt, firstByteAt int64

	request []byte
	header  fasthttp.ResponseHeader
	body    []byte
	// whole tells that body has the whole answer. Otherwise length is what the
	// answer announced, or -1 when it comes in chunks.
	complete    bool
	length      int
	chunkedBody io.Reader
	hasTrailer  bool
}

var exchangePool = sync.Pool{New: func() any { return new(exchange) }}

func acquireExchange() *exchange { return exchangePool.Get().(*exchange) }

// release gives the exchange back. Its connection must have been put back or
// discarded.
func (x *exchange) release() {
	if cap(x.body) > 2*maxBufferedBody || cap(x.request) > 2*maxBufferedBody {
		return
	}
	x.header.Reset()
	wire, body := x.request[:0], x.body[:0]
	x.pool, x.conn, x.chunkedBody = nil, nil, nil
	x.isProbe, x.newConn, x.sent, x.complete, x.hasTrailer, x.suspected = false, false, false, false, false, false
	x.deadline, x.sentAt, x.firstByteAt, x.length = 0, 0, 0, 0
	x.request, x.body = wire, body
	exchangePool.Put(x)
}

// send writes the request. After an error, sent tells whether any byte of it
// can have arrived.
func (x *exchange) send(body io.Reader, size int64) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("send: %w", err)
		}
	}()
	if err = x.conn.LimitWrite(body != nil || len(x.request) > pooler.SendSize, x.deadline); err != nil {
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

// await waits for the first byte of the answer for some time or until the
// deadline. On silence it drops the idle connections that may be silent too.
// From time to time it asks gone whether anybody still wants the answer.
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

// suspect drops the idle connections that may be silent too.
func (x *exchange) suspect() {
	x.suspected = true
	x.pool.closeUnproven(x.sentAt)
}

// peek waits for a byte until the given time or the deadline.
func (x *exchange) awaitByte(until int64) error {
	if err := x.conn.SetReadDeadline(time.Unix(0, min(until, x.deadline))); err != nil {
		return err
	}
	_, err := x.conn.Reader.Peek(1)
	return err
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// suspicion is the time after which silence is suspicious: several times the
// usual time of the path, and while that is not well known, of the service.
func (p *connPool) suspicionTimeout() time.Duration {
	usual := time.Duration(p.firstByteP99.value.Load())
	if p.firstByteP99.count.Load() < minQuantileValues {
		return max(initialSuspicionTimeout, suspicionFactor*usual, suspicionFactor*time.Duration(p.serviceP95.value.Load()))
	}
	return min(max(suspicionFactor*usual, minSuspicionTimeout), max(maxSuspicionTimeout, slowPathSuspicionFactor*usual))
}

// final is the time after which silence ends an exchange.
func (p *connPool) giveUpTimeout() time.Duration {
	if p.firstByteP99.count.Load() < minQuantileValues {
		return maxGiveUpTimeout
	}
	return max(giveUpFactor*p.suspicionTimeout(), minGiveUpTimeout)
}

// receive reads the answer's head, and its body when that is small.
func (x *exchange) receive(id []byte, head bool) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("receive: %w", err)
		}
	}()
	now := x.pool.now()
	x.conn.Proven = now
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
	for {
		if err := x.header.Read(x.conn.Reader); err != nil {
			return err
		}
		switch status := x.header.StatusCode(); {
		case status == fasthttp.StatusSwitchingProtocols:
			return errNoLength
		case status >= 200:
			return nil
		}
	}
}

func (x *exchange) readBody(head bool) error {
	status := x.header.StatusCode()
	x.length = x.header.ContentLength()
	if head || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified {
		x.complete = true
		return nil
	}
	switch {
	case x.length == -1:
		x.chunkedBody = httputil.NewChunkedReader(x.conn.Reader)
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

// readChunks reads up to keepSize bytes, and all of the answer if it is not
// longer.
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
		x.skipTrailer()
		return nil
	}
	return err
}

// ended tells a whole answer from one that was cut, which ReadFull reports
// alike.
func (x *exchange) atEOF() bool {
	_, err := x.chunkedBody.Read(make([]byte, 1))
	return err == io.EOF
}

// skipTrailer reads the end of a chunked answer. A connection with a trailer is
// not used again.
func (x *exchange) skipTrailer() {
	end, err := x.conn.Reader.Peek(2)
	if err != nil || end[0] != '\r' || end[1] != '\n' {
		x.hasTrailer = true
		return
	}
	_, _ = x.conn.Reader.Discard(2)
}

// settle puts the connection back if the exchange has left it clean.
func (x *exchange) releaseConn() {
	c := x.conn
	x.conn = nil
	if x.hasTrailer || c.Reader.Buffered() > 0 || x.header.ConnectionClose() {
		x.pool.discard(c)
		return
	}
	c.Proven = x.pool.now()
	if !x.isProbe {
		c.Ended = c.Proven
	}
	x.pool.put(c)
}

// abort closes the connection, which tells the other end to stop.
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
